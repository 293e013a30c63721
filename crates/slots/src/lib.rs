//! Fair queueing of slow queries over a fleet: the queue and the allocation of slots at one dispatcher. Sans-I/O.
//!
//! A query that is predicted to be expensive needs a slot to run. Slots are leased to dispatchers by the fleet's log.
//! This crate decides which waiting query gets the next slot here, how many slots this dispatcher should request,
//! and which query can't meet its latency objective and is refused at once. Times are microseconds; the same
//! inputs and seed give the same outputs. The design is explained in docs/slow-slots.md.
//!
//! - [`predict`]: predicted completion times, and the number of slots to request.
//! - [`queue`]: waiting and running queries.
//! - [`flow`]: start tags of tenants and the virtual time.
//! - [`reports`]: demand and usage reports between dispatchers.
//! - [`split`]: weighted max-min allocation of the fleet's slots to tenants.

pub mod flow;
mod moves;
pub mod predict;
pub mod queue;
pub mod reports;
pub mod split;

pub use predict::Want;
pub use queue::Queue;
pub use reports::{DemandReport, TenantDemand};

/// Microseconds.
pub type Micros = u64;
/// A tenant's index. Indexes from [`MAX_TENANTS`] on share one tenant.
pub type Tenant = u16;
/// A dispatcher's number in the fleet.
pub type Peer = u8;
/// A query's id; unique among the waiting and running queries.
pub type Id = u64;

/// Maximum number of distinct tenants.
pub const MAX_TENANTS: Tenant = 1024;
/// Maximum number of tenants listed individually in a report to the peers.
pub const MAX_LISTED_TENANTS: usize = 48;

const SECOND: f64 = 1e6;

/// Limits of the queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// Maximum number of waiting queries. A tenant is refused as soon as it has as many waiting as there is room left.
    pub waiting: usize,
    /// Predicted cost in thread-seconds from which a query is slow and queued here.
    pub slow_s: f64,
    /// How far a tenant may count as behind its share, in seconds of that share; it saves up no more than this.
    pub credit_s: f64,
    /// How far it may count as ahead, in the same unit; any excess is forgiven.
    pub debt_s: f64,
    /// Age from which a peer's report is ignored.
    pub max_report_age: Micros,
    /// Maximum retry delay told on refusal, in milliseconds.
    pub max_retry_after_ms: u64,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            waiting: 1024,
            slow_s: 1.0,
            credit_s: 2.0,
            debt_s: 10.0,
            max_report_age: 1_500_000,
            max_retry_after_ms: 60_000,
        }
    }
}

impl Terms {
    /// Whether a query of this predicted cost, in thread-seconds, is queued here.
    pub fn slow(&self, cost_s: f64) -> bool {
        cost_s >= self.slow_s
    }
}

/// A slow query that needs a slot.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Its id.
    pub id: Id,
    /// Its tenant.
    pub tenant: Tenant,
    /// Queries with the same key run one at a time, in order of arrival.
    pub key: Option<u64>,
    /// Predicted cost in thread-seconds.
    pub cost_s: f64,
    /// Number of threads it runs on.
    pub threads: u32,
    /// Latency objective, as a point in time.
    pub aim: Micros,
    /// When its client times out, as a point in time.
    pub deadline: Micros,
}

impl Job {
    /// Predicted time in its slot, in seconds.
    fn span_s(&self) -> f64 {
        sane(self.cost_s / f64::from(self.threads.max(1)))
    }
}

/// The decision on an offered query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Run it now.
    Run,
    /// It was queued; a later tick runs or refuses it.
    Wait,
    /// It can't meet its latency objective, or the queue is full.
    Refuse {
        /// Delay before it may be offered again, in milliseconds.
        after_ms: u64,
    },
}

/// An action after a tick.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Run it now.
    Run(Id),
    /// It can no longer meet its latency objective; it may be offered again after this many milliseconds.
    Refuse(Id, u64),
}

/// The slots at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Lent {
    /// Leased to this dispatcher.
    pub mine: u32,
    /// Of the whole fleet.
    pub total: u32,
    /// Dispatchers in the fleet, this one included.
    pub peers: u32,
}

/// Clamps a duration in seconds to a positive, finite range.
fn sane(s: f64) -> f64 {
    if s.is_finite() { s.clamp(0.001, 3600.0) } else { 3600.0 }
}
