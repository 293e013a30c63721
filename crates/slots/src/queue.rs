//! The waiting and running requests at one dispatcher.

use crate::flow::Flows;
use crate::reports::{DemandReport, PeerReports, TenantDemand};
use crate::{Id, Job, Lent, MAX_TENANTS, Micros, Next, Peer, SECOND, Tenant, Terms, Verdict, sane};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub job: Job,
    pub tenant: Tenant,
    pub seq: u64,
    pub arrived: Micros,
    /// When it started, and the slot seconds charged for it so far; `None` while it waits.
    pub runs: Option<(Micros, f64)>,
}

/// The queue of slow requests at one dispatcher. The host calls [`Queue::tick`] after anything that frees or adds
/// slots, and about every 100 ms in addition.
#[derive(Debug, Clone)]
pub struct Queue {
    pub(crate) terms: Terms,
    pub(crate) rng: Pcg64Mcg,
    incarnation: u64,
    pub(crate) jobs: BTreeMap<Id, Entry>,
    /// Waiting requests by sequence number.
    pub(crate) order: BTreeMap<u64, Id>,
    /// For each key the request that runs or is next, and those behind it.
    pub(crate) keys: BTreeMap<u64, VecDeque<Id>>,
    pub(crate) flows: Flows,
    pub(crate) peer_reports: PeerReports,
    pub(crate) lent: Lent,
    pub(crate) running: u32,
    seq: u64,
    /// Smoothed number of wanted slots and when it was updated; `firm` is the last number requested.
    pub(crate) smooth: Option<(f64, Micros)>,
    pub(crate) firm: u32,
}

impl Queue {
    /// An empty queue without slots. `seed` sets the jitter of retry delays. It is also the incarnation in reports to the
    /// peers and has to increase with every restart.
    pub fn new(terms: Terms, seed: u64) -> Queue {
        Queue {
            terms,
            rng: Pcg64Mcg::seed_from_u64(seed),
            incarnation: seed,
            jobs: BTreeMap::new(),
            order: BTreeMap::new(),
            keys: BTreeMap::new(),
            flows: Flows::default(),
            peer_reports: PeerReports::default(),
            lent: Lent::default(),
            running: 0,
            seq: 0,
            smooth: None,
            firm: 0,
        }
    }

