//! What all executors hold at a tick, and this dispatcher's share of it.

use super::pool::ExecutorLoad;
use super::{LoadModel, PoolLoad, report_confidence};
use crate::api::Settings;
use crate::state::{Balancer, Executor};
use std::collections::BTreeMap;

/// Age at which a report counts a third in the sums of all executors, in seconds: few are fresh at a time.
const FLEET_REPORT_AGE_S: f64 = 5.0;
/// Part of the fleet's cores that stand as at the usual latency against the latency ratios observed.
const USUAL_LATENCY_FRACTION: f64 = 0.02;
/// Idle executors that stand against the reports where no other executor reports: a few prove no overload.
const UNOBSERVED_EXECUTORS: f64 = 2.0;
/// Weight of a tick in the traffic share: about ten seconds count.
const TRAFFIC_SHARE_WEIGHT: f64 = 0.01;
/// Load, in threads a core, under which own threads say nothing of the traffic share.
const LEAST_LOAD: f64 = 0.05;
/// Utilization at which a report says no more how many threads an executor holds.
const SATURATED_UTILIZATION: f64 = 0.85;
/// Confidence in a report from which a saturated executor counts.
const SATURATED_CONFIDENCE: f64 = 0.3;

/// Sums over the listed executors that are not ejected.
#[derive(Default)]
pub(super) struct FleetLoad {
    /// Load by pool.
    pub(super) pools: BTreeMap<u64, PoolLoad>,
    /// Cores of all executors.
    pub(super) cores: f64,
    /// Cores of those with a known load, weighted by the confidence in their reports.
    pub(super) observed_cores: f64,
    /// Threads of own attempts in flight.
    pub(super) own_threads: f64,
    /// Whether any executor reports how many requests it holds.
    pub(super) counts_requests: bool,
    /// Whether any executor reports its utilization alone, and it is at its end.
    pub(super) has_saturated_report: bool,
}

impl FleetLoad {
    /// Adds an executor.
    fn add(&mut self, executor: &Executor, model: &LoadModel, settings: &Settings, now: u64) {
        self.own_threads += executor.in_flight_threads;
        let Some(reported) = model.reported_threads(executor, settings) else { return };
        let others = (reported - executor.in_flight_threads_at_report).max(0.0);
        let threads = executor.in_flight_threads + others;
        let confidence = report_confidence(executor, now, FLEET_REPORT_AGE_S);
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

    /// Takes latency ratios back from logarithms. Where few were observed lately they count less.
    fn apply_latency_ratios(&mut self) {
        for pool in self.pools.values_mut() {
            let mean = pool.in_flight_threads / (pool.cores + USUAL_LATENCY_FRACTION * self.cores);
            pool.in_flight_threads = mean.exp() * pool.cores;
        }
    }

    /// Counts idle cores for the executors that do not report, `listed` being the number of all.
    fn add_unobserved_cores(&mut self, listed: usize) {
        let cores_each = UNOBSERVED_EXECUTORS * self.cores / listed.max(1) as f64;
        let unobserved = cores_each * (1.0 - self.observed_cores / self.cores.max(1.0));
        for pool in self.pools.values_mut() {
            pool.cores += unobserved;
        }
    }

    /// Mean load of the executors with a known load, in threads a core.
    fn mean_load(&self) -> f64 {
        let threads = self.pools.values().map(|pool| pool.in_flight_threads).sum::<f64>();
        threads / self.observed_cores.max(1.0)
    }
}

impl LoadModel {
    /// Moves the traffic share towards own threads over all threads, where reports tell how many these are.
    fn update_traffic_share(&mut self, fleet: &FleetLoad) {
        let is_known = self.mean_load > LEAST_LOAD && self.reports_tell_load == Some(true);
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
            fleet.add_unobserved_cores(self.executor_index.listed());
        }
        self.load.mean_load = fleet.mean_load();
        self.load.update_traffic_share(&fleet);
        for pool in fleet.pools.values_mut() {
            pool.update_saturation(&self.settings, self.load.uses_latency_ratios());
        }
        self.load.pools = fleet.pools;
        self.update_pressure(fleet.counts_requests);
    }

    /// Sums up what the executors hold. Only those that anything was sent to or received from are visited.
    fn observe_fleet(&self) -> FleetLoad {
        self.count_examined(self.executors.active.len());
        let active = self.executors.active.iter().map(|index| &self.executors[*index]);
        let listed = active.filter(|executor| executor.listed());
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
