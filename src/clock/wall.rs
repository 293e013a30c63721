//! The wall clock beside the monotonic one: how far they are apart, and how far they were before a step.

use crate::api::Micros;
use std::collections::VecDeque;

/// A smaller difference is the slow correction of a clock, not a step of it.
const STEP: Micros = 500_000;
/// A time from outside may lie this far ahead of ours: clocks of two machines.
const AHEAD: Micros = 1_000_000;
/// Offsets remembered.
const MOST: usize = 8;

/// What has been seen of the wall clock.
#[derive(Debug, Clone, Default)]
pub struct WallClock {
    /// Wall time less monotonic time, in microseconds: the present one, then those before its steps.
    offsets: VecDeque<i128>,
}

impl WallClock {
    /// Both clocks as they are at one moment.
    pub fn observe(&mut self, now: Micros, unix: Micros) {
        let offset = i128::from(unix) - i128::from(now);
        match self.offsets.front_mut() {
            Some(last) if last.abs_diff(offset) < u128::from(STEP) => *last = offset,
            _ => {
                if !self.offsets.is_empty() {
                    tracing::warn!(
                        by_s = (offset - self.offsets[0]) / 1_000_000,
                        "the wall clock was stepped"
                    );
                }
                self.offsets.push_front(offset);
                self.offsets.truncate(MOST);
            }
        }
    }

    /// When something happened, by the monotonic clock, of which another machine told the wall time. That may have been
    /// read before a step or after it: of the moments that it can have been, the latest.
    pub fn monotonic(&self, now: Micros, unix: Micros) -> Micros {
        let latest = i128::from(now) + i128::from(AHEAD);
        let moments = self.offsets.iter().map(|offset| i128::from(unix) - offset);
        let past = moments.filter(|moment| *moment <= latest).max();
        past.map_or(now, |moment| Micros::try_from(moment).unwrap_or(0).min(now))
    }
}
