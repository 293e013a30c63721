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

    /// Seconds that a request should take, at the pace of the day.
    pub(crate) fn expected_latency_s(&self, q: &Request) -> f64 {
        let pace = self.class_models[q.class].latency_ratio.value_or(1.0);
        q.predicted_cost / f64::from(self.settings.classes[q.class].threads) * pace
    }

    /// How much a report still tells, 1 when new.
    pub(crate) fn confidence(&self, e: &Executor, span_s: f64) -> f64 {
        (-(self.seconds_since(e.report_received_at) / span_s)).exp()
    }

    /// Memory in use where it is not reported: what own threads were granted stands for all.
    pub(crate) fn estimated_memory_use(&self, e: &Executor, held: f64) -> f64 {
        held * self.mb_per_thread.value_or(0.0) / self.settings.kinds[e.endpoint.kind].memory_mb.max(1.0)
    }

    /// Running means of own threads, requests and memory in flight.
    pub(crate) fn update_in_flight_means(&mut self, weight: f64) {
        let requests = self.requests.len() as f64;
        let active = self.executor_index.active.iter().map(|i| &self.executors[*i]);
        let (mb, out) = active.fold((0.0, 0.0), |(m, t), e| (m + e.granted_mb, t + e.in_flight_threads));
        if out > 0.0 {
            self.mb_per_thread.add(mb / out, weight);
            self.mean_in_flight_threads += (out - self.mean_in_flight_threads) * weight;
            self.mean_in_flight_requests += (requests - self.mean_in_flight_requests) * weight;
        }
    }
}
