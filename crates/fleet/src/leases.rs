//! The leases of the fleet's incarnations, as replicated by its log.

use crate::{Incarnation, peer_of};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The holder of a lease: an incarnation and a term, which grows with each new lease of that incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The incarnation of the peer's process.
    pub incarnation: Incarnation,
    /// The number of the lease, starting at 1.
    pub term: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Lease {
    term: u32,
    alive: bool,
    renewals: u64,
}

/// All leases, ended ones included, so that an incarnation that registers again gets a higher term.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Leases {
    incarnations: BTreeMap<Incarnation, Lease>,
    /// Index of the holders of current leases, derived from `incarnations`.
    #[serde(skip)]
    alive: BTreeSet<Holder>,
}

/// The most peers that can hold a lease at once; the peer's number has to fit the top byte of an incarnation.
pub const MAX_HOLDERS: usize = 32;
/// The most incarnations that are kept.
const MAX_INCARNATIONS: usize = 64;

impl Leases {
    /// The holders of the current leases.
    pub fn alive(&self) -> &BTreeSet<Holder> {
        &self.alive
    }

    /// Whether this lease, with this term, is current.
    pub fn holds(&self, h: Holder) -> bool {
        self.alive.contains(&h)
    }

    /// How often a lease was renewed; `None` once it has ended.
    pub fn renewals(&self, h: Holder) -> Option<u64> {
        self.incarnations.get(&h.incarnation).filter(|_| self.holds(h)).map(|l| l.renewals)
    }

    /// Grants an incarnation a lease, or renews the one that it has.
    pub fn register(&mut self, incarnation: Incarnation) -> Holder {
        let lease =
            self.incarnations.entry(incarnation).or_insert(Lease { term: 0, alive: false, renewals: 0 });
        match lease.alive {
            // A repeated request counts as a renewal, as the holder's lease runs from the later request.
            true => lease.renewals += 1,
            false => *lease = Lease { term: lease.term + 1, alive: true, renewals: 0 },
        }
        let holder = Holder { incarnation, term: lease.term };
        self.alive.insert(holder);
        holder
    }

    /// Renews a lease; returns false if it has ended.
    pub fn renew(&mut self, h: Holder) -> bool {
        let held = self.holds(h);
        if let Some(lease) = self.incarnations.get_mut(&h.incarnation).filter(|_| held) {
            lease.renewals += 1;
        }
        held
    }

    /// Ends a lease; returns whether it did. With `renewals`, it ends only if it has exactly that many renewals: the
    /// peer that reports the expiry may not have seen a renewal that precedes its report in the log.
    pub fn end(&mut self, h: Holder, renewals: Option<u64>) -> bool {
        let seen = self.renewals(h);
        if seen.is_none() || renewals.is_some_and(|n| seen != Some(n)) {
            return false;
        }
        if let Some(lease) = self.incarnations.get_mut(&h.incarnation) {
            lease.alive = false;
        }
        self.alive.remove(&h)
    }

    /// Removes ended incarnations that a later one of the same peer has superseded, oldest first, until the limit
    /// is met, and returns them. The latest incarnation of a peer is never removed.
    pub fn remove_superseded(&mut self) -> Vec<Incarnation> {
        let mut removed = Vec::new();
        while self.incarnations.len() > MAX_INCARNATIONS {
            let incarnations: Vec<Incarnation> = self.incarnations.keys().copied().collect();
            let superseded =
                |w: &&[Incarnation]| peer_of(w[0]) == peer_of(w[1]) && !self.incarnations[&w[0]].alive;
            let Some(old) = incarnations.windows(2).find(superseded).map(|w| w[0]) else { break };
            self.incarnations.remove(&old);
            removed.push(old);
        }
        removed
    }

    /// Rebuilds the derived index after decoding.
    pub(crate) fn restore(&mut self) {
        let alive = self.incarnations.iter().filter(|(_, l)| l.alive);
        self.alive = alive.map(|(&incarnation, l)| Holder { incarnation, term: l.term }).collect();
    }
}

#[cfg(test)]
mod tests;
