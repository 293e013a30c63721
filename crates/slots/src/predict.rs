//! Predictions of the queue: when each waiting request will finish, and how many slots to request.

use crate::queue::{Entry, Queue};
use crate::split::{Demand, Due, dues};
use crate::{Id, Micros, SECOND, Tenant};
use std::collections::BTreeMap;

/// A waiting request is refused when it is predicted late by more than this fraction (1/n) of its time to the
/// objective; the tolerance covers fluctuations of the service rate.
const SLACK: u64 = 10;
/// Lower bound of the average number of slots assumed for a tenant.
const MIN_PACE: f64 = 0.02;
/// Assumed remaining time of a request that has run longer than predicted, as a fraction of its time so far.
const OVERRUN: f64 = 0.25;
/// Time constant for smoothing the wanted slots, and the change needed before another number is requested.
const SMOOTH_S: f64 = 2.0;
const MOVE: f64 = 0.7;

/// How many slots a dispatcher requests from the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Want {
    /// Its share according to the known reports.
    pub firm: u32,
    /// What it could use while no other dispatcher lacks its share. Equal to `firm` while reports are missing.
    pub most: u32,
}

impl Queue {
    /// Slots to request. Dispatchers without a fresh report are left their equal parts; if all reports are missing, at
    /// most the own equal part is requested, but at least one slot.
    pub fn want(&mut self, now: Micros) -> Want {
        let demand = self.running() + self.waiting() as u32;
        let reporting = self.peer_reports.fresh(now, self.terms.max_report_age).count() as u32 + 1;
        let total = self.lent.total;
        let wanted: f64 = self.dues(now).values().map(|d| d.here).sum();
        let before = self.smooth.unwrap_or((wanted, now));
        let weight = 1.0 - (-(now.saturating_sub(before.1) as f64 / SECOND) / SMOOTH_S).exp();
        let mean = before.0 + (wanted - before.0) * weight;
        self.smooth = Some((mean, now));
        // Slots that are not needed now are not kept for later, as others wait for them.
        if (mean - f64::from(self.firm)).abs() > MOVE {
            self.firm = mean.round() as u32;
        }
        if reporting < self.lent.peers {
            let part = (f64::from(total) / f64::from(self.lent.peers)) * f64::from(reporting);
            self.firm = self.firm.min(part as u32);
        }
        let firm = self.firm.max(u32::from(demand > 0)).min(demand).min(total);
        let most = if reporting < self.lent.peers { firm } else { demand.min(total) };
        Want { firm, most }
    }

    /// The allocation of each tenant with requests here, by its weight and by where its requests are.
    fn dues(&self, now: Micros) -> BTreeMap<Tenant, Due> {
        let mut mine: BTreeMap<Tenant, f64> = BTreeMap::new();
        for (t, f) in self.flows.all.iter().filter(|(_, f)| f.waiting + f.running > 0) {
            mine.insert(*t, f64::from(f.waiting + f.running));
        }
        let reports: Vec<_> =
            self.peer_reports.fresh(now, self.terms.max_report_age).map(|(_, s)| s).collect();
        let mut tenants: BTreeMap<Tenant, usize> = BTreeMap::new();
        let theirs = reports.iter().flat_map(|s| &s.tenants).filter(|(_, p)| p.waiting > 0 || p.running > 0);
        for t in mine.keys().copied().chain(theirs.map(|(t, _)| *t)) {
            let next = tenants.len();
            tenants.entry(t).or_insert(next);
        }
        // Tenants that are not listed count as one, with the largest number of such tenants that any peer reports as weight.
        let rest = tenants.len();
        let mut weights = vec![1.0; rest + 1];
        tenants.iter().for_each(|(t, &i)| weights[i] = self.flows.weight(*t));
        weights[rest] = reports.iter().map(|s| f64::from(s.rest_tenants)).fold(0.0, f64::max);
        let mut demands = vec![Demand { wants: vec![0.0; rest + 1], used: f64::from(self.running()) }];
        mine.iter().for_each(|(t, d)| demands[0].wants[tenants[t]] = *d);
        for s in reports {
            let mut demand = Demand { wants: vec![0.0; rest + 1], used: s.running() };
            for (t, p) in s.tenants.iter().filter(|(t, _)| tenants.contains_key(t)) {
                demand.wants[tenants[t]] = f64::from(p.waiting) + f64::from(p.running);
            }
            demand.wants[rest] = f64::from(s.rest.waiting) + f64::from(s.rest.running);
            demands.push(demand);
        }
        let given = dues(f64::from(self.lent.total), f64::from(self.lent.peers), &weights, &demands);
        mine.into_keys().map(|t| (t, given[tenants[&t]])).collect()
    }

