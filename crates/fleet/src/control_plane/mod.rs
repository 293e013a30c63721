//! Control plane: a few members replicate the agreed state through a Raft log, and many followers receive it
//! without voting.
//!
//! A follower keeps one connection to one member. Over it the follower receives each policy change with its
//! revision, and a lease that expires before the member's own lease. Followers have no entries in the log: a
//! member records a *yes* vote or *stopped* there only on behalf of itself and of every follower that holds
//! one of its leases. The guarantee of a policy change therefore covers all followers: once any dispatcher
//! admits requests under the new policy, none admits under the old one.
//!
//! - [`messages`]: the messages between followers and members.
//! - [`timing`]: lease and election timeouts, derived from the round-trip time of the links.
//! - [`member`]: the member's side: sessions, granted leases, and what it may submit to the log.
//! - [`follower`]: the follower's side: choice of member, replicated state, and lease.

pub mod follower;
pub mod member;
pub mod messages;
pub mod timing;

pub use follower::{Follower, FollowerConfig};
pub use member::{Member, MemberConfig, MemberCounters, SessionId};
pub use messages::{FollowerId, FollowerMessage, MemberMessage, Rejection, Resume};
pub use timing::Timing;
