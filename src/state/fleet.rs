//! Aggregates over the executors of the endpoint list: counts and cores.

use crate::api::{Micros, Readiness};
use crate::state::{Balancer, Executor};

/// Cores of the listed executors that accept requests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FleetCores {
    /// Cores of all of them.
    pub(crate) listed: f64,
    /// Cores of those that are neither ejected nor unresponsive.
    pub(crate) healthy: f64,
    /// Like `healthy`, with executors in slow start counted by their current capacity fraction.
    pub(crate) warm: f64,
}

impl Balancer {
    /// Number of executors in the list, and of those that get no new requests: draining, unresponsive or ejected.
    pub(crate) fn listed_and_avoided(&self, now: Micros) -> (usize, usize) {
        let is_listed =
            |executor: &&Executor| executor.present && executor.endpoint.readiness != Readiness::Removed;
        let listed = self.executors.iter().filter(is_listed);
        let is_avoided = |executor: &&Executor| {
            executor.endpoint.readiness != Readiness::Active || !executor.is_healthy(now)
        };
        (listed.clone().count(), listed.filter(is_avoided).count())
    }

    /// Cores of the executors that accept requests.
    pub(crate) fn fleet_cores(&self, now: Micros) -> FleetCores {
        let mut sum = FleetCores::default();
        for executor in self.executors.iter().filter(|executor| executor.is_listed()) {
            let healthy = if executor.is_healthy(now) { executor.cores } else { 0.0 };
            sum.listed += executor.cores;
            sum.healthy += healthy;
            sum.warm += healthy * self.capacity_fraction(executor);
        }
        sum
    }
}

impl Executor {
    /// Whether it is neither ejected nor unresponsive.
    fn is_healthy(&self, now: Micros) -> bool {
        !self.health.unresponsive && !self.health.is_ejected(now)
    }
}
