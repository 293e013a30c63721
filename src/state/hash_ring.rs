//! Hash rings of executors, from which subsets of a long list are taken. Their order is the same on all dispatchers.

use crate::api::{ExecutorId, KindId};
use std::collections::BTreeMap;

/// An executor on a ring. Entries are ordered by position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RingEntry {
    /// Position on the ring; in a window, the distance from its start.
    pub(crate) position: u64,
    /// The executor's position in the executor table.
    pub(crate) executor: usize,
}

impl RingEntry {
    /// Entry of the executor at `index` in the executor table.
    pub(crate) fn new(executor: ExecutorId, index: usize) -> RingEntry {
        RingEntry { position: ring_position(executor), executor: index }
    }
}

/// A ring of executors in order of their positions.
#[derive(Debug, Default)]
pub(crate) struct HashRing {
    entries: Vec<RingEntry>,
}

impl HashRing {
    /// Inserts an entry at its position.
    pub(crate) fn insert(&mut self, entry: RingEntry) {
        if let Err(index) = self.entries.binary_search(&entry) {
            self.entries.insert(index, entry);
        }
    }

    /// Appends an entry; the ring must be sorted before it is used.
    pub(crate) fn push_unsorted(&mut self, entry: RingEntry) {
        self.entries.push(entry);
    }

    /// Sorts all entries.
    pub(crate) fn sort(&mut self) {
        self.entries.sort_unstable();
    }

    /// Removes an entry if it is present.
    pub(crate) fn remove(&mut self, entry: RingEntry) {
        if let Ok(index) = self.entries.binary_search(&entry) {
            self.entries.remove(index);
        }
    }

    /// Number of executors on the ring.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Positions in the executor table of the executors on the ring.
    pub(crate) fn executors(&self) -> impl Iterator<Item = usize> + '_ {
        self.entries.iter().map(|entry| entry.executor)
    }

    /// Up to `limit` executors clockwise from a position, each with its distance from there.
    pub(crate) fn window(&self, from: u64, limit: usize) -> impl Iterator<Item = RingEntry> + '_ {
        let begin = self.entries.partition_point(|entry| entry.position < from);
        let (before, after) = self.entries.split_at(begin);
        let distance = move |entry: &RingEntry| RingEntry {
            position: entry.position.wrapping_sub(from),
            executor: entry.executor,
        };
        after.iter().chain(before).take(limit).map(distance)
    }
}

/// The listed executors of a pool, which are eligible for the same classes.
#[derive(Debug, Default)]
pub(crate) struct PoolRings {
    /// Executors at full capacity.
    pub(crate) warm: HashRing,
    /// Executors in slow start.
    pub(crate) warming: HashRing,
    /// Number of executors by kind of machine.
    pub(crate) kinds: BTreeMap<KindId, usize>,
}

impl PoolRings {
    /// The ring of the executors in slow start, or that of the others.
    pub(crate) fn ring_mut(&mut self, is_warming: bool) -> &mut HashRing {
        if is_warming { &mut self.warming } else { &mut self.warm }
    }

    /// The rings that make up a part.
    pub(crate) fn rings(&self, part: Part) -> impl Iterator<Item = &HashRing> {
        let warm = (part != Part::Warming).then_some(&self.warm);
        let warming = (part != Part::Warm).then_some(&self.warming);
        warm.into_iter().chain(warming)
    }

    /// Whether both rings are empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.warm.len() + self.warming.len() == 0
    }
}

/// Selects executors by their slow-start state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Part {
    /// Executors at full capacity.
    Warm,
    /// Executors in slow start.
    Warming,
    /// All executors.
    All,
}

/// An executor's position on the rings; the same on all dispatchers.
pub(crate) fn ring_position(executor: ExecutorId) -> u64 {
    splitmix64(u64::from(executor))
}

/// The SplitMix64 hash, which spreads numbers evenly over all 64-bit values.
pub(crate) fn splitmix64(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
