//! The names of the messages that the simulator sends.

use serde::Deserialize;

/// A message to the process or to one of its dispatchers, by its name on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum MessageName {
    /// Sets the clock.
    #[serde(rename = "ROUND")]
    SetClock,
    /// Ends a batch of messages: the replies are due.
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
    /// The first byte of an attempt.
    #[serde(rename = "ACK_FIRST")]
    FirstByte,
    /// Progress of an attempt.
    #[serde(rename = "NOTICE")]
    AttemptProgressed,
    /// An attempt ended.
    #[serde(rename = "REPLY")]
    AttemptFinished,
    /// A client disconnected.
    #[serde(rename = "HANGUP")]
    ClientDisconnected,
    /// A timer is due.
    #[serde(rename = "WAKEUP")]
    Timer,
    /// A probe ended.
    #[serde(rename = "CHECK_RESULT")]
    ProbeFinished,
    /// Gossip of another dispatcher.
    #[serde(rename = "INBOX")]
    Gossip,
    /// A message that is not known.
    #[serde(other)]
    Unknown,
}
