//! Rules and the token buckets that limit them.

use super::*;

/// Fills at `rate` up to `burst`, both in the unit of what is taken.
#[derive(Debug, Clone, Default)]
pub(crate) struct TokenBucket {
    pub(crate) level: f64,
    pub(crate) rate: f64,
    pub(crate) burst: f64,
    pub(crate) updated_at: Micros,
}

impl TokenBucket {
    /// Fills up to `most` at the rate held since the last time.
    pub(crate) fn refill(&mut self, now: Micros, most: f64) {
        let dt = now.saturating_sub(self.updated_at) as f64 / 1e6;
        self.level = (self.level + self.rate * dt).min(most);
        self.updated_at = now;
    }

    /// The same at this rate.
    pub(crate) fn fill(&mut self, now: Micros, rate: f64, most: f64) {
        self.rate = rate;
        self.refill(now, most);
    }
}

/// Selector, condition, priority and limiter; an absent selector matches all.
#[derive(Debug, Clone, Default)]
pub(crate) struct Rule {
    pub(crate) class: Option<ClassId>,
    pub(crate) table_group: Option<u64>,
    pub(crate) tenant: Option<TenantId>,
    /// Matches only while the tenant sends more than its share.
    pub(crate) over_quota: bool,
    /// Least predicted cost, as a multiple of the class mean.
    pub(crate) threshold: f64,
    /// 1 to 100; the highest match decides.
    pub(crate) priority: u8,
    /// Pressure at which it begins to close.
    pub(crate) closes_from: f64,
    /// How far it is open: 1 refuses nobody, 0 all.
    pub(crate) open_fraction: f64,
    pub(crate) bucket: TokenBucket,
}

impl Rule {
    /// Goes on with what is in the bucket of the one alike among those before.
    pub(crate) fn keep(&mut self, before: &[Rule]) {
        let alike = |o: &&Rule| (o.class, o.tenant, o.priority) == (self.class, self.tenant, self.priority);
        if let Some(old) = before.iter().find(alike) {
            (self.bucket, self.open_fraction) = (old.bucket.clone(), old.open_fraction);
        }
    }
}
