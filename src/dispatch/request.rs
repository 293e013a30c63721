//! What a client asked, and how the decisions get it.

use crate::api::{Arrival, Event, Micros};

/// An answer has to be seen before the client leaves, also when this process or its machine stood still for a
/// moment: all ends this much before, or this part of a shorter budget.
const MARGIN: Micros = 250_000;
const MARGIN_PART: Micros = 8;

/// The largest work, in seconds, and memory, in MB, that an estimate is taken for: longer than any client waits,
/// larger than any machine.
const MOST_WORK_S: f64 = 1e6;
const MOST_MEMORY_MB: f64 = 1e9;

/// What an estimate is worth to the decisions: nothing where it is no positive number.
fn told(estimate: Option<f64>, most: f64) -> Option<f64> {
    estimate.filter(|e| e.is_finite() && *e > 0.0).map(|e| e.min(most))
}

/// One attempt of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
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
    /// The name that its client keeps over all tries (`ask`); only heeded where there are peers.
    pub ask: Option<u64>,
    /// Its class, an index.
    pub class: usize,
    /// Its tenant (`acct`), an index; `None` where none was told or the settings name no such one.
    pub tenant: Option<usize>,
    /// Its key, in classes that keep order.
    pub key: Option<u64>,
    /// How long the client waits in all, as it told.
    pub told: Micros,
    /// How long the client still waits.
    pub budget: Micros,
    /// Estimated work of all threads, in seconds.
    pub thread_seconds: Option<f64>,
    /// Estimated memory in MB.
    pub memory_mb: Option<f64>,
    /// Its group of tables.
    pub group: u64,
    /// The client says that it asked before.
    pub repeated: bool,
    /// Its client may have held it back before it sent it, and its budget is reckoned at the worst.
    pub held_back: bool,
}

/// How long a request may take here, so that its answer is seen before its client leaves.
pub(super) fn time_budget(request: &Request) -> Micros {
    request.budget.saturating_sub(MARGIN.min(request.budget / MARGIN_PART)).max(1)
}

/// A request as the decisions get it.
pub(super) fn arrival(request: &Request) -> Event {
    Event::Arrival(Arrival {
        request: request.id,
        class: request.class,
        tenant: request.tenant,
        key: request.key,
        time_budget: time_budget(request),
        estimated_thread_seconds: told(request.thread_seconds, MOST_WORK_S),
        estimated_memory_mb: told(request.memory_mb, MOST_MEMORY_MB),
        table_group: request.group,
        is_repeat: request.repeated,
        held_by_client: request.held_back,
    })
}
