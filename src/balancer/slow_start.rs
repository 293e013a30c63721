//! Slow start: limits the work sent to a recently started executor, so that all dispatchers together do not
//! overload it.
//!
//! An executor fails if it is sent more than `overload_factor` times its current capacity within
//! `overload_window`. Dispatchers do not coordinate, so each one stays within its share of a fraction of that
//! budget. Work is counted in thread-seconds. A dispatcher's share can be less than one request, so requests
//! are admitted at random: the probability is the tokens available for a request divided by its work, and all
//! dispatchers together send the intended mean.

use crate::api::{RequestId, TimestampUs};
use crate::state::{Balancer, Executor, Request, TokenBucket};

/// Mean fraction of an executor's slow-start budget that all dispatchers together use.
const BUDGET_UTILIZATION: f64 = 0.4;
/// Maximum number of windows whose budget may be saved up for one request.
const SAVED_WINDOWS: f64 = 4.0;
/// Maximum size of a request, as a fraction of the budget of a window.
const MAX_REQUEST_FRACTION: f64 = 0.3;
/// Lower bound of a request's work as a fraction of its class's mean, because estimates are imprecise.
const MIN_CLASS_MEAN_FRACTION: f64 = 0.5;
/// Lower bound of a capacity fraction as a divisor.
const MIN_CAPACITY_FRACTION: f64 = 1e-9;

/// Work that may be sent to one executor in slow start, in thread-seconds.
#[derive(Debug, Clone, Default)]
pub(crate) struct WarmingBuckets {
    /// This dispatcher's share of the budget, refilled at the executor's initial rate. Only the work of
    /// admitted requests is charged to it.
    budget: TokenBucket,
    /// Tokens that determine the admission probability of a request.
    admission: TokenBucket,
}

impl WarmingBuckets {
    /// Empty buckets for an executor that has just started.
    pub(crate) fn new(now: TimestampUs) -> WarmingBuckets {
        let empty = TokenBucket { updated_at: now, ..TokenBucket::default() };
        WarmingBuckets { budget: empty.clone(), admission: empty }
    }
}

/// The limit over all executors in slow start together.
#[derive(Debug, Clone, Default)]
pub(crate) struct SlowStartAdmission {
    /// Admission tokens for all of these executors together, in thread-seconds.
    tokens: TokenBucket,
}

/// Maximum rate of work for an executor in slow start, in thread-seconds per second.
pub(super) struct WarmingRate {
    /// From all dispatchers together.
    all_dispatchers: f64,
    /// From this dispatcher.
    own: f64,
}

/// The work of a request for an executor in slow start, and the limits of this dispatcher.
struct Admission {
    /// Work of the request, in thread-seconds.
    work: f64,
    /// Work charged to the budget: at least the mean of its class, so that low estimates give no advantage.
    charged_work: f64,
    /// This dispatcher's current rate, in thread-seconds per second.
    rate: f64,
    /// This dispatcher's rate at the executor's start, in thread-seconds per second.
    initial_rate: f64,
    /// This dispatcher's rate for all executors in slow start together, in thread-seconds per second.
    total_rate: f64,
    /// Mean work of all requests, in thread-seconds.
    mean_work: f64,
    /// Length of the overload window, in seconds.
    window_s: f64,
}

impl SlowStartAdmission {
    /// Refills the buckets and decides by `random`, uniform from 0 to 1. If the budget bucket suffices,
    /// the admission probability is the spent admission tokens divided by the request's work; otherwise it is
    /// 0. Admission tokens are spent whether or not the request is admitted; the budget is charged only if it
    /// is.
    fn admit(
        &mut self,
        buckets: &mut WarmingBuckets,
        request: &Admission,
        random: f64,
        now: TimestampUs,
    ) -> bool {
        let window_work = request.rate * request.window_s;
        let initial_window_work = request.initial_rate * request.window_s;
        let max_saved = request.mean_work.clamp(window_work, window_work * SAVED_WINDOWS);
        buckets.budget.refill_at_rate(now, request.initial_rate, initial_window_work);
        buckets.admission.refill_at_rate(now, request.rate, max_saved);
        self.tokens.refill_at_rate(now, request.total_rate, request.total_rate * request.window_s);

        let spent = buckets.admission.level.min(request.work).min(self.tokens.level);
        buckets.admission.level -= spent;
        self.tokens.level -= spent;

        let within_budget = buckets.budget.level >= request.charged_work.min(initial_window_work);
        let admitted = random * request.work < spent && within_budget;
        if admitted {
            buckets.budget.level = (buckets.budget.level - request.charged_work).max(0.0);
        }
        admitted
    }
}

