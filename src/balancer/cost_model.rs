//! The cost model: predicts what a request costs in thread-seconds, and learns from outcomes.
//!
//! The prediction is the client's estimate, corrected by the observed error of its class's estimates. Without
//! an estimate it is the mean cost of the request's class and table group, or else the mean of its class.

use crate::api::{Arrival, ClassId, Micros, ReportedCost, RequestId, Settings};
use crate::state::{Balancer, Mean, Request};
use lru::LruCache;
use std::num::NonZeroUsize;

/// Weight of a new outcome in the learned means.
pub(super) const LEARNING_RATE: f64 = 0.02;
/// Number of outcomes of a class before its mean cost is derived from them.
pub(super) const MIN_OUTCOMES: u32 = 8;
/// Weight of a new outcome in the mean of a class and table group.
const CACHE_LEARNING_RATE: f64 = 0.1;
/// Number of cached means by class and table group: enough for some hundred groups in each of a few classes.
const CACHE_CAPACITY: NonZeroUsize = NonZeroUsize::new(1024).unwrap();
/// Number of correct outcomes that a class's first estimate counts as, to limit the effect of one bad query
/// plan.
const PRIOR_OUTCOMES: u32 = 5;
/// Upper bound of a cost that is not reported but derived from latency, as a multiple of the prediction. A
/// higher cost is due to a bad query plan.
const MAX_COST_MULTIPLE: f64 = 3.0;
/// Upper bound of a cost that is used to correct estimates, as a multiple of the prediction.
const MAX_CORRECTION_MULTIPLE: f64 = 20.0;
/// Upper bound of a learned latency ratio.
const MAX_LATENCY_RATIO: f64 = 10.0;
/// Weight of a new outcome in a class's latency ratio.
const LATENCY_RATIO_WEIGHT: f64 = LEARNING_RATE * 2.0;
/// Weight of a new outcome in an executor's relative latency.
const RELATIVE_LATENCY_WEIGHT: f64 = 0.08;
/// Upper bound of a learned relative latency; its inverse is the lower bound.
const MAX_RELATIVE_LATENCY: f64 = 10.0;
/// Quantile of memory needs that a grant should cover.
const GRANT_QUANTILE: f64 = 0.8;
/// Step of the memory bias per outcome (a natural logarithm).
const GRANT_STEP: f64 = 0.05;
/// Initial memory correction. Executors without a grant allocate a quarter more than the estimate.
const INITIAL_MEMORY_CORRECTION: f64 = 0.25;
/// Lower bound of costs and ratios as divisors.
const MIN_COST: f64 = 1e-6;
/// Lower bound of a mean estimate as a divisor.
const MIN_ESTIMATE: f64 = 1e-9;

/// Learned costs of requests.
pub(crate) struct CostModel {
    /// Mean cost by class and table group, in thread-seconds.
    cache: LruCache<(ClassId, u64), Mean>,
    pub(crate) classes: Vec<ClassCost>,
    /// Mean predicted cost of all requests, in thread-seconds.
    pub(crate) mean_cost: Mean,
}

/// Learned costs of a class.
#[derive(Debug, Clone)]
pub(crate) struct ClassCost {
    /// Observed cost, in thread-seconds.
    cost: Mean,
    /// Number of finished attempts, whatever their outcome.
    pub(crate) finished_attempts: u32,
    /// Estimated cost of arrivals, in thread-seconds.
    estimate: Mean,
    /// Observed cost of requests with an estimate, in thread-seconds.
    observed_mean: Mean,
    /// Estimated cost of the same requests, in thread-seconds.
    estimate_mean: Mean,
    /// Observed latency divided by expected latency.
    pub(crate) latency_ratio: Mean,
    /// Natural logarithm of needed memory over estimated memory, at the quantile that a grant should cover.
    pub(crate) memory_bias: f64,
    /// Memory need in MB, if responses report it.
    pub(crate) memory_mb: Mean,
}

impl ClassCost {
    /// A class without outcomes.
    fn new() -> ClassCost {
        ClassCost {
            cost: Mean::default(),
            finished_attempts: 0,
            estimate: Mean::default(),
            observed_mean: Mean::default(),
            estimate_mean: Mean::default(),
            latency_ratio: Mean { value: 1.0, count: PRIOR_OUTCOMES },
            memory_bias: INITIAL_MEMORY_CORRECTION.ln_1p(),
            memory_mb: Mean::default(),
        }
    }

    /// Records an estimate and the observed cost. The first estimate counts as several correct ones.
    fn record_estimate_error(&mut self, estimate: f64, observed: f64) {
        if self.estimate_mean.count == 0 {
            let prior = Mean { value: estimate, count: PRIOR_OUTCOMES };
            (self.estimate_mean, self.observed_mean) = (prior, prior);
        }
        self.observed_mean.add(observed, LEARNING_RATE);
        self.estimate_mean.add(estimate, LEARNING_RATE);
    }

    /// Correction factor for estimates of the class.
    fn estimate_correction(&self) -> f64 {
        self.observed_mean.value_or(1.0) / self.estimate_mean.value_or(1.0).max(MIN_ESTIMATE)
    }

