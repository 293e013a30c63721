//! The wall clock beside the monotonic one: how far they are apart, and how far they were before a step.

use crate::api::Micros;
use std::collections::VecDeque;

/// A smaller difference between the clocks is a slow correction, not a step, in microseconds.
const LEAST_STEP: Micros = 500_000;
/// The wall clock of another machine may be this far ahead of ours, in microseconds.
const MOST_AHEAD: Micros = 1_000_000;
/// Offsets that are kept, of the time before the last steps.
const REMEMBERED_OFFSETS: usize = 8;

/// How the wall clock has stood to the monotonic one.
#[derive(Debug, Clone, Default)]
pub struct WallClock {
    /// Wall time less monotonic time, in microseconds: the present one, then those before its steps.
    offsets: VecDeque<i128>,
}

impl WallClock {
    /// Notes both clocks as they are at one moment.
    pub fn observe(&mut self, now: Micros, unix: Micros) {
        let offset = i128::from(unix) - i128::from(now);
        match self.offsets.front_mut() {
            Some(last) if last.abs_diff(offset) < u128::from(LEAST_STEP) => *last = offset,
            _ => {
                if !self.offsets.is_empty() {
                    tracing::warn!(by_s = (offset - self.offsets[0]) / 1_000_000, "wall clock stepped");
                }
                self.offsets.push_front(offset);
                self.offsets.truncate(REMEMBERED_OFFSETS);
            }
        }
    }

    /// When something happened, by the monotonic clock, of which another machine reported the wall time. It may have
    /// been read before a step of the clock or after it: of all moments that are possible, the latest that is not in
    /// the future.
    pub fn to_monotonic(&self, now: Micros, unix: Micros) -> Micros {
        let latest = i128::from(now) + i128::from(MOST_AHEAD);
        let moments = self.offsets.iter().map(|offset| i128::from(unix) - offset);
        let past = moments.filter(|moment| *moment <= latest).max();
        past.map_or(now, |moment| Micros::try_from(moment).unwrap_or(0).min(now))
    }
}
