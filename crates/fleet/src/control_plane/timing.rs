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
pub const LEAST_TICK: Micros = 30_000;
/// Minimum number of ticks in a lease: a leader must be elected well within a lease, or all members lose
/// their leases.
pub const TICKS_IN_LEASE: u64 = 25;
/// Minimum lease in microseconds.
pub const LEAST_LEASE: Micros = 1_000_000;
/// A follower's lease is a member's lease divided by this.
const FOLLOWER_PART: u64 = 2;
/// Number of times a follower renews within one lease.
const RENEWALS: u64 = 3;
/// The clock rates of two machines differ by less than one part in this many.
const CLOCK_DRIFT: u64 = 10;

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
        let tick = LEAST_TICK.max(round_trip / 2);
        Timing::with_lease(round_trip, LEAST_LEASE.max(TICKS_IN_LEASE * tick))
    }

    /// Derives the settings with an explicit lease duration.
    pub fn with_lease(round_trip: Micros, lease: Micros) -> Timing {
        let follower_lease = lease / FOLLOWER_PART;
        Timing {
            tick: LEAST_TICK.max(round_trip / 2),
            lease,
            margin: lease / CLOCK_DRIFT,
            follower_lease,
            renew_every: follower_lease / RENEWALS,
        }
    }

    /// The shortest lease within which an election completes at this round-trip time.
    pub fn least_lease(round_trip: Micros) -> Micros {
        TICKS_IN_LEASE * LEAST_TICK.max(round_trip / 2)
    }
}
