//! The executor list and load reports.

use super::{ExecutorId, KindId, Micros, ZoneId};

/// What an executor's process does, as the list has it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Readiness {
    /// Takes requests.
    #[default]
    Active,
    /// Completes its work, takes nothing new.
    Leaving,
    /// Removed.
    Left,
}

/// An entry of the executor list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Endpoint {
    /// The executor.
    pub executor: ExecutorId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: u64,
    /// What it does.
    pub readiness: Readiness,
    /// Relative size, where the list tells it.
    pub rating: f64,
    /// Its latest start; `None` for long ago.
    pub started: Option<Micros>,
    /// Share of the work beside others of its kind; `None` is the usual, 1.
    pub weight: Option<f64>,
}

/// Why a list arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Only entries that changed.
    Update,
    /// All entries.
    Replace,
    /// All entries as last seen before a restart, perhaps stale.
    Restored,
    /// The call failed; the old list holds.
    Unavailable,
}

/// A load report; what is not reported is `None`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Report {
    /// Share of the cores that is busy.
    pub util: Option<f64>,
    /// Requests held.
    pub inflight: Option<f64>,
    /// Requests waiting for memory.
    pub queue: Option<f64>,
    /// Share of memory granted.
    pub memory: Option<f64>,
    /// Share of disks busy.
    pub disks: Option<f64>,
}

impl Report {
    /// Without values that are negative or no number.
    pub fn sane(self) -> Report {
        let ok = |v: Option<f64>| v.filter(|x| x.is_finite() && *x >= 0.0);
        let (util, inflight, queue) = (ok(self.util), ok(self.inflight), ok(self.queue));
        Report { util, inflight, queue, memory: ok(self.memory), disks: ok(self.disks) }
    }
}