    /// Moves the memory bias towards the quantile of needs that a grant should cover. A spill that the
    /// response does not report was already learned from its progress message.
    fn learn_memory(&mut self, estimate_mb: f64, reported: Option<ReportedCost>, spilled: bool) {
        // Reported needs move the first few grants by larger steps.
        let first_step = reported.map_or(0.0, |_| 1.0 / f64::from(self.memory_mb.count + 1));
        let fell_short = reported.is_some_and(|cost| cost.memory_mb > estimate_mb * self.memory_bias.exp());
        let direction = if fell_short { GRANT_QUANTILE } else { GRANT_QUANTILE - 1.0 };
        if fell_short || !spilled {
            self.memory_bias += GRANT_STEP.max(first_step) * direction;
        }
    }
}

impl CostModel {
    /// A model of `classes` classes without outcomes.
    pub(crate) fn new(classes: usize) -> CostModel {
        CostModel {
            cache: LruCache::new(CACHE_CAPACITY),
            classes: vec![ClassCost::new(); classes],
            mean_cost: Mean::default(),
        }
    }

    /// Mean cost of a class, in thread-seconds. It is derived from the outcomes once there are enough of
    /// them, before that from the estimates, and without estimates from the latency objective.
    pub(crate) fn class_mean(&self, class: ClassId, settings: &Settings) -> f64 {
        let model = &self.classes[class];
        if model.cost.count >= MIN_OUTCOMES {
            return model.cost.value;
        }
        let class = &settings.classes[class];
        model.estimate.value_or(class.latency_objective as f64 / 1e6 * f64::from(class.threads))
    }

    /// Predicted cost of a request, in thread-seconds.
    pub(crate) fn predict(&mut self, arrival: &Arrival, settings: &Settings) -> f64 {
        if let Some(estimate) = arrival.estimated_thread_seconds {
            return estimate * self.classes[arrival.class].estimate_correction();
        }
        let cached = self.cache.get(&(arrival.class, arrival.table_group)).map(|mean| mean.value);
        cached.unwrap_or_else(|| self.class_mean(arrival.class, settings))
    }

    /// Records the predicted and the estimated cost of an arrival.
    pub(crate) fn record_arrival(&mut self, arrival: &Arrival, predicted_cost: f64) {
        self.mean_cost.add(predicted_cost, LEARNING_RATE);
        if let Some(estimate) = arrival.estimated_thread_seconds {
            self.classes[arrival.class].estimate.add(estimate, LEARNING_RATE);
        }
    }

    /// Learns the cost of an attempt that took `spent` thread-seconds. Returns the class's latency ratio.
    fn learn(&mut self, request: &Request, spent: f64, reported: Option<ReportedCost>) -> f64 {
        let capped = spent.min(MAX_COST_MULTIPLE * request.predicted_cost);
        let cost = reported.map_or(capped, |reported| reported.thread_seconds);
        let class = &mut self.classes[request.class];
        class.cost.add(cost, LEARNING_RATE);
        let ratio = (spent / request.predicted_cost.max(MIN_COST)).min(MAX_LATENCY_RATIO);
        class.latency_ratio.add(ratio, LATENCY_RATIO_WEIGHT);
        if let Some(estimate) = request.estimated_cost {
            class.record_estimate_error(estimate, cost.min(MAX_CORRECTION_MULTIPLE * request.predicted_cost));
        }
        if let Some(reported) = reported {
            class.memory_mb.add(reported.memory_mb, LEARNING_RATE);
        }
        let class_ratio = class.latency_ratio.value;
        let group = (request.class, request.table_group);
        self.cache.get_or_insert_mut(group, Mean::default).add(cost, CACHE_LEARNING_RATE);
        class_ratio
    }
}

impl Balancer {
    /// Mean cost of a class, in thread-seconds.
    pub(super) fn class_mean(&self, class: ClassId) -> f64 {
        self.cost_model.class_mean(class, &self.settings)
    }

    /// Expected run time of a request in seconds, scaled by the recent latency ratio of its class.
    pub(crate) fn expected_latency_s(&self, request: &Request) -> f64 {
        let latency_ratio = self.cost_model.classes[request.class].latency_ratio.value_or(1.0);
        request.predicted_cost / f64::from(self.settings.classes[request.class].threads) * latency_ratio
    }

    /// Learns from a successful attempt: the request's cost, its memory need and its executor's latency.
    pub(super) fn learn_cost(
        &mut self,
        id: RequestId,
        attempt: usize,
        latency: Micros,
        reported: Option<ReportedCost>,
    ) {
        let request = &self.requests[&id];
        let attempt = &request.attempts[attempt];
        let index = attempt.executor;
        let spent = latency as f64 / 1e6 * f64::from(self.settings.classes[request.class].threads);
        let class_ratio = self.cost_model.learn(request, spent, reported);
        // Without progress messages and reported needs, spills are invisible, so the memory bias must not be
        // updated: grants would fall with each response until most requests spill.
        let reports_spills = reported.is_some() || self.settings.progress_interval.is_some();
        if let Some(estimate_mb) = request.estimated_memory_mb.filter(|_| reports_spills) {
            let class = &mut self.cost_model.classes[request.class];
            class.learn_memory(estimate_mb, reported, attempt.spilled);
        }
        let ratio = spent / request.predicted_cost.max(MIN_COST);
        let relative = ratio / class_ratio.max(MIN_COST);
        let relative = relative.clamp(1.0 / MAX_RELATIVE_LATENCY, MAX_RELATIVE_LATENCY);
        self.executors[index].relative_latency.add(relative, RELATIVE_LATENCY_WEIGHT);
        self.record_latency_ratio(index, ratio);
    }
}
