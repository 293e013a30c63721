//! How loaded the executors are, as far as load reports, own attempts in flight and own latencies tell.
//!
//! Load is counted in threads a core: 1 keeps every core of an executor busy. A dispatcher receives reports
//! from few executors at a time, so that a report counts less with its age, and an executor without a report
//! is taken to be as loaded as the mean of its pool. Where reports state no load, the ratio of own latencies
//! to those expected stands in for them.

mod fleet;
mod pool;
mod pressure;

use pool::PoolLoad;
pub(super) use pool::is_open_to;
pub(crate) use pressure::Pressure;

use super::cost_model::LEARNING_RATE;
use crate::api::{Micros, Settings};
use crate::state::{Balancer, Executor, Mean};
use std::collections::BTreeMap;

/// Under this load, in threads a core, an executor has spare capacity.
pub(super) const SPARE_CAPACITY_LOAD: f64 = 0.5;
/// Age at which a report of one executor counts a third, in seconds.
const REPORT_AGE_S: f64 = 1.5;
/// Requests in flight that the threads guessed from the classes weigh, against the mean of those seen.
const GUESSED_REQUESTS: f64 = 0.3;
/// Weight of the latest latency ratio in an executor's mean.
const LATENCY_RATIO_WEIGHT: f64 = 0.4;
/// The largest latency ratio that counts, and the inverse of the least.
const MAX_LATENCY_RATIO: f64 = 6.0;
/// Fraction of memory or of disks in use from which an executor counts as more loaded.
const SCARCE_FRACTION: f64 = 0.75;
/// The largest fraction of memory or of disks in use that counts.
const MAX_SCARCE_FRACTION: f64 = 1.5;
/// Threads a core that an executor counts as more loaded, for each whole of memory or disks above it.
const SCARCITY_WEIGHT: f64 = 2.0;

/// What is known of the load of all executors, and of this dispatcher's part in it.
#[derive(Debug, Default)]
pub(crate) struct LoadModel {
    /// Load by pool: executors open to the same classes are a pool.
    pub(crate) pools: BTreeMap<u64, PoolLoad>,
    /// Mean load of all executors with a known load, in threads a core.
    pub(crate) mean_load: f64,
    /// This dispatcher's share of all requests' threads, 0 to 1.
    pub(crate) traffic_share: f64,
    /// Whether reports state any load; unknown until the first report.
    pub(crate) reports_tell_load: Option<bool>,
    /// What own requests hold.
    own: InFlightMeans,
}

/// Running means of what this dispatcher's own requests hold at executors.
#[derive(Debug, Default)]
struct InFlightMeans {
    /// Memory granted for each thread in flight, in MB.
    mb_per_thread: Mean,
    /// Threads in flight.
    threads: f64,
    /// Requests in flight.
    requests: f64,
}

impl LoadModel {
    /// Nothing is known yet: this dispatcher has an equal share of the traffic.
    pub(crate) fn new(dispatchers: u32) -> LoadModel {
        LoadModel { traffic_share: 1.0 / f64::from(dispatchers), ..LoadModel::default() }
    }

    /// Whether latency ratios stand in for reports, which state no load.
    fn uses_latency_ratios(&self) -> bool {
        self.reports_tell_load == Some(false)
    }

    /// Threads of a request in flight: the mean of own ones, at first as if all classes held as many threads.
    fn threads_per_request(&self, settings: &Settings) -> f64 {
        let requests_per_thread: f64 = settings.classes.iter().map(|c| 1.0 / f64::from(c.threads)).sum();
        let guess = settings.classes.len() as f64 / requests_per_thread;
        (self.own.threads + GUESSED_REQUESTS * guess) / (self.own.requests + GUESSED_REQUESTS)
    }

