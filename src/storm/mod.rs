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
use phase::{Detector, Observations, Phase};
use plan::{Plan, RetryTime, TOLERANCE};
use rand_core::RngCore;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::num::NonZeroUsize;

/// Capacity of the token bucket, in seconds of refill.
const BURST_S: f64 = 0.25;
/// The shortest retry-after returned.
const MIN_WAIT: Micros = 20_000;

/// Settings of the module.
#[derive(Debug, Clone, PartialEq)]
pub struct StormSettings {
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
pub type RequestFingerprint = u64;

/// The result of the admission check, before the balancer sees a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Pass the request to the balancer.
    Admit,
    /// Reject the request with this retry-after.
    Reject(Micros),
}

/// Counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests rejected by this module, before any other work on them.
    pub rejected: u64,
    /// Rejected requests that came before their retry time.
    pub early: u64,
    /// Reservations made.
    pub reserved: u64,
    /// Reservations used: retries admitted at their reserved time.
    pub on_time: u64,
    /// Retries admitted without a reservation.
    pub repeats: u64,
}

/// Retry storm protection of one dispatcher.
#[derive(Debug)]
pub struct Storm {
    terms: StormSettings,
    rng: Pcg64Mcg,
    detector: Detector,
    plan: Plan,
    remembered_rejections: LruCache<RequestFingerprint, RetryTime>,
    seen: Observations,
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
    admitted: VecDeque<(Micros, bool)>,
    repeats: u64,
    /// Counters.
    pub counters: Counters,
}

impl Storm {
    /// Creates the module in the calm phase.
    pub fn new(terms: StormSettings, seed: u64) -> Storm {
        let most = NonZeroUsize::new(terms.remembered).unwrap_or(NonZeroUsize::MIN);
        Storm {
            rng: Pcg64Mcg::seed_from_u64(seed),
            detector: Detector::default(),
            plan: Plan::new(terms.longest_wait),
            remembered_rejections: LruCache::new(most),
            seen: Observations { usable: 1.0, ..Observations::default() },
            capacity: FleetCapacity::default(),
            capacity_at: 0,
            per_core: 0.0,
            pace: 1.0,
            went: (0, 0),
            limited: false,
            tokens: 0.0,
            tokens_at: 0,
            admitted: VecDeque::new(),
            repeats: 0,
            counters: Counters::default(),
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
        self.remembered_rejections.len()
    }

    /// Whether this request was rejected recently, so that it is a retry.
    pub fn is_retry(&self, fingerprint: RequestFingerprint) -> bool {
        self.remembered_rejections.contains(&fingerprint)
    }

    /// Checks an arriving request; `marked` is whether the client marked it as a retry.
    pub fn admit(&mut self, now: Micros, fingerprint: RequestFingerprint, marked: bool) -> Admission {
        self.seen.arrived += 1;
        let retry_time = self.remembered_rejections.get(&fingerprint).copied();
        if matches!(self.phase(), Phase::Calm | Phase::Recovering) {
            self.remembered_rejections.pop(&fingerprint);
            return Admission::Admit;
        }
        if let Some(back) = retry_time
            && now + TOLERANCE < back.at
        {
            // The retry time stays the same, so that an early retry gains nothing.
            (self.counters.rejected, self.counters.early) =
                (self.counters.rejected + 1, self.counters.early + 1);
            self.seen.rejected += 1;
            return Admission::Reject(back.at - now);
        }
        self.refill(now);
        let on_time = retry_time.is_some_and(|t| t.reserved && now <= t.at + 2 * TOLERANCE);
        let repeat = (retry_time.is_some() || marked) && !on_time;
        // Without capacity the balancer sees only an occasional request, as it has to reject each of them.
        let fits = self.tokens >= 1.0 || (on_time && self.tokens > -BURST_S * self.admission_rate(now));
        if fits && (!repeat || self.repeat_allowed(now)) {
            self.tokens -= 1.0;
            self.remembered_rejections.pop(&fingerprint);
            self.record_admitted(now, repeat);
            self.counters.on_time += u64::from(on_time);
            return Admission::Admit;
        }
        self.limited = true;
        self.counters.rejected += 1;
        self.seen.rejected += 1;
        Admission::Reject(self.assign_retry_time(now, fingerprint))
    }

    /// The retry-after of a request rejected by the balancer; `advice` is the balancer's own value.
    pub fn rejected(&mut self, now: Micros, fingerprint: RequestFingerprint, advice: Micros) -> Micros {
        self.seen.rejected += 1;
        self.went.1 += 1;
        if self.phase() == Phase::Calm {
            return advice;
        }
        self.assign_retry_time(now, fingerprint)
    }

    /// The retry-after for a connection above the limit.
    pub fn connection_refused(&mut self, advice: Micros) -> Micros {
        self.seen.arrived += 1;
        self.seen.rejected += 1;
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
        self.seen.rejected += 1;
        self.went.1 += 1;
    }

    fn assign_retry_time(&mut self, now: Micros, fingerprint: RequestFingerprint) -> Micros {
        let admission_rate = self.forecast();
        let back = self.plan.assign(now, 1.0, &admission_rate, &mut self.rng);
        self.counters.reserved += u64::from(back.reserved);
        self.remembered_rejections.put(fingerprint, back);
        (back.at - now).max(MIN_WAIT)
    }
}

#[cfg(test)]
mod tests;
