//! When executors started, by this process's clock.

use super::WallClock;
use crate::api::Micros;
use std::collections::BTreeMap;

/// What the endpoint list reported of one executor's start, and which moment that is.
#[derive(Debug, Clone, Copy)]
struct ReportedStart {
    /// Unix time in milliseconds, by the wall clock of another machine.
    reported_ms: u64,
    /// By this process's clock.
    started_at: Micros,
}

/// When executors started, by uid. A start that was reported once stays the same moment however the wall clock is
/// stepped afterwards: else an executor would seem to have restarted with every step, and be warmed up again.
#[derive(Debug, Clone, Default)]
pub struct ExecutorStartTimes {
    starts: BTreeMap<String, ReportedStart>,
}

impl ExecutorStartTimes {
    /// When an executor started whose list entry reports this Unix time in milliseconds; `None` for 0, which says
    /// that it started long ago.
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

    /// Forgets the executors that `keeps` says no to.
    pub fn retain(&mut self, keeps: impl Fn(&str) -> bool) {
        self.starts.retain(|uid, _| keeps(uid));
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }
}
