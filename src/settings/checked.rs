//! Validates the platform's settings; every fault names its key.

use super::env::{ClassIn, Env};
use super::platform::{Malformed, bad};

/// Name of the file in error messages.
const MESSAGE: &str = "config";
/// Upper bound, exclusive, of every number in the settings; times have the same limit.
const NUMBER_LIMIT: f64 = 1e12;
/// A latency objective stretched by more than this factor would be meaningless.
const MAX_STRETCH: f64 = 1e3;
/// Sets of classes are the bits of one 64-bit word.
const MAX_CLASSES: usize = 64;

/// Checks that a number is neither negative nor out of range; zero is allowed.
fn number(field: &str, value: Option<f64>) -> Result<(), Malformed> {
    match value {
        Some(x) if !(0.0..NUMBER_LIMIT).contains(&x) => {
            Err(bad(MESSAGE, field, format_args!("{x} is out of range")))
        }
        _ => Ok(()),
    }
}

fn class(i: usize, c: &ClassIn) -> Result<(), Malformed> {
    let f = |field: &str| format!("settings.requestClasses[{i}].{field}");
    // Executors get the name as a field of a list that is separated by commas and ended by a space.
    if c.name.contains(|x: char| x == ',' || x.is_whitespace() || x.is_control()) {
        return Err(bad(MESSAGE, &f("name"), format_args!("{:?} contains a space or a comma", c.name)));
    }
    number(&f("credit"), c.credit)?;
    number(&f("lateWorth"), c.late_worth)?;
    number(&f("aimStretch"), c.aim_stretch)?;
    if c.aim_stretch.is_some_and(|x| x > MAX_STRETCH) {
        return Err(bad(MESSAGE, &f("aimStretch"), "is out of range"));
    }
    if c.hard_limit == 0.0 {
        return Err(bad(MESSAGE, &f("hardLimit"), "has to be more than 0"));
    }
    Ok(())
}

impl Env {
    /// Checks the range of all numbers, including those used only by the network layer. Times and names are checked
    /// where they are read, and the balancer validates its own settings again.
    pub(super) fn checked(&self) -> Result<(), Malformed> {
        if self.balancers == 0 {
            return Err(bad(MESSAGE, "settings.balancers", "has to be at least 1"));
        }
        if self.request_classes.is_empty() || self.request_classes.len() > MAX_CLASSES {
            let n = self.request_classes.len();
            let what = format_args!("{n} classes; 1 to {MAX_CLASSES} are allowed");
            return Err(bad(MESSAGE, "settings.requestClasses", what));
        }
        let parties = self.parties.iter().flatten();
        for (i, p) in parties.enumerate() {
            number(&format!("settings.parties[{i}].quotaPerS"), p.quota_per_s)?;
        }
        self.request_classes.iter().enumerate().try_for_each(|(i, c)| class(i, c))?;
        if let Some(d) = self.discovery.as_deref().filter(|d| !["push", "ask"].contains(d)) {
            return Err(bad(MESSAGE, "settings.discovery", format_args!("unknown value {d:?}")));
        }
        let d = &self.domain;
        if let Some(i) = d.parallelism.iter().position(|n| *n == 0) {
            return Err(bad(MESSAGE, &format!("settings.domain.parallelism[{i}]"), "has to be at least 1"));
        }
        for (i, &cores) in d.kind_cores.iter().enumerate() {
            let field = format!("settings.domain.kindCores[{i}]");
            number(&field, Some(cores))?;
            if cores == 0.0 {
                return Err(bad(MESSAGE, &field, "has to be more than 0"));
            }
        }
        for (i, &mb) in d.memory_by_kind_mb.iter().enumerate() {
            number(&format!("settings.domain.memoryByKindMb[{i}]"), Some(mb))?;
        }
        let (c, r) = (&self.costs, &self.rules);
        number("settings.domain.grantCap", d.grant_cap)?;
        number("settings.overShareWorth", self.over_share_worth)?;
        number("settings.costs.crossZone", c.cross_zone)?;
        number("settings.costs.handshake", c.handshake)?;
        number("settings.costs.probe", c.probe)?;
        number("settings.rules.coldFrom", Some(r.cold_from))?;
        number("settings.rules.fallMultiple", Some(r.fall_multiple))?;
        number("settings.rules.freeResends", r.free_resends)?;
        number("settings.rules.furtherRatio", r.further_ratio)?;
        self.transport().map(drop)
    }
}
