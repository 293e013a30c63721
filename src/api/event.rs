//! The events that the host hands to the balancer.

use super::{ClassId, DurationUs, Endpoint, EndpointListKind, ExecutorId, Report, RequestId, TenantId};

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The executor answered with an error; it may have run.
    Error,
    /// The executor rejected it without running it.
    Rejected,
    /// No answer in time; it may have run or still run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection dropped; it may have run.
    Reset,
    /// It was cancelled; it may have run.
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

/// What a request cost, as its answer reports it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportedCost {
    /// Cost in thread-seconds.
    pub thread_seconds: f64,
    /// Memory needed, in MB.
    pub memory_mb: f64,
}

/// A message of an attempt that is in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptProgress {
    /// Fraction done, 0 to 1, a rough figure.
    Progress(f64),
    /// It spills to disk, as so many MB of memory are missing.
    Spill(f64),
    /// It waits for memory, or for a load of its table group.
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
    /// Its key, for classes whose requests run in the order of their key.
    pub key: Option<u64>,
    /// Time from now until the client gives up on this request.
    pub time_budget: DurationUs,
    /// Estimated cost, in thread-seconds.
    pub estimated_thread_seconds: Option<f64>,
    /// Estimated memory in MB.
    pub estimated_memory_mb: Option<f64>,
    /// The group of tables that it reads.
    pub table_group: u64,
    /// The client says that it has sent the request before.
    pub is_repeat: bool,
    /// Its client may have held it back before it sent it, so that `time_budget` is the least it can be.
    pub held_by_client: bool,
}

/// An attempt that is over.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptFinished {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// The executor that it was sent to.
    pub executor: ExecutorId,
    /// The request has its final answer.
    pub request_done: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: DurationUs,
    /// What it cost, if the answer reports it.
    pub reported_cost: Option<ReportedCost>,
    /// A load report, if one came along.
    pub report: Option<Report>,
}

/// Something that happened to a dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list, or a change of it.
    EndpointList {
        /// What the entries are.
        kind: EndpointListKind,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A request arrived.
    Arrival(Arrival),
    /// A streamed answer has begun: its attempt is neither cancelled nor repeated from now on.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt is over.
    AttemptFinished(AttemptFinished),
    /// An attempt in flight has sent a message.
    AttemptProgressed {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// Where it runs.
        executor: ExecutorId,
        /// The message.
        progress_note: AttemptProgress,
    },
    /// The client has disconnected and gets no answer.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer is due.
    Timer {
        /// As it was set.
        token: u64,
    },
    /// Gossip of another dispatcher of the tier.
    Gossip {
        /// Its number.
        from: u32,
        /// The message.
        content: String,
    },
    /// A probe is over.
    ProbeFinished {
        /// The executor.
        executor: ExecutorId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: DurationUs,
        /// A load report, if one came along.
        report: Option<Report>,
    },
}
