//! The load of executors, estimated from load reports, own attempts in flight and own latencies.
//!
//! Load is measured in threads per core: at 1, every core of an executor is busy. A dispatcher has recent
//! reports from few executors at a time, so the confidence in a report decays with its age, and an executor
//! without a report is assumed to have the mean load of its pool. If reports state no load, the ratio of
//! observed to expected latency of own requests is used instead.

mod fleet;
mod pool;
mod pressure;

use pool::PoolLoad;
pub(super) use pool::is_pool_eligible;
pub(crate) use pressure::Pressure;

use super::cost_model::LEARNING_RATE;
use crate::api::{Micros, Settings};
use crate::state::{Balancer, Executor, Mean};
use std::collections::BTreeMap;

/// Load, in threads per core, below which an executor has spare capacity.
pub(super) const SPARE_CAPACITY_LOAD: f64 = 0.5;
/// Time constant of the confidence in a single executor's report, in seconds.
const REPORT_DECAY_S: f64 = 1.5;
/// Weight of the initial guess of threads per request, in requests in flight.
const GUESSED_REQUESTS: f64 = 0.3;
/// Weight of the latest latency ratio in an executor's mean.
const LATENCY_RATIO_WEIGHT: f64 = 0.4;
/// Upper bound of a latency ratio; its inverse is the lower bound.
const MAX_LATENCY_RATIO: f64 = 6.0;
/// Fraction of memory or disks in use above which an executor counts as more loaded.
const SCARCE_FRACTION: f64 = 0.75;
/// Upper bound of the fraction of memory or disks in use that counts.
const MAX_SCARCE_FRACTION: f64 = 1.5;
/// Additional load, in threads per core, per unit by which the fraction in use exceeds `SCARCE_FRACTION`.
const SCARCITY_WEIGHT: f64 = 2.0;

/// Estimated load of all executors, and this dispatcher's share of it.
#[derive(Debug, Default)]
pub(crate) struct LoadModel {
    /// Load by pool. A pool consists of the executors that are eligible for the same classes.
    pub(crate) pools: BTreeMap<u64, PoolLoad>,
    /// Mean load of all executors with a known load, in threads per core.
    pub(crate) mean_load: f64,
    /// This dispatcher's share of the threads of all requests, 0 to 1.
    pub(crate) traffic_share: f64,
    /// Whether reports state any load; `None` until the first report.
    pub(crate) reports_state_load: Option<bool>,
    /// Resources used by own requests.
    own: InFlightMeans,
}

/// Running means of the resources that this dispatcher's requests use on executors.
#[derive(Debug, Default)]
struct InFlightMeans {
    /// Memory granted per thread in flight, in MB.
    mb_per_thread: Mean,
    /// Threads in flight.
    threads: f64,
    /// Requests in flight.
    requests: f64,
}

impl LoadModel {
    /// An initial model, which assumes an equal share of the traffic for each dispatcher.
    pub(crate) fn new(dispatchers: u32) -> LoadModel {
        LoadModel { traffic_share: 1.0 / f64::from(dispatchers), ..LoadModel::default() }
    }

    /// Whether latency ratios are used because reports state no load.
    fn uses_latency_ratios(&self) -> bool {
        self.reports_state_load == Some(false)
    }

    /// Threads per request: the mean of own requests, with an initial guess that all classes use the same
    /// total number of threads.
    fn threads_per_request(&self, settings: &Settings) -> f64 {
        let requests_per_thread: f64 = settings.classes.iter().map(|c| 1.0 / f64::from(c.threads)).sum();
        let guess = settings.classes.len() as f64 / requests_per_thread;
        (self.own.threads + GUESSED_REQUESTS * guess) / (self.own.requests + GUESSED_REQUESTS)
    }

    /// Threads running on an executor by its report: the larger of its busy cores and the threads of its
    /// requests. Without either, derived from its memory in use, or else from latency ratios.
    fn reported_threads(&self, executor: &Executor, settings: &Settings) -> Option<f64> {
        let report = &executor.report;
        let busy_cores = report.util.map(|utilization| utilization * executor.cores);
        let threads_per_request = self.threads_per_request(settings);
        let threads = report.inflight.map(|requests| requests * threads_per_request);
        let by_count = busy_cores.map_or(threads, |busy| Some(busy.max(threads.unwrap_or(0.0))));
        let by_latency = || executor.latency_ratio.map(|ratio| ratio.exp() * executor.cores);
        by_count.or_else(|| self.threads_by_memory(executor, settings)).or_else(by_latency)
    }

