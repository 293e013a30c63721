//! Indexes over the table of executors, kept as the list changes: what a decision needs of the whole list without walking
//! it, and places from which a part of the list is taken.

use super::*;
use std::collections::BTreeSet;

/// Where an executor stands in the rings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    pool: u64,
    kind: KindId,
    /// When it started, while it is cold.
    warming_since: Option<Micros>,
}

/// The cold executors of one kind: how many, and their starts added up.
#[derive(Debug, Default)]
struct ColdKind {
    executors: u64,
    starts: u128,
}

/// The indexes.
#[derive(Debug, Default)]
pub(crate) struct ExecutorIndex {
    pools: BTreeMap<u64, PoolRings>,
    /// Cold executors by their start, and what they come to.
    starts: BTreeSet<(Micros, usize)>,
    cold: BTreeMap<KindId, ColdKind>,
    /// Listed executors.
    listed: usize,
    /// Executors that anything was sent to or heard of; all others are as the list has them.
    pub(crate) active: BTreeSet<usize>,
}

impl ExecutorIndex {
    /// An executor stands elsewhere now, or nowhere.
    pub(crate) fn moves(&mut self, i: usize, executor: ExecutorId, from: Option<Place>, to: Option<Place>) {
        if let Some(place) = from {
            self.leaves(i, executor, place);
        }
        if let Some(place) = to {
            self.adds(i, place).insert((ring_position(executor), i));
        }
        self.pools.retain(|_, p| p.warm.len() + p.cold.len() > 0);
    }

    fn leaves(&mut self, i: usize, executor: ExecutorId, from: Place) {
        let Some(pool) = self.pools.get_mut(&from.pool) else { return };
        pool.ring(from.warming_since.is_some()).remove((ring_position(executor), i));
        *pool.kinds.entry(from.kind).or_default() -= 1;
        self.listed -= 1;
        if let Some(since) = from.warming_since {
            self.starts.remove(&(since, i));
            let cold = self.cold.entry(from.kind).or_default();
            (cold.executors, cold.starts) = (cold.executors - 1, cold.starts - u128::from(since));
        }
    }

    /// Counts an executor in; the ring that it belongs on.
    fn adds(&mut self, i: usize, to: Place) -> &mut Ring {
        self.listed += 1;
        if let Some(since) = to.warming_since {
            self.starts.insert((since, i));
            let cold = self.cold.entry(to.kind).or_default();
            (cold.executors, cold.starts) = (cold.executors + 1, cold.starts + u128::from(since));
        }
        let pool = self.pools.entry(to.pool).or_default();
        *pool.kinds.entry(to.kind).or_default() += 1;
        pool.ring(to.warming_since.is_some())
    }

    fn sort(&mut self) {
        let rings = self.pools.values_mut().flat_map(|p| [&mut p.warm, &mut p.cold]);
        rings.for_each(|ring| ring.places.sort_unstable());
    }

    /// Listed executors.
    pub(crate) fn listed(&self) -> usize {
        self.listed
    }

    /// A cold executor that started at this time or before.
    pub(crate) fn started_by(&self, time: Micros) -> Option<usize> {
        self.starts.first().filter(|(since, _)| *since <= time).map(|(_, i)| *i)
    }

    /// Cores of all cold executors, and these cores times the seconds since each one's start.
    pub(crate) fn warming_cores(&self, kinds: &[Kind], now: Micros) -> (f64, f64) {
        self.cold.iter().fold((0.0, 0.0), |(all, aged), (kind, cold)| {
            let age = (u128::from(now) * u128::from(cold.executors)).saturating_sub(cold.starts);
            let cores = kinds[*kind].cores;
            (all + cores * cold.executors as f64, aged + cores * age as f64 / 1e6)
        })
    }

    /// The pools that fit, of those there are.
    fn open(&self, fits: impl Fn(u64) -> bool) -> impl Iterator<Item = &PoolRings> {
        self.pools.iter().filter(move |(pool, _)| fits(**pool)).map(|(_, rings)| rings)
    }

    /// How many executors a part of the pools that fit has.
    pub(crate) fn count(&self, part: Part, fits: impl Fn(u64) -> bool) -> usize {
        self.open(fits).flat_map(|p| p.rings(part)).map(Ring::len).sum()
    }

    /// Cores of the listed executors in the pools that fit.
    pub(crate) fn cores(&self, kinds: &[Kind], fits: impl Fn(u64) -> bool) -> f64 {
        let of = |(kind, n): (&KindId, &usize)| *n as f64 * kinds[*kind].cores;
        self.open(fits).flat_map(|p| &p.kinds).map(of).sum()
    }

    /// All executors of the pools that fit, in no order.
    pub(crate) fn all(&self, fits: impl Fn(u64) -> bool) -> Vec<usize> {
        let rings = self.open(fits).flat_map(|p| p.rings(Part::All));
        rings.flat_map(|ring| ring.places.iter().map(|(_, i)| *i)).collect()
    }

    /// So many executors of a part of the pools that fit, the nearest from a point on.
    pub(crate) fn window(
        &self,
        part: Part,
        fits: impl Fn(u64) -> bool,
        point: u64,
        most: usize,
    ) -> Vec<usize> {
        let rings = self.open(fits).flat_map(|p| p.rings(part));
        let mut near: Vec<(u64, usize)> = rings.flat_map(|ring| ring.window(point, most)).collect();
        near.sort_unstable();
        near.truncate(most);
        near.into_iter().map(|(_, i)| i).collect()
    }
}

impl Balancer {
    fn place_of(&self, e: &Executor) -> Option<Place> {
        let cold = e.warming_since.filter(|t| {
            self.settings.slow_start.overload_window > 0 && self.now < t + self.settings.slow_start.ramp
        });
        // A start that lies ahead is one that is just now.
        let warming_since = cold.map(|t| t.min(self.now));
        e.listed().then_some(Place { pool: e.pool, kind: e.endpoint.kind, warming_since })
    }

    /// Puts an executor where it belongs now: called wherever its entry, its presence or its start changes.
    pub(crate) fn update_index(&mut self, i: usize) {
        let to = self.place_of(&self.executors[i]);
        let from = std::mem::replace(&mut self.executors[i].place, to);
        if from != to {
            self.executor_index.moves(i, self.executors[i].endpoint.executor, from, to);
        }
    }

    /// Puts all executors where they belong, from nothing.
    pub(crate) fn rebuild_index(&mut self) {
        let active = std::mem::take(&mut self.executor_index).active;
        self.executor_index.active = active;
        for i in 0..self.executors.len() {
            let to = self.place_of(&self.executors[i]);
            self.executors[i].place = to;
            if let Some(place) = to {
                let point = ring_position(self.executors[i].endpoint.executor);
                self.executor_index.adds(i, place).places.push((point, i));
            }
        }
        self.executor_index.sort();
    }

    /// Something was sent to an executor or heard of it.
    pub(crate) fn mark_active(&mut self, i: usize) {
        self.executor_index.active.insert(i);
    }

    /// Counts executors that a decision looked at.
    pub(crate) fn count_examined(&self, executors: usize) {
        self.examined.set(self.examined.get() + executors as u64);
    }

    /// How many executors decisions have looked at so far: what they cost, whatever the machine.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }
}

#[cfg(test)]
mod tests;
