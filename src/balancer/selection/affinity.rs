//! Cache affinity: which executors should serve a table group, so that its data is in their caches.
//!
//! Rendezvous hashing gives all dispatchers the same preferred executors without a word between them.

use super::candidates::SAMPLE_SIZE;
use crate::api::{Class, ClassId, ExecutorId};
use crate::state::{Balancer, Executor, Part, Request, mix, rendezvous_hash};

/// Preferred executors of a table group; two, as one can be busy.
const PREFERRED_EXECUTORS: usize = 2;
/// The same for loads: three, as they wait for each other there.
const PREFERRED_EXECUTORS_OF_LOADS: usize = 3;
/// Weight of a preferred executor in the draw, for each executor that it is weighed against.
const AFFINITY_WEIGHT: f64 = 0.25;
/// Weight of a preferred executor for loads, and its inverse for requests that stand still while a load runs.
const LOAD_AFFINITY_WEIGHT: f64 = 12.0;
/// Weight, for a class free to go elsewhere, of executors that a bound class needs.
const RESERVED_CAPACITY_WEIGHT: f64 = 0.25;

/// A class that may only go to some zones or kinds of machine.
fn is_bound(class: &Class) -> bool {
    class.only_kinds.is_some() || class.only_zones.is_some()
}

impl Request {
    /// Whether the executor is one of the preferred ones of the request's table group.
    pub(super) fn prefers(&self, executor: &Executor) -> bool {
        self.preferred_executors.contains(&executor.endpoint.executor)
    }
}

impl Balancer {
    /// The preferred executors of a table group, best first. A class that yields to loads gets those of the
    /// loads, to keep away from them.
    pub(in crate::balancer) fn preferred_executors(&self, class: ClassId, group: u64) -> Vec<ExecutorId> {
        let yields = self.settings.classes[class].yields_to_loads;
        let loads = self.settings.classes.iter().position(|other| yields && other.loads);
        let class = loads.unwrap_or(class);
        let among = self.affinity_candidates(class, group);
        self.count_examined(among.len());
        let mut scored: Vec<(f64, ExecutorId)> = among
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

    /// Weighted rendezvous score of an executor for a table group; the least score is preferred.
    fn affinity_score(&self, class: ClassId, group: u64, executor: &Executor) -> f64 {
        let uniform = rendezvous_hash(group, executor.endpoint.executor);
        -uniform.ln() / executor.cores * self.zone_distance(executor)
            / self.reserved_capacity_factor(class, executor)
    }

    /// The executors among which a table group has its preferred ones: the same at all dispatchers.
    fn affinity_candidates(&self, class: ClassId, group: u64) -> Vec<usize> {
        let is_open = |pool: u64| pool >> class & 1 == 1;
        if self.executor_index.count(Part::All, is_open) <= SAMPLE_SIZE {
            return self.executor_index.all(is_open);
        }
        self.executor_index.window(Part::All, is_open, mix(group), SAMPLE_SIZE)
    }

    /// Factor of an executor's weight: a class that may go anywhere leaves the executors of bound classes to
    /// them.
    pub(super) fn reserved_capacity_factor(&self, class: ClassId, executor: &Executor) -> f64 {
        if is_bound(&self.settings.classes[class]) {
            return 1.0;
        }
        let mut others = self.settings.classes.iter().enumerate();
        let is_reserved = others.any(|(other, c)| is_bound(c) && executor.pool >> other & 1 == 1);
        if is_reserved { RESERVED_CAPACITY_WEIGHT } else { 1.0 }
    }

    /// Factor of an executor's weight for the cache affinity of the request.
    pub(super) fn affinity_factor(&self, request: &Request, executor: &Executor) -> f64 {
        if !request.prefers(executor) {
            return 1.0;
        }
        let class = &self.settings.classes[request.class];
        if class.yields_to_loads {
            // A load may hold its table group there.
            return 1.0 / LOAD_AFFINITY_WEIGHT;
        }
        if class.loads {
            return LOAD_AFFINITY_WEIGHT;
        }
        let weighed_against = self.executors.len().min(SAMPLE_SIZE);
        (AFFINITY_WEIGHT * weighed_against as f64).max(1.0)
    }
}
