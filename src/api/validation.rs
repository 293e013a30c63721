//! Settings that make no sense are refused.

use super::Settings;
use std::fmt;

/// Settings that make no sense.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// Refuses settings that make no sense, with the reason.
pub fn check(s: &Settings) -> Result<(), SettingsError> {
    let need = |ok: bool, what: &str| if ok { Ok(()) } else { Err(SettingsError(what.into())) };
    let sane = |x: f64| x.is_finite() && x >= 0.0;
    need(s.dispatchers > 0, "number of gateways is zero")?;
    need(!s.classes.is_empty(), "no class")?;
    need(s.classes.len() <= 64, "more than 64 classes")?;
    need(s.zone < s.zones, "own zone is unknown")?;
    need(s.kinds.iter().all(|k| sane(k.cores) && k.cores > 0.0), "cores of a kind are not positive")?;
    need(s.kinds.iter().all(|k| sane(k.memory_mb)), "memory of a kind is negative or not finite")?;
    need(s.tenants.iter().all(|t| sane(t.quota_per_s)), "quota of a tenant is negative or not finite")?;
    for (i, c) in s.classes.iter().enumerate() {
        let need = |ok: bool, what: &str| need(ok, &format!("class {i}: {what}"));
        need(
            sane(c.latency_objective_stretch) && sane(c.priority_weight) && sane(c.late_priority_weight),
            "negative or non-finite number",
        )?;
        need(c.threads > 0, "no threads")?;
        need(c.deadline > 0, "no deadline")?;
        need(c.only_zones.iter().flatten().all(|z| *z < s.zones), "unknown zone")?;
        need(c.only_kinds.iter().flatten().all(|k| *k < s.kinds.len()), "unknown kind")?;
    }
    let c = &s.slow_start;
    need(
        sane(c.initial_fraction) && sane(c.overload_factor),
        "cold-engine rule: negative or non-finite number",
    )?;
    need(s.budget.is_none_or(|b| sane(b.free) && sane(b.ratio)), "attempt budget: bad number")?;
    need(
        [s.over_quota_weight, s.cross_zone_price, s.probe_price, s.handshake_price].into_iter().all(sane),
        "worth or price: bad number",
    )?;
    need(sane(s.max_grant_fraction), "most grant: bad number")
}
