//! Offset between the wall clock and the monotonic clock, including the offsets before recent steps.

use crate::api::Micros;
use std::collections::VecDeque;

/// Smallest change of the offset that counts as a step, in microseconds; smaller changes are gradual
/// corrections.
const MIN_STEP: Micros = 500_000;
/// Maximum time that another machine's wall clock may be ahead of ours, in microseconds.
const MAX_CLOCK_SKEW: Micros = 1_000_000;
/// Number of offsets kept from before the most recent steps.
const MAX_OFFSETS: usize = 8;

/// History of the offset between the wall clock and the monotonic clock.
#[derive(Debug, Clone, Default)]
pub struct WallClock {
    /// Wall clock time minus monotonic time, in microseconds: the current offset first, then those before
    /// each step.
    offsets: VecDeque<i128>,
}

impl WallClock {
    /// Records simultaneous readings of both clocks.
    pub fn observe(&mut self, now: Micros, unix: Micros) {
        let offset = i128::from(unix) - i128::from(now);
        match self.offsets.front_mut() {
            Some(last) if last.abs_diff(offset) < u128::from(MIN_STEP) => *last = offset,
            _ => {
                if !self.offsets.is_empty() {
                    tracing::warn!(by_s = (offset - self.offsets[0]) / 1_000_000, "wall clock stepped");
                }
                self.offsets.push_front(offset);
                self.offsets.truncate(MAX_OFFSETS);
            }
        }
    }

    /// Converts a wall clock time reported by another machine to monotonic time. The time may have been read
    /// before or after a step, so every remembered offset is tried and the latest result that is not in the
    /// future is used.
    pub fn to_monotonic(&self, now: Micros, unix: Micros) -> Micros {
        let latest = i128::from(now) + i128::from(MAX_CLOCK_SKEW);
        let moments = self.offsets.iter().map(|offset| i128::from(unix) - offset);
        let past = moments.filter(|moment| *moment <= latest).max();
        past.map_or(now, |moment| Micros::try_from(moment).unwrap_or(0).min(now))
    }
}
