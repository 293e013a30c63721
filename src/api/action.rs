//! Actions: the output of the balancer, carried out by its host.

use super::{DurationUs, EndReason, ExecutorId, RequestId};

/// An action for the host, to be carried out immediately and in the order returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Set the memory grant of the request's future attempts, and the priority of its future and in-flight ones.
    SetTerms {
        /// The request.
        request: RequestId,
        /// Memory in MB; 0 leaves the amount to the executor.
        memory_mb: f64,
        /// Priority, 0 to 3.
        priority: u8,
    },
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The executor to send it to.
        executor: ExecutorId,
        /// How long to wait for the response; `None` waits until the request's deadline.
        timeout: Option<DurationUs>,
    },
    /// Cancel an attempt that is in flight.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: rejected. The client may safely retry: the request is idempotent, or no attempt of it ran.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before a retry; `None` if Retry-After is not supported.
        retry_after: Option<DurationUs>,
        /// The reason, for logs and counters.
        reason: EndReason,
    },
    /// Final answer: failed. An attempt may have run, so a retry could execute the request twice.
    Fail {
        /// The request.
        request: RequestId,
        /// The reason, for logs and counters.
        reason: EndReason,
    },
    /// Send an executor a health check, whose response carries a load report.
    Probe {
        /// The executor.
        executor: ExecutorId,
    },
    /// Subscribe to the endpoint list: changes arrive as events from now on.
    Watch,
    /// Unsubscribe from the endpoint list.
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
        /// Number of the receiving dispatcher; `None` for all.
        to: Option<u32>,
        /// The message.
        content: String,
    },
    /// Set a timer.
    SetTimer {
        /// Returned in the timer's event.
        token: u64,
        /// Time from now until the timer fires.
        after: DurationUs,
    },
    /// Write a log line.
    Log(String),
}
