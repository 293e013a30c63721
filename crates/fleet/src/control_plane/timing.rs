//! Lease and election times, derived from the round trip between members.
//!
//! - A *tick* is half a round trip, as the log's leader is heard once a tick: an election timeout of six ticks or
//!   more is three round trips, so that a leader whose word is on its way is not doubted.
//! - A *lease* is 25 ticks: twelve round trips hold an election with its renewals before anyone's lease is over.
//! - A follower's lease is half of a member's: a member renews its own five times within its length, so that four
//!   fifths of it less the way through the log are always left.

use crate::Micros;

/// The shortest tick, in microseconds: what processes on one machine need.
pub const LEAST_TICK: Micros = 30_000;
/// Ticks in a lease at least: a leader has to be found well within it, or all lose theirs with it.
pub const TICKS_IN_LEASE: u64 = 25;
/// The shortest lease, in microseconds.
pub const LEAST_LEASE: Micros = 1_000_000;
/// A follower's lease is a member's divided by this.
const FOLLOWER_PART: u64 = 2;
/// A follower renews this many times within its lease.
const RENEWALS: u64 = 3;
/// Clocks of two machines differ in speed by less than one part in this many.
const CLOCK_DRIFT: u64 = 10;

/// Times of a control group, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The log's tick.
    pub tick: Micros,
    /// How long a member's lease lasts without a renewal.
    pub lease: Micros,
    /// How much longer others wait before they say that it is over.
    pub margin: Micros,
    /// How long a follower's lease lasts without a renewal, at most.
    pub follower_lease: Micros,
    /// How often a follower renews it.
    pub renew_every: Micros,
}

impl Timing {
    /// Those of members whose links take so long there and back.
    pub fn from_round_trip(round_trip: Micros) -> Timing {
        let tick = LEAST_TICK.max(round_trip / 2);
        Timing::with_lease(round_trip, LEAST_LEASE.max(TICKS_IN_LEASE * tick))
    }

    /// Those with a stated lease.
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

    /// The shortest lease that holds an election over links of this round trip.
    pub fn least_lease(round_trip: Micros) -> Micros {
        TICKS_IN_LEASE * LEAST_TICK.max(round_trip / 2)
    }
}
