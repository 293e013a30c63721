//! Detects the phase of a retry storm from local signals: calm, outage, returning, recovering. Sans-I/O.
//!
//! Two signals determine the phase: the usable share of the fleet's capacity, and the arrival rate relative to its
//! slow baseline while many requests are rejected. A change must persist for a while, and thresholds have
//! hysteresis, so that the phase does not flap.

use crate::api::Micros;

/// Time constants of the fast and the slow moving average of arrivals, in seconds.
const FAST_S: f64 = 0.7;
const SLOW_S: f64 = 120.0;
/// How long a condition must hold before the phase changes.
const MIN_PHASE_TIME: Micros = 500_000;
/// The same for the change from recovering to calm.
const CALM_AFTER: Micros = 8_000_000;
/// Usable share of capacity: an outage starts below the first value and ends above the second.
const OUTAGE: [f64; 2] = [0.25, 0.35];
/// Arrival rate relative to the baseline: a storm starts above the first value and ends below the second.
const SURGE: [f64; 2] = [2.5, 1.5];
/// Share of rejected requests: a storm starts above the first value and ends below the second.
const REJECTED_SHARE: [f64; 2] = [0.3, 0.1];
/// Baselines below this rate, in requests per second, are ignored.
const MIN_BASELINE: f64 = 5.0;

/// The phase of a storm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, PartialOrd, Ord)]
pub enum Phase {
    /// Normal operation.
    #[default]
    Calm,
    /// Little or no usable capacity.
    Outage,
    /// Clients return at once, or more requests arrive than can be served.
    Returning,
    /// The surge is over but not yet long enough to be calm.
    Recovering,
}

/// An exponentially weighted moving average.
#[derive(Debug, Clone, Copy, Default)]
struct MovingAverage(f64);

impl MovingAverage {
    fn add(&mut self, value: f64, dt_s: f64, span_s: f64) {
        self.0 += (value - self.0) * (1.0 - (-dt_s / span_s).exp());
    }
}

/// Observations since the last update.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Observations {
    /// Arrived requests.
    pub arrived: u64,
    /// Successful final answers.
    pub served: u64,
    /// Rejections and failures.
    pub rejected: u64,
    /// Share of the fleet's capacity that is usable, 0 to 1.
    pub usable: f64,
}

/// Tracks the phase.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    phase: Phase,
    last: Option<Micros>,
    fast: MovingAverage,
    baseline: MovingAverage,
    /// Seconds of the calm phase that the baseline covers.
    age_s: f64,
    rejected_share: MovingAverage,
    served: MovingAverage,
    /// A pending change of phase and since when its condition holds.
    next: Option<(Phase, Micros)>,
}

impl Detector {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Recent arrivals per second.
    pub fn arrivals(&self) -> f64 {
        self.fast.0
    }

    /// Arrivals per second in the calm phase; `None` before it is known.
    pub fn baseline(&self) -> Option<f64> {
        Some(self.baseline.0).filter(|b| *b >= MIN_BASELINE)
    }

    /// Requests served per second, recently.
    pub fn served(&self) -> f64 {
        self.served.0
    }

    /// Updates the averages, about ten times per second. Returns whether the phase changed.
    pub fn update(&mut self, now: Micros, seen: Observations) -> bool {
        let Some(last) = self.last.replace(now) else { return false };
        let dt = now.saturating_sub(last) as f64 / 1e6;
        if dt <= 0.0 {
            return false;
        }
        let rate = seen.arrived as f64 / dt;
        self.fast.add(rate, dt, FAST_S);
        self.served.add(seen.served as f64 / dt, dt, FAST_S);
        let answers = seen.served + seen.rejected;
        if answers > 0 {
            // Weighted by the number of answers, as one rejection in a quiet second is not significant.
            let weight = (answers as f64 / 5.0).min(1.0);
            self.rejected_share.add(seen.rejected as f64 / answers as f64, dt * weight, FAST_S);
        }
        if self.phase == Phase::Calm {
            // The plain mean at first, the mean of the last minutes later.
            self.age_s += dt;
            self.baseline.add(rate, dt, self.age_s.clamp(FAST_S, SLOW_S));
        }
        let wanted = self.wanted(seen.usable);
        if wanted == self.phase {
            self.next = None;
            return false;
        }
        let since = self.next.filter(|(p, _)| *p == wanted).map_or(now, |(_, t)| t);
        self.next = Some((wanted, since));
        let holds = if wanted == Phase::Calm { CALM_AFTER } else { MIN_PHASE_TIME };
        if now < since + holds {
            return false;
        }
        (self.phase, self.next) = (wanted, None);
        true
    }

    fn wanted(&self, usable: f64) -> Phase {
        let surge = self.baseline().map_or(0.0, |b| self.fast.0 / b);
        let storms = surge > SURGE[0] && self.rejected_share.0 > REJECTED_SHARE[0];
        let over = surge < SURGE[1] && self.rejected_share.0 < REJECTED_SHARE[1];
        match self.phase {
            _ if usable < OUTAGE[0] => Phase::Outage,
            Phase::Outage if usable < OUTAGE[1] => Phase::Outage,
            Phase::Outage => Phase::Returning,
            Phase::Calm | Phase::Recovering if storms => Phase::Returning,
            Phase::Returning if !over => Phase::Returning,
            Phase::Returning => Phase::Recovering,
            // The duration of the recovery is enforced by `CALM_AFTER`.
            Phase::Recovering | Phase::Calm => Phase::Calm,
        }
    }
}

#[cfg(test)]
mod tests;
