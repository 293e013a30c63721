//! A rule of admission: which requests it matches, and how its bucket admits or rejects them.

use super::LEAST_RATE;
use crate::api::{Arrival, ClassId, Micros, Settings, TenantId};
use crate::state::TokenBucket;

/// Multiples of the class's mean cost from which the tiers match, the costliest first.
const TIER_THRESHOLDS: [f64; 6] = [4.0, 2.0, 1.0, 0.5, 0.25, 0.125];
/// Pressure between the points at which a tier and the next one begin to close.
pub(super) const TIER_STEP: f64 = 0.2;
/// Priority of the costliest tier.
const TIER_PRIORITY: u8 = 80;
/// Each tier's priority is this much below the one before.
const TIER_PRIORITY_STEP: u8 = 10;
/// Priority of the rules for tenants over their quota.
const OVER_QUOTA_PRIORITY: u8 = 90;
/// Multiple of the class's mean cost up to which the requests of a tenant over its quota go by the tiers.
const OVER_QUOTA_THRESHOLD: f64 = 0.6;

/// Selector, condition, priority and limiter. An absent selector matches all requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct Rule {
    pub(super) class: Option<ClassId>,
    table_group: Option<u64>,
    pub(super) tenant: Option<TenantId>,
    /// Matches only while the tenant is over its quota. Its bucket counts requests, others thread-seconds.
    pub(super) over_quota: bool,
    /// Matches above this predicted cost, as a multiple of the class's mean.
    threshold: f64,
    /// 1 to 100; the highest match decides.
    pub(super) priority: u8,
    /// Pressure at which it begins to close.
    pub(super) closes_from: f64,
    /// How far it is open: 1 rejects nobody, 0 all.
    pub(super) open_fraction: f64,
    pub(super) bucket: TokenBucket,
}

/// Tiers of costly requests for each class, and one rule for each tenant that may be over its quota. No two
/// of the same priority match a request.
pub(super) fn build_rules(settings: &Settings) -> Vec<Rule> {
    let mut rules: Vec<Rule> = (0..settings.classes.len()).flat_map(class_tiers).collect();
    if settings.over_quota_weight < 1.0 {
        rules.extend((0..settings.tenants.len()).map(over_quota_rule));
    }
    rules
}

/// The tiers of a class: the costlier, the sooner a tier closes.
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
    /// Whether the rule applies to a request whose cost is this multiple of its class's mean.
    pub(super) fn matches(&self, arrival: &Arrival, cost_multiple: f64, over_quota: bool) -> bool {
        let class = self.class.is_none_or(|class| class == arrival.class);
        let table_group = self.table_group.is_none_or(|group| group == arrival.table_group);
        let tenant = self.tenant.is_none_or(|tenant| arrival.tenant == Some(tenant));
        let condition = cost_multiple > self.threshold && (over_quota || !self.over_quota);
        class && table_group && tenant && condition
    }

    /// Takes a request's cost from the bucket, or says after how long there are enough tokens. With too few
    /// tokens `chance`, from 0 to 1, admits in proportion to those there are. A request that costs more than
    /// there is leaves a debt.
    pub(super) fn take_tokens(
        &mut self,
        cost: f64,
        mean_cost: f64,
        chance: f64,
        now: Micros,
    ) -> Result<(), Micros> {
        // Over a tenant's quota requests count alike, and are admitted evenly spaced: a leaky bucket.
        let (tokens, unit) = if self.over_quota { (1.0, 1.0) } else { (cost, mean_cost) };
        let bucket = &mut self.bucket;
        bucket.refill(now, bucket.burst.max(unit * self.open_fraction));
        let needed = tokens.min(bucket.burst.max(unit)) * chance;
        if self.open_fraction < 1.0 && bucket.level < needed {
            return Err(((needed - bucket.level) / bucket.rate.max(LEAST_RATE) * 1e6) as Micros);
        }
        bucket.level -= tokens;
        Ok(())
    }

    /// Goes on with the tokens of the same rule among those before.
    pub(super) fn keep_tokens_of(&mut self, before: &[Rule]) {
        let is_same = |other: &&Rule| {
            (other.class, other.tenant, other.priority) == (self.class, self.tenant, self.priority)
        };
        if let Some(old) = before.iter().find(is_same) {
            (self.bucket, self.open_fraction) = (old.bucket.clone(), old.open_fraction);
        }
    }
}
