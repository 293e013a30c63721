//! Which requests are admitted: the rule with the highest priority that matches a request decides, by its
//! token bucket.
//!
//! Under pressure the costly requests of a class are rejected first. A rule that is wide open rejects nobody;
//! as it closes its bucket's rate falls, and a request that finds too few tokens is rejected at once with the
//! time until there are enough.

mod rates;
mod rule;

pub(crate) use rule::Rule;

use super::cost_model::OUTCOMES_WANTED;
use crate::api::{Arrival, Micros, Settings, TenantId};
use crate::state::Balancer;

/// Span over which a tenant's requests are counted, in seconds.
const TENANT_SPAN_S: f64 = 3.0;
/// A tenant is over its quota with this many standard deviations more than its quota in the span, and one
/// request: counts scatter by their square root, and a dispatcher with little traffic sees few.
const QUOTA_DEVIATIONS: f64 = 2.0;
/// The least mean cost that a cost is compared with, in thread-seconds.
const LEAST_MEAN_COST: f64 = 1e-9;
/// The least rate that a time to wait is worked out from, in tokens a second.
const LEAST_RATE: f64 = 1e-3;

/// The rules, and what they count.
pub(crate) struct AdmissionRules {
    rules: Vec<Rule>,
    /// Requests of each tenant in the last span.
    tenant_requests: Vec<f64>,
}

impl AdmissionRules {
    /// The rules that follow from the settings, all open.
    pub(crate) fn new(settings: &Settings) -> AdmissionRules {
        let tenant_requests = vec![0.0; settings.tenants.len()];
        AdmissionRules { rules: rule::build_rules(settings), tenant_requests }
    }

    /// Replaces the rules by those of other settings. Rules that stay keep what is in their buckets.
    pub(crate) fn update(&mut self, settings: &Settings) {
        let mut rules = rule::build_rules(settings);
        rules.iter_mut().for_each(|rule| rule.keep_tokens_of(&self.rules));
        self.rules = rules;
    }

    /// Counts a request that has arrived.
    pub(crate) fn record_arrival(&mut self, tenant: Option<TenantId>) {
        if let Some(tenant) = tenant {
            self.tenant_requests[tenant] += 1.0;
        }
    }

    /// Forgets the tenants' requests of a tick's time.
    pub(crate) fn forget_tenant_requests(&mut self, tick_s: f64) {
        self.tenant_requests.iter_mut().for_each(|requests| *requests *= 1.0 - tick_s / TENANT_SPAN_S);
    }

    /// Whether a tenant sends more than this dispatcher's share of its quota.
    fn is_over_quota(&self, tenant: TenantId, settings: &Settings, traffic_share: f64) -> bool {
        let quota = settings.tenants[tenant].quota_per_s * traffic_share * TENANT_SPAN_S;
        self.tenant_requests[tenant] > quota + QUOTA_DEVIATIONS * quota.sqrt() + 1.0
    }

    /// The position of the rule that decides for a request whose cost is this multiple of its class's mean.
    fn matching_rule(&self, arrival: &Arrival, cost_multiple: f64, over_quota: bool) -> Option<usize> {
        let rules = self.rules.iter().enumerate();
        let matching = rules.filter(|(_, rule)| rule.matches(arrival, cost_multiple, over_quota));
        matching.max_by_key(|(_, rule)| rule.priority).map(|(position, _)| position)
    }
}

impl Balancer {
    /// Admits a request, or says after how long to come back. Until its class has outcomes it is admitted:
    /// attempts count however they end, as in an overload none ends well.
    pub(super) fn admit(&mut self, arrival: &Arrival, cost: f64) -> Result<(), Micros> {
        let mean_cost = self.class_mean(arrival.class);
        let share = self.load.traffic_share;
        let is_over_quota = |tenant| self.admission.is_over_quota(tenant, &self.settings, share);
        let over_quota = arrival.tenant.is_some_and(is_over_quota);
        let cost_multiple = cost / mean_cost.max(LEAST_MEAN_COST);
        let Some(position) = self.admission.matching_rule(arrival, cost_multiple, over_quota) else {
            return Ok(());
        };
        if self.cost_model.classes[arrival.class].finished_attempts < OUTCOMES_WANTED {
            return Ok(());
        }
        let chance = self.chance();
        self.admission.rules[position].take_tokens(cost, mean_cost, chance, self.now)
    }
}
