//! Intersection of two policies, as settings, for a dispatcher that can't know which of them is in force.

use crate::api::{RetryBudget, Settings};

/// Intersection of two sets of allowed values; `None` allows all.
fn both(a: &Option<Vec<usize>>, b: &Option<Vec<usize>>) -> Option<Vec<usize>> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.iter().copied().filter(|x| b.contains(x)).collect()),
        (a, b) => a.clone().or_else(|| b.clone()),
    }
}

/// Settings that allow only what both allow. Where they differ in values that are no limits (priority weights, latency
/// objectives), those of the first apply.
pub fn stricter(a: &Settings, b: &Settings) -> Settings {
    let mut s = a.clone();
    for (to, other) in s.classes.iter_mut().zip(&b.classes) {
        to.client_timeout = to.client_timeout.min(other.client_timeout);
        to.latency_objective = to.latency_objective.min(to.client_timeout);
        to.only_kinds = both(&to.only_kinds, &other.only_kinds);
        to.only_zones = both(&to.only_zones, &other.only_zones);
    }
    for (to, other) in s.tenants.iter_mut().zip(&b.tenants) {
        to.quota_per_s = to.quota_per_s.min(other.quota_per_s);
    }
    s.over_quota_weight = s.over_quota_weight.min(b.over_quota_weight);
    s.max_attempts = s.max_attempts.min(b.max_attempts);
    s.retry_budget = match (a.retry_budget, b.retry_budget) {
        (Some(a), Some(b)) => Some(RetryBudget {
            base_retries: a.base_retries.min(b.base_retries),
            retries_per_request: a.retries_per_request.min(b.retries_per_request),
            window: a.window.max(b.window),
            send_delay: a.send_delay.max(b.send_delay),
        }),
        (a, b) => a.or(b),
    };
    s
}
