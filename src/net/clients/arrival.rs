//! Arrival of a request, and the time budget that remains.

use crate::api::Micros;
use crate::arrivals::{Occurrence, RequestSpacing};

/// Arrival details of a request.
#[derive(Debug, Clone, Copy)]
pub(in crate::net) struct Arrival {
    /// When the last byte of the request arrived.
    pub(super) arrived: Occurrence,
    /// Whether it is the first request on its connection.
    pub(super) on_new_connection: bool,
    /// Timing relative to the previous request for the same key; `None` for a request without a key.
    pub(super) spacing: Option<RequestSpacing>,
}

impl Arrival {
    /// Remaining time of a budget that started when the client issued the request, in microseconds.
    pub(super) fn remaining_budget(&self, budget: Micros, now: Micros) -> Micros {
        let since_arrival = now.saturating_sub(self.arrived.earliest);
        budget.saturating_sub(since_arrival).saturating_sub(self.client_delay(budget))
    }

    /// Upper bound of the client-side delay, in microseconds.
    pub(super) fn client_delay(&self, budget: Micros) -> Micros {
        self.spacing.map_or(0, |s| s.client_delay(self.arrived, budget))
    }

    /// Upper bound of the time between the arrival of the last byte and the read, in milliseconds.
    pub(super) fn late_ms(&self) -> u64 {
        (self.arrived.latest - self.arrived.earliest) / 1_000
    }

    /// Lower bound of the time since the previous request for the same key, in milliseconds.
    pub(super) fn after_previous_ms(&self) -> Option<u64> {
        self.spacing.and_then(|s| s.since_previous).map(|t| t / 1_000)
    }

    /// Upper bound of the client-side delay, not limited by the budget, in milliseconds.
    pub(super) fn max_client_delay_ms(&self) -> Option<u64> {
        self.spacing.map(|s| (self.arrived.earliest - s.issued_at) / 1_000)
    }
}