    /// Threads that an executor holds by its report: the larger of its busy cores and its requests' threads,
    /// else what its memory in use stands for, else what latencies tell.
    fn reported_threads(&self, executor: &Executor, settings: &Settings) -> Option<f64> {
        let report = &executor.report;
        let busy_cores = report.util.map(|utilization| utilization * executor.cores);
        let threads_per_request = self.threads_per_request(settings);
        let threads = report.inflight.map(|requests| requests * threads_per_request);
        let by_count = busy_cores.map_or(threads, |busy| Some(busy.max(threads.unwrap_or(0.0))));
        let by_latency = || executor.latency_ratio.map(|ratio| ratio.exp() * executor.cores);
        by_count.or_else(|| self.threads_by_memory(executor, settings)).or_else(by_latency)
    }

    /// Threads that the memory in use stands for, by what own threads are granted.
    fn threads_by_memory(&self, executor: &Executor, settings: &Settings) -> Option<f64> {
        let memory = executor.report.memory.filter(|_| self.own.mb_per_thread.value > 0.0)?;
        Some(memory / self.memory_of_threads(executor, 1.0, settings))
    }

    /// Fraction of an executor's memory that so many threads use, by what own threads are granted.
    fn memory_of_threads(&self, executor: &Executor, threads: f64, settings: &Settings) -> f64 {
        let memory_mb = settings.kinds[executor.endpoint.kind].memory_mb.max(1.0);
        threads * self.own.mb_per_thread.value_or(0.0) / memory_mb
    }

    /// Load that is assumed of an executor without a report, in threads a core: the mean of its pool, scaled
    /// by the fraction of its capacity that it has in slow start.
    fn assumed_load(&self, executor: &Executor, capacity_fraction: f64) -> f64 {
        let pool = self.pools.get(&executor.pool);
        pool.map_or(self.mean_load, |pool| pool.per_core(pool.in_flight_threads)) * capacity_fraction
    }

    /// Load of an executor in threads a core: its report and own threads sent since, as far as the report is
    /// fresh; the rest as assumed. Memory or disks that run out add to it.
    fn load_of(&self, executor: &Executor, settings: &Settings, capacity_fraction: f64, now: Micros) -> f64 {
        let assumed = self.assumed_load(executor, capacity_fraction);
        let Some(reported) = self.reported_threads(executor, settings) else {
            return assumed.max(executor.in_flight_threads / executor.cores);
        };
        let queued = executor.report.queue.unwrap_or(0.0) * self.threads_per_request(settings);
        let sent_since = executor.in_flight_threads - executor.in_flight_threads_at_report;
        let known = (reported + queued + sent_since).max(executor.in_flight_threads);
        let confidence = report_confidence(executor, now, REPORT_AGE_S);
        let threads = known * confidence + assumed * executor.cores * (1.0 - confidence);
        threads / executor.cores + self.scarcity(executor, threads, settings)
    }

    /// Threads a core that an executor counts as more loaded because its memory or its disks run out.
    fn scarcity(&self, executor: &Executor, threads: f64, settings: &Settings) -> f64 {
        let report = &executor.report;
        let memory = report.memory.unwrap_or(self.memory_of_threads(executor, threads, settings));
        let in_use = memory.max(report.disks.unwrap_or(0.0));
        SCARCITY_WEIGHT * (in_use.min(MAX_SCARCE_FRACTION) - SCARCE_FRACTION).max(0.0)
    }
}

/// How much a report of an executor still counts: 1 when new, a third at `age_s` seconds.
fn report_confidence(executor: &Executor, now: Micros, age_s: f64) -> f64 {
    let seconds = now.saturating_sub(executor.report_received_at) as f64 / 1e6;
    (-(seconds / age_s)).exp()
}

impl Balancer {
    /// Load of an executor, in threads a core.
    pub(super) fn executor_load(&self, executor: &Executor) -> f64 {
        let capacity_fraction = self.capacity_fraction(executor);
        self.load.load_of(executor, &self.settings, capacity_fraction, self.now)
    }

    /// Where reports state no load, records by how much an attempt took longer than expected. The mean is
    /// one of logarithms, as estimates are wrong by factors.
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

    /// Updates the running means of what own requests hold.
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
