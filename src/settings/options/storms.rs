//! Settings of the retry storm protection.

use super::MS;
use crate::settings::hcl::{self, Fault, Table};
use std::time::Duration;

/// Settings of the retry storm protection.
#[derive(Debug, Clone, PartialEq)]
pub struct Storms {
    /// The longest wait that clients honour; defaults to the platform's settings, else to one second.
    pub longest_wait: Option<Duration>,
    /// Maximum share of admitted requests that are retries without a reservation.
    pub repeats: f64,
    /// Maximum number of remembered rejected requests.
    pub remembered: usize,
}

/// Reads the `retry_storms` block.
pub(super) fn read(t: &Table<'_>, faults: &mut Vec<Fault>) -> Storms {
    t.only(&["longest_wait", "repeats", "remembered"], &[], faults);
    let mut s = Storms { longest_wait: None, repeats: 0.3, remembered: 20_000 };
    s.longest_wait = t.get("longest_wait", faults, hcl::duration(MS(100)..=MS(60_000)));
    t.set("repeats", &mut s.repeats, faults, hcl::number(0.0..=1.0));
    if let Some(n) = t.get("remembered", faults, hcl::whole(100..=200_000)) {
        s.remembered = n as usize;
    }
    s
}
