//! Limits on the content of a list, and when a list is held back.

use ipnet::IpNet;
use std::time::Duration;

/// The source name of the coordinator's feed.
pub const FEED: &str = "feed";

/// Limits on the content of a list.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// Whether every file must have a seal.
    pub sealed: bool,
    /// Maximum number of executors in a list.
    pub max_executors: usize,
    /// The largest weight.
    pub max_weight: f64,
    /// The allowed networks; `None` allows all.
    pub networks: Option<Vec<IpNet>>,
    /// Whether loopback addresses are allowed.
    pub loopback: bool,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { sealed: true, max_executors: 10_000, max_weight: 100.0, networks: None, loopback: false }
    }
}

/// When a list is held back until it is confirmed.
#[derive(Debug, Clone, PartialEq)]
pub struct Guard {
    /// Maximum share of a zone's capacity that lists may remove within the window.
    pub max_loss: f64,
    /// How long removed capacity is counted.
    pub window: Duration,
    /// Interval of reminders in the log about a list that is held back.
    pub remind: Duration,
    /// How long an acceptance is valid.
    pub accepted_for: Duration,
}

impl Default for Guard {
    fn default() -> Guard {
        let s = Duration::from_secs;
        Guard { max_loss: 0.5, window: s(60), remind: s(30), accepted_for: s(3_600) }
    }
}
