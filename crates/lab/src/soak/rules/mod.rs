//! The rules of the protocol page and the standing test, one file each. Adding one is a file here and a line in [`ALL`].

mod answered;
mod bad_clients;
mod begun_late;
mod bounded;
mod drained;
mod ended_well;
mod in_order;
mod once;
mod passed_on;
mod refused_harmlessly;

use super::records::{Moment, Process, Records};
use std::time::Duration;

/// The protocol's slack on every limit.
pub const SLACK: Duration = Duration::from_millis(50);

/// One case in which a rule was not kept.
#[derive(Debug, Clone, PartialEq)]
pub struct Break {
    /// The rule.
    pub rule: &'static str,
    /// The request; 0 where it is none's.
    pub rid: u64,
    /// The process.
    pub process: Process,
    /// When.
    pub at: Moment,
    /// What was seen.
    pub what: String,
}

/// What a rule came to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Findings {
    /// Cases that it was checked on.
    pub checked: usize,
    /// Cases in which it was broken.
    pub broken: Vec<Break>,
    /// Cases which the machine's own standstills could excuse.
    pub undecided: usize,
}

impl Findings {
    /// A case that went over a limit by so much, where a standstill of so long could excuse it.
    fn judge(&mut self, over: Duration, excuse: Duration, case: impl FnOnce() -> Break) {
        if over.is_zero() {
            return;
        }
        if over <= excuse {
            self.undecided += 1;
        } else {
            self.broken.push(case());
        }
    }
}

/// A rule: its name, and what checks it.
pub type Rule = (&'static str, fn(&Records) -> Findings);

/// All rules.
pub const ALL: [Rule; 10] = [
    (answered::NAME, answered::check),
    (begun_late::NAME, begun_late::check),
    (passed_on::NAME, passed_on::check),
    (once::NAME, once::check),
    (in_order::NAME, in_order::check),
    (refused_harmlessly::NAME, refused_harmlessly::check),
    (drained::NAME, drained::check),
    (bad_clients::NAME, bad_clients::check),
    (ended_well::NAME, ended_well::check),
    (bounded::NAME, bounded::check),
];

#[cfg(test)]
mod tests;
