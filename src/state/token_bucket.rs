//! Token buckets.

use crate::api::Micros;

/// A token bucket; rate and burst are in the unit of the tokens taken.
#[derive(Debug, Clone, Default)]
pub(crate) struct TokenBucket {
    /// Available tokens; negative if the bucket is in debt.
    pub(crate) level: f64,
    /// Tokens per second.
    pub(crate) rate: f64,
    /// Maximum number of tokens.
    pub(crate) burst: f64,
    /// When it was last refilled.
    pub(crate) updated_at: Micros,
}

impl TokenBucket {
    /// Refills at the bucket's rate for the time since the last refill, up to `limit` tokens.
    pub(crate) fn refill(&mut self, now: Micros, limit: f64) {
        let seconds = now.saturating_sub(self.updated_at) as f64 / 1e6;
        self.level = (self.level + self.rate * seconds).min(limit);
        self.updated_at = now;
    }

    /// Sets the rate, then refills at it for the time since the last refill, up to `limit` tokens.
    pub(crate) fn refill_at_rate(&mut self, now: Micros, rate: f64, limit: f64) {
        self.rate = rate;
        self.refill(now, limit);
    }
}
