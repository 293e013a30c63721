//! What a list may hold, and what holds one back.

use ipnet::IpNet;
use std::time::Duration;

/// The name of the coordinator's feed among the sources.
pub const FEED: &str = "feed";

/// What a list may hold, by our settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// Every file has to carry its seal.
    pub sealed: bool,
    /// The most executors in a list.
    pub most_executors: usize,
    /// The largest weight.
    pub most_weight: f64,
    /// The only networks allowed, if bound.
    pub networks: Option<Vec<IpNet>>,
    /// Loopback addresses are allowed.
    pub loopback: bool,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { sealed: true, most_executors: 10_000, most_weight: 100.0, networks: None, loopback: false }
    }
}

/// What holds a list back until it is confirmed.
#[derive(Debug, Clone, PartialEq)]
pub struct Guard {
    /// The share of a room's capacity that lists may take away within the window.
    pub most_loss: f64,
    /// How long what was taken away counts.
    pub window: Duration,
    /// How often a list that is held back is told of again.
    pub remind: Duration,
    /// How long an acceptance holds.
    pub accepted_for: Duration,
}

impl Default for Guard {
    fn default() -> Guard {
        let s = Duration::from_secs;
        Guard { most_loss: 0.5, window: s(60), remind: s(30), accepted_for: s(3_600) }
    }
}
