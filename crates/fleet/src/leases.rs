//! Who may act: the leases of the fleet's incarnations, as its log has them.

use crate::{Incarnation, peer_of};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A peer's right to act: one incarnation of it and a term, which grows each time that it lost its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The process.
    pub incarnation: Incarnation,
    /// Counts its leases, from 1.
    pub term: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Lease {
    term: u32,
    alive: bool,
    /// How often it was renewed.
    renewals: u64,
}

/// All leases, those of incarnations that are over included: terms never start anew for one that returns.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Leases {
    incarnations: BTreeMap<Incarnation, Lease>,
    /// Who has one; follows from the incarnations.
    #[serde(skip)]
    alive: BTreeSet<Holder>,
}

/// Peers that can have a lease at once, at most: a lease has a peer's place in its top byte.
pub const MOST_ALIVE: usize = 32;
/// Lives remembered at most.
const MOST_LIVES: usize = 64;

impl Leases {
    /// Those who have a lease.
    pub fn alive(&self) -> &BTreeSet<Holder> {
        &self.alive
    }

    /// Whether a lease goes on under this very term.
    pub fn holds(&self, h: Holder) -> bool {
        self.alive.contains(&h)
    }

    /// How often a lease was renewed; `None` once it is over.
    pub fn renewals(&self, h: Holder) -> Option<u64> {
        self.incarnations.get(&h.incarnation).filter(|_| self.holds(h)).map(|l| l.renewals)
    }

    /// Gives an incarnation a lease; one that it has already goes on.
    pub fn register(&mut self, incarnation: Incarnation) -> Holder {
        let lease =
            self.incarnations.entry(incarnation).or_insert(Lease { term: 0, alive: false, renewals: 0 });
        match lease.alive {
            // Asked for twice: who holds it counts from the later.
            true => lease.renewals += 1,
            false => *lease = Lease { term: lease.term + 1, alive: true, renewals: 0 },
        }
        let holder = Holder { incarnation, term: lease.term };
        self.alive.insert(holder);
        holder
    }

    /// Whether the lease was there to be renewed.
    pub fn renew(&mut self, h: Holder) -> bool {
        let held = self.holds(h);
        if let Some(lease) = self.incarnations.get_mut(&h.incarnation).filter(|_| held) {
            lease.renewals += 1;
        }
        held
    }

    /// Ends a lease; whether it was there. With `renewals`, only if it was renewed so often: who says that it ran
    /// out has seen no renewal since, and one that stands in the log before that word is not to be lost.
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

    /// Forgets incarnations that a later one of their peer has followed, the oldest first; a peer's last is never
    /// forgotten. Who went.
    pub fn forget(&mut self) -> Vec<Incarnation> {
        let mut gone = Vec::new();
        while self.incarnations.len() > MOST_LIVES {
            let incarnations: Vec<Incarnation> = self.incarnations.keys().copied().collect();
            let followed =
                |w: &&[Incarnation]| peer_of(w[0]) == peer_of(w[1]) && !self.incarnations[&w[0]].alive;
            let Some(old) = incarnations.windows(2).find(followed).map(|w| w[0]) else { break };
            self.incarnations.remove(&old);
            gone.push(old);
        }
        gone
    }

    /// Works out again what follows from the rest.
    pub(crate) fn restore(&mut self) {
        let alive = self.incarnations.iter().filter(|(_, l)| l.alive);
        self.alive = alive.map(|(&incarnation, l)| Holder { incarnation, term: l.term }).collect();
    }
}

#[cfg(test)]
mod tests;
