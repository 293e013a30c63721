//! The index over the table of executors, kept as the list changes: what a decision needs of the whole list
//! without walking it, and hash rings that a part of the list is taken from.

use super::Balancer;
use super::executor::Executor;
use super::hash_ring::{HashRing, Part, PoolRings, RingEntry};
use crate::api::{ExecutorId, Kind, KindId, SlowStart, TimestampUs};
use std::collections::{BTreeMap, BTreeSet};

/// What the index holds of a listed executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct IndexEntry {
    /// The classes that it is open to, a bit each.
    pool: u64,
    /// Its kind of machine.
    kind: KindId,
    /// When it started, while it is in slow start.
    warming_since: Option<TimestampUs>,
}

impl IndexEntry {
    /// The entry that an executor should have now; `None` for one that takes no requests.
    fn of(executor: &Executor, slow_start: &SlowStart, now: TimestampUs) -> Option<IndexEntry> {
        let began = executor.slow_start_began(slow_start.ramp, now);
        let warming_since = began.filter(|_| slow_start.overload_window > 0);
        let kind = executor.endpoint.kind;
        executor.listed().then_some(IndexEntry { pool: executor.pool, kind, warming_since })
    }
}

/// The executors of one kind that are in slow start.
#[derive(Debug, Default)]
struct WarmingKind {
    /// How many there are.
    executors: u64,
    /// Sum of their times of start, in microseconds.
    starts: u128,
}

/// The index. Executors are given by their positions in the executor table.
#[derive(Debug, Default)]
pub(crate) struct ExecutorIndex {
    /// Listed executors by the classes that they are open to.
    pools: BTreeMap<u64, PoolRings>,
    /// Executors in slow start, by their start.
    starts: BTreeSet<(TimestampUs, usize)>,
    /// Sums over the executors in slow start.
    warming: BTreeMap<KindId, WarmingKind>,
    /// How many executors are listed.
    listed: usize,
}

impl ExecutorIndex {
    /// Replaces the entry of an executor, which is at `index` in the table; `None` stands for no entry.
    pub(crate) fn replace(
        &mut self,
        index: usize,
        executor: ExecutorId,
        before: Option<IndexEntry>,
        after: Option<IndexEntry>,
    ) {
        let on_ring = RingEntry::new(executor, index);
        if let Some(entry) = before {
            self.remove(on_ring, entry);
        }
        if let Some(entry) = after {
            self.count_in(index, entry).insert(on_ring);
        }
        self.pools.retain(|_, pool| !pool.is_empty());
    }

    fn remove(&mut self, on_ring: RingEntry, entry: IndexEntry) {
        let Some(pool) = self.pools.get_mut(&entry.pool) else { return };
        pool.ring_mut(entry.warming_since.is_some()).remove(on_ring);
        *pool.kinds.entry(entry.kind).or_default() -= 1;
        self.listed -= 1;
        if let Some(since) = entry.warming_since {
            self.starts.remove(&(since, on_ring.executor));
            let warming = self.warming.entry(entry.kind).or_default();
            warming.executors -= 1;
            warming.starts -= u128::from(since);
        }
    }

    /// Counts an executor in and returns the ring that it belongs on.
    fn count_in(&mut self, index: usize, entry: IndexEntry) -> &mut HashRing {
        self.listed += 1;
        if let Some(since) = entry.warming_since {
            self.starts.insert((since, index));
            let warming = self.warming.entry(entry.kind).or_default();
            warming.executors += 1;
            warming.starts += u128::from(since);
        }
        let pool = self.pools.entry(entry.pool).or_default();
        *pool.kinds.entry(entry.kind).or_default() += 1;
        pool.ring_mut(entry.warming_since.is_some())
    }

    fn sort(&mut self) {
        for pool in self.pools.values_mut() {
            pool.warm.sort();
            pool.warming.sort();
        }
    }

    /// How many executors are listed.
    pub(crate) fn listed(&self) -> usize {
        self.listed
    }

    /// An executor in slow start that started at this time or before.
    pub(crate) fn started_by(&self, time: TimestampUs) -> Option<usize> {
        self.starts.first().filter(|(since, _)| *since <= time).map(|(_, index)| *index)
    }

    /// Cores of all executors in slow start, and the sum of these cores times the seconds since each one's
    /// start.
    pub(crate) fn warming_cores(&self, kinds: &[Kind], now: TimestampUs) -> (f64, f64) {
        self.warming.iter().fold((0.0, 0.0), |(all_cores, core_seconds), (kind, warming)| {
            let age_us = (u128::from(now) * u128::from(warming.executors)).saturating_sub(warming.starts);
            let cores = kinds[*kind].cores;
            (all_cores + cores * warming.executors as f64, core_seconds + cores * age_us as f64 / 1e6)
        })
    }

    /// The pools that fit.
    fn pools(&self, fits: impl Fn(u64) -> bool) -> impl Iterator<Item = &PoolRings> {
        self.pools.iter().filter(move |(pool, _)| fits(**pool)).map(|(_, rings)| rings)
    }

    /// How many executors a part of the pools that fit has.
    pub(crate) fn count(&self, part: Part, fits: impl Fn(u64) -> bool) -> usize {
        self.pools(fits).flat_map(|pool| pool.rings(part)).map(HashRing::len).sum()
    }

    /// Cores of the listed executors in the pools that fit.
    pub(crate) fn cores(&self, kinds: &[Kind], fits: impl Fn(u64) -> bool) -> f64 {
        let cores = |(kind, count): (&KindId, &usize)| *count as f64 * kinds[*kind].cores;
        self.pools(fits).flat_map(|pool| &pool.kinds).map(cores).sum()
    }

    /// All executors of the pools that fit, in no order.
    pub(crate) fn all(&self, fits: impl Fn(u64) -> bool) -> Vec<usize> {
        let rings = self.pools(fits).flat_map(|pool| pool.rings(Part::All));
        rings.flat_map(HashRing::executors).collect()
    }

    /// At most so many executors of a part of the pools that fit, the nearest from a ring position on.
    pub(crate) fn window(
        &self,
        part: Part,
        fits: impl Fn(u64) -> bool,
        from: u64,
        most: usize,
    ) -> Vec<usize> {
        let rings = self.pools(fits).flat_map(|pool| pool.rings(part));
        let mut nearest: Vec<RingEntry> = rings.flat_map(|ring| ring.window(from, most)).collect();
        nearest.sort_unstable();
        nearest.truncate(most);
        nearest.into_iter().map(|entry| entry.executor).collect()
    }
}

impl Balancer {
    /// Updates the index wherever an executor's list entry, presence or slow start has changed.
    pub(crate) fn update_index(&mut self, index: usize) {
        let executor = &mut self.executors[index];
        let after = IndexEntry::of(executor, &self.settings.slow_start, self.now);
        let before = std::mem::replace(&mut executor.index_entry, after);
        if before != after {
            let id = executor.endpoint.executor;
            self.executor_index.replace(index, id, before, after);
        }
    }

    /// Builds the index anew, as a complete list or a sweep asks for.
    pub(crate) fn rebuild_index(&mut self) {
        self.executor_index = ExecutorIndex::default();
        for index in 0..self.executors.len() {
            let executor = &mut self.executors[index];
            executor.index_entry = IndexEntry::of(executor, &self.settings.slow_start, self.now);
            if let Some(entry) = executor.index_entry {
                let on_ring = RingEntry::new(executor.endpoint.executor, index);
                self.executor_index.count_in(index, entry).push_unsorted(on_ring);
            }
        }
        self.executor_index.sort();
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
