//! Start tags by tenant and the virtual time: start-time fair queueing over slots, fed by what the whole fleet
//! charged.
//!
//! A tenant's tag is the slot time that it was charged, over its weight. The tenant with the lowest tag is next.
//! The virtual time is the lowest tag of those that wait anywhere; where nobody waits it is the highest, for nobody
//! was denied anything. All tags stay within a window around it: so many seconds of the tenant's own share behind
//! (credit), so many ahead (debt).

use crate::Tenant;
use std::collections::{BTreeMap, BTreeSet};

/// How far what is learned of a tenant's estimates may move its next charge, and the weight of one outcome.
const BIAS: [f64; 2] = [0.1, 10.0];
const LEARN: f64 = 0.2;

/// A tenant here.
#[derive(Debug, Clone)]
pub struct Flow {
    /// Its weight.
    pub weight: f64,
    /// Its start tag, slot seconds over weight.
    pub tag: f64,
    /// Requests that may run next, by their order of arrival.
    pub ready: BTreeSet<u64>,
    /// Requests that wait, those behind one of their key counted.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Slot seconds charged here in all.
    pub charged: f64,
    /// Actual over estimated cost, as learned.
    pub bias: f64,
    /// Some peer has something of it waiting.
    pub waits_elsewhere: bool,
    /// Some peer has something of it waiting or running.
    pub active_elsewhere: bool,
}

impl Flow {
    fn new(weight: f64, tag: f64) -> Flow {
        Flow {
            weight,
            tag,
            ready: BTreeSet::new(),
            waiting: 0,
            running: 0,
            charged: 0.0,
            bias: 1.0,
            waits_elsewhere: false,
            active_elsewhere: false,
        }
    }

    fn waits(&self) -> bool {
        self.waiting > 0 || self.waits_elsewhere
    }

    fn active(&self) -> bool {
        self.waits() || self.running > 0 || self.active_elsewhere
    }

    /// A request of an estimate had this outcome, both in slot seconds.
    pub fn learn(&mut self, estimate: f64, actual: f64) {
        let seen = (actual / estimate.max(1e-3)).clamp(BIAS[0], BIAS[1]);
        // In logarithms, as it is a ratio.
        self.bias = (self.bias.ln() * (1.0 - LEARN) + seen.ln() * LEARN).exp().clamp(BIAS[0], BIAS[1]);
    }
}

/// All tenants, and the virtual time.
#[derive(Debug, Clone, Default)]
pub struct Flows {
    /// By tenant; bounded by [`crate::TENANTS`].
    pub all: BTreeMap<Tenant, Flow>,
    weights: BTreeMap<Tenant, f64>,
    time: f64,
}

impl Flows {
    /// A tenant's weight: 1 if none was set.
    pub fn weight(&self, tenant: Tenant) -> f64 {
        self.weights.get(&tenant).copied().unwrap_or(1.0)
    }

    /// The tenant's, made where there was none.
    pub fn get(&mut self, tenant: Tenant) -> &mut Flow {
        let (weight, time) = (self.weight(tenant), self.time);
        self.all.entry(tenant).or_insert_with(|| Flow::new(weight, time))
    }

    /// New weights. What a tenant is ahead or behind in slot time stays as it is.
    pub fn set_weights(&mut self, weights: BTreeMap<Tenant, f64>) {
        self.weights = weights;
        let time = self.time;
        for (t, f) in &mut self.all {
            let weight = self.weights.get(t).copied().unwrap_or(1.0);
            f.tag = time + (f.tag - time) * f.weight / weight;
            f.weight = weight;
        }
    }

    /// The virtual time.
    pub fn time(&self) -> f64 {
        self.time
    }

    /// Charges slot seconds, less than none where too much was charged before; `here` if they were used here.
    pub fn charge(&mut self, tenant: Tenant, slot_s: f64, here: bool) {
        let flow = self.get(tenant);
        flow.tag += slot_s / flow.weight;
        flow.charged += if here { slot_s } else { 0.0 };
    }

    /// Moves the virtual time on and keeps all tags in their window. `total` are the fleet's slots.
    pub fn settle(&mut self, total: f64, credit_s: f64, debt_s: f64) {
        let weights: f64 = self.all.values().filter(|f| f.active()).map(|f| f.weight).sum();
        // What one second of a share is in tags, with those at work.
        let second = |f: &Flow| {
            let others = if f.active() { weights } else { weights + f.weight };
            total.max(1.0) / others.max(f.weight)
        };
        let lowest = |waits: fn(&Flow) -> bool| {
            let tags = self.all.values().filter(|f| waits(f)).map(|f| (f.tag, second(f)));
            tags.min_by(|a, b| a.0.total_cmp(&b.0))
        };
        let highest = self.all.values().map(|f| f.tag).max_by(f64::total_cmp);
        let anywhere = lowest(Flow::waits).map(|l| l.0).or(highest).unwrap_or(self.time);
        // One that waits elsewhere and gets nothing there must not hold the window back from those that wait here.
        let here = lowest(|f| f.waiting > 0).map_or(anywhere, |(tag, s)| tag - debt_s * s / 2.0);
        let time = self.time.max(anywhere).max(here);
        let bounds: Vec<f64> = self.all.values().map(second).collect();
        self.time = time;
        for (f, s) in self.all.values_mut().zip(bounds) {
            f.tag = f.tag.clamp(time - credit_s * s, time + debt_s * s);
        }
    }

    /// The tenant whose request runs next: the lowest tag, then the oldest request.
    pub fn next(&self) -> Option<(Tenant, u64)> {
        let heads = self.all.iter().filter_map(|(t, f)| f.ready.first().map(|&s| (f.tag, s, *t)));
        heads.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, s, t)| (t, s))
    }
}
