//! Cache affinity: which executors should serve a table group, so that its data stays in their caches.
//!
//! With rendezvous hashing, all dispatchers choose the same preferred executors without communication.

use super::candidates::SAMPLE_SIZE;
use crate::api::{Class, ClassId, ExecutorId};
use crate::state::{Balancer, Executor, Part, Request, rendezvous_hash, splitmix64};

/// Number of preferred executors of a table group: two, in case one is busy.
const PREFERRED_EXECUTORS: usize = 2;
/// Number of preferred executors for loads: three, as loads of a table group wait for each other on an
/// executor.
const PREFERRED_EXECUTORS_OF_LOADS: usize = 3;
/// Weight factor of a preferred executor, per executor in the draw.
const AFFINITY_WEIGHT: f64 = 0.25;
/// Weight factor of a preferred executor for loads; its inverse applies to requests that are blocked by
/// loads.
const LOAD_AFFINITY_WEIGHT: f64 = 12.0;
/// Weight factor, for unrestricted classes, of executors that a restricted class needs.
const RESERVED_CAPACITY_WEIGHT: f64 = 0.25;

/// Whether a class is restricted to some zones or kinds of machine.
fn is_restricted(class: &Class) -> bool {
    class.only_kinds.is_some() || class.only_zones.is_some()
}

impl Request {
    /// Whether the executor is a preferred executor of the request's table group.
    pub(super) fn prefers(&self, executor: &Executor) -> bool {
        self.preferred_executors.contains(&executor.endpoint.executor)
    }
}

impl Balancer {
    /// The preferred executors of a table group, best first. For a class that yields to loads these are the
    /// preferred executors of the loads, which the class then avoids.
    pub(in crate::balancer) fn preferred_executors(&self, class: ClassId, group: u64) -> Vec<ExecutorId> {
        let yields = self.settings.classes[class].yields_to_loads;
        let loads = self.settings.classes.iter().position(|other| yields && other.loads);
        let class = loads.unwrap_or(class);
        let candidates = self.affinity_candidates(class, group);
        self.count_examined(candidates.len());
        let mut scored: Vec<(f64, ExecutorId)> = candidates
            .into_iter()
            .map(|i| &self.executors[i])
            .map(|executor| (self.affinity_score(class, group, executor), executor.endpoint.executor))
            .collect();
        scored.sort_by(|a, b| a.0.total_cmp(&b.0));
        let wanted = if self.settings.classes[class].loads {
            PREFERRED_EXECUTORS_OF_LOADS
        } else {
            PREFERRED_EXECUTORS
        };
        scored.into_iter().take(wanted).map(|(_, executor)| executor).collect()
    }

    /// Weighted rendezvous score of an executor for a table group; lower is better.
    fn affinity_score(&self, class: ClassId, group: u64, executor: &Executor) -> f64 {
        let uniform = rendezvous_hash(group, executor.endpoint.executor);
        -uniform.ln() / executor.cores * self.zone_distance(executor)
            / self.reserved_capacity_factor(class, executor)
    }

    /// The executors from which the preferred ones of a table group are chosen; the same on all dispatchers.
    fn affinity_candidates(&self, class: ClassId, group: u64) -> Vec<usize> {
        let is_eligible = |pool: u64| pool >> class & 1 == 1;
        if self.executor_index.count(Part::All, is_eligible) <= SAMPLE_SIZE {
            return self.executor_index.all(is_eligible);
        }
        self.executor_index.window(Part::All, is_eligible, splitmix64(group), SAMPLE_SIZE)
    }

    /// Weight factor that keeps unrestricted classes away from executors that restricted classes need.
    pub(super) fn reserved_capacity_factor(&self, class: ClassId, executor: &Executor) -> f64 {
        if is_restricted(&self.settings.classes[class]) {
            return 1.0;
        }
        let mut others = self.settings.classes.iter().enumerate();
        let is_reserved = others.any(|(other, c)| is_restricted(c) && executor.pool >> other & 1 == 1);
        if is_reserved { RESERVED_CAPACITY_WEIGHT } else { 1.0 }
    }

    /// Weight factor of an executor for the request's cache affinity.
    pub(super) fn affinity_factor(&self, request: &Request, executor: &Executor) -> f64 {
        if !request.prefers(executor) {
            return 1.0;
        }
        let class = &self.settings.classes[request.class];
        if class.yields_to_loads {
            // A load may have locked the table group there.
            return 1.0 / LOAD_AFFINITY_WEIGHT;
        }
        if class.loads {
            return LOAD_AFFINITY_WEIGHT;
        }
        let executors_in_draw = self.executors.len().min(SAMPLE_SIZE);
        (AFFINITY_WEIGHT * executors_in_draw as f64).max(1.0)
    }
}
