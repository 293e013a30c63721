//! What dispatchers tell each other, a few times a second: demand and use by tenant.

use crate::{Micros, NAMED, Peer, Tenant};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One tenant's, or several tenants' together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run, one slot each.
    pub running: u32,
    /// Slot time charged in all since the sender began, in milliseconds. It may go down where too much was charged.
    pub used_ms: i64,
}

/// One dispatcher's word.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    /// The sender's incarnation; its counts begin anew with it.
    pub incarnation: u64,
    /// When it was written, by the sender's clock.
    pub at: Micros,
    /// The tenants with the most demand, [`NAMED`] at most.
    pub tenants: Vec<(Tenant, Part)>,
    /// All others together.
    pub rest: Part,
    /// How many the others are that have something waiting or running.
    pub rest_tenants: u16,
}

impl Shares {
    /// Of these parts: those with the most demand named, the others summed.
    pub fn of(incarnation: u64, at: Micros, mut parts: Vec<(Tenant, Part)>) -> Shares {
        parts.sort_by_key(|(t, p)| (std::cmp::Reverse(p.waiting.saturating_add(p.running)), *t));
        let mut shares = Shares { incarnation, at, ..Shares::default() };
        for (_, p) in parts.iter().skip(NAMED) {
            shares.rest.waiting = shares.rest.waiting.saturating_add(p.waiting);
            shares.rest.running = shares.rest.running.saturating_add(p.running);
            shares.rest.used_ms = shares.rest.used_ms.saturating_add(p.used_ms);
            shares.rest_tenants += u16::from(p.waiting + p.running > 0);
        }
        parts.truncate(NAMED);
        shares.tenants = parts;
        shares
    }

    /// Whether it keeps its bounds.
    pub fn fits(&self) -> bool {
        self.tenants.len() <= NAMED
    }

    /// Slots in use by its own word.
    pub fn running(&self) -> f64 {
        f64::from(self.rest.running) + self.tenants.iter().map(|(_, p)| f64::from(p.running)).sum::<f64>()
    }
}

/// What the peers said last.
#[derive(Debug, Clone, Default)]
pub(crate) struct Heard {
    /// With the time it came in.
    last: BTreeMap<Peer, (Micros, Shares)>,
}

impl Heard {
    /// Takes a word; for each tenant the slot seconds that were charged since the one before. Older words, and
    /// those out of bounds, change nothing.
    pub fn take(&mut self, now: Micros, peer: Peer, shares: Shares) -> Vec<(Tenant, f64)> {
        if !shares.fits()
            || self
                .last
                .get(&peer)
                .is_some_and(|(_, s)| (s.incarnation, s.at) >= (shares.incarnation, shares.at))
        {
            return Vec::new();
        }
        let mut grown = Vec::new();
        let mut shares = shares;
        if let Some((_, before)) = self.last.get(&peer).filter(|(_, s)| s.incarnation == shares.incarnation) {
            let used =
                |s: &Shares, t: Tenant| s.tenants.iter().find(|(o, _)| *o == t).map(|(_, p)| p.used_ms);
            for (t, part) in &shares.tenants {
                if let Some(was) = used(before, *t) {
                    grown.push((*t, part.used_ms.saturating_sub(was) as f64 / 1e3));
                }
            }
            // One that is not named this time keeps its count, so that nothing is lost once it is again.
            let missing = before.tenants.iter().filter(|(t, _)| used(&shares, *t).is_none());
            let kept = missing.map(|(t, p)| (*t, Part { used_ms: p.used_ms, ..Part::default() }));
            let kept: Vec<_> = kept.take(2 * NAMED - shares.tenants.len()).collect();
            shares.tenants.extend(kept);
        }
        self.last.insert(peer, (now, shares));
        grown
    }

    /// Words that are fresh.
    pub fn fresh(&self, now: Micros, stale: Micros) -> impl Iterator<Item = (Peer, &Shares)> {
        let young = move |at: Micros| now.saturating_sub(at) <= stale;
        self.last.iter().filter(move |(_, (came, s))| young(*came) && young(s.at)).map(|(p, (_, s))| (*p, s))
    }
}
