//! What happens to a dispatcher.

use super::{ClassId, Endpoint, EndpointListKind, ExecutorId, Micros, Report, RequestId, TenantId};

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The executor answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run or still run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection dropped; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// What a request cost, where answers tell it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportedCost {
    /// Work of all threads, in seconds.
    pub thread_seconds: f64,
    /// Memory needed, in MB.
    pub memory_mb: f64,
}

/// Word on an attempt that is out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptProgress {
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
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Its key, for classes that keep order.
    pub key: Option<u64>,
    /// How long until the client gives up on this try.
    pub time_budget: Micros,
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
pub struct AttemptFinished {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// Where it ran.
    pub executor: ExecutorId,
    /// The request has its final answer.
    pub done: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Micros,
    /// What it cost, if told.
    pub reported_cost: Option<ReportedCost>,
    /// A load report, if one came along.
    pub report: Option<Report>,
}

/// What happens to a dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the executor list.
    EndpointList {
        /// What the entries are.
        kind: EndpointListKind,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A request arrived.
    Arrival(Arrival),
    /// A streamed answer has begun: the attempt belongs to the client.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt is over.
    AttemptFinished(AttemptFinished),
    /// Word on an attempt that is out.
    AttemptProgressed {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// Where it runs.
        executor: ExecutorId,
        /// The word.
        progress_note: AttemptProgress,
    },
    /// The client left; no answer is owed.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer is due.
    Timer {
        /// As it was set.
        token: u64,
    },
    /// Another dispatcher of the tier told something.
    Gossip {
        /// Its number.
        from: u32,
        /// What it told.
        content: String,
    },
    /// A probe is over.
    ProbeFinished {
        /// The executor.
        executor: ExecutorId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Micros,
        /// A load report, if one came along.
        report: Option<Report>,
    },
}
