//! Lease and election timeouts, derived from the round-trip time between members.
//!
//! - A *tick* is half a round trip. The log's leader sends a heartbeat every tick, and the election timeout
//!   is at least six ticks, which is three round trips: a heartbeat still in transit does not trigger an
//!   election.
//! - A *lease* is 25 ticks: twelve round trips are enough to elect a leader and renew the leases before any
//!   lease expires.
//! - A follower's lease is half of a member's lease. A member renews five times per lease, so at least four
//!   fifths of its lease remain at any time, less the latency of the log.

use crate::Micros;

/// Minimum tick in microseconds, sized for processes on the same machine.
pub const MIN_TICK: Micros = 30_000;
/// Minimum number of ticks in a lease: a leader must be elected well within a lease, or all members lose
/// their leases.
pub const MIN_TICKS_PER_LEASE: u64 = 25;
/// Minimum lease in microseconds.
pub const MIN_LEASE: Micros = 1_000_000;
/// A follower's lease is a member's lease divided by this.
const FOLLOWER_LEASE_DIVISOR: u64 = 2;
/// Number of times a follower renews within one lease.
const RENEWALS_PER_LEASE: u64 = 3;
/// The clock rates of two machines differ by less than one part in this many.
const CLOCK_DRIFT_DIVISOR: u64 = 10;

/// Time settings of a control group, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Tick of the log.
    pub tick: Micros,
    /// Duration of a member's lease without renewal.
    pub lease: Micros,
    /// Additional time that others wait before they declare a lease expired.
    pub margin: Micros,
    /// Maximum duration of a follower's lease without renewal.
    pub follower_lease: Micros,
    /// Interval at which a follower renews its lease.
    pub renew_every: Micros,
}

impl Timing {
    /// Derives the settings from the round-trip time between members.
    pub fn from_round_trip(round_trip: Micros) -> Timing {
        let tick = MIN_TICK.max(round_trip / 2);
        Timing::with_lease(round_trip, MIN_LEASE.max(MIN_TICKS_PER_LEASE * tick))
    }

    /// Derives the settings with an explicit lease duration.
    pub fn with_lease(round_trip: Micros, lease: Micros) -> Timing {
        let follower_lease = lease / FOLLOWER_LEASE_DIVISOR;
        Timing {
            tick: MIN_TICK.max(round_trip / 2),
            lease,
            margin: lease / CLOCK_DRIFT_DIVISOR,
            follower_lease,
            renew_every: follower_lease / RENEWALS_PER_LEASE,
        }
    }

    /// The shortest lease within which an election completes at this round-trip time.
    pub fn min_lease(round_trip: Micros) -> Micros {
        MIN_TICKS_PER_LEASE * MIN_TICK.max(round_trip / 2)
    }
}
