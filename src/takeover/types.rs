//! Inputs and outputs of the takeover module, and the state kept for each request.

use crate::api::Micros;
use fleet::Peer;
use fleet::ledger::Record;
use std::collections::{BTreeSet, VecDeque};

/// The pages of a result.
pub type Pages = Vec<Vec<u8>>;

/// Limits, besides those of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The longest statement that is recorded, in bytes. A request with a longer one is not sent again by another peer.
    pub statement: usize,
    /// The largest result of a non-idempotent request that is recorded for later tries, in bytes.
    pub result: usize,
    /// Maximum number of requests taken over from lost peers, counting parked results.
    pub adopted: usize,
    /// Maximum number of attempts of a request, over all dispatchers.
    pub attempts: usize,
    /// Wait that a client is told when it is refused for lack of a lease, in milliseconds.
    pub backoff_ms: u64,
    /// Interval at which the result of a request owned by another peer is requested.
    pub fetch: Micros,
}

/// An arriving try of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Try {
    /// The id that its client keeps over all tries, if it sends one.
    pub ask: Option<u64>,
    /// Its client says that this is a retry.
    pub again: bool,
    /// The record that would be opened for it.
    pub record: Record,
}

/// A final answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The result.
    Served(Pages),
    /// It did not run; the client may retry after this many milliseconds.
    Refused(u64),
    /// Failed; it may have run.
    Failed,
}

/// What to do with an arriving request.
#[derive(Debug, Clone, PartialEq)]
pub enum Gate {
    /// Pass it to the balancer.
    Go,
    /// Hold it until a [`TakeoverAction`] says how it continues.
    Hold,
    /// Answer it at once.
    Answer(Reply),
}

/// An action for the host.
#[derive(Debug, Clone, PartialEq)]
pub enum TakeoverAction {
    /// Pass a held request to the balancer.
    Admit(u64),
    /// Answer a held request.
    Answer(u64, Reply),
    /// Pass a request of a lost peer to the balancer; it has no client here.
    Adopt(Record),
    /// This dispatcher no longer owns the request: cancel its attempts and tell its client.
    LetGo(u64),
}

/// Outcome of a request whose client had disconnected, once none of its attempts is in flight.
#[derive(Debug, Clone, PartialEq)]
pub enum AbandonedOutcome {
    /// It was served.
    Served(Pages),
    /// It never ran.
    NeverRan,
    /// It may have run.
    MayHaveRan,
}

#[derive(Debug, Clone, PartialEq)]
pub(super) enum Stage {
    /// A record has been proposed for the first waiting try.
    Opening,
    /// Owned by this dispatcher's balancer.
    Mine {
        rid: u64,
        repeats: bool,
        /// Taken over from a lost peer, with no client here.
        adopted: bool,
        /// The lease under which it was recorded has ended.
        fenced: bool,
    },
    /// Served without a client here; the result is kept until the client retries.
    Parked { pages: Pages, until: Micros },
    /// Owned by another peer.
    Theirs { fetch_at: Micros },
}

#[derive(Debug, Clone, PartialEq)]
pub(super) struct Waiting {
    pub(super) rid: u64,
    pub(super) attempt: Try,
}

/// A request that this dispatcher owns, or whose tries wait here.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Local {
    pub(super) stage: Stage,
    /// The record of this request, which tells it from another with the same id; its attempt is that for which the
    /// record was last proposed. Has no statement if it has a digest.
    pub(super) record: Record,
    /// Whether its client keeps the id over its tries, so that another try can belong to this request.
    pub(super) has_ask: bool,
    /// Tries that wait here for the outcome.
    pub(super) waiting: VecDeque<Waiting>,
    /// Peers that requested its result, and by which id.
    pub(super) wanted: BTreeSet<(Peer, u64)>,
}

/// Counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests recorded.
    pub recorded: u64,
    /// Requests that could not be recorded.
    pub unrecorded: u64,
    /// Requests of lost peers reassigned to this one.
    pub claimed: u64,
    /// Of these, the ones sent again.
    pub adopted: u64,
    /// Tries whose ask was recorded already.
    pub joined: u64,
    /// Of these, the ones answered from the record or by another dispatcher.
    pub answered: u64,
    /// Requests given up when a lease was lost.
    pub let_go: u64,
    /// Tries of one ask that ran both here and elsewhere, because the second arrived before the first was recorded.
    pub overlaps: u64,
    /// Tries whose ask was in use by another request.
    pub conflicts: u64,
}

impl Local {
    pub(super) fn new(stage: Stage, record: &Record, has_ask: bool) -> Local {
        let statement = record.statement.clone().filter(|_| record.digest.is_none());
        let record = Record { statement, executors_tried: Vec::new(), ..*record };
        Local { stage, record, has_ask, waiting: VecDeque::new(), wanted: BTreeSet::new() }
    }
}
