//! What a fleet is told, and what it tells.

use crate::agreed::StateKind;
use crate::ledger::{End, Limits};
use crate::{Holder, Micros, Peer};

/// What a fleet is told at its start; the times are alike at all peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetConfig {
    /// Which peer this is.
    pub me: Peer,
    /// All peers, this one included.
    pub peers: Vec<Peer>,
    /// How long a lease lasts without a renewal.
    pub lease: Micros,
    /// How much longer others wait before they say that it is over.
    pub margin: Micros,
    /// The log's tick: its leader is heard once a tick.
    pub tick: Micros,
    /// How long what need not be agreed first may wait to go together with more.
    pub batch: Micros,
    /// Without a leader for this long, a fleet whose majority has started anew is given up.
    pub give_up: Micros,
    /// What bounds the record.
    pub limits: Limits,
}

/// What a fleet tells.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetEvent {
    /// This peer has a lease.
    Held(Holder),
    /// The lease is over: all that this peer owned is no longer its own.
    Lost(Holder),
    /// It owns this request from now on, as it asked to.
    Opened(u64),
    /// The request is on record already.
    Taken(u64),
    /// There is no room on record, or no lease: it is not on record.
    Unrecorded(u64),
    /// The owner of a request was lost; who owns it now.
    Claimed {
        /// The request.
        ask: u64,
        /// Who owned it.
        from: Holder,
        /// Who does now.
        by: Holder,
        /// It is this peer.
        mine: bool,
    },
    /// A request is over.
    Closed(u64, End),
    /// A peer's lease is over.
    Ended(Holder),
    /// A peer wants the result of a request.
    Fetch(Peer, u64),
    /// A peer has the result of a request, or none.
    Result(u64, Option<Vec<Vec<u8>>>),
    /// It takes part in this fleet.
    Joined(u64),
    /// Another leads now.
    Leader(Option<Peer>),
    /// A part of the fleet's state has changed as a whole.
    Changed(StateKind),
    /// The fleet has lost its majority, and with it its record; it is founded anew.
    GivenUp(u64),
}
