//! The retry budget: limits retries in a sliding window in proportion to arrivals.

use crate::api::{DurationUs, RetryBudget, TimestampUs};
use crate::state::Balancer;
use std::collections::VecDeque;

/// Window of the default retry budget.
const DEFAULT_WINDOW_US: DurationUs = 10_000_000;

/// The retry budget if the settings contain none. Without a budget, overloaded executors look unresponsive,
/// and the resulting retries make the overload worse.
const DEFAULT_RETRY_BUDGET: RetryBudget =
    RetryBudget { base_retries: 3.0, retries_per_request: 0.25, window: DEFAULT_WINDOW_US, send_delay: 0 };

/// Counts arrivals and retries, including hedged requests, in a sliding window.
#[derive(Debug, Default)]
pub(crate) struct RetryLimiter {
    /// Times of arrivals, oldest first.
    arrival_history: VecDeque<TimestampUs>,
    /// Times at which retries were sent, oldest first.
    retry_history: VecDeque<TimestampUs>,
    /// Number of retries that are reserved and not sent yet.
    reserved_retries: usize,
}

impl RetryLimiter {
    /// Counts an arrival.
    pub(super) fn record_arrival(&mut self, now: TimestampUs) {
        self.arrival_history.push_back(now);
    }

    /// Counts a retry.
    pub(super) fn record_retry(&mut self, now: TimestampUs) {
        self.retry_history.push_back(now);
    }

    /// Reserves a retry that is about to be sent, so that no other one takes its place in the budget.
    pub(super) fn reserve_retry(&mut self) {
        self.reserved_retries += 1;
    }

    /// Ends the reservation of a retry: it is sent now, or will not be.
    pub(super) fn release_retry(&mut self) {
        self.reserved_retries = self.reserved_retries.saturating_sub(1);
    }

    /// Whether the budget allows another retry now.
    pub(super) fn allows_retry(&mut self, now: TimestampUs, budget: &RetryBudget) -> bool {
        self.remove_expired(now, budget);
        let retries = (self.retry_history.len() + self.reserved_retries + 1) as f64;
        retries <= budget.base_retries + budget.retries_per_request * self.arrival_history.len() as f64
    }

    /// Removes entries that have left the window. The boundaries are conservative: at the window's edge a
    /// retry counts and an arrival does not, and either may reach its executor up to `send_delay` after it
    /// was recorded.
    pub(super) fn remove_expired(&mut self, now: TimestampUs, budget: &RetryBudget) {
        self.retry_history.retain(|sent_at| sent_at + budget.window + budget.send_delay >= now);
        self.arrival_history.retain(|arrived_at| arrived_at + budget.window > now + budget.send_delay);
    }
}

impl Balancer {
    fn retry_budget(&self) -> RetryBudget {
        self.settings.retry_budget.unwrap_or(DEFAULT_RETRY_BUDGET)
    }

    /// Whether the retry budget allows another retry now.
    pub(super) fn retry_budget_allows(&mut self) -> bool {
        let budget = self.retry_budget();
        self.retry_limiter.allows_retry(self.now, &budget)
    }

    /// Removes entries that have left the window of the retry budget.
    pub(super) fn trim_retry_history(&mut self) {
        let budget = self.retry_budget();
        self.retry_limiter.remove_expired(self.now, &budget);
    }
}
