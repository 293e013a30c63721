//! Dispatchers that follow the agreed record without voting: a few members agree on it, and many followers watch it.
//!
//! Members run the replicated log. A follower keeps one connection to one of them, over which it gets each change of
//! the policy by its revision, and a lease that ends before the member's own. No follower is an entry in the log: a
//! member says *yes* and *stopped* there for itself and for all whom it has given a lease. So the rule of a change
//! holds for all followers: from the moment that any admits by the new policy, none admits by the old one.
//!
//! - [`messages`]: what followers and members say to each other.
//! - [`timing`]: lease and election times, derived from the links' round trip.
//! - [`member`]: the side of the member: sessions, leases given, what it may say in the log.
//! - [`follower`]: the side of the dispatcher: which member, what is known, its lease.

pub mod follower;
pub mod member;
pub mod messages;
pub mod timing;

pub use follower::{Follower, FollowerConfig};
pub use member::{Member, MemberConfig, MemberTally, SessionId};
pub use messages::{FollowerId, FollowerMessage, MemberMessage, Rejection, Resume};
pub use timing::Timing;
