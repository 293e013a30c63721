//! Retry storms: seen, damped, and clients told when to come back. Sans-I/O and deterministic; memory is bounded
//! whatever the number of clients.
//!
//! On a calm day everything passes and nothing is remembered. Once an outage or a surge is seen, who is turned away
//! gets a time from the [`plan`]: spread, and no more promises than there will be capacity for. Who comes at its
//! time goes first; who comes early is refused with the rest of the same wait, and gains nothing; repeats without a
//! promise share what is left with fresh work, within a budget.

pub mod phase;
pub mod plan;

use crate::api::Micros;
use crate::dispatch::Fleet;
use lru::LruCache;
use phase::{Detector, Phase, Seen};
use plan::{Plan, Return, TOLERANCE};
use rand_core::RngCore;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::num::NonZeroUsize;

/// Of the capacity, what is planned with: the rest is for what was not foreseen.
const HEADROOM: f64 = 0.9;
/// Tokens for unplanned work are saved up for this long, in seconds.
const BURST_S: f64 = 0.25;
/// The shortest wait that is told.
const SHORTEST: Micros = 20_000;
/// The window in which repeats are counted against all that was admitted.
const WINDOW: Micros = 5_000_000;
/// Repeats that may be admitted in a window whatever else is.
const FREE_REPEATS: u64 = 5;

/// What the module goes by.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// The longest wait that clients honour.
    pub longest_wait: Micros,
    /// Share of what is admitted that repeats without a promise may be.
    pub repeats: f64,
    /// Asks remembered after they were turned away.
    pub remembered: usize,
    /// How long a motor that was gone takes to be warm.
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
    capacity: Fleet,
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

/// While what passes is served and more would come, the pace grows by this part in a look; once this share of it
/// is turned away by the decisions, it falls by that part.
const FASTER: f64 = 0.05;
const TURNED_AWAY: f64 = 0.2;
const SLOWER: f64 = 0.15;
const PACES: [f64; 2] = [0.1, 50.0];

/// Passes remembered for the window; beyond, the oldest go.
const MOST_PASSED: usize = 16_384;

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
            capacity: Fleet::default(),
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

    /// Requests a second that there will be room for at a time.
    pub fn room(&self, at: Micros) -> f64 {
        self.forecast()(at)
    }

    /// What is usable now warms on the known ramp.
    fn forecast(&self) -> impl Fn(Micros) -> f64 + use<> {
        let (Fleet { usable, warm, .. }, since) = (self.capacity, self.capacity_at);
        let (ramp, per_core, pace) = (self.terms.ramp.max(1) as f64, self.per_core, self.pace);
        // Nothing learned: the baseline was served, by what was there.
        let baseline = self.detector.baseline().unwrap_or(0.0);
        move |at| {
            let ahead = at.saturating_sub(since) as f64 / ramp;
            let will_be = warm + (usable - warm) * ahead.clamp(0.0, 1.0);
            HEADROOM * pace * if per_core > 0.0 { per_core * will_be } else { baseline }
        }
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

    /// Lets time pass, ten times a second or so; the phase if it changed, and the one before.
    pub fn tick(&mut self, now: Micros, capacity: Fleet) -> Option<(Phase, Phase)> {
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

    fn refill(&mut self, now: Micros) {
        let span = now.saturating_sub(std::mem::replace(&mut self.tokens_at, now)) as f64 / 1e6;
        let rate = self.room(now);
        // A trickle goes on whatever is known, or it would never be known that motores are back.
        let rate = rate.max(2.0);
        self.tokens = (self.tokens + span.min(BURST_S) * rate).min((rate * BURST_S).max(1.0));
    }

    fn pass(&mut self, now: Micros, repeat: bool) {
        self.passed.push_back((now, repeat));
        self.repeats += u64::from(repeat);
        self.tally.repeats += u64::from(repeat);
        self.forget(now);
    }

    fn forget(&mut self, now: Micros) {
        while let Some((at, repeat)) = self.passed.front().copied() {
            if at + WINDOW > now && self.passed.len() <= MOST_PASSED {
                break;
            }
            self.passed.pop_front();
            self.repeats -= u64::from(repeat);
        }
    }

    fn repeat_allowed(&mut self, now: Micros) -> bool {
        self.forget(now);
        let all = self.passed.len() as f64 + 1.0;
        self.repeats < FREE_REPEATS || (self.repeats + 1) as f64 <= self.terms.repeats * all
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
