//! Token buckets.

use crate::api::Micros;

/// Fills at `rate` up to a burst, both in the unit of what is taken.
#[derive(Debug, Clone, Default)]
pub(crate) struct TokenBucket {
    /// Tokens there are; below 0 it is in debt.
    pub(crate) level: f64,
    /// Tokens a second.
    pub(crate) rate: f64,
    /// The most tokens there may be.
    pub(crate) burst: f64,
    /// When it was filled last.
    pub(crate) updated_at: Micros,
}

impl TokenBucket {
    /// Fills up to `most` tokens, at its rate since the last time.
    pub(crate) fn refill(&mut self, now: Micros, most: f64) {
        let seconds = now.saturating_sub(self.updated_at) as f64 / 1e6;
        self.level = (self.level + self.rate * seconds).min(most);
        self.updated_at = now;
    }

    /// Fills up to `most` tokens, at `rate` since the last time and from now on.
    pub(crate) fn fill(&mut self, now: Micros, rate: f64, most: f64) {
        self.rate = rate;
        self.refill(now, most);
    }
}
