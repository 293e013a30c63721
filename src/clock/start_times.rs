//! Executor start times on this process's monotonic clock.

use super::WallClock;
use crate::api::Micros;
use std::collections::BTreeMap;

/// The start time that the endpoint list reported for an executor, and its monotonic equivalent.
#[derive(Debug, Clone, Copy)]
struct ReportedStart {
    /// Unix time in milliseconds, according to another machine's wall clock.
    reported_ms: u64,
    /// Time on this process's monotonic clock.
    started_at: Micros,
}

/// Start times by executor uid. A reported start time is converted once and kept, so that a later step of the
/// wall clock does not make the executor look restarted and put it through slow start again.
#[derive(Debug, Clone, Default)]
pub struct ExecutorStartTimes {
    starts: BTreeMap<String, ReportedStart>,
}

impl ExecutorStartTimes {
    /// Start time of an executor whose endpoint list entry reports this Unix time in milliseconds. 0 means
    /// that the executor started long ago and gives `None`.
    pub fn started_at(
        &mut self,
        uid: &str,
        reported_ms: u64,
        now: Micros,
        wall: &WallClock,
    ) -> Option<Micros> {
        if reported_ms == 0 {
            self.starts.remove(uid);
            return None;
        }
        if let Some(known) = self.starts.get(uid).filter(|start| start.reported_ms == reported_ms) {
            return Some(known.started_at);
        }
        let started_at = wall.to_monotonic(now, reported_ms.saturating_mul(1_000));
        self.starts.insert(uid.to_string(), ReportedStart { reported_ms, started_at });
        Some(started_at)
    }

    /// Removes the executors for which `keeps` returns false.
    pub fn retain(&mut self, keeps: impl Fn(&str) -> bool) {
        self.starts.retain(|uid, _| keeps(uid));
    }

    /// Number of executors with a known start time.
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Whether no start time is known.
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }
}
