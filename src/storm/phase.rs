//! What a dispatcher sees of a storm by itself: calm, outage, returning, recovering. Sans-I/O.
//!
//! Two signals make a phase: what share of the fleet's capacity is usable, and how many requests arrive against
//! their own slow baseline while many are turned away. Each change has to hold for a while, and going back asks
//! for more than not going there did, so that the phase does not flap.

use crate::api::Micros;

/// Time constants of the fast and of the slow mean of arrivals, in seconds.
const FAST_S: f64 = 0.7;
const SLOW_S: f64 = 120.0;
/// A change has to hold this long.
const HOLDS: Micros = 500_000;
/// From recovering to calm it has to hold this long.
const CALM_AFTER: Micros = 8_000_000;
/// Below this share of usable capacity it is an outage, above the other it is over.
const OUTAGE: [f64; 2] = [0.25, 0.35];
/// Arrivals against the baseline: above the first it is a storm, below the second it is over.
const SURGE: [f64; 2] = [2.5, 1.5];
/// Turned away: above the first share it is a storm, below the second it is over.
const TURNED_AWAY: [f64; 2] = [0.3, 0.1];
/// A baseline below this tells nothing, in requests a second.
const LEAST_BASELINE: f64 = 5.0;

/// Where a storm stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, PartialOrd, Ord)]
pub enum Phase {
    /// As on any day.
    #[default]
    Calm,
    /// Little or nothing is there to serve with.
    Outage,
    /// All come back at once, or more come than can be served.
    Returning,
    /// The surge is over; what it left is watched.
    Recovering,
}

/// A mean that forgets.
#[derive(Debug, Clone, Copy, Default)]
struct Forgetful(f64);

impl Forgetful {
    fn add(&mut self, value: f64, dt_s: f64, span_s: f64) {
        self.0 += (value - self.0) * (1.0 - (-dt_s / span_s).exp());
    }
}

/// What happened since the last look.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Seen {
    /// Requests that came.
    pub arrived: u64,
    /// Final answers that served.
    pub served: u64,
    /// Refusals and failures.
    pub turned_away: u64,
    /// Share of the fleet's capacity that is usable, 0 to 1.
    pub usable: f64,
}

/// Follows the phase.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    phase: Phase,
    last: Option<Micros>,
    fast: Forgetful,
    baseline: Forgetful,
    /// Calm seconds that the baseline is made of.
    age_s: f64,
    away: Forgetful,
    served: Forgetful,
    /// Another phase, and since when it would be that.
    next: Option<(Phase, Micros)>,
}

impl Detector {
    /// The phase now.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Arrivals a second, lately.
    pub fn arrivals(&self) -> f64 {
        self.fast.0
    }

    /// Arrivals a second on a calm day; none before it is known.
    pub fn baseline(&self) -> Option<f64> {
        Some(self.baseline.0).filter(|b| *b >= LEAST_BASELINE)
    }

    /// Served a second, lately.
    pub fn served(&self) -> f64 {
        self.served.0
    }

    /// A look, ten times a second or so; whether the phase changed.
    pub fn look(&mut self, now: Micros, seen: Seen) -> bool {
        let Some(last) = self.last.replace(now) else { return false };
        let dt = now.saturating_sub(last) as f64 / 1e6;
        if dt <= 0.0 {
            return false;
        }
        let rate = seen.arrived as f64 / dt;
        self.fast.add(rate, dt, FAST_S);
        self.served.add(seen.served as f64 / dt, dt, FAST_S);
        let answers = seen.served + seen.turned_away;
        if answers > 0 {
            // Weighed by how many they are: one refusal in a quiet second is no sign.
            let weight = (answers as f64 / 5.0).min(1.0);
            self.away.add(seen.turned_away as f64 / answers as f64, dt * weight, FAST_S);
        }
        if self.phase == Phase::Calm {
            // A mean of all that was seen at first, of the last minutes later on.
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
        let holds = if wanted == Phase::Calm { CALM_AFTER } else { HOLDS };
        if now < since + holds {
            return false;
        }
        (self.phase, self.next) = (wanted, None);
        true
    }

    fn wanted(&self, usable: f64) -> Phase {
        let surge = self.baseline().map_or(0.0, |b| self.fast.0 / b);
        let storms = surge > SURGE[0] && self.away.0 > TURNED_AWAY[0];
        let over = surge < SURGE[1] && self.away.0 < TURNED_AWAY[1];
        match self.phase {
            _ if usable < OUTAGE[0] => Phase::Outage,
            Phase::Outage if usable < OUTAGE[1] => Phase::Outage,
            Phase::Outage => Phase::Returning,
            Phase::Calm | Phase::Recovering if storms => Phase::Returning,
            Phase::Returning if !over => Phase::Returning,
            Phase::Returning => Phase::Recovering,
            // The look that holds is the one that ends it.
            Phase::Recovering | Phase::Calm => Phase::Calm,
        }
    }
}

#[cfg(test)]
mod tests;
