//! Start-time fair queueing over slots: a start tag per tenant and the virtual time, based on the service charged in
//! the whole fleet.
//!
//! A tenant's tag is its charged slot time divided by its weight. The tenant with the lowest tag is served next.
//! The virtual time is the lowest tag of all backlogged tenants in the fleet. If none is backlogged it is the highest
//! tag, as no tenant was denied service. All tags stay within a window around it, measured in seconds of the tenant's
//! own share: behind by the credit at most, ahead by the debt at most.

use crate::Tenant;
use std::collections::{BTreeMap, BTreeSet};

/// Range of the learned correction of a tenant's estimates, and the weight of one outcome in it.
const BIAS: [f64; 2] = [0.1, 10.0];
const LEARN: f64 = 0.2;

/// State of a tenant at this dispatcher.
#[derive(Debug, Clone)]
pub struct Flow {
    /// Its weight.
    pub weight: f64,
    /// Its start tag, slot seconds over weight.
    pub tag: f64,
    /// Requests that may start, by sequence number.
    pub ready: BTreeSet<u64>,
    /// Waiting requests, including those blocked by an earlier one of their key.
    pub waiting: u32,
    /// Running requests.
    pub running: u32,
    /// Total slot seconds charged at this dispatcher.
    pub charged: f64,
    /// Learned ratio of actual to estimated cost.
    pub bias: f64,
    /// A peer has waiting requests of it.
    pub waits_elsewhere: bool,
    /// A peer has waiting or running requests of it.
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

    /// Updates the bias with a finished request; both values in slot seconds.
    pub fn learn(&mut self, estimate: f64, actual: f64) {
        let seen = (actual / estimate.max(1e-3)).clamp(BIAS[0], BIAS[1]);
        // Averaged in logarithms, as it is a ratio.
        self.bias = (self.bias.ln() * (1.0 - LEARN) + seen.ln() * LEARN).exp().clamp(BIAS[0], BIAS[1]);
    }
}

/// All tenants and the virtual time.
#[derive(Debug, Clone, Default)]
pub struct Flows {
    /// State by tenant; at most [`crate::MAX_TENANTS`] entries.
    pub all: BTreeMap<Tenant, Flow>,
    weights: BTreeMap<Tenant, f64>,
    time: f64,
}

impl Flows {
    /// A tenant's weight; 1 if none was set.
    pub fn weight(&self, tenant: Tenant) -> f64 {
        self.weights.get(&tenant).copied().unwrap_or(1.0)
    }

    /// The state of a tenant, created if missing.
    pub fn get(&mut self, tenant: Tenant) -> &mut Flow {
        let (weight, time) = (self.weight(tenant), self.time);
        self.all.entry(tenant).or_insert_with(|| Flow::new(weight, time))
    }

    /// Sets the weights. How far a tenant is ahead or behind, in slot time, is preserved.
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

    /// Charges slot seconds, negative to correct an overcharge; `here` if they were used at this dispatcher.
    pub fn charge(&mut self, tenant: Tenant, slot_s: f64, here: bool) {
        let flow = self.get(tenant);
        flow.tag += slot_s / flow.weight;
        flow.charged += if here { slot_s } else { 0.0 };
    }

    /// Advances the virtual time and clamps all tags to their window. `total` is the number of the fleet's slots.
    pub fn settle(&mut self, total: f64, credit_s: f64, debt_s: f64) {
        let weights: f64 = self.all.values().filter(|f| f.active()).map(|f| f.weight).sum();
        // One second of a tenant's share in units of tags, given the active tenants.
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
        // A tenant that waits elsewhere without service must not hold back the window of those that wait here.
        let here = lowest(|f| f.waiting > 0).map_or(anywhere, |(tag, s)| tag - debt_s * s / 2.0);
        let time = self.time.max(anywhere).max(here);
        let bounds: Vec<f64> = self.all.values().map(second).collect();
        self.time = time;
        for (f, s) in self.all.values_mut().zip(bounds) {
            f.tag = f.tag.clamp(time - credit_s * s, time + debt_s * s);
        }
    }

    /// The tenant and sequence number to serve next: the lowest tag, then the oldest request.
    pub fn next(&self) -> Option<(Tenant, u64)> {
        let heads = self.all.iter().filter_map(|(t, f)| f.ready.first().map(|&s| (f.tag, s, *t)));
        heads.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, s, t)| (t, s))
    }
}
