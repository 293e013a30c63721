//! Aggregates the load of all executors at each tick, and this dispatcher's share of it.

use super::pool::ExecutorLoad;
use super::{LoadModel, PoolLoad, report_confidence};
use crate::api::Settings;
use crate::state::{Balancer, Executor};
use std::collections::BTreeMap;

/// Time constant of a report's confidence in the fleet's sums, in seconds. It is long because only few
/// reports are fresh at any time.
const FLEET_REPORT_DECAY_S: f64 = 5.0;
/// Fraction of the fleet's cores assumed to run at the usual latency, as a prior for observed latency ratios.
const USUAL_LATENCY_FRACTION: f64 = 0.02;
/// Number of idle executors assumed besides those that report, because a few reports do not prove an
/// overload.
const UNOBSERVED_EXECUTORS: f64 = 2.0;
/// Weight of a tick in the traffic share, which averages over about ten seconds.
const TRAFFIC_SHARE_WEIGHT: f64 = 0.01;
/// Load, in threads per core, below which the traffic share cannot be estimated from own threads.
const MIN_LOAD: f64 = 0.05;
/// Utilization above which a report no longer indicates how many threads an executor runs.
const SATURATED_UTILIZATION: f64 = 0.85;
/// Minimum confidence in a report for a saturated executor to count.
const SATURATED_CONFIDENCE: f64 = 0.3;

/// Sums over the listed executors that are not ejected.
#[derive(Default)]
pub(super) struct FleetLoad {
    /// Load by pool.
    pub(super) pools: BTreeMap<u64, PoolLoad>,
    /// Cores of all executors.
    pub(super) cores: f64,
    /// Cores of executors with a known load, weighted by the confidence in their reports.
    pub(super) observed_cores: f64,
    /// Threads of this dispatcher's attempts in flight.
    pub(super) own_threads: f64,
    /// Whether any executor reports its number of requests.
    pub(super) counts_requests: bool,
    /// Whether any executor that reports only its utilization is saturated.
    pub(super) has_saturated_report: bool,
}

impl FleetLoad {
    /// Adds an executor.
    fn add(&mut self, executor: &Executor, model: &LoadModel, settings: &Settings, now: u64) {
        self.own_threads += executor.in_flight_threads;
        let Some(reported) = model.reported_threads(executor, settings) else { return };
        let others = (reported - executor.in_flight_threads_at_report).max(0.0);
        let threads = executor.in_flight_threads + others;
        let confidence = report_confidence(executor, now, FLEET_REPORT_DECAY_S);
        let memory = model.memory_of_threads(executor, threads, settings);
        let load = ExecutorLoad {
            confidence,
            threads: match model.uses_latency_ratios() {
                true => executor.latency_ratio.unwrap_or(0.0) * executor.cores,
                false => threads,
            },
            memory: executor.report.memory.unwrap_or(memory),
        };
        self.pools.entry(executor.pool).or_default().add(executor, &load);
        self.observed_cores += executor.cores * confidence;
        let counts_requests = executor.report.inflight.is_some();
        self.counts_requests |= counts_requests;
        let is_saturated = reported > SATURATED_UTILIZATION * executor.cores;
        self.has_saturated_report |= !counts_requests && is_saturated && confidence > SATURATED_CONFIDENCE;
    }

    /// Converts the sums of logarithms of latency ratios to threads. Pools with few recent observations are
    /// pulled towards the usual latency.
    fn apply_latency_ratios(&mut self) {
        for pool in self.pools.values_mut() {
            let mean = pool.in_flight_threads / (pool.cores + USUAL_LATENCY_FRACTION * self.cores);
            pool.in_flight_threads = mean.exp() * pool.cores;
        }
    }

    /// Adds idle cores for the executors that do not report; `listed` is the number of all executors.
    fn add_unobserved_cores(&mut self, listed: usize) {
        let cores_each = UNOBSERVED_EXECUTORS * self.cores / listed.max(1) as f64;
        let unobserved = cores_each * (1.0 - self.observed_cores / self.cores.max(1.0));
        for pool in self.pools.values_mut() {
            pool.cores += unobserved;
        }
    }

    /// Mean load of the executors with a known load, in threads per core.
    fn mean_load(&self) -> f64 {
        let threads = self.pools.values().map(|pool| pool.in_flight_threads).sum::<f64>();
        threads / self.observed_cores.max(1.0)
    }
}

impl LoadModel {
    /// Moves the traffic share towards own threads over all threads, if reports state the load.
    fn update_traffic_share(&mut self, fleet: &FleetLoad) {
        let is_known = self.mean_load > MIN_LOAD && self.reports_state_load == Some(true);
        if !is_known || fleet.has_saturated_report {
            return;
        }
        let share = (fleet.own_threads / (self.mean_load * fleet.cores)).min(1.0);
        self.traffic_share += (share - self.traffic_share) * TRAFFIC_SHARE_WEIGHT;
    }
}

impl Balancer {
    /// Updates the load of all pools, this dispatcher's share of the traffic, and the pressure.
    pub(in crate::balancer) fn update_load(&mut self) {
        self.update_in_flight_means();
        let mut fleet = self.observe_fleet();
        if self.load.uses_latency_ratios() {
            fleet.apply_latency_ratios();
        } else {
            fleet.add_unobserved_cores(self.executor_index.listed_count());
        }
        self.load.mean_load = fleet.mean_load();
        self.load.update_traffic_share(&fleet);
        for pool in fleet.pools.values_mut() {
            pool.update_saturation(&self.settings, self.load.uses_latency_ratios());
        }
        self.load.pools = fleet.pools;
        self.update_pressure(fleet.counts_requests);
    }

    /// Sums up the load of the executors. Visits only the active ones, which sent or were sent anything.
    fn observe_fleet(&self) -> FleetLoad {
        self.count_examined(self.executors.active.len());
        let active = self.executors.active.iter().map(|index| &self.executors[*index]);
        let listed = active.filter(|executor| executor.is_listed());
        let is_ejected = |executor: &&Executor| executor.health.ejected_until.is_some();
        let ejected_cores: f64 = listed.clone().filter(is_ejected).map(|executor| executor.cores).sum();
        let all_cores = self.executor_index.cores(&self.settings.kinds, |_| true);
        let mut fleet = FleetLoad { cores: all_cores - ejected_cores, ..FleetLoad::default() };
        for executor in listed.filter(|executor| !is_ejected(executor)) {
            fleet.add(executor, &self.load, &self.settings, self.now);
        }
        fleet
    }
}
