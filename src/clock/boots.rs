//! When executors started, by this process's clock.

use super::WallClock;
use crate::api::Micros;
use std::collections::BTreeMap;

/// What the list told of one executor's start, and which moment that was.
#[derive(Debug, Clone, Copy)]
struct Boot {
    told_ms: u64,
    at: Micros,
}

/// The starts of executors, by uid. A start that was told once stays the moment that it was then, however the wall clock
/// is stepped after.
#[derive(Debug, Clone, Default)]
pub struct BootTimes {
    boots: BTreeMap<String, Boot>,
}

impl BootTimes {
    /// When an executor started whose list entry tells this Unix millisecond; `None` for 0, which is long ago.
    pub fn started(&mut self, uid: &str, told_ms: u64, now: Micros, wall: &WallClock) -> Option<Micros> {
        if told_ms == 0 {
            self.boots.remove(uid);
            return None;
        }
        if let Some(known) = self.boots.get(uid).filter(|b| b.told_ms == told_ms) {
            return Some(known.at);
        }
        let at = wall.monotonic(now, told_ms.saturating_mul(1_000));
        self.boots.insert(uid.to_string(), Boot { told_ms, at });
        Some(at)
    }

    /// Keeps those executors that fit.
    pub fn retain(&mut self, keeps: impl Fn(&str) -> bool) {
        self.boots.retain(|uid, _| keeps(uid));
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.boots.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.boots.is_empty()
    }
}
