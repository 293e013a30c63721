//! How a request came, and what that leaves of its budget.

use crate::api::Micros;
use crate::arrivals::{Occurrence, Spaced};

/// How a request came.
#[derive(Debug, Clone, Copy)]
pub(in crate::net) struct Arrival {
    /// When its last byte came.
    pub(super) came: Occurrence,
    /// Whether it is the first request on its connection.
    pub(super) on_new_connection: bool,
    /// What the one before of its key tells; `None` without a key.
    pub(super) spaced: Option<Spaced>,
}

impl Arrival {
    /// What is left of a budget that its client has waited on since it wanted to send the request.
    pub(super) fn remaining_budget(&self, budget: Micros, now: Micros) -> Micros {
        let here = now.saturating_sub(self.came.earliest);
        budget.saturating_sub(here).saturating_sub(self.held_back(budget))
    }

    /// How long its client may have held it back.
    pub(super) fn held_back(&self, budget: Micros) -> Micros {
        self.spaced.map_or(0, |s| s.held_back(self.came, budget))
    }

    /// How much later it was read than its last byte may have come, in milliseconds.
    pub(super) fn late_ms(&self) -> u64 {
        (self.came.latest - self.came.earliest) / 1_000
    }

    /// How long after the one before of its key it came, at least.
    pub(super) fn after_previous_ms(&self) -> Option<u64> {
        self.spaced.and_then(|s| s.after_previous).map(|t| t / 1_000)
    }

    /// The same without regard to its budget, in milliseconds.
    pub(super) fn maybe_held_back_ms(&self) -> Option<u64> {
        self.spaced.map(|s| (self.came.earliest - s.wanted_since) / 1_000)
    }
}
