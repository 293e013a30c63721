//! Rings of executors: the order from which parts of a long list are taken, alike at all dispatchers.

use super::*;

/// Executors in the order of points that are the same at all dispatchers.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    pub(crate) places: Vec<(u64, usize)>,
}

impl Ring {
    pub(crate) fn insert(&mut self, place: (u64, usize)) {
        if let Err(at) = self.places.binary_search(&place) {
            self.places.insert(at, place);
        }
    }

    pub(crate) fn remove(&mut self, place: (u64, usize)) {
        if let Ok(at) = self.places.binary_search(&place) {
            self.places.remove(at);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    /// So many executors from a point on, round the ring, each with its distance from there.
    pub(crate) fn window(&self, point: u64, most: usize) -> impl Iterator<Item = (u64, usize)> + '_ {
        let begin = self.places.partition_point(|(p, _)| *p < point);
        let (before, after) = self.places.split_at(begin);
        after.iter().chain(before).take(most).map(move |(p, i)| (p.wrapping_sub(point), *i))
    }
}

/// The listed executors that are open to the same classes.
#[derive(Debug, Default)]
pub(crate) struct PoolRings {
    /// Those at their full capacity, and those that have started lately.
    pub(crate) warm: Ring,
    pub(crate) cold: Ring,
    /// How many there are of each kind of machine.
    pub(crate) kinds: BTreeMap<KindId, usize>,
}

/// Which part of the executors a window is taken from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Part {
    /// At their full capacity.
    Warm,
    /// Started lately.
    Cold,
    /// Both.
    All,
}

/// An executor's point on the rings, the same at all dispatchers.
pub(crate) fn ring_position(executor: ExecutorId) -> u64 {
    mixed(u64::from(executor))
}

/// A number spread over all values of its type (the finalizer of SplitMix64).
pub(crate) fn mixed(number: u64) -> u64 {
    let mut z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl PoolRings {
    pub(crate) fn ring(&mut self, cold: bool) -> &mut Ring {
        if cold { &mut self.cold } else { &mut self.warm }
    }

    pub(crate) fn rings(&self, part: Part) -> impl Iterator<Item = &Ring> {
        let warm = (part != Part::Cold).then_some(&self.warm);
        let cold = (part != Part::Warm).then_some(&self.cold);
        warm.into_iter().chain(cold)
    }
}
