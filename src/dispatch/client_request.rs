//! Requests as clients send them, and ids of attempts.

use crate::api::{Arrival, Event, Micros};

/// Time between a request's end here and the client's timeout, in microseconds, so that the client still receives the
/// answer if this process or its machine pauses briefly. For short budgets the divisor below applies instead.
const ANSWER_MARGIN: Micros = 250_000;
/// Divisor of the time budget that gives the maximum margin for short budgets.
const ANSWER_MARGIN_FRACTION: Micros = 8;

/// Upper bound of a work estimate in thread-seconds; longer than any client waits.
const MAX_THREAD_SECONDS: f64 = 1e6;
/// Upper bound of a memory estimate in MB; larger than any machine.
const MAX_MEMORY_MB: f64 = 1e9;

/// Limits an estimate to `max`; `None` if it is not a positive finite number.
fn sanitize_estimate(estimate: Option<f64>, max: f64) -> Option<f64> {
    estimate.filter(|value| value.is_finite() && *value > 0.0).map(|value| value.min(max))
}

/// Identifies an attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: u64,
    /// Number of the attempt, starting at 0.
    pub attempt: u32,
}

/// A request as its client sent it.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its id; never reused.
    pub id: u64,
    /// The id that the client keeps across its retries (`ask` on the wire); used only if peers are configured.
    pub client_request_id: Option<u64>,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant (`acct` on the wire); `None` if the client named none or one that is not configured.
    pub tenant: Option<usize>,
    /// Its key, in classes that keep order.
    pub key: Option<u64>,
    /// Total time that the client waits, as stated by it, in microseconds.
    pub client_timeout: Micros,
    /// Remaining time that the client waits, in microseconds.
    pub time_budget: Micros,
    /// Estimated work in thread-seconds.
    pub estimated_thread_seconds: Option<f64>,
    /// Estimated memory in MB.
    pub estimated_memory_mb: Option<f64>,
    /// Its table group.
    pub table_group: u64,
    /// Whether the client marked it as a retry.
    pub is_client_retry: bool,
    /// Whether the client may have delayed sending it; its time budget then assumes the maximum delay.
    pub held_by_client: bool,
}

/// Time within which a request must end here so that its client receives the answer, in microseconds.
pub(super) fn dispatch_time_budget(request: &Request) -> Micros {
    let margin = ANSWER_MARGIN.min(request.time_budget / ANSWER_MARGIN_FRACTION);
    request.time_budget.saturating_sub(margin).max(1)
}

/// The arrival event of a request for the balancer.
pub(super) fn arrival(request: &Request) -> Event {
    Event::Arrival(Arrival {
        request: request.id,
        class: request.class,
        tenant: request.tenant,
        key: request.key,
        time_budget: dispatch_time_budget(request),
        estimated_thread_seconds: sanitize_estimate(request.estimated_thread_seconds, MAX_THREAD_SECONDS),
        estimated_memory_mb: sanitize_estimate(request.estimated_memory_mb, MAX_MEMORY_MB),
        table_group: request.table_group,
        is_client_retry: request.is_client_retry,
        held_by_client: request.held_by_client,
    })
}
