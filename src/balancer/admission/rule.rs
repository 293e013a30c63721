//! Admission rules: which requests a rule matches, and how its token bucket admits or rejects them.

use super::MIN_RATE;
use crate::api::{Arrival, ClassId, Micros, Settings, TenantId};
use crate::state::TokenBucket;

/// Thresholds of the tiers, as multiples of the class's mean cost, the most expensive first.
const TIER_THRESHOLDS: [f64; 6] = [4.0, 2.0, 1.0, 0.5, 0.25, 0.125];
/// Difference of pressure between the points at which consecutive tiers begin to close.
pub(super) const TIER_STEP: f64 = 0.2;
/// Priority of the most expensive tier.
const TIER_PRIORITY: u8 = 80;
/// Difference of priority between consecutive tiers.
const TIER_PRIORITY_STEP: u8 = 10;
/// Priority of the rules for tenants over their quota.
const OVER_QUOTA_PRIORITY: u8 = 90;
/// Requests of tenants over their quota match the tiers, not the quota rule, up to this multiple of the
/// class's mean cost.
const OVER_QUOTA_THRESHOLD: f64 = 0.6;

/// An admission rule: selectors, a condition, a priority and a token bucket. An absent selector matches all
/// requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct Rule {
    pub(super) class: Option<ClassId>,
    table_group: Option<u64>,
    pub(super) tenant: Option<TenantId>,
    /// Matches only while the tenant is over its quota. The bucket then counts requests instead of
    /// thread-seconds.
    pub(super) over_quota: bool,
    /// Predicted cost above which the rule matches, as a multiple of the class's mean.
    threshold: f64,
    /// 1 to 100; the matching rule with the highest priority decides.
    pub(super) priority: u8,
    /// Pressure at which the rule begins to close.
    pub(super) closes_from: f64,
    /// 1 if the rule is fully open and rejects nothing, 0 if it is closed.
    pub(super) open_fraction: f64,
    pub(super) bucket: TokenBucket,
}

/// Builds the cost tiers of each class, and one rule per tenant for requests over its quota. A request never
/// matches two rules of the same priority.
pub(super) fn build_rules(settings: &Settings) -> Vec<Rule> {
    let mut rules: Vec<Rule> = (0..settings.classes.len()).flat_map(class_tiers).collect();
    if settings.over_quota_weight < 1.0 {
        rules.extend((0..settings.tenants.len()).map(over_quota_rule));
    }
    rules
}

/// The cost tiers of a class. The more expensive a tier, the earlier it closes.
fn class_tiers(class: ClassId) -> impl Iterator<Item = Rule> {
    TIER_THRESHOLDS.iter().enumerate().map(move |(tier, &threshold)| Rule {
        class: Some(class),
        threshold,
        priority: TIER_PRIORITY - TIER_PRIORITY_STEP * tier as u8,
        closes_from: TIER_STEP * tier as f64,
        open_fraction: 1.0,
        ..Rule::default()
    })
}

fn over_quota_rule(tenant: TenantId) -> Rule {
    Rule {
        tenant: Some(tenant),
        over_quota: true,
        threshold: OVER_QUOTA_THRESHOLD,
        priority: OVER_QUOTA_PRIORITY,
        open_fraction: 1.0,
        ..Rule::default()
    }
}

impl Rule {
    /// Whether the rule matches a request whose cost is `cost_multiple` times its class's mean.
    pub(super) fn matches(&self, arrival: &Arrival, cost_multiple: f64, over_quota: bool) -> bool {
        let class = self.class.is_none_or(|class| class == arrival.class);
        let table_group = self.table_group.is_none_or(|group| group == arrival.table_group);
        let tenant = self.tenant.is_none_or(|tenant| arrival.tenant == Some(tenant));
        let condition = cost_multiple > self.threshold && (over_quota || !self.over_quota);
        class && table_group && tenant && condition
    }

    /// Takes a request's cost from the bucket, or returns the time until enough tokens are available. With
    /// too few tokens, a request is admitted with a probability in proportion to the available tokens,
    /// decided by `random` (uniform from 0 to 1). A request that costs more than is available leaves the
    /// bucket in debt.
    pub(super) fn take_tokens(
        &mut self,
        cost: f64,
        mean_cost: f64,
        random: f64,
        now: Micros,
    ) -> Result<(), Micros> {
        // Requests over a tenant's quota cost one token each and are admitted evenly spaced, as in a leaky
        // bucket.
        let (tokens, unit) = if self.over_quota { (1.0, 1.0) } else { (cost, mean_cost) };
        let bucket = &mut self.bucket;
        bucket.refill(now, bucket.burst.max(unit * self.open_fraction));
        let needed = tokens.min(bucket.burst.max(unit)) * random;
        if self.open_fraction < 1.0 && bucket.level < needed {
            return Err(((needed - bucket.level) / bucket.rate.max(MIN_RATE) * 1e6) as Micros);
        }
        bucket.level -= tokens;
        Ok(())
    }

    /// Takes over the bucket of the same rule in `previous`, if there is one.
    pub(super) fn inherit_bucket(&mut self, previous: &[Rule]) {
        let is_same = |other: &&Rule| {
            (other.class, other.tenant, other.priority) == (self.class, self.tenant, self.priority)
        };
        if let Some(old) = previous.iter().find(is_same) {
            (self.bucket, self.open_fraction) = (old.bucket.clone(), old.open_fraction);
        }
    }
}
