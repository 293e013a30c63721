//! What a dispatcher wants done.

use super::{EndReason, ExecutorId, Micros, RequestId};

/// What a dispatcher wants done, in this order and at once.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Set memory and priority for the request's further sends; the priority also for what is out.
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
        /// Where to.
        executor: ExecutorId,
        /// Its time-out; `None` until the client gives up.
        timeout: Option<Micros>,
    },
    /// Call an attempt off.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: turned away, trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When to come back.
        retry_after: Option<Micros>,
        /// Why, for the log.
        reason: EndReason,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        request: RequestId,
        /// Why, for the log.
        reason: EndReason,
    },
    /// Probe an executor.
    Probe {
        /// The executor.
        executor: ExecutorId,
    },
    /// Ask for the changes of the executor list from now on.
    Watch,
    /// Stop hearing of changes.
    Unwatch,
    /// Ask for the whole executor list once.
    FetchEndpointList,
    /// Close idle connections to an executor.
    CloseIdle {
        /// The executor.
        executor: ExecutorId,
    },
    /// Tell one dispatcher of the tier something, or all of them.
    Gossip {
        /// Its number; `None` for all.
        to: Option<u32>,
        /// What is told.
        content: String,
    },
    /// Set a timer.
    SetTimer {
        /// Comes back with the timer.
        token: u64,
        /// From now.
        after: Micros,
    },
    /// A line for the log.
    Log(String),
}
