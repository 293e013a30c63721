//! Endpoints, endpoint lists and load reports.

use super::{ExecutorId, KindId, TimestampUs, ZoneId};

/// The state of an executor in the endpoint list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Readiness {
    /// Accepts requests.
    #[default]
    Active,
    /// Completes its current work and accepts no new requests.
    Draining,
    /// No longer part of the fleet.
    Removed,
}

/// An entry of the endpoint list.
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
    /// Whether it accepts requests.
    pub readiness: Readiness,
    /// Relative size, as stated in the list.
    pub rating: f64,
    /// Start time of its process; `None` if it started long ago.
    pub started: Option<TimestampUs>,
    /// Traffic weight relative to other executors of its kind; `None` means 1.
    pub weight: Option<f64>,
}

/// How the entries of an endpoint list relate to the known list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Only the entries that changed.
    Update,
    /// The complete list.
    Replace,
    /// The complete list as last known before a restart; possibly stale.
    Restored,
    /// The list could not be fetched; the known one stays in effect.
    Unavailable,
}

/// A load report; values that are not reported are `None`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Report {
    /// CPU utilization: the fraction of cores that are busy.
    pub util: Option<f64>,
    /// Requests running or queued.
    pub inflight: Option<f64>,
    /// Requests waiting for memory.
    pub queue: Option<f64>,
    /// Fraction of the memory that is granted.
    pub memory: Option<f64>,
    /// Disk utilization: the fraction of time that the disks are busy.
    pub disks: Option<f64>,
}

impl Report {
    /// The report without values that are negative or not finite.
    pub fn sanitized(self) -> Report {
        let ok = |v: Option<f64>| v.filter(|x| x.is_finite() && *x >= 0.0);
        let (util, inflight, queue) = (ok(self.util), ok(self.inflight), ok(self.queue));
        Report { util, inflight, queue, memory: ok(self.memory), disks: ok(self.disks) }
    }
}
