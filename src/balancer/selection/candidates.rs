//! The candidates of a draw: all usable executors of a small fleet, or a bounded sample of a large one.
//!
//! Each dispatcher has a subset of the warm executors (a deterministic aperture): a window of the hash ring
//! that starts at the dispatcher's own position, so that the subsets cover the list evenly and change little
//! when the list changes. A draw considers a sample of the subset. Executors in slow start are sampled from
//! the whole list, as every dispatcher may use its share of their budget.

use crate::api::{Idempotency, RequestId};
use crate::state::{Balancer, Executor, Part, Request};

/// Maximum number of executors examined per decision, whatever the length of the list. Most fleets are
/// smaller.
pub(super) const SAMPLE_SIZE: usize = 128;
/// Number of dispatchers that have each executor of a large fleet in their subsets, to even out the load.
const SUBSET_OVERLAP: usize = 16;
/// Size of the second sample relative to the first. It is drawn if too few executors of the first are
/// healthy.
const WIDER_SAMPLE_FACTOR: usize = 4;
/// Ejections are ignored if less than this fraction of the permitted cores would remain.
const MIN_HEALTHY_CORES: f64 = 0.4;

impl Balancer {
    /// The permitted and healthy executors; only those that the request has not tried, if there are any. If
    /// too few are healthy, unhealthy ones are included, so that ejections cannot take down the fleet.
    pub(super) fn usable_executors(&mut self, id: RequestId) -> Vec<usize> {
        let mut usable = Vec::new();
        for sample_factor in [1, WIDER_SAMPLE_FACTOR] {
            let candidates = self.candidates(id, sample_factor);
            self.count_examined(candidates.len());
            let permitted = self.permitted_of(id, candidates);
            usable = self.healthy_of(id, &permitted);
            if !permitted.is_empty()
                && self.cores_of(&usable) >= MIN_HEALTHY_CORES * self.cores_of(&permitted)
            {
                break;
            }
            usable = permitted;
            if self.executor_index.listed_count() <= SAMPLE_SIZE {
                break;
            }
        }
        self.prefer_untried(id, usable)
    }

    fn permitted_of(&self, id: RequestId, candidates: Vec<usize>) -> Vec<usize> {
        let request = &self.requests[&id];
        candidates.into_iter().filter(|&i| self.is_permitted(request, i)).collect()
    }

    /// The healthy executors. The trial of an ejected executor is never a non-idempotent request, as that
    /// would be lost if the trial failed.
    fn healthy_of(&self, id: RequestId, executors: &[usize]) -> Vec<usize> {
        let class = self.requests[&id].class;
        let may_be_trial = self.settings.classes[class].idempotency != Idempotency::NotIdempotent;
        let is_usable = |executor: &Executor| {
            self.healthy(executor) && (may_be_trial || executor.health.ejected_until.is_none())
        };
        executors.iter().copied().filter(|&i| is_usable(&self.executors[i])).collect()
    }

    fn cores_of(&self, executors: &[usize]) -> f64 {
        executors.iter().map(|&i| self.executors[i].cores).sum()
    }

    /// The executors without an attempt of the request, or all of them if each had one.
    fn prefer_untried(&self, id: RequestId, mut executors: Vec<usize>) -> Vec<usize> {
        let attempts = &self.requests[&id].attempts;
        let is_untried = |i: &usize| attempts.iter().all(|attempt| attempt.executor != *i);
        if executors.iter().any(is_untried) {
            executors.retain(is_untried);
        }
        executors
    }

    /// The candidates of a draw for a request, in table order: all executors of a small fleet, or else a
    /// sample of `sample_factor` times the usual size.
    fn candidates(&mut self, id: RequestId, sample_factor: usize) -> Vec<usize> {
        let eligible_executors =
            self.executor_index.count(Part::All, self.eligibility_filter(&self.requests[&id]));
        let mut chosen = if eligible_executors <= SAMPLE_SIZE {
            self.executor_index.all(self.eligibility_filter(&self.requests[&id]))
        } else {
            let (warm_start, warming_start) = (self.uniform_random(), self.uniform_random());
            self.sample(&self.requests[&id], sample_factor, warm_start, warming_start)
        };
        chosen.sort_unstable();
        chosen.dedup();
        chosen
    }

    /// The request's preferred executors and those it has tried, a sample of the dispatcher's subset and a
    /// sample of the executors in slow start. `warm_start` and `warming_start`, from 0 to 1, select where
    /// the two samples begin.
    fn sample(
        &self,
        request: &Request,
        sample_factor: usize,
        warm_start: f64,
        warming_start: f64,
    ) -> Vec<usize> {
        let is_eligible = self.eligibility_filter(request);
        let preferred = request.preferred_executors.iter().filter_map(|e| self.executors.position(*e));
        let tried = request.attempts.iter().map(|attempt| attempt.executor);
        let mut chosen: Vec<usize> = preferred.chain(tried).collect();

        let subset_size =
            sample_factor * self.subset_size(self.executor_index.count(Part::Warm, &is_eligible));
        let mut subset =
            self.executor_index.window(Part::Warm, &is_eligible, self.ring_position, subset_size);
        let begin = (warm_start * subset.len() as f64) as usize;
        subset.rotate_left(begin);
        subset.truncate(sample_factor * SAMPLE_SIZE);
        chosen.extend(subset);

        let from = (warming_start * u64::MAX as f64) as u64;
        chosen.extend(self.executor_index.window(Part::Warming, &is_eligible, from, SAMPLE_SIZE));
        chosen
    }

    /// Size of this dispatcher's subset, given the total number of executors.
    fn subset_size(&self, executors: usize) -> usize {
        let covered = SUBSET_OVERLAP * executors / (self.settings.dispatchers as usize).max(1);
        covered.max(SAMPLE_SIZE)
    }

    /// Returns a predicate for the pools whose executors are eligible for a request.
    fn eligibility_filter<'a>(&self, request: &'a Request) -> impl Fn(u64) -> bool + use<'a> {
        let class = &self.settings.classes[request.class];
        // A request keeps the placement constraints it was admitted with, even if the settings have changed
        // since.
        let is_current = request.only_zones == class.only_zones && request.only_kinds == class.only_kinds;
        let class = request.class;
        move |pool| !is_current || pool >> class & 1 == 1
    }
}
