//! Retry storm protection: detects storms, limits admission and tells clients when to retry. Sans-I/O and
//! deterministic; memory is bounded regardless of the number of clients.
//!
//! In the calm phase every request is admitted and nothing is remembered. Once an outage or a surge is detected, a
//! rejected request gets a retry time from the [`plan`]; the times are spread, and no more are reserved than there
//! will be capacity for. A retry at its reserved time has precedence; an early one is rejected with the remainder of
//! the same wait and gains nothing; retries without a reservation share the remaining capacity with new requests,
//! within a budget.

mod budget;
mod pace;
pub mod phase;
pub mod plan;

use crate::api::Micros;
use crate::dispatch::FleetCapacity;
use lru::LruCache;
use phase::{Detector, Phase, Seen};
use plan::{Plan, Return, TOLERANCE};
use rand_core::RngCore;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::num::NonZeroUsize;

/// Capacity of the token bucket, in seconds of refill.
const BURST_S: f64 = 0.25;
/// The shortest retry-after returned.
const SHORTEST: Micros = 20_000;

/// Settings of the module.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// The longest wait that clients honour.
    pub longest_wait: Micros,
    /// Maximum share of admitted requests that are retries without a reservation.
    pub repeats: f64,
    /// Maximum number of remembered rejected requests.
    pub remembered: usize,
    /// Warm-up time of an executor that was away.
    pub ramp: Micros,
}

/// Identifies a request across retries: a digest of account, class and statement.
pub type Asker = u64;

/// The result of the admission check, before the balancer sees a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Pass the request to the balancer.
    Pass,
    /// Reject the request with this retry-after.
    Refuse(Micros),
}

/// Counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests rejected by this module, before any other work on them.
    pub refused: u64,
    /// Rejected requests that came before their retry time.
    pub early: u64,
    /// Reservations made.
    pub promised: u64,
    /// Reservations used: retries admitted at their reserved time.
    pub kept: u64,
    /// Retries admitted without a reservation.
    pub repeats: u64,
}

/// Retry storm protection of one dispatcher.
#[derive(Debug)]
pub struct Storm {
    terms: Terms,
    rng: Pcg64Mcg,
    detector: Detector,
    plan: Plan,
    told: LruCache<Asker, Return>,
    seen: Seen,
    capacity: FleetCapacity,
    capacity_at: Micros,
    /// Requests per second that a warm core serves, learned under load.
    per_core: f64,
    /// Factor on the learned rate, adjusted by the share of requests that the balancer rejects.
    pace: f64,
    /// Admitted requests since the last adjustment: served, and rejected or failed. `limited` is whether any request
    /// was rejected here in that time.
    went: (u64, u64),
    limited: bool,
    tokens: f64,
    tokens_at: Micros,
    /// Requests admitted in the window: time, and whether it was a retry without a reservation.
    passed: VecDeque<(Micros, bool)>,
    repeats: u64,
    /// Counters.
    pub tally: Tally,
}

impl Storm {
    /// Creates the module in the calm phase.
    pub fn new(terms: Terms, seed: u64) -> Storm {
        let most = NonZeroUsize::new(terms.remembered).unwrap_or(NonZeroUsize::MIN);
        Storm {
            rng: Pcg64Mcg::seed_from_u64(seed),
            detector: Detector::default(),
            plan: Plan::new(terms.longest_wait),
            told: LruCache::new(most),
            seen: Seen { usable: 1.0, ..Seen::default() },
            capacity: FleetCapacity::default(),
            capacity_at: 0,
            per_core: 0.0,
            pace: 1.0,
            went: (0, 0),
            limited: false,
            tokens: 0.0,
            tokens_at: 0,
            passed: VecDeque::new(),
            repeats: 0,
            tally: Tally::default(),
            terms,
        }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.detector.phase()
    }

    /// Arrivals per second: recent mean, and baseline of the calm phase.
    pub fn arrivals(&self) -> (f64, Option<f64>) {
        (self.detector.arrivals(), self.detector.baseline())
    }

    /// Number of remembered rejected requests.
    pub fn remembered(&self) -> usize {
        self.told.len()
    }

    /// Whether this request was rejected recently, so that it is a retry.
    pub fn knows(&self, asker: Asker) -> bool {
        self.told.contains(&asker)
    }

    /// Checks an arriving request; `marked` is whether the client marked it as a retry.
    pub fn ask(&mut self, now: Micros, asker: Asker, marked: bool) -> Verdict {
        self.seen.arrived += 1;
        let told = self.told.get(&asker).copied();
        if matches!(self.phase(), Phase::Calm | Phase::Recovering) {
            self.told.pop(&asker);
            return Verdict::Pass;
        }
        if let Some(back) = told
            && now + TOLERANCE < back.at
        {
            // The retry time stays the same, so that an early retry gains nothing.
            (self.tally.refused, self.tally.early) = (self.tally.refused + 1, self.tally.early + 1);
            self.seen.turned_away += 1;
            return Verdict::Refuse(back.at - now);
        }
        self.refill(now);
        let kept = told.is_some_and(|t| t.promised && now <= t.at + 2 * TOLERANCE);
        let repeat = (told.is_some() || marked) && !kept;
        // Without capacity the balancer sees only an occasional request, as it has to reject each of them.
        let fits = self.tokens >= 1.0 || (kept && self.tokens > -BURST_S * self.room(now));
        if fits && (!repeat || self.repeat_allowed(now)) {
            self.tokens -= 1.0;
            self.told.pop(&asker);
            self.pass(now, repeat);
            self.tally.kept += u64::from(kept);
            return Verdict::Pass;
        }
        self.limited = true;
        self.tally.refused += 1;
        self.seen.turned_away += 1;
        Verdict::Refuse(self.turn_away(now, asker))
    }

    /// The retry-after of a request rejected by the balancer; `advice` is the balancer's own value.
    pub fn refused(&mut self, now: Micros, asker: Asker, advice: Micros) -> Micros {
        self.seen.turned_away += 1;
        self.went.1 += 1;
        if self.phase() == Phase::Calm {
            return advice;
        }
        self.turn_away(now, asker)
    }

    /// The retry-after for a connection above the limit.
    pub fn connection_refused(&mut self, advice: Micros) -> Micros {
        self.seen.arrived += 1;
        self.seen.turned_away += 1;
        if self.phase() == Phase::Calm {
            return advice;
        }
        // A connection alone does not identify a request: no reservation is made or used.
        let span = self.terms.longest_wait;
        span / 2 + (u64::from(self.rng.next_u32()) * (span / 2)) / (1 << 32)
    }

    /// Records that a request was served.
    pub fn served(&mut self) {
        self.seen.served += 1;
        self.went.0 += 1;
    }

    /// Records that a request failed.
    pub fn failed(&mut self) {
        self.seen.turned_away += 1;
        self.went.1 += 1;
    }

    fn turn_away(&mut self, now: Micros, asker: Asker) -> Micros {
        let room = self.forecast();
        let back = self.plan.give(now, 1.0, &room, &mut self.rng);
        self.tally.promised += u64::from(back.promised);
        self.told.put(asker, back);
        (back.at - now).max(SHORTEST)
    }
}

#[cfg(test)]
mod tests;
