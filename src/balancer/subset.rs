//! Which executors a decision looks at: all of a small fleet, a bounded part of a large one.
//!
//! Each dispatcher has a subset of the warm executors, a window of the ring from a point of its own, so
//! that all
//! subsets together cover the list evenly and a change of the list moves few. A draw looks at a sample of it.
//! Executors that have started lately are sampled from the whole list: each may get its part of the budget
//! from
//! any dispatcher.

use super::*;

impl Balancer {
    /// Whether the executors of a pool are open to a request.
    fn open_to<'a>(&self, q: &'a Request) -> impl Fn(u64) -> bool + use<'a> {
        let c = &self.settings.classes[q.class];
        // One that was admitted by other settings goes by those.
        let alike = q.only_zones == c.only_zones && q.only_kinds == c.only_kinds;
        let class = q.class;
        move |pool| !alike || pool >> class & 1 == 1
    }

    /// How many executors this dispatcher's subset has, of so many.
    fn subset_size(&self, executors: usize) -> usize {
        let covered = SUBSET_OVERLAP * executors / (self.settings.dispatchers as usize).max(1);
        covered.max(SAMPLE_SIZE)
    }

    /// The executors that a draw for a request chooses among, in the table's order; `times` as many where the
    /// first ones do not do.
    pub(super) fn candidates(&mut self, id: RequestId, times: usize) -> Vec<usize> {
        let all = self.executor_index.count(Part::All, self.open_to(&self.requests[&id]));
        let mut chosen = if all <= SAMPLE_SIZE {
            self.executor_index.all(self.open_to(&self.requests[&id]))
        } else {
            let chances = [self.chance(), self.chance()];
            self.sample(&self.requests[&id], times, chances)
        };
        chosen.sort_unstable();
        chosen.dedup();
        chosen
    }

    /// A part of the executors: those that the request's table group or an attempt knows, some of the subset,
    /// some of the cold ones.
    fn sample(&self, q: &Request, times: usize, [warm_chance, cold_chance]: [f64; 2]) -> Vec<usize> {
        let open = self.open_to(q);
        let known = q.preferred_executors.iter().filter_map(|e| self.index.get(e).copied());
        let mut chosen: Vec<usize> = known.chain(q.attempts.iter().map(|a| a.executor)).collect();
        let size = times * self.subset_size(self.executor_index.count(Part::Warm, &open));
        let mut subset = self.executor_index.window(Part::Warm, &open, self.ring_position, size);
        let begin = (warm_chance * subset.len() as f64) as usize;
        subset.rotate_left(begin);
        subset.truncate(times * SAMPLE_SIZE);
        chosen.extend(subset);
        let from = (cold_chance * u64::MAX as f64) as u64;
        chosen.extend(self.executor_index.window(Part::Cold, &open, from, SAMPLE_SIZE));
        chosen
    }

    /// The executors among which a table group has its homes: the same at all dispatchers.
    pub(super) fn affinity_candidates(&self, class: ClassId, group: u64) -> Vec<usize> {
        let open = |pool: u64| pool >> class & 1 == 1;
        if self.executor_index.count(Part::All, open) <= SAMPLE_SIZE {
            return self.executor_index.all(open);
        }
        self.executor_index.window(Part::All, open, mixed(group), SAMPLE_SIZE)
    }

    /// Executors as many as a draw looks at: what is weighed against all the others.
    pub(super) fn choices(&self) -> usize {
        self.executors.len().min(SAMPLE_SIZE)
    }
}
