//! A request as its client sent it, and an attempt's id.

use crate::api::{Arrival, Event, Micros};

/// The client has to see the answer before it gives up, also when this process or its machine pauses for a moment: a
/// request ends this much earlier, in microseconds, or by this fraction of a shorter budget.
const ANSWER_MARGIN: Micros = 250_000;
const ANSWER_MARGIN_FRACTION: Micros = 8;

/// The largest work, in thread seconds, and memory, in MB, that an estimate counts for: longer than any client waits,
/// larger than any machine.
const MAX_THREAD_SECONDS: f64 = 1e6;
const MAX_MEMORY_MB: f64 = 1e9;

/// An estimate as the decisions use it: none where it is no positive number.
fn bounded(estimate: Option<f64>, max: f64) -> Option<f64> {
    estimate.filter(|value| value.is_finite() && *value > 0.0).map(|value| value.min(max))
}

/// One attempt of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: u64,
    /// The attempt, from 0.
    pub attempt: u32,
}

/// A request as a client sent it.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its id, never used twice.
    pub id: u64,
    /// The id that its client keeps over all its retries (`ask`); used only where there are peers.
    pub ask: Option<u64>,
    /// Its class, an index.
    pub class: usize,
    /// Its tenant (`acct`), an index; `None` where the client named none or the settings have no such one.
    pub tenant: Option<usize>,
    /// Its key, in classes that keep order.
    pub key: Option<u64>,
    /// The span that the client waits in all, in microseconds, as it stated.
    pub client_wait: Micros,
    /// The span that the client still waits, in microseconds.
    pub budget: Micros,
    /// Estimated work of all threads, in seconds.
    pub thread_seconds: Option<f64>,
    /// Estimated memory in MB.
    pub memory_mb: Option<f64>,
    /// Its group of tables.
    pub group: u64,
    /// Whether the client says that it is a retry.
    pub repeated: bool,
    /// Whether its client may have held it back before it sent it; its budget is computed for the worst case.
    pub held_back: bool,
}

/// The span within which a request has to end here, in microseconds, so that its client sees the answer.
pub(super) fn time_budget(request: &Request) -> Micros {
    let margin = ANSWER_MARGIN.min(request.budget / ANSWER_MARGIN_FRACTION);
    request.budget.saturating_sub(margin).max(1)
}

/// A request as the decisions get it.
pub(super) fn arrival(request: &Request) -> Event {
    Event::Arrival(Arrival {
        request: request.id,
        class: request.class,
        tenant: request.tenant,
        key: request.key,
        time_budget: time_budget(request),
        estimated_thread_seconds: bounded(request.thread_seconds, MAX_THREAD_SECONDS),
        estimated_memory_mb: bounded(request.memory_mb, MAX_MEMORY_MB),
        table_group: request.group,
        is_repeat: request.repeated,
        held_by_client: request.held_back,
    })
}
