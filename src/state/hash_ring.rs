//! Hash rings of executors: the order from which parts of a long list are taken, the same at all dispatchers.

use crate::api::{ExecutorId, KindId};
use std::collections::BTreeMap;

/// An executor on a ring. Entries order by their position on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RingEntry {
    /// Position on the ring, or the distance from where a window begins.
    pub(crate) position: u64,
    /// The executor's position in the executor table.
    pub(crate) executor: usize,
}

impl RingEntry {
    /// Entry of an executor, which is at `index` in the executor table.
    pub(crate) fn new(executor: ExecutorId, index: usize) -> RingEntry {
        RingEntry { position: ring_position(executor), executor: index }
    }
}

/// Executors in the order of their positions.
#[derive(Debug, Default)]
pub(crate) struct HashRing {
    entries: Vec<RingEntry>,
}

impl HashRing {
    /// Adds an entry in its place.
    pub(crate) fn insert(&mut self, entry: RingEntry) {
        if let Err(index) = self.entries.binary_search(&entry) {
            self.entries.insert(index, entry);
        }
    }

    /// Adds an entry at the end; the ring has to be sorted before it is used.
    pub(crate) fn push_unsorted(&mut self, entry: RingEntry) {
        self.entries.push(entry);
    }

    /// Puts all entries in order.
    pub(crate) fn sort(&mut self) {
        self.entries.sort_unstable();
    }

    /// Removes an entry if it is there.
    pub(crate) fn remove(&mut self, entry: RingEntry) {
        if let Ok(index) = self.entries.binary_search(&entry) {
            self.entries.remove(index);
        }
    }

    /// How many executors are on the ring.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Positions in the executor table of all executors on the ring.
    pub(crate) fn executors(&self) -> impl Iterator<Item = usize> + '_ {
        self.entries.iter().map(|entry| entry.executor)
    }

    /// At most so many executors from a position on, round the ring, each with its distance from there.
    pub(crate) fn window(&self, from: u64, most: usize) -> impl Iterator<Item = RingEntry> + '_ {
        let begin = self.entries.partition_point(|entry| entry.position < from);
        let (before, after) = self.entries.split_at(begin);
        let distance = move |entry: &RingEntry| RingEntry {
            position: entry.position.wrapping_sub(from),
            executor: entry.executor,
        };
        after.iter().chain(before).take(most).map(distance)
    }
}

/// The listed executors that are open to the same classes.
#[derive(Debug, Default)]
pub(crate) struct PoolRings {
    /// Those at their full capacity.
    pub(crate) warm: HashRing,
    /// Those in slow start.
    pub(crate) warming: HashRing,
    /// How many there are of each kind of machine.
    pub(crate) kinds: BTreeMap<KindId, usize>,
}

impl PoolRings {
    /// The ring of the executors in slow start or of the others.
    pub(crate) fn ring_mut(&mut self, is_warming: bool) -> &mut HashRing {
        if is_warming { &mut self.warming } else { &mut self.warm }
    }

    /// The rings of a part.
    pub(crate) fn rings(&self, part: Part) -> impl Iterator<Item = &HashRing> {
        let warm = (part != Part::Warming).then_some(&self.warm);
        let warming = (part != Part::Warm).then_some(&self.warming);
        warm.into_iter().chain(warming)
    }

    /// Whether no executor is on the rings.
    pub(crate) fn is_empty(&self) -> bool {
        self.warm.len() + self.warming.len() == 0
    }
}

/// Which part of the executors is meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Part {
    /// At their full capacity.
    Warm,
    /// In slow start.
    Warming,
    /// Both.
    All,
}

/// An executor's position on the rings, the same at all dispatchers.
pub(crate) fn ring_position(executor: ExecutorId) -> u64 {
    mix(u64::from(executor))
}

/// Spreads numbers evenly over all values of their type (the finalizer of SplitMix64).
pub(crate) fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
