//! What the settings of a file may not say: every fault is told with the key that it stands under.

use super::env::{ClassIn, Env};
use super::platform::{Malformed, bad};

/// What names the file in a message.
const MESSAGE: &str = "config";
/// No number of the settings is as large; times have the same limit.
const ABSURD: f64 = 1e12;
/// An aim that is stretched by more than this is none.
const MOST_STRETCH: f64 = 1e3;
/// Classes are counted by the bits of one word.
const MOST_CLASSES: usize = 64;

/// A number that may be zero, but neither negative nor absurd.
fn number(field: &str, value: Option<f64>) -> Result<(), Malformed> {
    match value {
        Some(x) if !(0.0..ABSURD).contains(&x) => {
            Err(bad(MESSAGE, field, format_args!("{x} is out of range")))
        }
        _ => Ok(()),
    }
}

fn class(i: usize, c: &ClassIn) -> Result<(), Malformed> {
    let f = |field: &str| format!("settings.requestClasses[{i}].{field}");
    number(&f("credit"), c.credit)?;
    number(&f("lateWorth"), c.late_worth)?;
    number(&f("aimStretch"), c.aim_stretch)?;
    if c.aim_stretch.is_some_and(|x| x > MOST_STRETCH) {
        return Err(bad(MESSAGE, &f("aimStretch"), "is out of range"));
    }
    if c.hard_limit == 0.0 {
        return Err(bad(MESSAGE, &f("hardLimit"), "leaves no time"));
    }
    Ok(())
}

impl Env {
    /// Numbers that make sense, also those that only the network heeds. Times and names are checked where they are
    /// read, and the decisions check again what they build on.
    pub(super) fn checked(&self) -> Result<(), Malformed> {
        if self.balancers == 0 {
            return Err(bad(MESSAGE, "settings.balancers", "none"));
        }
        if self.request_classes.is_empty() || self.request_classes.len() > MOST_CLASSES {
            let n = self.request_classes.len();
            let what = format_args!("{n} classes, there have to be 1 to {MOST_CLASSES}");
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
            return Err(bad(MESSAGE, &format!("settings.domain.parallelism[{i}]"), "no threads"));
        }
        for (i, &cores) in d.kind_cores.iter().enumerate() {
            let field = format!("settings.domain.kindCores[{i}]");
            number(&field, Some(cores))?;
            if cores == 0.0 {
                return Err(bad(MESSAGE, &field, "no cores"));
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
