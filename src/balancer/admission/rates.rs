//! How far each rule of admission is open, and the rate of its bucket.

use super::Rule;
use super::rule::TIER_STEP;
use crate::api::{ClassId, TenantId};
use crate::balancer::load::is_open_to;
use crate::state::Balancer;

/// Burst of a bucket of thread-seconds, in seconds of its rate.
const BURST_S: f64 = 2.0;
/// A tier closes while pressure rises by this much.
const TIER_CLOSING_SPAN: f64 = 2.0 * TIER_STEP;
/// The rules for tenants over their quota close while pressure rises by this much.
const OVER_QUOTA_CLOSING_SPAN: f64 = 1.0;
/// A class of high priority weight closes at this multiple of the pressure at most.
const MAX_DELAY: f64 = 2.0;
/// The least cost that a weight is divided by, in thread-seconds.
const LEAST_MEAN_COST: f64 = 1e-6;
/// The least density that another is divided by.
const LEAST_DENSITY: f64 = 1e-9;

impl Rule {
    /// Opens the rule as far as the pressure leaves it; `delay` is how much later it closes.
    fn set_open_fraction(&mut self, pressure: f64, delay: f64) {
        let span = if self.over_quota { OVER_QUOTA_CLOSING_SPAN } else { TIER_CLOSING_SPAN };
        self.open_fraction = 1.0 - ((pressure / delay - self.closes_from) / span).clamp(0.0, 1.0);
    }

    /// Sets the bucket's rate, of `full_rate` when the rule is open, and its burst; a rule that is open has
    /// a full bucket.
    fn set_rate(&mut self, full_rate: f64, burst_s: f64, now: u64) {
        self.bucket.rate = full_rate * self.open_fraction * self.open_fraction;
        self.bucket.burst = self.bucket.rate * burst_s;
        if self.open_fraction >= 1.0 {
            (self.bucket.level, self.bucket.updated_at) = (self.bucket.burst, now);
        }
    }
}

impl Balancer {
    /// Sets the rates of all rules: of a class, the cores that are open to it, in thread-seconds a second; of
    /// a tenant, its quota, in requests a second; both times this dispatcher's share of the traffic.
    pub(in crate::balancer) fn update_rule_rates(&mut self) {
        let classes = 0..self.settings.classes.len();
        let least_density = classes.map(|class| self.weight_density(class)).fold(f64::MAX, f64::min);
        let mut rules = std::mem::take(&mut self.admission.rules);
        for rule in &mut rules {
            let delay = rule.class.map_or(1.0, |class| self.closing_delay(class, least_density));
            let pressure = rule.class.map_or(self.pressure.highest, |class| self.pressure.of(class));
            rule.set_open_fraction(pressure, delay);
            let full_rate =
                if rule.over_quota { self.quota(rule.tenant) } else { self.open_cores(rule.class) };
            let burst_s = if rule.over_quota { 0.0 } else { BURST_S };
            rule.set_rate(self.load.traffic_share * full_rate, burst_s, self.now);
        }
        self.admission.rules = rules;
    }

    /// Priority weight that a class earns for each thread-second.
    fn weight_density(&self, class: ClassId) -> f64 {
        self.settings.classes[class].priority_weight / self.class_mean(class).max(LEAST_MEAN_COST)
    }

    /// A class that earns more for each thread-second than the least closes at a higher pressure.
    fn closing_delay(&self, class: ClassId, least_density: f64) -> f64 {
        let ratio = self.weight_density(class) / least_density.max(LEAST_DENSITY);
        ratio.sqrt().clamp(1.0, MAX_DELAY)
    }

    /// Quota of a tenant, in requests a second.
    fn quota(&self, tenant: Option<TenantId>) -> f64 {
        tenant.map_or(0.0, |tenant| self.settings.tenants[tenant].quota_per_s)
    }

    /// Cores of the executors that are open to a class.
    fn open_cores(&self, class: Option<ClassId>) -> f64 {
        let is_open = |pool: u64| class.is_none_or(|class| is_open_to(pool, class));
        self.executor_index.cores(&self.settings.kinds, is_open)
    }
}
