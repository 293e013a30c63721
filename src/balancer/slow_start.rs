//! Slow start: how much work an executor that has just started is sent, so that all dispatchers together do
//! not push it over.
//!
//! An executor that is sent more than `overload_factor` times its present capacity within `overload_window`
//! falls over. Dispatchers share nothing, so each keeps within its share of a part of that budget. Work is
//! counted in thread-seconds. Where a dispatcher's share is less than one request, it admits one by chance in
//! proportion, so that all of them together send what is meant in the mean.

use crate::api::{RequestId, TimestampUs};
use crate::state::{Balancer, Executor, Request, TokenBucket};

/// Share of the budget of an executor in slow start that all dispatchers use in the mean.
const BUDGET_UTILIZATION: f64 = 0.4;
/// Windows of the budget that may be saved up for one request.
const SAVED_WINDOWS: f64 = 4.0;
/// The largest request that is sent, as a share of the budget of a window.
const LARGEST_REQUEST: f64 = 0.3;
/// A request counts as this share of its class's mean at least, as estimates are rough.
const LEAST_OF_CLASS_MEAN: f64 = 0.5;
/// Least capacity fraction that a rate is divided by.
const LEAST_CAPACITY_FRACTION: f64 = 1e-9;

/// Work that may be sent to one executor in slow start, in thread-seconds.
#[derive(Debug, Clone, Default)]
pub(crate) struct WarmingBuckets {
    /// Own share of the budget, at the rate of the executor's first moment; admitted requests take from it.
    share: TokenBucket,
    /// Tokens that requests draw a chance of admission with.
    admission: TokenBucket,
}

impl WarmingBuckets {
    /// Empty buckets of an executor that has started.
    pub(crate) fn new(now: TimestampUs) -> WarmingBuckets {
        let empty = TokenBucket { updated_at: now, ..TokenBucket::default() };
        WarmingBuckets { share: empty.clone(), admission: empty }
    }
}

/// The limit over all executors in slow start.
#[derive(Debug, Clone, Default)]
pub(crate) struct SlowStartAdmission {
    /// Admission tokens that may be spent at all of them together, in thread-seconds.
    tokens: TokenBucket,
}

/// Work that an executor in slow start may be sent, in thread-seconds a second.
pub(super) struct WarmingRate {
    /// By all dispatchers together.
    all_dispatchers: f64,
    /// By this dispatcher.
    own: f64,
}

/// What a request asks of an executor in slow start, and what this dispatcher may send there.
struct Admission {
    /// Work of the request, in thread-seconds.
    work: f64,
    /// What it takes from the own share: its class's mean at least, so that low estimates gain nothing.
    charged_work: f64,
    /// Own rate now, in thread-seconds a second.
    rate: f64,
    /// Own rate at the executor's start, in thread-seconds a second.
    initial_rate: f64,
    /// Own rate for all executors in slow start together, in thread-seconds a second.
    total_rate: f64,
    /// Mean work of all requests, in thread-seconds.
    mean_work: f64,
    /// Length of the overload window, in seconds.
    window_s: f64,
}

impl SlowStartAdmission {
    /// Fills the buckets and decides by `chance`, uniform from 0 to 1. Tokens are spent whether the request
    /// is admitted or not: its chance is what they come to over its work.
    fn admit(
        &mut self,
        buckets: &mut WarmingBuckets,
        request: &Admission,
        chance: f64,
        now: TimestampUs,
    ) -> bool {
        let window_work = request.rate * request.window_s;
        let initial_window_work = request.initial_rate * request.window_s;
        let most_saved = request.mean_work.clamp(window_work, window_work * SAVED_WINDOWS);
        buckets.share.fill(now, request.initial_rate, initial_window_work);
        buckets.admission.fill(now, request.rate, most_saved);
        self.tokens.fill(now, request.total_rate, request.total_rate * request.window_s);

        let spent = buckets.admission.level.min(request.work).min(self.tokens.level);
        buckets.admission.level -= spent;
        self.tokens.level -= spent;

        let has_share = buckets.share.level >= request.charged_work.min(initial_window_work);
        let admitted = chance * request.work < spent && has_share;
        if admitted {
            buckets.share.level = (buckets.share.level - request.charged_work).max(0.0);
        }
        admitted
    }
}

impl Balancer {
    /// Whether a request may go to the executor that was drawn for it: always to a warm one, by chance to one
    /// in slow start.
    pub(super) fn admit_to_warming(&mut self, id: RequestId, i: usize) -> bool {
        let Some(rate) = self.warming_rate(&self.executors[i]) else { return true };
        let chance = self.chance();
        let admission = self.admission(&self.requests[&id], &self.executors[i], rate.own);
        let buckets = &mut self.executors[i].warming_buckets;
        self.slow_start.admit(buckets, &admission, chance, self.now)
    }

    fn admission(&self, request: &Request, executor: &Executor, rate: f64) -> Admission {
        let slow_start = &self.settings.slow_start;
        let capacity_fraction = self.capacity_fraction(executor).max(LEAST_CAPACITY_FRACTION);
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

    /// What a request counts as at an executor in slow start, in thread-seconds.
    fn slow_start_work(&self, request: &Request) -> f64 {
        request.cost.max(LEAST_OF_CLASS_MEAN * self.class_mean(request.class))
    }

    /// An executor in slow start takes no request that would alone be a large part of its budget.
    pub(super) fn slow_start_allows(&self, request: &Request, executor: &Executor) -> bool {
        let Some(rate) = self.warming_rate(executor) else { return true };
        let largest =
            LARGEST_REQUEST * rate.all_dispatchers * self.settings.slow_start.overload_window as f64 / 1e6;
        self.slow_start_work(request) <= largest
    }

    /// Work that an executor in slow start may get from all dispatchers and from this one, in thread-seconds
    /// a second; `None` for a warm executor.
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

    /// Work that all executors in slow start may get from this dispatcher, in thread-seconds a second: the
    /// sum of what `warming_rate` has for each.
    fn total_warming_rate(&self) -> f64 {
        let slow_start = &self.settings.slow_start;
        let (cores, core_seconds) = self.executor_index.warming_cores(&self.settings.kinds, self.now);
        let ramp_s = slow_start.ramp.max(1) as f64 / 1e6;
        let initial = slow_start.initial_fraction;
        let present_cores = initial * cores + (1.0 - initial) * core_seconds / ramp_s;
        BUDGET_UTILIZATION * slow_start.overload_factor * present_cores * self.slow_start_share()
    }

    /// This dispatcher's share of the budget: that of the traffic, but an equal part at most, as shares are
    /// misjudged.
    fn slow_start_share(&self) -> f64 {
        let equal_share = 1.0 / f64::from(self.settings.dispatchers);
        self.load.traffic_share.min(equal_share)
    }

    /// Share of its capacity that an executor has: it grows from `initial_fraction` to 1 over the ramp.
    pub(crate) fn capacity_fraction(&self, executor: &Executor) -> f64 {
        let Some(started) = executor.warming_since else { return 1.0 };
        let slow_start = &self.settings.slow_start;
        let done = self.now.saturating_sub(started) as f64 / slow_start.ramp.max(1) as f64;
        if done >= 1.0 {
            return 1.0;
        }
        slow_start.initial_fraction + (1.0 - slow_start.initial_fraction) * done
    }

    /// Executors whose ramp is over are warm from now on.
    pub(super) fn finish_slow_starts(&mut self) {
        let latest_start = self.now.saturating_sub(self.settings.slow_start.ramp);
        while let Some(i) = self.executor_index.started_by(latest_start) {
            self.update_index(i);
        }
    }
}
