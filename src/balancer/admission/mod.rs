//! Admission control: the matching rule with the highest priority admits or rejects a request by its token
//! bucket.
//!
//! Under pressure, the expensive requests of a class are rejected first. A fully open rule rejects nothing.
//! As a rule closes, the rate of its bucket falls, and a request that finds too few tokens is rejected at
//! once with the time until enough tokens are available.

mod rates;
mod rule;

pub(crate) use rule::Rule;

use super::cost_model::MIN_OUTCOMES;
use crate::api::{Arrival, Micros, Settings, TenantId};
use crate::state::Balancer;

/// Time constant of the request count per tenant, in seconds.
const TENANT_TIME_CONSTANT_S: f64 = 3.0;
/// A tenant is over its quota if its count exceeds the quota by this many standard deviations plus one
/// request. The deviation of a count is its square root, and a dispatcher with little traffic has small
/// counts.
const QUOTA_DEVIATIONS: f64 = 2.0;
/// Lower bound of a class's mean cost as a divisor, in thread-seconds.
const MIN_MEAN_COST: f64 = 1e-9;
/// Lower bound of a bucket's rate when a Retry-After is computed from it, in tokens per second.
const MIN_RATE: f64 = 1e-3;

/// The admission rules and the request counts per tenant.
pub(crate) struct AdmissionRules {
    rules: Vec<Rule>,
    /// Exponentially decaying count of requests per tenant.
    tenant_requests: Vec<f64>,
}

impl AdmissionRules {
    /// Builds the rules for the settings, all open.
    pub(crate) fn new(settings: &Settings) -> AdmissionRules {
        let tenant_requests = vec![0.0; settings.tenants.len()];
        AdmissionRules { rules: rule::build_rules(settings), tenant_requests }
    }

    /// Replaces the rules by those for new settings. Rules that exist in both keep their token buckets.
    pub(crate) fn update(&mut self, settings: &Settings) {
        let mut rules = rule::build_rules(settings);
        rules.iter_mut().for_each(|rule| rule.inherit_bucket(&self.rules));
        self.rules = rules;
    }

    /// Counts an arrival for its tenant.
    pub(crate) fn record_arrival(&mut self, tenant: Option<TenantId>) {
        if let Some(tenant) = tenant {
            self.tenant_requests[tenant] += 1.0;
        }
    }

    /// Decays the counts of the tenants' requests by one tick.
    pub(crate) fn decay_tenant_requests(&mut self, tick_s: f64) {
        self.tenant_requests
            .iter_mut()
            .for_each(|requests| *requests *= 1.0 - tick_s / TENANT_TIME_CONSTANT_S);
    }

    /// Whether a tenant exceeds this dispatcher's share of its quota.
    fn is_over_quota(&self, tenant: TenantId, settings: &Settings, traffic_share: f64) -> bool {
        let quota = settings.tenants[tenant].quota_per_s * traffic_share * TENANT_TIME_CONSTANT_S;
        self.tenant_requests[tenant] > quota + QUOTA_DEVIATIONS * quota.sqrt() + 1.0
    }

    /// Index of the rule that decides on a request whose cost is `cost_multiple` times its class's mean.
    fn matching_rule(&self, arrival: &Arrival, cost_multiple: f64, over_quota: bool) -> Option<usize> {
        let rules = self.rules.iter().enumerate();
        let matching = rules.filter(|(_, rule)| rule.matches(arrival, cost_multiple, over_quota));
        matching.max_by_key(|(_, rule)| rule.priority).map(|(position, _)| position)
    }
}

impl Balancer {
    /// Admits a request, or rejects it with a Retry-After. All requests of a class are admitted until enough
    /// of its attempts have finished. Failed attempts count too, because in an overload none may succeed.
    pub(super) fn admit(&mut self, arrival: &Arrival, cost: f64) -> Result<(), Micros> {
        let mean_cost = self.class_mean(arrival.class);
        let share = self.load.traffic_share;
        let is_over_quota = |tenant| self.admission.is_over_quota(tenant, &self.settings, share);
        let over_quota = arrival.tenant.is_some_and(is_over_quota);
        let cost_multiple = cost / mean_cost.max(MIN_MEAN_COST);
        let Some(position) = self.admission.matching_rule(arrival, cost_multiple, over_quota) else {
            return Ok(());
        };
        if self.cost_model.classes[arrival.class].finished_attempts < MIN_OUTCOMES {
            return Ok(());
        }
        let random = self.uniform_random();
        self.admission.rules[position].take_tokens(cost, mean_cost, random, self.now)
    }
}
