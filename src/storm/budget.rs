//! Token bucket for admitted requests, and the retry budget within it.

use super::{BURST_S, Storm};
use crate::api::Micros;

/// The window in which retries are counted against all admitted requests.
pub(super) const WINDOW: Micros = 5_000_000;
/// Retries admitted per window regardless of the number of other requests.
pub(super) const FREE_REPEATS: u64 = 5;

/// Maximum number of admitted requests kept for the window; beyond that the oldest are dropped.
const MAX_ADMITTED: usize = 16_384;

impl Storm {
    pub(super) fn refill(&mut self, now: Micros) {
        let span = now.saturating_sub(std::mem::replace(&mut self.tokens_at, now)) as f64 / 1e6;
        let rate = self.admission_rate(now);
        // A minimum rate is always admitted, as otherwise the return of executors would never be noticed.
        let rate = rate.max(2.0);
        self.tokens = (self.tokens + span.min(BURST_S) * rate).min((rate * BURST_S).max(1.0));
    }

    pub(super) fn record_admitted(&mut self, now: Micros, repeat: bool) {
        self.admitted.push_back((now, repeat));
        self.repeats += u64::from(repeat);
        self.counters.repeats += u64::from(repeat);
        self.forget(now);
    }

    fn forget(&mut self, now: Micros) {
        while let Some((at, repeat)) = self.admitted.front().copied() {
            if at + WINDOW > now && self.admitted.len() <= MAX_ADMITTED {
                break;
            }
            self.admitted.pop_front();
            self.repeats -= u64::from(repeat);
        }
    }

    pub(super) fn repeat_allowed(&mut self, now: Micros) -> bool {
        self.forget(now);
        let all = self.admitted.len() as f64 + 1.0;
        self.repeats < FREE_REPEATS || (self.repeats + 1) as f64 <= self.terms.repeats * all
    }
}
