//! How much there is room for: what a core serves, learned, and the pace that the decisions' refusals steer.

use super::Storm;
use super::phase::{Phase, Seen};
use crate::api::Micros;
use crate::dispatch::FleetCapacity;

/// Of the capacity, what is planned with: the rest is for what was not foreseen.
const HEADROOM: f64 = 0.9;

/// While what passes is served and more would come, the pace grows by this part in a look; once this share of it
/// is turned away by the decisions, it falls by that part.
const FASTER: f64 = 0.05;
const TURNED_AWAY: f64 = 0.2;
const SLOWER: f64 = 0.15;
const PACES: [f64; 2] = [0.1, 50.0];

impl Storm {
    /// Requests a second that there will be room for at a time.
    pub fn room(&self, at: Micros) -> f64 {
        self.forecast()(at)
    }

    /// What is usable now warms on the known ramp.
    pub(super) fn forecast(&self) -> impl Fn(Micros) -> f64 + use<> {
        let (FleetCapacity { usable, warm, .. }, since) = (self.capacity, self.capacity_at);
        let (ramp, per_core, pace) = (self.terms.ramp.max(1) as f64, self.per_core, self.pace);
        // Nothing learned: the baseline was served, by what was there.
        let baseline = self.detector.baseline().unwrap_or(0.0);
        move |at| {
            let ahead = at.saturating_sub(since) as f64 / ramp;
            let will_be = warm + (usable - warm) * ahead.clamp(0.0, 1.0);
            HEADROOM * pace * if per_core > 0.0 { per_core * will_be } else { baseline }
        }
    }

    /// Lets time pass, ten times a second or so; the phase if it changed, and the one before.
    pub fn tick(&mut self, now: Micros, capacity: FleetCapacity) -> Option<(Phase, Phase)> {
        (self.capacity, self.capacity_at) = (capacity, now);
        let share = if capacity.listed > 0.0 { capacity.usable / capacity.listed } else { 0.0 };
        let seen = std::mem::take(&mut self.seen);
        let before = self.phase();
        let changed = self.detector.look(now, Seen { usable: share, ..seen });
        // What a core serves shows while there is more work than can be done, or on the busiest calm seconds.
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
            // What the pace found already is not to count twice.
            let known = self.per_core;
            self.per_core += (rate - known) * weight;
            if before == Phase::Returning && known > 0.0 {
                self.pace = (self.pace * known / self.per_core.max(1e-9)).clamp(PACES[0], PACES[1]);
            }
        }
        self.steer();
        changed.then(|| (self.phase(), before))
    }

    /// What was learned on quiet days tells little of what can be done: the pace finds it.
    fn steer(&mut self) {
        let ((served, away), limited) = (self.went, std::mem::take(&mut self.limited));
        if self.phase() != Phase::Returning {
            (self.pace, self.went) = (1.0, (0, 0));
            return;
        }
        let all = served + away;
        // A few answers tell nothing; they are counted on.
        if all < 3 {
            return;
        }
        self.went = (0, 0);
        if away as f64 > TURNED_AWAY * all as f64 {
            self.pace *= 1.0 - SLOWER;
        } else if limited {
            self.pace *= 1.0 + FASTER;
        }
        self.pace = self.pace.clamp(PACES[0], PACES[1]);
    }
}
