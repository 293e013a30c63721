//! Reports that dispatchers exchange a few times a second: demand and usage by tenant.

use crate::{Micros, NAMED, Peer, Tenant};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Demand and usage of one tenant, or the sum of several.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Waiting requests.
    pub waiting: u32,
    /// Running requests, one slot each.
    pub running: u32,
    /// Total slot time charged since the sender started, in milliseconds. It decreases when an overcharge is corrected.
    pub used_ms: i64,
}

/// One dispatcher's report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    /// The sender's incarnation; its counters restart with it.
    pub incarnation: u64,
    /// When it was made, by the sender's clock.
    pub at: Micros,
    /// The tenants with the most demand, at most [`NAMED`].
    pub tenants: Vec<(Tenant, Part)>,
    /// The sum of all others.
    pub rest: Part,
    /// The number of other tenants with waiting or running requests.
    pub rest_tenants: u16,
}

impl Shares {
    /// Lists the tenants with the most demand individually and sums up the others.
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

    /// Whether it is within its limits.
    pub fn fits(&self) -> bool {
        self.tenants.len() <= NAMED
    }

    /// Slots in use according to the sender.
    pub fn running(&self) -> f64 {
        f64::from(self.rest.running) + self.tenants.iter().map(|(_, p)| f64::from(p.running)).sum::<f64>()
    }
}

/// The last report of each peer.
#[derive(Debug, Clone, Default)]
pub(crate) struct Heard {
    /// By peer, with the time of arrival.
    last: BTreeMap<Peer, (Micros, Shares)>,
}

impl Heard {
    /// Stores a report. Returns the slot seconds charged since the previous one, by tenant. Reports older than
    /// the stored one or out of limits are ignored.
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
            // A tenant missing from this report keeps its counter, so that its usage is charged once it is listed again.
            let missing = before.tenants.iter().filter(|(t, _)| used(&shares, *t).is_none());
            let kept = missing.map(|(t, p)| (*t, Part { used_ms: p.used_ms, ..Part::default() }));
            let kept: Vec<_> = kept.take(2 * NAMED - shares.tenants.len()).collect();
            shares.tenants.extend(kept);
        }
        self.last.insert(peer, (now, shares));
        grown
    }

    /// The reports that are not stale.
    pub fn fresh(&self, now: Micros, stale: Micros) -> impl Iterator<Item = (Peer, &Shares)> {
        let young = move |at: Micros| now.saturating_sub(at) <= stale;
        self.last.iter().filter(move |(_, (came, s))| young(*came) && young(s.at)).map(|(p, (_, s))| (*p, s))
    }
}
