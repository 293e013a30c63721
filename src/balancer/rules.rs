//! Rules and their buckets: which rule decides for a request, how far it is open, whether it passes one.

use super::*;

/// Tiers of expensive requests by class, and one rule for each tenant; none of one priority can match alike.
pub(super) fn build_rules(s: &Settings) -> Vec<Rule> {
    let open = Rule { open_fraction: 1.0, ..Rule::default() };
    let mut rules = Vec::new();
    for class in 0..s.classes.len() {
        rules.extend(TIERS.iter().enumerate().map(|(k, &threshold)| {
            let (priority, closes_from) = (80 - 10 * k as u8, TIER_STEP * k as f64);
            Rule { class: Some(class), threshold, priority, closes_from, ..open.clone() }
        }));
    }
    if s.over_quota_weight < 1.0 {
        let over = Rule { over_quota: true, threshold: OVER_SHARE_MULTIPLE, priority: 90, ..open };
        rules.extend((0..s.tenants.len()).map(|t| Rule { tenant: Some(t), ..over.clone() }));
    }
    rules
}

impl Balancer {
    /// The rule that decides for a request: the highest-priority match.
    fn match_rule(&self, a: &Arrival, cost: f64) -> Option<usize> {
        let multiple = cost / self.class_mean(a.class).max(1e-9);
        // Counts scatter by their square root: a small dispatcher's few requests are not yet too many.
        let over = |t: TenantId| {
            let fair = self.settings.tenants[t].quota_per_s * self.traffic_share * TENANT_SPAN_S;
            self.tenant_arrivals[t] > fair + 2.0 * fair.sqrt() + 1.0
        };
        let matches = |r: &Rule| {
            let applies = !r.over_quota || a.tenant.is_some_and(over);
            let (class, group) =
                (r.class.is_none_or(|c| c == a.class), r.table_group.is_none_or(|g| g == a.table_group));
            let selects = class && group && r.tenant.is_none_or(|t| a.tenant == Some(t));
            multiple > r.threshold && applies && selects
        };
        let found = self.rules.iter().enumerate().filter(|(_, r)| matches(r));
        found.max_by_key(|(_, r)| r.priority).map(|(i, _)| i)
    }

    /// Passes a request or says when to come back. What is left of a bucket passes it by chance, in
    /// proportion.
    pub(super) fn admit(&mut self, a: &Arrival, cost: f64) -> Result<(), Micros> {
        // Outcomes of any kind: nothing ends well in a jam.
        let learned = self.class_models[a.class].finished_attempts >= ENOUGH;
        let Some(i) = self.match_rule(a, cost).filter(|_| learned) else { return Ok(()) };
        let (mean, now, part) = (self.class_mean(a.class), self.now, self.chance());
        let r = &mut self.rules[i];
        // Beyond its share a tenant's requests count alike, and leave evenly spaced: a leaky bucket.
        let (n, unit) = if r.over_quota { (1.0, 1.0) } else { (cost, mean) };
        r.bucket.refill(now, r.bucket.burst.max(unit * r.open_fraction));
        let need = n.min(r.bucket.burst.max(unit)) * part;
        if r.open_fraction < 1.0 && r.bucket.level < need {
            return Err(((need - r.bucket.level) / r.bucket.rate.max(1e-3) * 1e6) as Micros);
        }
        r.bucket.level -= n; // what is dearer than what is there leaves a debt
        Ok(())
    }

    /// Rates start from summed cores times this dispatcher's share, in thread-seconds, and follow pressure.
    pub(super) fn update_rule_rates(&mut self) {
        let mut rules = std::mem::take(&mut self.rules);
        let density = |c: ClassId| self.settings.classes[c].priority_weight / self.class_mean(c).max(1e-6);
        let least = (0..self.settings.classes.len()).map(density).fold(f64::MAX, f64::min).max(1e-9);
        for r in &mut rules {
            let fits = |pool: u64| r.class.is_none_or(|c| pool >> c & 1 == 1);
            let cores = self.executor_index.cores(&self.settings.kinds, fits);
            // A class that earns more for each thread-second closes later.
            let later = r.class.map_or(1.0, |c| (density(c) / least).sqrt().clamp(1.0, 2.0));
            let pressure = r.class.map_or(self.pressure, |c| self.class_models[c].pressure);
            let step = if r.over_quota { OVER_SHARE_STEP } else { 2.0 * TIER_STEP };
            r.open_fraction = 1.0 - ((pressure / later - r.closes_from) / step).clamp(0.0, 1.0);
            let quota = r.tenant.map_or(0.0, |t| self.settings.tenants[t].quota_per_s);
            let (rate, burst_s) = if r.over_quota { (quota, 0.0) } else { (cores, BURST_S) };
            r.bucket.rate = self.traffic_share * rate * r.open_fraction * r.open_fraction;
            r.bucket.burst = r.bucket.rate * burst_s;
            if r.open_fraction >= 1.0 {
                (r.bucket.level, r.bucket.updated_at) = (r.bucket.burst, self.now);
            }
        }
        self.rules = rules;
    }
}
