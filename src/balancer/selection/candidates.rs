//! Which executors a draw chooses among: all usable ones of a small fleet, a bounded sample of a large one.
//!
//! Each dispatcher has a subset of the warm executors (a deterministic aperture): a window of the hash ring
//! from a position of its own, so that all subsets together cover the list evenly and a change of the list
//! moves few. A draw looks at a sample of the subset. Executors in slow start are sampled from the whole
//! list: each may get its part of their budget from any dispatcher.

use crate::api::{Idempotency, RequestId};
use crate::state::{Balancer, Executor, Part, Request};

/// Executors that a decision looks at, whatever the length of the list; usual fleets have fewer.
pub(super) const SAMPLE_SIZE: usize = 128;
/// Dispatchers that have each executor of a large fleet in their subsets, so that loads differ little.
const SUBSET_OVERLAP: usize = 16;
/// Size of the second sample, as a multiple; it is looked at if too few executors of the first are healthy.
const WIDER_SAMPLE_FACTOR: usize = 4;
/// Ejections are ignored while less than this share of the permitted cores would be left.
const LEAST_HEALTHY_CORES: f64 = 0.4;

impl Balancer {
    /// The executors that no rule forbids and health allows, those that the request has not tried if there
    /// are any. Where too few are healthy, the unhealthy ones too: an ejection must not take the fleet down.
    pub(super) fn usable_executors(&mut self, id: RequestId) -> Vec<usize> {
        let mut usable = Vec::new();
        for sample_factor in [1, WIDER_SAMPLE_FACTOR] {
            let candidates = self.candidates(id, sample_factor);
            self.count_examined(candidates.len());
            let permitted = self.permitted_of(id, candidates);
            usable = self.healthy_of(id, &permitted);
            if !permitted.is_empty()
                && self.cores_of(&usable) >= LEAST_HEALTHY_CORES * self.cores_of(&permitted)
            {
                break;
            }
            usable = permitted;
            if self.executor_index.listed() <= SAMPLE_SIZE {
                break;
            }
        }
        self.prefer_untried(id, usable)
    }

    fn permitted_of(&self, id: RequestId, candidates: Vec<usize>) -> Vec<usize> {
        let request = &self.requests[&id];
        candidates.into_iter().filter(|&i| self.permitted(request, i)).collect()
    }

    /// The healthy ones. An ejected executor may be tried again by a request that can be repeated, but not by
    /// one that would be lost there.
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

    /// The executors that no attempt of the request went to, or all if there are none.
    fn prefer_untried(&self, id: RequestId, mut executors: Vec<usize>) -> Vec<usize> {
        let attempts = &self.requests[&id].attempts;
        let is_untried = |i: &usize| attempts.iter().all(|attempt| attempt.executor != *i);
        if executors.iter().any(is_untried) {
            executors.retain(is_untried);
        }
        executors
    }

    /// The executors that a draw for a request looks at, in the table's order: all of a small fleet, else a
    /// sample of `sample_factor` times the usual size.
    fn candidates(&mut self, id: RequestId, sample_factor: usize) -> Vec<usize> {
        let open_executors = self.executor_index.count(Part::All, self.open_to(&self.requests[&id]));
        let mut chosen = if open_executors <= SAMPLE_SIZE {
            self.executor_index.all(self.open_to(&self.requests[&id]))
        } else {
            let (warm_chance, warming_chance) = (self.chance(), self.chance());
            self.sample(&self.requests[&id], sample_factor, warm_chance, warming_chance)
        };
        chosen.sort_unstable();
        chosen.dedup();
        chosen
    }

    /// The executors that the request's table group prefers and those it tried, some of the dispatcher's
    /// subset and some in slow start. The chances, from 0 to 1, say where the samples begin.
    fn sample(
        &self,
        request: &Request,
        sample_factor: usize,
        warm_chance: f64,
        warming_chance: f64,
    ) -> Vec<usize> {
        let is_open = self.open_to(request);
        let preferred = request.preferred_executors.iter().filter_map(|e| self.executors.position(*e));
        let tried = request.attempts.iter().map(|attempt| attempt.executor);
        let mut chosen: Vec<usize> = preferred.chain(tried).collect();

        let subset_size = sample_factor * self.subset_size(self.executor_index.count(Part::Warm, &is_open));
        let mut subset = self.executor_index.window(Part::Warm, &is_open, self.ring_position, subset_size);
        let begin = (warm_chance * subset.len() as f64) as usize;
        subset.rotate_left(begin);
        subset.truncate(sample_factor * SAMPLE_SIZE);
        chosen.extend(subset);

        let from = (warming_chance * u64::MAX as f64) as u64;
        chosen.extend(self.executor_index.window(Part::Warming, &is_open, from, SAMPLE_SIZE));
        chosen
    }

    /// How many executors this dispatcher's subset has, of so many.
    fn subset_size(&self, executors: usize) -> usize {
        let covered = SUBSET_OVERLAP * executors / (self.settings.dispatchers as usize).max(1);
        covered.max(SAMPLE_SIZE)
    }

    /// Tells of a pool whether its executors are open to a request.
    fn open_to<'a>(&self, request: &'a Request) -> impl Fn(u64) -> bool + use<'a> {
        let class = &self.settings.classes[request.class];
        // A request goes by the placement that it was admitted with, also if the settings have changed since.
        let is_current = request.only_zones == class.only_zones && request.only_kinds == class.only_kinds;
        let class = request.class;
        move |pool| !is_current || pool >> class & 1 == 1
    }
}
