//! Guards: the retry budget, and the order of requests that share a key.

use super::*;

impl Balancer {
    /// The attempt budget, counted as the rule does, with the present one included.
    pub(super) fn budget_allows(&mut self) -> bool {
        let b = self.s.budget.unwrap_or(OWN_BUDGET);
        // Sends on the window's edge count, requests on it do not; sends may arrive later than decided.
        self.further.retain(|t| t + b.span + b.slack >= self.now);
        self.taken.retain(|t| t + b.span > self.now + b.slack);
        (self.further.len() + 1) as f64 <= b.free + b.ratio * self.taken.len() as f64
    }

    /// Order: first in line for its key, which has rested.
    pub(super) fn has_turn(&self, id: RequestId) -> bool {
        let q = &self.requests[&id];
        let Some(line) = q.key.map(|k| &self.keys[&k]) else { return true };
        line.waiting.front() == Some(&id) && (!q.attempts.is_empty() || self.now >= line.rest_until)
    }
}
