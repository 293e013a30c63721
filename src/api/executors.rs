//! Endpoints, the list of them, and load reports.

use super::{ExecutorId, KindId, TimestampUs, ZoneId};

/// Whether an executor takes requests, by the endpoint list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Readiness {
    /// Takes requests.
    #[default]
    Active,
    /// Draining: it completes its work and takes nothing new.
    Draining,
    /// Removed.
    Removed,
}

/// An executor, as an entry of the endpoint list.
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
    /// Whether it takes requests.
    pub readiness: Readiness,
    /// Relative size, as the list gives it.
    pub rating: f64,
    /// When its process started; `None` for long ago.
    pub started: Option<TimestampUs>,
    /// Its part of the traffic, as a multiple of others of its kind; `None` is the usual, 1.
    pub weight: Option<f64>,
}

/// What the entries of an endpoint list are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Only entries that changed.
    Update,
    /// All entries.
    Replace,
    /// All entries as last seen before a restart, perhaps stale.
    Restored,
    /// The list could not be had; the old one holds.
    Unavailable,
}

/// A load report; what is not reported is `None`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Report {
    /// Fraction of the cores that is busy.
    pub util: Option<f64>,
    /// Requests held.
    pub inflight: Option<f64>,
    /// Requests waiting for memory.
    pub queue: Option<f64>,
    /// Fraction of the memory that is granted.
    pub memory: Option<f64>,
    /// Fraction of the time that disks are busy.
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
