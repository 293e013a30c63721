//! What the balancer decides: the actions that its host carries out.

use super::{DurationUs, EndReason, ExecutorId, RequestId};

/// What a dispatcher is to do, at once and in the order in which the actions come.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Set the memory grant of the request's next attempts, and the priority of these and of those in flight.
    SetTerms {
        /// The request.
        request: RequestId,
        /// Memory in MB; 0 leaves it to the executor.
        memory_mb: f64,
        /// Priority, 0 to 3.
        priority: u8,
    },
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The executor that it goes to.
        executor: ExecutorId,
        /// How long to wait for its answer; `None` until the client gives up.
        timeout: Option<DurationUs>,
    },
    /// Cancel an attempt that is in flight.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: rejected. A repeat is harmless: the request is idempotent, or no attempt of it ran.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it repeats the request; `None` where no advice is passed on.
        retry_after: Option<DurationUs>,
        /// Why, for the log.
        reason: EndReason,
    },
    /// Final answer: failed. An attempt may have run, so that a repeat may run it twice.
    Fail {
        /// The request.
        request: RequestId,
        /// Why, for the log.
        reason: EndReason,
    },
    /// Send an executor a health check, which brings its load report.
    Probe {
        /// The executor.
        executor: ExecutorId,
    },
    /// Watch the endpoint list: its changes come as events from now on.
    Watch,
    /// Stop watching the endpoint list.
    Unwatch,
    /// Fetch the complete endpoint list once.
    FetchEndpointList,
    /// Close idle connections to an executor.
    CloseIdle {
        /// The executor.
        executor: ExecutorId,
    },
    /// Send gossip to one dispatcher of the tier, or to all.
    Gossip {
        /// Its number; `None` for all.
        to: Option<u32>,
        /// The message.
        content: String,
    },
    /// Set a timer.
    SetTimer {
        /// Comes back with the timer's event.
        token: u64,
        /// Time from now until it is due.
        after: DurationUs,
    },
    /// A line for the log.
    Log(String),
}
