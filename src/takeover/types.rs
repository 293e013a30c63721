//! What goes in and out of work in hand, and what is kept of each request.

use crate::api::Micros;
use fleet::Peer;
use fleet::ledger::Record;
use std::collections::{BTreeSet, VecDeque};

/// The pages of a result.
pub type Pages = Vec<Vec<u8>>;

/// What bounds it, besides the fleet's own terms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The longest statement kept on record, in bytes: a longer one is not sent again by another.
    pub statement: usize,
    /// The largest result of what must not run twice that is kept for tries that come back, in bytes.
    pub result: usize,
    /// Requests of lost peers in hand, and results that wait for their clients, each at most.
    pub adopted: usize,
    /// Most attempts for a request, by all dispatchers together.
    pub attempts: usize,
    /// What a refusal for want of a lease tells a client to wait, in milliseconds.
    pub backoff_ms: u64,
    /// How often the result of a request that another has in hand is asked for.
    pub fetch: Micros,
}

/// A request as it arrives, as far as it matters here.
#[derive(Debug, Clone, PartialEq)]
pub struct Try {
    /// The name that its client keeps over all tries, where it has one.
    pub ask: Option<u64>,
    /// Its client says that it asked before.
    pub again: bool,
    /// What would be on record of it.
    pub record: Record,
}

/// A final answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The result.
    Served(Pages),
    /// Trying again is harmless, after so many milliseconds.
    Refused(u64),
    /// Failed; it may have run.
    Failed,
}

/// What to do with a request that arrives.
#[derive(Debug, Clone, PartialEq)]
pub enum Gate {
    /// It goes to the decisions.
    Go,
    /// It waits; a [`Move`] says how it goes on.
    Hold,
    /// It has its answer.
    Answer(Reply),
}

/// What is to be done, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Move {
    /// A request that waited goes to the decisions.
    Admit(u64),
    /// A request that waited has its answer.
    Answer(u64, Reply),
    /// A request of a lost peer goes to the decisions, with no client here.
    Adopt(Record),
    /// The right to act on this request is lost: what is out of it is called off, and its client told.
    LetGo(u64),
}

/// What became of a request whose client had left, once none of its attempts is out.
#[derive(Debug, Clone, PartialEq)]
pub enum Past {
    /// It was served.
    Served(Pages),
    /// It never ran.
    NeverRan,
    /// It may have run.
    MayHaveRan,
}

#[derive(Debug, Clone, PartialEq)]
pub(super) enum Stage {
    /// The record is asked to be opened for the first that waits.
    Opening,
    /// In the hands of the decisions here.
    Mine {
        rid: u64,
        repeats: bool,
        /// No client here has it.
        adopted: bool,
        /// The lease that it was taken under is over.
        fenced: bool,
    },
    /// Served with no client here, and kept until one comes.
    Parked { pages: Pages, until: Micros },
    /// In another's hands.
    Theirs { fetch_at: Micros },
}

#[derive(Debug, Clone, PartialEq)]
pub(super) struct Waiting {
    pub(super) rid: u64,
    pub(super) attempt: Try,
}

#[derive(Debug, Clone, PartialEq)]
pub(super) struct Local {
    pub(super) stage: Stage,
    /// Tries of it that wait here.
    pub(super) waiting: VecDeque<Waiting>,
    /// Peers that want its result.
    pub(super) wanted: BTreeSet<Peer>,
}

/// Counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests that were put on record.
    pub recorded: u64,
    /// Requests that could not be.
    pub unrecorded: u64,
    /// Requests of lost peers that went to this one.
    pub claimed: u64,
    /// Of these, sent again.
    pub adopted: u64,
    /// Tries that found their ask on record.
    pub joined: u64,
    /// Of these, answered from it or by another dispatcher.
    pub answered: u64,
    /// Requests given up with a lease.
    pub let_go: u64,
    /// Tries of one ask that ran here and elsewhere, as the second came before the first was on record.
    pub overlaps: u64,
}
