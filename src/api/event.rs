//! Events: the input of the balancer, reported by its host.

use super::{ClassId, DurationUs, Endpoint, EndpointListKind, ExecutorId, Report, RequestId, TenantId};

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Succeeded.
    Ok,
    /// The executor returned an error. It may have run.
    Error,
    /// The executor rejected it without running it.
    Rejected,
    /// No response in time. It may have run, or may still be running.
    Timeout,
    /// The connection could not be established. It never ran.
    ConnectFailed,
    /// The connection was reset. It may have run.
    Reset,
    /// Cancelled by the dispatcher. It may have run.
    Cancelled,
    /// Never sent, for a reason that is unrelated to the executor.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// The cost of a request, as reported in the executor's response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportedCost {
    /// Work in thread-seconds.
    pub thread_seconds: f64,
    /// Peak memory in MB.
    pub memory_mb: f64,
}

/// A progress message about an attempt in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptProgress {
    /// Approximate fraction completed, 0 to 1.
    Progress(f64),
    /// Spilling to disk for lack of this much memory, in MB.
    Spill(f64),
    /// Waiting for memory, or for a load of its table group.
    Waits,
}

/// A request that arrived.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// The ordering key, for classes that keep the order of requests with the same key.
    pub key: Option<u64>,
    /// Time from now until the client gives up.
    pub time_budget: DurationUs,
    /// Estimated cost in thread-seconds.
    pub estimated_thread_seconds: Option<f64>,
    /// Estimated memory in MB.
    pub estimated_memory_mb: Option<f64>,
    /// The table group that it reads.
    pub table_group: u64,
    /// Whether the client marked it as a retry.
    pub is_client_retry: bool,
    /// Whether the client may have delayed sending it, in which case `time_budget` is a lower bound.
    pub held_by_client: bool,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptFinished {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// The executor that it was sent to.
    pub executor: ExecutorId,
    /// Whether the request already has its final answer.
    pub request_done: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from sending to the outcome.
    pub latency: DurationUs,
    /// Its cost, if the response reports one.
    pub reported_cost: Option<ReportedCost>,
    /// The executor's load report, if the response carried one.
    pub report: Option<Report>,
}

/// An event for a dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list, or an update of it.
    EndpointList {
        /// How the entries relate to the known list.
        kind: EndpointListKind,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A request arrived.
    Arrival(Arrival),
    /// A streamed response started: the attempt is neither cancelled nor retried from now on.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt finished.
    AttemptFinished(AttemptFinished),
    /// An attempt in flight sent a progress message.
    AttemptProgressed {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// The executor that runs it.
        executor: ExecutorId,
        /// The message.
        progress: AttemptProgress,
    },
    /// The client disconnected, so no answer can be delivered.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer fired.
    Timer {
        /// The token that it was set with.
        token: u64,
    },
    /// Gossip from another dispatcher of the tier.
    Gossip {
        /// Number of the sending dispatcher.
        from: u32,
        /// The message.
        content: String,
    },
    /// A connection to an executor could not be established, and no attempt or probe waited for it any more.
    ConnectFailed {
        /// The executor.
        executor: ExecutorId,
    },
    /// A probe finished.
    ProbeFinished {
        /// The executor.
        executor: ExecutorId,
        /// How it ended.
        outcome: Outcome,
        /// Time from sending to the outcome.
        latency: DurationUs,
        /// The executor's load report, if the response carried one.
        report: Option<Report>,
    },
}
