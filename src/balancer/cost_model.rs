//! What a request is predicted to cost, in thread-seconds, and what its outcome teaches.
//!
//! The prediction is the client's estimate, corrected by how wrong the estimates of its class have been; else
//! the mean cost of its class and table group; else the mean of its class.

use crate::api::{Arrival, ClassId, Micros, ReportedCost, RequestId, Settings};
use crate::state::{Balancer, Mean, Request};
use lru::LruCache;
use std::num::NonZeroUsize;

/// Weight of one outcome in the learned means.
pub(super) const LEARNING_RATE: f64 = 0.02;
/// Outcomes of a class before its mean cost comes from them.
pub(super) const OUTCOMES_WANTED: u32 = 8;
/// Weight of one outcome in the mean of a class and table group.
const CACHE_LEARNING_RATE: f64 = 0.1;
/// Means that are cached, by class and table group: some hundred groups for a few classes.
const CACHE_CAPACITY: NonZeroUsize = NonZeroUsize::new(1024).unwrap();
/// Outcomes that a class's first estimate counts as, so that one bad query plan teaches little.
const PRIOR_OUTCOMES: u32 = 5;
/// A cost that is not reported counts as this multiple of the predicted one at most: more is a bad plan's.
const MAX_COST_MULTIPLE: f64 = 3.0;
/// A cost counts as this multiple of the predicted one at most, where it corrects estimates.
const MAX_CORRECTION_MULTIPLE: f64 = 20.0;
/// The largest latency ratio that is learned.
const MAX_LATENCY_RATIO: f64 = 10.0;
/// Weight of one outcome in a class's latency ratio.
const LATENCY_RATIO_WEIGHT: f64 = LEARNING_RATE * 2.0;
/// Weight of one outcome in an executor's latency relative to the others.
const RELATIVE_LATENCY_WEIGHT: f64 = 0.08;
/// The largest relative latency that is learned, and the inverse of the least.
const MAX_RELATIVE_LATENCY: f64 = 10.0;
/// Quantile of memory needs that a grant covers.
const GRANT_QUANTILE: f64 = 0.8;
/// Step of the memory correction for one outcome, as a logarithm.
const GRANT_STEP: f64 = 0.05;
/// Memory correction at first: executors grant a quarter over the estimate by themselves.
const FIRST_MEMORY_CORRECTION: f64 = 0.25;
/// The least cost and the least ratio that anything is divided by.
const LEAST_COST: f64 = 1e-6;
/// The least mean of estimates that anything is divided by.
const LEAST_ESTIMATE: f64 = 1e-9;

/// What was learned of the cost of requests.
pub(crate) struct CostModel {
    /// Mean cost by class and table group, in thread-seconds.
    cache: LruCache<(ClassId, u64), Mean>,
    pub(crate) classes: Vec<ClassCost>,
    /// Mean predicted cost of all requests, in thread-seconds.
    pub(crate) mean_cost: Mean,
}

/// What was learned of the cost of a class.
#[derive(Debug, Clone)]
pub(crate) struct ClassCost {
    /// Cost of its outcomes, in thread-seconds.
    cost: Mean,
    /// Attempts that have ended, however they ended.
    pub(crate) finished_attempts: u32,
    /// Estimates of its arrivals, in thread-seconds.
    estimate: Mean,
    /// Costs of the requests that had an estimate, in thread-seconds.
    observed_mean: Mean,
    /// The estimates of the same requests, in thread-seconds.
    estimate_mean: Mean,
    /// Time taken over time expected.
    pub(crate) latency_ratio: Mean,
    /// Logarithm of memory needed over memory estimated, at the quantile that a grant covers.
    pub(crate) memory_bias: f64,
    /// Memory needed where answers report it, in MB.
    pub(crate) memory_mb: Mean,
}

impl ClassCost {
    /// Nothing was learned.
    fn new() -> ClassCost {
        ClassCost {
            cost: Mean::default(),
            finished_attempts: 0,
            estimate: Mean::default(),
            observed_mean: Mean::default(),
            estimate_mean: Mean::default(),
            latency_ratio: Mean { value: 1.0, count: PRIOR_OUTCOMES },
            memory_bias: FIRST_MEMORY_CORRECTION.ln_1p(),
            memory_mb: Mean::default(),
        }
    }

    /// Counts an estimate and the cost observed. The first estimate counts as some correct ones.
    fn compare(&mut self, estimate: f64, observed: f64) {
        if self.estimate_mean.count == 0 {
            let prior = Mean { value: estimate, count: PRIOR_OUTCOMES };
            (self.estimate_mean, self.observed_mean) = (prior, prior);
        }
        self.observed_mean.add(observed, LEARNING_RATE);
        self.estimate_mean.add(estimate, LEARNING_RATE);
    }

    /// Factor by which an estimate of the class is corrected.
    fn estimate_correction(&self) -> f64 {
        self.observed_mean.value_or(1.0) / self.estimate_mean.value_or(1.0).max(LEAST_ESTIMATE)
    }

