//! How a request came, and what that leaves of its budget.

use crate::api::Micros;
use crate::arrivals::{Occurrence, RequestSpacing};

/// How a request came.
#[derive(Debug, Clone, Copy)]
pub(in crate::net) struct Arrival {
    /// When its last byte arrived.
    pub(super) arrived: Occurrence,
    /// Whether it is the first request on its connection.
    pub(super) on_new_connection: bool,
    /// What follows from the spacing to the previous request of its key; `None` without a key.
    pub(super) spacing: Option<RequestSpacing>,
}

impl Arrival {
    /// What is left of a budget that has run since the client wanted to send the request, in microseconds.
    pub(super) fn remaining_budget(&self, budget: Micros, now: Micros) -> Micros {
        let here = now.saturating_sub(self.arrived.earliest);
        budget.saturating_sub(here).saturating_sub(self.held_back(budget))
    }

    /// The longest span for which its client may have held it back, in microseconds.
    pub(super) fn held_back(&self, budget: Micros) -> Micros {
        self.spacing.map_or(0, |s| s.held_back(self.arrived, budget))
    }

    /// How much later it was read than its last byte may have arrived, in milliseconds.
    pub(super) fn late_ms(&self) -> u64 {
        (self.arrived.latest - self.arrived.earliest) / 1_000
    }

    /// The shortest possible span since the previous request of its key, in milliseconds.
    pub(super) fn after_previous_ms(&self) -> Option<u64> {
        self.spacing.and_then(|s| s.since_previous).map(|t| t / 1_000)
    }

    /// How long its client may have held it back whatever its budget, in milliseconds.
    pub(super) fn maybe_held_back_ms(&self) -> Option<u64> {
        self.spacing.map(|s| (self.arrived.earliest - s.wanted_at) / 1_000)
    }
}
