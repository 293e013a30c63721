//! Figures worked out from what is remembered.

use super::*;

impl Balancer {
    /// Executors on the list, and of these those that take nothing new now: leaving, silent or ejected.
    pub(crate) fn avoided(&self, now: Micros) -> (usize, usize) {
        let listed = self.executors.iter().filter(|e| e.present && e.endpoint.readiness != Readiness::Left);
        let avoided = |e: &&Executor| {
            e.endpoint.readiness != Readiness::Active || e.health.unresponsive || e.health.is_ejected(now)
        };
        (listed.clone().count(), listed.filter(avoided).count())
    }

    /// Cores of executors that the list has as taking requests, of those that are healthy, and of these by how warm
    /// they are.
    pub(crate) fn fleet(&self, now: Micros) -> [f64; 3] {
        let mut sums = [0.0; 3];
        for e in self.executors.iter().filter(|e| e.listed()) {
            let healthy = !e.health.unresponsive && !e.health.is_ejected(now);
            let usable = if healthy { e.cores } else { 0.0 };
            let parts = [e.cores, usable, usable * self.capacity_fraction(e)];
            sums.iter_mut().zip(parts).for_each(|(sum, part)| *sum += part);
        }
        sums
    }

    /// Time that a request should take, in seconds, by how its class does lately.
    pub(crate) fn expected_latency_s(&self, request: &Request) -> f64 {
        let latency_ratio = self.cost_model.classes[request.class].latency_ratio.value_or(1.0);
        request.predicted_cost / f64::from(self.settings.classes[request.class].threads) * latency_ratio
    }
}