    /// Threads derived from the memory in use and the memory granted to own threads.
    fn threads_by_memory(&self, executor: &Executor, settings: &Settings) -> Option<f64> {
        let memory = executor.report.memory.filter(|_| self.own.mb_per_thread.value > 0.0)?;
        Some(memory / self.memory_of_threads(executor, 1.0, settings))
    }

    /// Fraction of an executor's memory that `threads` threads use, by the memory granted to own threads.
    fn memory_of_threads(&self, executor: &Executor, threads: f64, settings: &Settings) -> f64 {
        let memory_mb = settings.kinds[executor.endpoint.kind].memory_mb.max(1.0);
        threads * self.own.mb_per_thread.value_or(0.0) / memory_mb
    }

    /// Assumed load of an executor without a report, in threads per core: the mean of its pool, scaled by its
    /// current capacity fraction in slow start.
    fn assumed_load(&self, executor: &Executor, capacity_fraction: f64) -> f64 {
        let pool = self.pools.get(&executor.pool);
        pool.map_or(self.mean_load, |pool| pool.per_core(pool.in_flight_threads)) * capacity_fraction
    }

    /// Load of an executor in threads per core: the reported load plus own threads sent since, blended with
    /// the assumed load by the confidence in the report, plus a penalty for scarce memory or disks.
    fn load_of(&self, executor: &Executor, settings: &Settings, capacity_fraction: f64, now: Micros) -> f64 {
        let assumed = self.assumed_load(executor, capacity_fraction);
        let Some(reported) = self.reported_threads(executor, settings) else {
            return assumed.max(executor.in_flight_threads / executor.cores);
        };
        let queued = executor.report.queue.unwrap_or(0.0) * self.threads_per_request(settings);
        let sent_since = executor.in_flight_threads - executor.in_flight_threads_at_report;
        let known = (reported + queued + sent_since).max(executor.in_flight_threads);
        let confidence = report_confidence(executor, now, REPORT_DECAY_S);
        let threads = known * confidence + assumed * executor.cores * (1.0 - confidence);
        threads / executor.cores + self.scarcity(executor, threads, settings)
    }

    /// Load penalty in threads per core for an executor whose memory or disks are nearly exhausted.
    fn scarcity(&self, executor: &Executor, threads: f64, settings: &Settings) -> f64 {
        let report = &executor.report;
        let memory = report.memory.unwrap_or(self.memory_of_threads(executor, threads, settings));
        let in_use = memory.max(report.disks.unwrap_or(0.0));
        SCARCITY_WEIGHT * (in_use.min(MAX_SCARCE_FRACTION) - SCARCE_FRACTION).max(0.0)
    }
}

/// Confidence in an executor's report: 1 when new, decaying with the time constant `decay_s` in seconds.
fn report_confidence(executor: &Executor, now: Micros, decay_s: f64) -> f64 {
    let seconds = now.saturating_sub(executor.report_received_at) as f64 / 1e6;
    (-(seconds / decay_s)).exp()
}

impl Balancer {
    /// Load of an executor, in threads per core.
    pub(super) fn executor_load(&self, executor: &Executor) -> f64 {
        let capacity_fraction = self.capacity_fraction(executor);
        self.load.load_of(executor, &self.settings, capacity_fraction, self.now)
    }

    /// If reports state no load, records the ratio of an attempt's observed to its expected latency. The mean
    /// is taken over logarithms because errors of estimates are multiplicative.
    pub(super) fn record_latency_ratio(&mut self, index: usize, ratio: f64) {
        if !self.load.uses_latency_ratios() {
            return;
        }
        let executor = &mut self.executors[index];
        let latest = ratio.clamp(1.0 / MAX_LATENCY_RATIO, MAX_LATENCY_RATIO).ln();
        let mean =
            executor.latency_ratio.map_or(latest, |mean| mean + (latest - mean) * LATENCY_RATIO_WEIGHT);
        executor.latency_ratio = Some(mean);
        executor.report_received_at = self.now;
    }

    /// Updates the running means of the resources that own requests use.
    fn update_in_flight_means(&mut self) {
        let active = self.executors.active.iter().map(|index| &self.executors[*index]);
        let (granted_mb, threads) =
            active.fold((0.0, 0.0), |(mb, threads), e| (mb + e.granted_mb, threads + e.in_flight_threads));
        if threads > 0.0 {
            let own = &mut self.load.own;
            own.mb_per_thread.add(granted_mb / threads, LEARNING_RATE);
            own.threads += (threads - own.threads) * LEARNING_RATE;
            own.requests += (self.requests.len() as f64 - own.requests) * LEARNING_RATE;
        }
    }
}