impl Balancer {
    /// Whether a request may be sent to the executor chosen for it: always if the executor is warm, with a
    /// probability if it is in slow start.
    pub(super) fn admit_to_warming(&mut self, id: RequestId, i: usize) -> bool {
        let Some(rate) = self.warming_rate(&self.executors[i]) else { return true };
        let random = self.uniform_random();
        let admission = self.admission(&self.requests[&id], &self.executors[i], rate.own);
        let buckets = &mut self.executors[i].warming_buckets;
        self.slow_start.admit(buckets, &admission, random, self.now)
    }

    fn admission(&self, request: &Request, executor: &Executor, rate: f64) -> Admission {
        let slow_start = &self.settings.slow_start;
        let capacity_fraction = self.capacity_fraction(executor).max(MIN_CAPACITY_FRACTION);
        let work = self.slow_start_work(request);
        Admission {
            work,
            charged_work: work.max(self.class_mean(request.class)),
            rate,
            initial_rate: rate * slow_start.initial_fraction / capacity_fraction,
            total_rate: self.total_warming_rate(),
            mean_work: self.cost_model.mean_cost.value,
            window_s: slow_start.overload_window as f64 / 1e6,
        }
    }

    /// Work of a request as counted for an executor in slow start, in thread-seconds.
    fn slow_start_work(&self, request: &Request) -> f64 {
        request.predicted_cost.max(MIN_CLASS_MEAN_FRACTION * self.class_mean(request.class))
    }

    /// Whether a request is small enough for an executor: in slow start, a single request must not use a
    /// large fraction of the budget.
    pub(super) fn slow_start_allows(&self, request: &Request, executor: &Executor) -> bool {
        let Some(rate) = self.warming_rate(executor) else { return true };
        let max_work =
            MAX_REQUEST_FRACTION * rate.all_dispatchers * self.settings.slow_start.overload_window as f64
                / 1e6;
        self.slow_start_work(request) <= max_work
    }

    /// Maximum rate of work for an executor in slow start, from all dispatchers and from this one; `None` for
    /// a warm executor.
    pub(super) fn warming_rate(&self, executor: &Executor) -> Option<WarmingRate> {
        let slow_start = &self.settings.slow_start;
        let started = executor.warming_since?;
        if slow_start.overload_window == 0 || self.now >= started + slow_start.ramp {
            return None;
        }
        let capacity_fraction = self.capacity_fraction(executor);
        let rate = BUDGET_UTILIZATION * slow_start.overload_factor * capacity_fraction * executor.cores;
        Some(WarmingRate { all_dispatchers: rate, own: rate * self.slow_start_share() })
    }

    /// Maximum rate of work from this dispatcher for all executors in slow start together, in thread-seconds
    /// per second: the sum of `WarmingRate::own` over them.
    fn total_warming_rate(&self) -> f64 {
        let slow_start = &self.settings.slow_start;
        let (cores, core_seconds) = self.executor_index.warming_cores(&self.settings.kinds, self.now);
        let ramp_s = slow_start.ramp.max(1) as f64 / 1e6;
        let initial = slow_start.initial_fraction;
        let effective_cores = initial * cores + (1.0 - initial) * core_seconds / ramp_s;
        BUDGET_UTILIZATION * slow_start.overload_factor * effective_cores * self.slow_start_share()
    }

    /// This dispatcher's share of the budget: its share of the traffic, but at most an equal share, because
    /// the traffic share is only an estimate.
    fn slow_start_share(&self) -> f64 {
        let equal_share = 1.0 / f64::from(self.settings.dispatchers);
        self.load.traffic_share.min(equal_share)
    }

    /// Fraction of its full capacity that an executor has; it grows from `initial_fraction` to 1 over the
    /// ramp.
    pub(crate) fn capacity_fraction(&self, executor: &Executor) -> f64 {
        let Some(started) = executor.warming_since else { return 1.0 };
        let slow_start = &self.settings.slow_start;
        let done = self.now.saturating_sub(started) as f64 / slow_start.ramp.max(1) as f64;
        if done >= 1.0 {
            return 1.0;
        }
        slow_start.initial_fraction + (1.0 - slow_start.initial_fraction) * done
    }

    /// Updates the index entry of each executor whose ramp has ended, which removes it from the index of
    /// executors in slow start.
    pub(super) fn finish_slow_starts(&mut self) {
        let latest_start = self.now.saturating_sub(self.settings.slow_start.ramp);
        while let Some(i) = self.executor_index.started_by(latest_start) {
            self.update_index(i);
        }
    }
}
