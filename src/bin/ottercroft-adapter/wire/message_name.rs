//! Names of the messages sent by the simulator.

use serde::Deserialize;

/// A message to the process or to one of its dispatchers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum MessageName {
    /// Sets the clock.
    #[serde(rename = "ROUND")]
    SetClock,
    /// Ends a batch of messages and requests the replies.
    #[serde(rename = "GO")]
    EndBatch,
    /// Defines an endpoint list.
    #[serde(rename = "DEFINE_LIST")]
    DefineList,
    /// Starts a dispatcher.
    #[serde(rename = "ENLIST")]
    StartDispatcher,
    /// Stops a dispatcher.
    #[serde(rename = "STOP")]
    StopDispatcher,
    /// An endpoint list for a dispatcher.
    #[serde(rename = "FLEET")]
    EndpointList,
    /// A request arrives.
    #[serde(rename = "INBOUND")]
    Arrival,
    /// The first byte of a response arrived.
    #[serde(rename = "ACK_FIRST")]
    FirstByte,
    /// An attempt reported progress.
    #[serde(rename = "NOTICE")]
    AttemptProgressed,
    /// An attempt ended.
    #[serde(rename = "REPLY")]
    AttemptFinished,
    /// A client disconnected.
    #[serde(rename = "HANGUP")]
    ClientDisconnected,
    /// A timer fired.
    #[serde(rename = "WAKEUP")]
    Timer,
    /// A probe ended.
    #[serde(rename = "CHECK_RESULT")]
    ProbeFinished,
    /// Gossip from another dispatcher.
    #[serde(rename = "INBOX")]
    Gossip,
    /// An unknown message, which is ignored.
    #[serde(other)]
    Unknown,
}
