//! Configuration and events of a fleet.

use crate::ledger::{Limits, Outcome};
use crate::state::StateKind;
use crate::{Holder, Micros, Peer};

/// Configuration of a fleet; all times have to be the same at all peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetConfig {
    /// This peer's number.
    pub me: Peer,
    /// All peers, this one included.
    pub peers: Vec<Peer>,
    /// Duration of a lease without a renewal.
    pub lease: Micros,
    /// How long after that duration other peers wait before they expire the lease.
    pub margin: Micros,
    /// Raft's tick; the leader sends a heartbeat each tick.
    pub tick: Micros,
    /// How long commands that nothing waits for may be delayed to form larger batches.
    pub batch_delay: Micros,
    /// How long a fleet has to be without a leader before it is abandoned, if a majority of its peers has left it.
    pub abandon_after: Micros,
    /// Limits of the ledger.
    pub limits: Limits,
}

/// An event for the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetEvent {
    /// This peer has acquired a lease.
    LeaseAcquired(Holder),
    /// This peer's lease has ended, and with it the ownership of all its requests.
    LeaseLost(Holder),
    /// The record of this request was opened; this peer owns the request.
    Opened(u64),
    /// The request was not opened: it has a record already.
    AlreadyRecorded(u64),
    /// The request was not opened: the ledger is full or the lease has ended.
    NotRecorded(u64),
    /// A request has a new owner, as the lease of the old one ended.
    Reassigned {
        /// The request.
        request_id: u64,
        /// The previous owner.
        from: Holder,
        /// The new owner.
        by: Holder,
        /// Whether this peer is the new owner.
        mine: bool,
    },
    /// A request has ended.
    Closed(u64, Outcome),
    /// The lease of some peer has ended.
    LeaseEnded(Holder),
    /// A peer asks for the result with this id (see [`crate::Ledger::result_id`]).
    ResultRequested(Peer, u64),
    /// A peer's answer: the result with this id, or `None`.
    ResultReceived(u64, Option<Vec<Vec<u8>>>),
    /// This peer takes part in the fleet with this id.
    FleetJoined(u64),
    /// The leader has changed.
    LeaderChanged(Option<Peer>),
    /// A part of the replicated state has changed.
    StateChanged(StateKind),
    /// The fleet has lost its majority and with it its state; a new one will be founded.
    FleetAbandoned(u64),
}
