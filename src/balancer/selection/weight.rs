//! The weight of an executor in the draw: capacity and affinity for it; load, price, slowness and errors
//! against.

use crate::api::{Idempotency, Reports, RequestId};
use crate::state::{Balancer, Executor, Request};

/// Load, in threads a core, added to each executor's own, so that idle ones do not draw everything.
const LOAD_FLOOR: f64 = 0.25;
/// The weight falls with this power of the load.
const LOAD_POWER: i32 = 3;
/// Growth of an executor's distance for each point of service that an attempt across zones costs.
const CROSS_ZONE_WEIGHT: f64 = 200.0;
/// The same for each point of service that a new connection costs.
const HANDSHAKE_WEIGHT: f64 = 4000.0;
/// Least latency, relative to other executors, that is believed of one.
const LEAST_RELATIVE_LATENCY: f64 = 0.5;
/// The weight falls with this power of an executor's share of successes.
const SUCCESS_POWER: i32 = 2;
/// The same for requests that must not run twice, which fail with their first error.
const SUCCESS_POWER_NOT_IDEMPOTENT: i32 = 8;
/// Weight, for requests that must not run twice, of an executor that has served nothing yet: one that fails
/// at once looks idle to a probe.
const UNTRIED_WEIGHT: f64 = 0.1;
/// Weight of an ejected executor, where too few others are left.
const UNHEALTHY_WEIGHT: f64 = 0.05;
/// Least capacity, in cores, that the load is divided by.
const LEAST_CAPACITY: f64 = 1e-9;

impl Balancer {
    /// Weights of executors in a draw for a request.
    pub(super) fn weights(&self, id: RequestId, executors: &[usize]) -> Vec<f64> {
        let request = &self.requests[&id];
        self.count_examined(executors.len());
        executors.iter().map(|&i| self.weight(request, &self.executors[i])).collect()
    }

    fn weight(&self, request: &Request, executor: &Executor) -> f64 {
        let capacity =
            executor.cores * self.capacity_fraction(executor) * executor.endpoint.weight.unwrap_or(1.0);
        let load = self.executor_load(executor) * executor.cores / capacity.max(LEAST_CAPACITY);
        let affinity = self.affinity_factor(request, executor);
        let reserved = self.reserved_capacity_factor(request.class, executor);
        let load_factor = (LOAD_FLOOR + load).powi(LOAD_POWER);
        let weight = capacity * affinity * reserved / load_factor / self.relative_price(executor)
            * self.success_factor(request, executor);
        if self.healthy(executor) { weight } else { weight * UNHEALTHY_WEIGHT }
    }

    /// What an attempt costs there beside one at a near, connected executor of usual latency.
    fn relative_price(&self, executor: &Executor) -> f64 {
        let latency = executor.relative_latency.value_or(1.0).max(LEAST_RELATIVE_LATENCY);
        latency * self.zone_distance(executor) * self.connection_factor(executor)
    }

    /// 1 in the dispatcher's own zone, more in others.
    pub(super) fn zone_distance(&self, executor: &Executor) -> f64 {
        if executor.endpoint.zone == self.settings.zone {
            return 1.0;
        }
        1.0 + CROSS_ZONE_WEIGHT * self.settings.cross_zone_price
    }

    /// 1 where a connection is there, more where one has to be made. Executors in slow start are exempt: all
    /// dispatchers are to use them.
    fn connection_factor(&self, executor: &Executor) -> f64 {
        if executor.connected || self.capacity_fraction(executor) < 1.0 {
            return 1.0;
        }
        1.0 + HANDSHAKE_WEIGHT * self.settings.handshake_price
    }

    /// How likely the executor is to serve the request, by its errors.
    fn success_factor(&self, request: &Request, executor: &Executor) -> f64 {
        let success_rate = 1.0 - executor.health.error_rate;
        if self.settings.classes[request.class].idempotency != Idempotency::NotIdempotent {
            return success_rate.powi(SUCCESS_POWER);
        }
        let is_untried = executor.relative_latency.count == 0 && self.settings.reports == Reports::OnProbe;
        let trust = if is_untried { UNTRIED_WEIGHT } else { 1.0 };
        success_rate.powi(SUCCESS_POWER_NOT_IDEMPOTENT) * trust
    }
}
