//! Slow queries, queued fairly by a whole fleet: the queue and the share-out at one dispatcher. Sans-I/O.
//!
//! A query that is predicted to be expensive runs in a slot. Slots are lent to dispatchers by the fleet's record;
//! this crate says which of the waiting queries gets the next one here, how many slots this dispatcher should ask
//! for, and which query can't be served in its wanted time and is refused at once. Times are microseconds; the same
//! inputs and seed give the same outputs. Why it is done so: docs/slow-slots.md.
//!
//! - [`predict`]: when what waits will have ended, and how many slots should be here.
//! - [`queue`]: what waits and runs here, offers, ends and ticks.
//! - [`flow`]: start tags by tenant and the virtual time.
//! - [`news`]: what dispatchers tell each other.
//! - [`split`]: the share-out of the fleet's slots by tenants' weights.

pub mod flow;
mod moves;
pub mod news;
pub mod predict;
pub mod queue;
pub mod split;

pub use news::{Part, Shares};
pub use predict::Want;
pub use queue::Queue;

/// Microseconds.
pub type Micros = u64;
/// A tenant's index. Those from [`TENANTS`] on count as one.
pub type Tenant = u16;
/// A dispatcher's place in the fleet.
pub type Peer = u8;
/// A query; unique among those that wait or run.
pub type Id = u64;

/// Tenants told apart, at most.
pub const TENANTS: Tenant = 1024;
/// Tenants named one by one in a message to the peers, at most.
pub const NAMED: usize = 48;

const SECOND: f64 = 1e6;

/// What the queue is bound by.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// Queries that wait here at most; more are refused, and one tenant's from as many as there is room left.
    pub waiting: usize,
    /// Predicted cost in thread-seconds from which a query is slow and comes here.
    pub slow_s: f64,
    /// How far a tenant's service may count as behind its share, in seconds of that share. Nobody saves more.
    pub credit_s: f64,
    /// How far it may count as ahead, in the same measure. More is forgiven.
    pub debt_s: f64,
    /// Age from which a peer's news counts for nothing.
    pub stale: Micros,
    /// The longest time that a refused query is told to stay away, in milliseconds.
    pub after_most_ms: u64,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            waiting: 1024,
            slow_s: 1.0,
            credit_s: 2.0,
            debt_s: 10.0,
            stale: 1_500_000,
            after_most_ms: 60_000,
        }
    }
}

impl Terms {
    /// Whether a query of this predicted cost, in thread-seconds, comes here at all.
    pub fn slow(&self, cost_s: f64) -> bool {
        cost_s >= self.slow_s
    }
}

/// A slow query that asks for a slot.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Its name.
    pub id: Id,
    /// Whose it is.
    pub tenant: Tenant,
    /// Of queries with one key, the next runs once the one before has ended.
    pub key: Option<u64>,
    /// Predicted cost in thread-seconds.
    pub cost_s: f64,
    /// Threads that it runs on.
    pub threads: u32,
    /// When its answer is wanted, a point in time.
    pub aim: Micros,
    /// When its client gives up, a point in time.
    pub deadline: Micros,
}

impl Job {
    /// Seconds that it holds a slot, by the prediction.
    fn span_s(&self) -> f64 {
        sane(self.cost_s / f64::from(self.threads.max(1)))
    }
}

/// What becomes of an offered query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It runs now.
    Run,
    /// It waits; a tick says when it runs or that it can't.
    Wait,
    /// It can't be served in its wanted time, or there is no room.
    Refuse {
        /// When it may be offered again, in milliseconds from now.
        after_ms: u64,
    },
}

/// What is to be done after a tick.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// It runs now.
    Run(Id),
    /// It can't be served in its wanted time any more; it may be offered again after so many milliseconds.
    Refuse(Id, u64),
}

/// The slots of the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Lent {
    /// Lent to this dispatcher.
    pub mine: u32,
    /// Of the whole fleet.
    pub total: u32,
    /// Dispatchers in the fleet, this one counted.
    pub peers: u32,
}

/// Seconds as counted: neither negative nor without end.
fn sane(s: f64) -> f64 {
    if s.is_finite() { s.clamp(0.001, 3600.0) } else { 3600.0 }
}