    /// Moves the memory correction towards the quantile of needs that a grant covers. A spill that no answer
    /// states was learned when its progress note came.
    fn learn_memory(&mut self, estimate_mb: f64, reported: Option<ReportedCost>, spilled: bool) {
        // A reported need moves the first few grants far.
        let first_step = reported.map_or(0.0, |_| 1.0 / f64::from(self.memory_mb.count + 1));
        let fell_short = reported.is_some_and(|cost| cost.memory_mb > estimate_mb * self.memory_bias.exp());
        let direction = if fell_short { GRANT_QUANTILE } else { GRANT_QUANTILE - 1.0 };
        if fell_short || !spilled {
            self.memory_bias += GRANT_STEP.max(first_step) * direction;
        }
    }
}

impl CostModel {
    /// Nothing was learned of so many classes.
    pub(crate) fn new(classes: usize) -> CostModel {
        CostModel {
            cache: LruCache::new(CACHE_CAPACITY),
            classes: vec![ClassCost::new(); classes],
            mean_cost: Mean::default(),
        }
    }

    /// Mean cost of a class, in thread-seconds: of its outcomes, until there are enough of its estimates,
    /// until there are any of its latency objective.
    pub(crate) fn class_mean(&self, class: ClassId, settings: &Settings) -> f64 {
        let model = &self.classes[class];
        if model.cost.count >= OUTCOMES_WANTED {
            return model.cost.value;
        }
        let class = &settings.classes[class];
        model.estimate.value_or(class.latency_objective as f64 / 1e6 * f64::from(class.threads))
    }

    /// Predicted cost of a request, in thread-seconds.
    pub(crate) fn predict(&mut self, arrival: &Arrival, settings: &Settings) -> f64 {
        if let Some(estimate) = arrival.estimate_s {
            return estimate * self.classes[arrival.class].estimate_correction();
        }
        let cached = self.cache.get(&(arrival.class, arrival.group)).map(|mean| mean.value);
        cached.unwrap_or_else(|| self.class_mean(arrival.class, settings))
    }

    /// Counts a request that has arrived.
    pub(crate) fn record_arrival(&mut self, arrival: &Arrival, predicted_cost: f64) {
        self.mean_cost.add(predicted_cost, LEARNING_RATE);
        if let Some(estimate) = arrival.estimate_s {
            self.classes[arrival.class].estimate.add(estimate, LEARNING_RATE);
        }
    }

    /// Learns the cost of an attempt that took `spent` thread-seconds. Returns the class's latency ratio.
    fn learn(&mut self, request: &Request, spent: f64, reported: Option<ReportedCost>) -> f64 {
        let capped = spent.min(MAX_COST_MULTIPLE * request.cost);
        let cost = reported.map_or(capped, |reported| reported.thread_seconds);
        let class = &mut self.classes[request.class];
        class.cost.add(cost, LEARNING_RATE);
        let ratio = (spent / request.cost.max(LEAST_COST)).min(MAX_LATENCY_RATIO);
        class.latency_ratio.add(ratio, LATENCY_RATIO_WEIGHT);
        if let Some(estimate) = request.estimate {
            class.compare(estimate, cost.min(MAX_CORRECTION_MULTIPLE * request.cost));
        }
        if let Some(reported) = reported {
            class.memory_mb.add(reported.memory_mb, LEARNING_RATE);
        }
        let class_ratio = class.latency_ratio.value;
        let group = (request.class, request.group);
        self.cache.get_or_insert_mut(group, Mean::default).add(cost, CACHE_LEARNING_RATE);
        class_ratio
    }
}

impl Balancer {
    /// Mean cost of a class, in thread-seconds.
    pub(super) fn class_mean(&self, class: ClassId) -> f64 {
        self.cost_model.class_mean(class, &self.settings)
    }

    /// Time that a request should take, in seconds, by how long its class takes lately.
    pub(crate) fn expected_latency_s(&self, request: &Request) -> f64 {
        let latency_ratio = self.cost_model.classes[request.class].latency_ratio.value_or(1.0);
        request.cost / f64::from(self.settings.classes[request.class].threads) * latency_ratio
    }

    /// Learns from an attempt that was answered: the request's cost, its memory and its executor's latency.
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
        // Guards against grants that fall with each answer until most requests spill: without progress notes
        // and reported needs no answer tells of a spill, so that nothing is learned.
        let tells_spills = reported.is_some() || self.settings.progress.is_some();
        if let Some(estimate_mb) = request.memory_estimate.filter(|_| tells_spills) {
            let class = &mut self.cost_model.classes[request.class];
            class.learn_memory(estimate_mb, reported, attempt.spilled);
        }
        let ratio = spent / request.cost.max(LEAST_COST);
        let relative = ratio / class_ratio.max(LEAST_COST);
        let relative = relative.clamp(1.0 / MAX_RELATIVE_LATENCY, MAX_RELATIVE_LATENCY);
        self.executors[index].relative_latency.add(relative, RELATIVE_LATENCY_WEIGHT);
        self.record_latency_ratio(index, ratio);
    }
}