    /// Number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.order.len()
    }

    /// Slots leased to this dispatcher that are unused.
    pub fn idle(&self) -> u32 {
        self.lent.mine.saturating_sub(self.running)
    }

    /// A tenant's start tag minus the virtual time, in slot seconds: how far it counts as ahead of its share, or behind
    /// if negative.
    pub fn ahead_s(&self, tenant: Tenant) -> f64 {
        self.flows
            .all
            .get(&tenant.min(MAX_TENANTS - 1))
            .map_or(0.0, |f| (f.tag - self.flows.time()) * f.weight)
    }

    /// Offers a slow request.
    pub fn offer(&mut self, now: Micros, job: Job) -> Verdict {
        // No tenant may have more requests waiting than there is room left, so that one tenant can't fill the queue.
        let room = self.terms.waiting.saturating_sub(self.order.len());
        let mine = self.flows.get(job.tenant.min(MAX_TENANTS - 1)).waiting as usize;
        if self.jobs.contains_key(&job.id) || mine >= room {
            return Verdict::Refuse { after_ms: self.later(SECOND as Micros) };
        }
        let (id, aim, tenant) = (job.id, job.aim.min(job.deadline), job.tenant.min(MAX_TENANTS - 1));
        self.seq += 1;
        let entry = Entry { tenant, seq: self.seq, arrived: now, runs: None, job };
        self.order.insert(entry.seq, id);
        let line = entry.job.key.map(|k| self.keys.entry(k).or_default());
        let first = line.is_none_or(|line| {
            line.push_back(id);
            line.len() == 1
        });
        let flow = self.flows.get(tenant);
        flow.waiting += 1;
        if first {
            flow.ready.insert(entry.seq);
        }
        self.jobs.insert(id, entry);
        self.settle();
        if self.running < self.lent.mine && self.flows.next() == Some((tenant, self.seq)) {
            self.start(now, id);
            return Verdict::Run;
        }
        match self.ends(now).iter().find(|(i, _)| *i == id) {
            Some((_, end)) if *end > aim => {
                let after_ms = self.later(end - aim);
                self.forget(id);
                Verdict::Refuse { after_ms }
            }
            _ => Verdict::Wait,
        }
    }

    /// A running request finished with this cost in thread-seconds. Corrects its charge.
    pub fn finished(&mut self, now: Micros, id: Id, actual_s: f64) {
        let Some(e) = self.jobs.get(&id) else { return };
        if let Some((_, charged)) = e.runs {
            let actual = sane(actual_s / f64::from(e.job.threads.max(1)));
            let (tenant, estimate) = (e.tenant, e.job.span_s());
            self.flows.get(tenant).learn(estimate, actual);
            self.flows.charge(tenant, actual - charged, true);
        }
        let _ = now;
        self.forget(id);
        self.settle();
    }

    /// The client of a request disconnected. A waiting request is removed; a running one was cancelled and is charged the
    /// time that it held its slot.
    pub fn left(&mut self, now: Micros, id: Id) {
        let Some(e) = self.jobs.get(&id) else { return };
        if let Some((since, charged)) = e.runs {
            let held = now.saturating_sub(since) as f64 / SECOND;
            self.flows.charge(e.tenant, held - charged, true);
        }
        self.forget(id);
        self.settle();
    }

    /// Advances the clock: charges requests that overrun their prediction, refuses those that can no longer meet their
    /// latency objective, and fills free slots.
    pub fn tick(&mut self, now: Micros) -> Vec<Next> {
        for e in self.jobs.values_mut() {
            if let Some((since, charged)) = &mut e.runs {
                let over = now.saturating_sub(*since) as f64 / SECOND - *charged;
                if over > 0.0 {
                    *charged += over;
                    self.flows.charge(e.tenant, over, true);
                }
            }
        }
        self.mark(now);
        self.settle();
        let mut next = Vec::new();
        for (id, late) in self.late(now) {
            self.forget(id);
            next.push(Next::Refuse(id, self.later(late)));
        }
        while self.running < self.lent.mine {
            let Some(id) = self.flows.next().and_then(|(_, seq)| self.order.get(&seq).copied()) else {
                break;
            };
            self.start(now, id);
            next.push(Next::Run(id));
        }
        next
    }

    /// Handles a peer's report. One that is out of limits or older than the last is ignored.
    pub fn handle_report(&mut self, now: Micros, peer: Peer, report: DemandReport) {
        for (tenant, slot_s) in self.peer_reports.store(now, peer, report) {
            self.flows.charge(tenant.min(MAX_TENANTS - 1), slot_s, false);
        }
        self.mark(now);
        self.settle();
    }

    /// This dispatcher's report to its peers, some hundred bytes; sent a few times a second.
    pub fn report(&self, now: Micros) -> DemandReport {
        let part = |f: &crate::flow::Flow| TenantDemand {
            waiting: f.waiting,
            running: f.running,
            used_ms: (f.charged * 1e3) as i64,
        };
        DemandReport::of(self.incarnation, now, self.flows.all.iter().map(|(t, f)| (*t, part(f))).collect())
    }

    /// Sets the present slots. If more requests run than that, none is stopped, and none starts until enough have finished.
    pub fn set_slots(&mut self, now: Micros, lent: Lent) {
        let _ = now;
        self.lent = lent;
        self.settle();
    }

    /// Sets the tenants' weights, clamped to 0.001..1000; 1 for tenants not given.
    pub fn set_weights(&mut self, now: Micros, weights: &[(Tenant, f64)]) {
        let _ = now;
        let kept = weights.iter().filter(|(t, w)| *t < MAX_TENANTS && w.is_finite());
        self.flows.set_weights(kept.map(|(t, w)| (*t, w.clamp(0.001, 1000.0))).collect());
        self.settle();
    }

    /// Marks the tenants with requests at peers, according to the fresh reports.
    fn mark(&mut self, now: Micros) {
        self.flows.all.values_mut().for_each(|f| (f.waits_elsewhere, f.active_elsewhere) = (false, false));
        for (_, s) in self.peer_reports.fresh(now, self.terms.max_report_age) {
            for (t, p) in s.tenants.iter().filter(|(_, p)| p.waiting > 0 || p.running > 0) {
                let flow = self.flows.get((*t).min(MAX_TENANTS - 1));
                flow.waits_elsewhere |= p.waiting > 0;
                flow.active_elsewhere = true;
            }
        }
    }

    pub(crate) fn settle(&mut self) {
        let (credit, debt) = (self.terms.credit_s, self.terms.debt_s);
        self.flows.settle(f64::from(self.lent.total), credit, debt);
    }
}
