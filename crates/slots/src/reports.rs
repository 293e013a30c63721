//! Reports that dispatchers exchange a few times a second: demand and usage by tenant.

use crate::{MAX_LISTED_TENANTS, Micros, Peer, Tenant};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Demand and usage of one tenant, or the sum of several.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantDemand {
    /// Waiting requests.
    pub waiting: u32,
    /// Running requests, one slot each.
    pub running: u32,
    /// Total slot time charged since the sender started, in milliseconds. It decreases when an overcharge is corrected.
    pub used_ms: i64,
}

/// One dispatcher's report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The sender's incarnation; its counters restart with it.
    pub incarnation: u64,
    /// When it was made, by the sender's clock.
    pub at: Micros,
    /// The tenants with the most demand, at most [`MAX_LISTED_TENANTS`].
    pub tenants: Vec<(Tenant, TenantDemand)>,
    /// The sum of all others.
    pub rest: TenantDemand,
    /// The number of other tenants with waiting or running requests.
    pub rest_tenants: u16,
}

impl DemandReport {
    /// Lists the tenants with the most demand individually and sums up the others.
    pub fn of(incarnation: u64, at: Micros, mut parts: Vec<(Tenant, TenantDemand)>) -> DemandReport {
        parts.sort_by_key(|(t, p)| (std::cmp::Reverse(p.waiting.saturating_add(p.running)), *t));
        let mut report = DemandReport { incarnation, at, ..DemandReport::default() };
        for (_, p) in parts.iter().skip(MAX_LISTED_TENANTS) {
            report.rest.waiting = report.rest.waiting.saturating_add(p.waiting);
            report.rest.running = report.rest.running.saturating_add(p.running);
            report.rest.used_ms = report.rest.used_ms.saturating_add(p.used_ms);
            report.rest_tenants += u16::from(p.waiting + p.running > 0);
        }
        parts.truncate(MAX_LISTED_TENANTS);
        report.tenants = parts;
        report
    }

    /// Whether it is within its limits.
    pub fn is_within_limits(&self) -> bool {
        self.tenants.len() <= MAX_LISTED_TENANTS
    }

    /// Slots in use according to the sender.
    pub fn running(&self) -> f64 {
        f64::from(self.rest.running) + self.tenants.iter().map(|(_, p)| f64::from(p.running)).sum::<f64>()
    }
}

/// The last report of each peer.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerReports {
    /// By peer, with the time of arrival.
    last: BTreeMap<Peer, (Micros, DemandReport)>,
}

impl PeerReports {
    /// Stores a report. Returns the slot seconds charged since the previous one, by tenant. Reports older than
    /// the stored one or out of limits are ignored.
    pub fn store(&mut self, now: Micros, peer: Peer, report: DemandReport) -> Vec<(Tenant, f64)> {
        if !report.is_within_limits()
            || self
                .last
                .get(&peer)
                .is_some_and(|(_, s)| (s.incarnation, s.at) >= (report.incarnation, report.at))
        {
            return Vec::new();
        }
        let mut charges = Vec::new();
        let mut report = report;
        if let Some((_, before)) = self.last.get(&peer).filter(|(_, s)| s.incarnation == report.incarnation) {
            let used =
                |s: &DemandReport, t: Tenant| s.tenants.iter().find(|(o, _)| *o == t).map(|(_, p)| p.used_ms);
            for (t, part) in &report.tenants {
                if let Some(was) = used(before, *t) {
                    charges.push((*t, part.used_ms.saturating_sub(was) as f64 / 1e3));
                }
            }
            // A tenant missing from this report keeps its counter, so that its usage is charged once it is listed again.
            let missing = before.tenants.iter().filter(|(t, _)| used(&report, *t).is_none());
            let kept =
                missing.map(|(t, p)| (*t, TenantDemand { used_ms: p.used_ms, ..TenantDemand::default() }));
            let kept: Vec<_> = kept.take(2 * MAX_LISTED_TENANTS - report.tenants.len()).collect();
            report.tenants.extend(kept);
        }
        self.last.insert(peer, (now, report));
        charges
    }

    /// The reports that are not stale.
    pub fn fresh(&self, now: Micros, max_age: Micros) -> impl Iterator<Item = (Peer, &DemandReport)> {
        let young = move |at: Micros| now.saturating_sub(at) <= max_age;
        self.last.iter().filter(move |(_, (came, s))| young(*came) && young(s.at)).map(|(p, (_, s))| (*p, s))
    }
}
