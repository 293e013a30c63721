//! What happens to a gateway.

use super::{ClassId, EngineId, Entry, ListKind, Micros, QueryId, Report, TenantId};

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The engine answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run or still run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection dropped; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// What a query cost, where answers tell it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bill {
    /// Work of all threads, in seconds.
    pub work_s: f64,
    /// Memory needed, in MB.
    pub memory_mb: f64,
}

/// Word on an attempt that is out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Note {
    /// Share done, rough.
    Progress(f64),
    /// It spills; so many MB are missing.
    Spill(f64),
    /// It waits for memory or a load.
    Waits,
}

/// A request as it arrives.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The request.
    pub query: QueryId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Its key, for classes that keep order.
    pub key: Option<u64>,
    /// How long until the client gives up on this try.
    pub grace: Micros,
    /// Estimated work of all threads, in seconds.
    pub estimate_s: Option<f64>,
    /// Estimated memory in MB.
    pub memory_mb: Option<f64>,
    /// The group of tables that it reads.
    pub group: u64,
    /// The client says that it tried before.
    pub repeated: bool,
    /// Its client may have held it back before it sent it: its grace is reckoned at the worst.
    pub held_back: bool,
}

/// An attempt that is over.
#[derive(Debug, Clone, PartialEq)]
pub struct Finished {
    /// The request.
    pub query: QueryId,
    /// The attempt.
    pub attempt: u32,
    /// Where it ran.
    pub engine: EngineId,
    /// The request has its final answer.
    pub done: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Micros,
    /// What it cost, if told.
    pub bill: Option<Bill>,
    /// A load report, if one came along.
    pub report: Option<Report>,
}

/// What happens to a gateway.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the engine list.
    List {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A request arrived.
    Arrival(Arrival),
    /// A streamed answer has begun: the attempt belongs to the client.
    FirstByte {
        /// The request.
        query: QueryId,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt is over.
    Finished(Finished),
    /// Word on an attempt that is out.
    Noted {
        /// The request.
        query: QueryId,
        /// The attempt.
        attempt: u32,
        /// Where it runs.
        engine: EngineId,
        /// The word.
        note: Note,
    },
    /// The client left; no answer is owed.
    HungUp {
        /// The request.
        query: QueryId,
    },
    /// A timer is due.
    Timer {
        /// As it was set.
        token: u64,
    },
    /// Another gateway of the tier told something.
    Told {
        /// Its number.
        from: u32,
        /// What it told.
        content: String,
    },
    /// A probe is over.
    Probed {
        /// The engine.
        engine: EngineId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Micros,
        /// A load report, if one came along.
        report: Option<Report>,
    },
}
