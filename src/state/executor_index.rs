//! The index over the executor table, updated incrementally with the endpoint list. It provides the aggregates of the
//! whole list that decisions need, and hash rings from which subsets of the list are taken.

use super::Balancer;
use super::executor::Executor;
use super::hash_ring::{HashRing, Part, PoolRings, RingEntry};
use crate::api::{ExecutorId, Kind, KindId, SlowStart, TimestampUs};
use std::collections::{BTreeMap, BTreeSet};

/// The index entry of a listed executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct IndexEntry {
    /// Bit mask of the classes that it is eligible for.
    pool: u64,
    /// Its kind of machine.
    kind: KindId,
    /// Start time, if it is in slow start.
    warming_since: Option<TimestampUs>,
}

impl IndexEntry {
    /// The entry that an executor should have now; `None` if it accepts no requests.
    fn of(executor: &Executor, slow_start: &SlowStart, now: TimestampUs) -> Option<IndexEntry> {
        let began = executor.slow_start_began(slow_start.ramp, now);
        let warming_since = began.filter(|_| slow_start.overload_window > 0);
        let kind = executor.endpoint.kind;
        executor.is_listed().then_some(IndexEntry { pool: executor.pool, kind, warming_since })
    }
}

/// Aggregates over the executors of one kind that are in slow start.
#[derive(Debug, Default)]
struct WarmingKind {
    /// Their number.
    executors: u64,
    /// Sum of their start times, in microseconds.
    starts: u128,
}

/// The executor index. Executors are identified by their positions in the executor table.
#[derive(Debug, Default)]
pub(crate) struct ExecutorIndex {
    /// Listed executors by pool.
    pools: BTreeMap<u64, PoolRings>,
    /// Executors in slow start, ordered by start time.
    starts: BTreeSet<(TimestampUs, usize)>,
    /// Aggregates over the executors in slow start, by kind.
    warming: BTreeMap<KindId, WarmingKind>,
    /// Number of listed executors.
    listed: usize,
}

impl ExecutorIndex {
    /// Replaces the entry of the executor at `index` in the table; `None` means no entry.
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
            self.add_to_aggregates(index, entry).insert(on_ring);
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

    /// Adds an executor to the aggregates and returns the ring that it belongs to.
    fn add_to_aggregates(&mut self, index: usize, entry: IndexEntry) -> &mut HashRing {
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

    /// Number of listed executors.
    pub(crate) fn listed_count(&self) -> usize {
        self.listed
    }

    /// The executor in slow start with the earliest start, if it started at `time` or before.
    pub(crate) fn started_by(&self, time: TimestampUs) -> Option<usize> {
        self.starts.first().filter(|(since, _)| *since <= time).map(|(_, index)| *index)
    }

    /// Number of cores of all executors in slow start, and the sum of each one's cores times the seconds since its
    /// start.
    pub(crate) fn warming_cores(&self, kinds: &[Kind], now: TimestampUs) -> (f64, f64) {
        self.warming.iter().fold((0.0, 0.0), |(all_cores, core_seconds), (kind, warming)| {
            let age_us = (u128::from(now) * u128::from(warming.executors)).saturating_sub(warming.starts);
            let cores = kinds[*kind].cores;
            (all_cores + cores * warming.executors as f64, core_seconds + cores * age_us as f64 / 1e6)
        })
    }

    /// The pools that match a filter.
    fn pools(&self, filter: impl Fn(u64) -> bool) -> impl Iterator<Item = &PoolRings> {
        self.pools.iter().filter(move |(pool, _)| filter(**pool)).map(|(_, rings)| rings)
    }

    /// Number of executors in a part of the matching pools.
    pub(crate) fn count(&self, part: Part, filter: impl Fn(u64) -> bool) -> usize {
        self.pools(filter).flat_map(|pool| pool.rings(part)).map(HashRing::len).sum()
    }

    /// Cores of the listed executors in the matching pools.
    pub(crate) fn cores(&self, kinds: &[Kind], filter: impl Fn(u64) -> bool) -> f64 {
        let cores = |(kind, count): (&KindId, &usize)| *count as f64 * kinds[*kind].cores;
        self.pools(filter).flat_map(|pool| &pool.kinds).map(cores).sum()
    }

    /// All executors of the matching pools, in no particular order.
    pub(crate) fn all(&self, filter: impl Fn(u64) -> bool) -> Vec<usize> {
        let rings = self.pools(filter).flat_map(|pool| pool.rings(Part::All));
        rings.flat_map(HashRing::executors).collect()
    }

    /// Up to `limit` executors in a part of the matching pools, those that follow a ring position most closely.
    pub(crate) fn window(
        &self,
        part: Part,
        filter: impl Fn(u64) -> bool,
        from: u64,
        limit: usize,
    ) -> Vec<usize> {
        let rings = self.pools(filter).flat_map(|pool| pool.rings(part));
        let mut nearest: Vec<RingEntry> = rings.flat_map(|ring| ring.window(from, limit)).collect();
        nearest.sort_unstable();
        nearest.truncate(limit);
        nearest.into_iter().map(|entry| entry.executor).collect()
    }
}

impl Balancer {
    /// Updates the index after an executor's list entry, presence or slow start may have changed.
    pub(crate) fn update_index(&mut self, index: usize) {
        let executor = &mut self.executors[index];
        let after = IndexEntry::of(executor, &self.settings.slow_start, self.now);
        let before = std::mem::replace(&mut executor.index_entry, after);
        if before != after {
            let id = executor.endpoint.executor;
            self.executor_index.replace(index, id, before, after);
        }
    }

    /// Rebuilds the index, after a complete list or a sweep of the table.
    pub(crate) fn rebuild_index(&mut self) {
        self.executor_index = ExecutorIndex::default();
        for index in 0..self.executors.len() {
            let executor = &mut self.executors[index];
            executor.index_entry = IndexEntry::of(executor, &self.settings.slow_start, self.now);
            if let Some(entry) = executor.index_entry {
                let on_ring = RingEntry::new(executor.endpoint.executor, index);
                self.executor_index.add_to_aggregates(index, entry).push_unsorted(on_ring);
            }
        }
        self.executor_index.sort();
    }

    /// Counts executors that a decision examined.
    pub(crate) fn count_examined(&self, executors: usize) {
        self.examined.set(self.examined.get() + executors as u64);
    }

    /// Number of executors that decisions have examined so far, a machine-independent measure of their cost.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }
}

#[cfg(test)]
mod tests;
