//! Retry storms: seen, damped, and clients told when to come back. Sans-I/O and deterministic; memory is bounded
//! whatever the number of clients.
//!
//! On a calm day everything passes and nothing is remembered. Once an outage or a surge is seen, who is turned away
//! gets a time from the [`plan`]: spread, and no more promises than there will be capacity for. Who comes at its
//! time goes first; who comes early is refused with the rest of the same wait, and gains nothing; repeats without a
//! promise share what is left with fresh work, within a budget.

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

/// Tokens for unplanned work are saved up for this long, in seconds.
const BURST_S: f64 = 0.25;
/// The shortest wait that is told.
const SHORTEST: Micros = 20_000;

/// What the module goes by.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// The longest wait that clients honour.
    pub longest_wait: Micros,
    /// Share of what is admitted that repeats without a promise may be.
    pub repeats: f64,
    /// Asks remembered after they were turned away.
    pub remembered: usize,
    /// How long an executor that was gone takes to be warm.
    pub ramp: Micros,
}

/// Who asks, as far as it can be told: a digest of account, class and statement.
pub type Asker = u64;

/// What becomes of a request before any decision on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It goes to the decisions.
    Pass,
    /// It is refused; come back after this long.
    Refuse(Micros),
}

/// Counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Turned away at the cheapest point.
    pub refused: u64,
    /// Of these, came before their time.
    pub early: u64,
    /// Promises given.
    pub promised: u64,
    /// Promises kept: came at their time and passed.
    pub kept: u64,
    /// Repeats that passed without a promise.
    pub repeats: u64,
}

/// The module.
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
    /// Requests a second that a warm core serves, learned while many are served.
    per_core: f64,
    /// How much more or less than what was learned passes: the decisions' own refusals steer it.
    pace: f64,
    /// Since the last look: what passed and was served, what passed and was turned away, and whether anything was
    /// kept from passing.
    went: (u64, u64),
    limited: bool,
    tokens: f64,
    tokens_at: Micros,
    /// Passed since the start of the window: when, and whether a repeat without a promise.
    passed: VecDeque<(Micros, bool)>,
    repeats: u64,
    /// Counters.
    pub tally: Tally,
}

impl Storm {
    /// One that saw nothing yet.
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

    /// The phase now.
    pub fn phase(&self) -> Phase {
        self.detector.phase()
    }

    /// Arrivals a second lately, and on a calm day.
    pub fn arrivals(&self) -> (f64, Option<f64>) {
        (self.detector.arrivals(), self.detector.baseline())
    }

    /// Asks remembered.
    pub fn remembered(&self) -> usize {
        self.told.len()
    }

    /// Whether this asker was turned away lately: its request is a repeat.
    pub fn knows(&self, asker: Asker) -> bool {
        self.told.contains(&asker)
    }

    /// A request comes; `marked` if its client says itself that it asks again.
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
            // The same time again: to come early is no way to a better one.
            (self.tally.refused, self.tally.early) = (self.tally.refused + 1, self.tally.early + 1);
            self.seen.turned_away += 1;
            return Verdict::Refuse(back.at - now);
        }
        self.refill(now);
        let kept = told.is_some_and(|t| t.promised && now <= t.at + 2 * TOLERANCE);
        let repeat = (told.is_some() || marked) && !kept;
        // While nothing is there the decisions see one ask in a while, and no more: each costs them a refusal.
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

    /// The decisions refused a request: how long its client should stay away. `advice` is their own word.
    pub fn refused(&mut self, now: Micros, asker: Asker, advice: Micros) -> Micros {
        self.seen.turned_away += 1;
        self.went.1 += 1;
        if self.phase() == Phase::Calm {
            return advice;
        }
        self.turn_away(now, asker)
    }

    /// A connection too many: how long its client should stay away.
    pub fn connection_refused(&mut self, advice: Micros) -> Micros {
        self.seen.arrived += 1;
        self.seen.turned_away += 1;
        if self.phase() == Phase::Calm {
            return advice;
        }
        // Nobody is known by a connection alone: no promise is given, and none is used up.
        let span = self.terms.longest_wait;
        span / 2 + (u64::from(self.rng.next_u32()) * (span / 2)) / (1 << 32)
    }

    /// A request was served.
    pub fn served(&mut self) {
        self.seen.served += 1;
        self.went.0 += 1;
    }

    /// A request failed.
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
