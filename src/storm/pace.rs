//! Admission rate: the learned service rate per core, and a factor adjusted by the balancer's rejections.

use super::Storm;
use super::phase::{Observations, Phase};
use crate::api::Micros;
use crate::dispatch::FleetCapacity;

/// Share of the capacity that is planned; the rest is reserve.
const HEADROOM: f64 = 0.9;

/// The pace grows by the fraction `FASTER` per adjustment while admitted requests are served and more are waiting;
/// it falls by `SLOWER` once the balancer rejects a larger share than `REJECTED_SHARE`.
const FASTER: f64 = 0.05;
const REJECTED_SHARE: f64 = 0.2;
const SLOWER: f64 = 0.15;
const PACE_LIMITS: [f64; 2] = [0.1, 50.0];

impl Storm {
    /// Requests per second that can be admitted at a time.
    pub fn admission_rate(&self, at: Micros) -> f64 {
        self.forecast()(at)
    }

    /// The admission rate over time; usable capacity warms up linearly over the ramp.
    pub(super) fn forecast(&self) -> impl Fn(Micros) -> f64 + use<> {
        let (FleetCapacity { usable, warm, .. }, since) = (self.capacity, self.capacity_at);
        let (ramp, per_core, pace) = (self.terms.ramp.max(1) as f64, self.per_core, self.pace);
        // Before a rate is learned: the baseline was served with the capacity present.
        let baseline = self.detector.baseline().unwrap_or(0.0);
        move |at| {
            let ahead = at.saturating_sub(since) as f64 / ramp;
            let will_be = warm + (usable - warm) * ahead.clamp(0.0, 1.0);
            HEADROOM * pace * if per_core > 0.0 { per_core * will_be } else { baseline }
        }
    }

    /// Advances time, about ten times per second. Returns the new and the previous phase if it changed.
    pub fn tick(&mut self, now: Micros, capacity: FleetCapacity) -> Option<(Phase, Phase)> {
        (self.capacity, self.capacity_at) = (capacity, now);
        let share = if capacity.listed > 0.0 { capacity.usable / capacity.listed } else { 0.0 };
        let seen = std::mem::take(&mut self.seen);
        let before = self.phase();
        let changed = self.detector.update(now, Observations { usable: share, ..seen });
        // The rate per core is visible only under overload or in the busiest seconds of the calm phase.
        if capacity.warm > 0.0 {
            let rate = self.detector.served() / capacity.warm;
            let faster = rate > self.per_core;
            let weight = if faster {
                0.2
            } else if before == Phase::Returning {
                0.02
            } else {
                0.0
            };
            // Keeps the product of pace and learned rate, so that a change is not counted twice.
            let known = self.per_core;
            self.per_core += (rate - known) * weight;
            if before == Phase::Returning && known > 0.0 {
                self.pace =
                    (self.pace * known / self.per_core.max(1e-9)).clamp(PACE_LIMITS[0], PACE_LIMITS[1]);
            }
        }
        self.steer();
        changed.then(|| (self.phase(), before))
    }

    /// Adjusts the pace, as the rate learned under low load underestimates the capacity.
    fn steer(&mut self) {
        let ((served, away), limited) = (self.went, std::mem::take(&mut self.limited));
        if self.phase() != Phase::Returning {
            (self.pace, self.went) = (1.0, (0, 0));
            return;
        }
        let all = served + away;
        // Too few answers to judge; they are carried over to the next adjustment.
        if all < 3 {
            return;
        }
        self.went = (0, 0);
        if away as f64 > REJECTED_SHARE * all as f64 {
            self.pace *= 1.0 - SLOWER;
        } else if limited {
            self.pace *= 1.0 + FASTER;
        }
        self.pace = self.pace.clamp(PACE_LIMITS[0], PACE_LIMITS[1]);
    }
}