    /// Predicted completion of each waiting request, in order of arrival.
    pub(crate) fn ends(&self, now: Micros) -> Vec<(Id, Micros)> {
        self.expect(now, |_, _| false)
    }

    /// Requests that can no longer meet their latency objective, and by how much they would be late. A refused request
    /// leaves no work ahead of those behind it.
    pub(crate) fn late(&self, now: Micros) -> Vec<(Id, Micros)> {
        let limit = |id: Id| {
            let limit = |e: &Entry| e.job.aim.saturating_add(e.job.aim.saturating_sub(e.arrived) / SLACK);
            self.jobs.get(&id).map_or(0, |e| limit(e).min(e.job.deadline))
        };
        let all = self.expect(now, |id, end| end > limit(id));
        all.into_iter().filter(|&(id, end)| end > limit(id)).map(|(id, end)| (id, end - limit(id))).collect()
    }

    /// Predicted completions in order of arrival. Requests for which `drops` is true leave no work ahead of the others.
    fn expect(&self, now: Micros, drops: impl Fn(Id, Micros) -> bool) -> Vec<(Id, Micros)> {
        let dues = self.dues(now);
        let sum: f64 = dues.values().map(|d| d.here).sum();
        // Slots that were just requested arrive soon.
        let slots = f64::from(self.lent.mine).max(sum / 2.0);
        let mut left: BTreeMap<Tenant, f64> = BTreeMap::new();
        let mut key_ends: BTreeMap<u64, f64> = BTreeMap::new();
        let mut soonest = f64::INFINITY;
        for e in self.jobs.values() {
            let Some((since, charged)) = e.runs else { continue };
            let held = now.saturating_sub(since) as f64 / SECOND;
            let rest = (charged - held).max(held * OVERRUN);
            soonest = soonest.min(rest);
            *left.entry(e.tenant).or_default() += rest;
            if let Some(key) = e.job.key {
                key_ends.insert(key, rest);
            }
        }
        let free = self.running() < self.lent.mine || !soonest.is_finite();
        let soonest = if free { 0.0 } else { soonest };
        let mut all = Vec::with_capacity(self.order.len());
        for id in self.order.values() {
            let Some(e) = self.jobs.get(id) else { continue };
            let bias = self.flows.all.get(&e.tenant).map_or(1.0, |f| f.bias);
            let span = e.job.span_s() * bias;
            let due = dues.get(&e.tenant).copied().unwrap_or_default();
            // A tenant within its share is served before those that are not.
            let part =
                if due.content { slots.min(due.here.max(1.0)) } else { due.here * slots / sum.max(1e-9) };
            let pace = part.max(MIN_PACE);
            let work = left.entry(e.tenant).or_default();
            // With several slots, the last of the requests ahead are still running when it starts.
            let ahead = (*work - (pace - 1.0).max(0.0) * span / 2.0).max(0.0) / pace;
            // If the tenant is ahead of its share in the fleet, that lead has to be worked off first.
            let lead = if free { 0.0 } else { self.ahead_s(e.tenant) / due.fleet.max(MIN_PACE) };
            let blocked = e.job.key.and_then(|k| key_ends.get(&k).copied()).unwrap_or(0.0);
            let starts = ahead.max(lead).max(soonest).max(blocked);
            let end = now.saturating_add(((starts + span) * SECOND) as Micros);
            if !drops(*id, end) {
                *work += span;
                e.job.key.map(|key| key_ends.insert(key, starts + span));
            }
            all.push((*id, end));
        }
        all
    }
}
