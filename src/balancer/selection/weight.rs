//! The weight of an executor in the draw: it grows with capacity and affinity, and falls with load, price,
//! latency and errors.

use crate::api::{Idempotency, Reports, RequestId};
use crate::state::{Balancer, Executor, Request};

/// Load added to each executor's own, in threads per core, so that idle executors do not attract everything.
const LOAD_FLOOR: f64 = 0.25;
/// Exponent of the load, by which the weight is divided.
const LOAD_POWER: i32 = 3;
/// Growth of the zone distance factor per service point of the price of a cross-zone attempt.
const CROSS_ZONE_WEIGHT: f64 = 200.0;
/// Growth of the connection factor per service point of the price of a new connection.
const HANDSHAKE_WEIGHT: f64 = 4000.0;
/// Lower bound of an executor's relative latency.
const MIN_RELATIVE_LATENCY: f64 = 0.5;
/// Exponent of an executor's success rate in its weight.
const SUCCESS_POWER: i32 = 2;
/// Exponent of the success rate for non-idempotent requests, which fail on their first error.
const SUCCESS_POWER_NOT_IDEMPOTENT: i32 = 8;
/// Weight factor, for non-idempotent requests, of an executor that has not served any request yet. An
/// executor that fails immediately looks idle to a probe.
const UNTRIED_WEIGHT: f64 = 0.1;
/// Weight factor of an unhealthy executor, used if too few healthy ones remain.
const UNHEALTHY_WEIGHT: f64 = 0.05;
/// Lower bound of the capacity as a divisor of the load, in cores.
const MIN_CAPACITY: f64 = 1e-9;

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
        let load = self.executor_load(executor) * executor.cores / capacity.max(MIN_CAPACITY);
        let affinity = self.affinity_factor(request, executor);
        let reserved = self.reserved_capacity_factor(request.class, executor);
        let load_factor = (LOAD_FLOOR + load).powi(LOAD_POWER);
        let weight = capacity * affinity * reserved / load_factor / self.relative_price(executor)
            * self.success_factor(request, executor);
        if self.healthy(executor) { weight } else { weight * UNHEALTHY_WEIGHT }
    }

    /// Price of an attempt relative to an executor in the same zone, with a connection and the usual latency.
    fn relative_price(&self, executor: &Executor) -> f64 {
        let latency = executor.relative_latency.value_or(1.0).max(MIN_RELATIVE_LATENCY);
        latency * self.zone_distance(executor) * self.connection_factor(executor)
    }

    /// Price factor of the zone: 1 for the dispatcher's own zone, higher for others.
    pub(super) fn zone_distance(&self, executor: &Executor) -> f64 {
        if executor.endpoint.zone == self.settings.zone {
            return 1.0;
        }
        1.0 + CROSS_ZONE_WEIGHT * self.settings.cross_zone_price
    }

    /// Price factor of the connection: 1 if it exists, higher if it must be established. Executors in slow
    /// start are exempt, because all dispatchers should use them.
    fn connection_factor(&self, executor: &Executor) -> f64 {
        if executor.connected || self.capacity_fraction(executor) < 1.0 {
            return 1.0;
        }
        1.0 + HANDSHAKE_WEIGHT * self.settings.handshake_price
    }

    /// Weight factor for the probability that the executor serves the request, by its error rate.
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
