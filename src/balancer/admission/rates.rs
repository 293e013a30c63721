//! Updates how far each admission rule is open, and the rate of its token bucket.

use super::Rule;
use super::rule::TIER_STEP;
use crate::api::{ClassId, TenantId};
use crate::balancer::load::is_pool_eligible;
use crate::state::Balancer;

/// Burst of a token bucket of thread-seconds, in seconds at its rate.
const BURST_S: f64 = 2.0;
/// Increase of pressure over which a tier goes from open to closed.
const TIER_CLOSING_SPAN: f64 = 2.0 * TIER_STEP;
/// Increase of pressure over which the rules for tenants over their quota go from open to closed.
const OVER_QUOTA_CLOSING_SPAN: f64 = 1.0;
/// Maximum factor on the pressure at which a class closes, for classes with a high priority weight.
const MAX_CLOSING_FACTOR: f64 = 2.0;
/// Lower bound of a class's mean cost as a divisor, in thread-seconds.
const MIN_MEAN_COST: f64 = 1e-6;
/// Lower bound of a weight density as a divisor.
const MIN_DENSITY: f64 = 1e-9;

impl Rule {
    /// Sets how far the rule is open at a pressure. The rule begins to close at `closing_factor` times the
    /// pressure of others.
    fn set_open_fraction(&mut self, pressure: f64, closing_factor: f64) {
        let span = if self.over_quota { OVER_QUOTA_CLOSING_SPAN } else { TIER_CLOSING_SPAN };
        self.open_fraction = 1.0 - ((pressure / closing_factor - self.closes_from) / span).clamp(0.0, 1.0);
    }

    /// Sets the bucket's rate, which is `full_rate` for an open rule, and its burst. The bucket of an open
    /// rule is kept full.
    fn set_rate(&mut self, full_rate: f64, burst_s: f64, now: u64) {
        self.bucket.rate = full_rate * self.open_fraction * self.open_fraction;
        self.bucket.burst = self.bucket.rate * burst_s;
        if self.open_fraction >= 1.0 {
            (self.bucket.level, self.bucket.updated_at) = (self.bucket.burst, now);
        }
    }
}

impl Balancer {
    /// Updates the rates of all rules. The full rate of a class is the number of cores eligible for it, in
    /// thread-seconds per second; that of a tenant is its quota, in requests per second. Both are multiplied
    /// by this dispatcher's share of the traffic.
    pub(in crate::balancer) fn update_rule_rates(&mut self) {
        let classes = 0..self.settings.classes.len();
        let lowest_density = classes.map(|class| self.weight_density(class)).fold(f64::MAX, f64::min);
        let mut rules = std::mem::take(&mut self.admission.rules);
        for rule in &mut rules {
            let closing_factor = rule.class.map_or(1.0, |class| self.closing_factor(class, lowest_density));
            let pressure = rule.class.map_or(self.pressure.highest, |class| self.pressure.of(class));
            rule.set_open_fraction(pressure, closing_factor);
            let full_rate =
                if rule.over_quota { self.quota(rule.tenant) } else { self.eligible_cores(rule.class) };
            let burst_s = if rule.over_quota { 0.0 } else { BURST_S };
            rule.set_rate(self.load.traffic_share * full_rate, burst_s, self.now);
        }
        self.admission.rules = rules;
    }

    /// Priority weight of a class per thread-second.
    fn weight_density(&self, class: ClassId) -> f64 {
        self.settings.classes[class].priority_weight / self.class_mean(class).max(MIN_MEAN_COST)
    }

    /// Factor by which a class closes later, because it has more weight per thread-second than the lowest
    /// class.
    fn closing_factor(&self, class: ClassId, lowest_density: f64) -> f64 {
        let ratio = self.weight_density(class) / lowest_density.max(MIN_DENSITY);
        ratio.sqrt().clamp(1.0, MAX_CLOSING_FACTOR)
    }

    /// Quota of a tenant, in requests per second.
    fn quota(&self, tenant: Option<TenantId>) -> f64 {
        tenant.map_or(0.0, |tenant| self.settings.tenants[tenant].quota_per_s)
    }

    /// Cores of the executors that are eligible for a class.
    fn eligible_cores(&self, class: Option<ClassId>) -> f64 {
        let is_eligible = |pool: u64| class.is_none_or(|class| is_pool_eligible(pool, class));
        self.executor_index.cores(&self.settings.kinds, is_eligible)
    }
}
