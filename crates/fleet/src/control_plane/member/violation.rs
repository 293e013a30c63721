//! What ends a follower's connection.

use crate::control_plane::messages::Rejection;
use crate::policy::Revision;
use std::fmt;

/// Why a follower's message is not taken; its connection ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// It speaks before it has subscribed.
    NotSubscribed,
    /// It subscribes twice.
    SubscribedTwice,
    /// A name or text is too long.
    TooLong,
    /// It claims a revision that was not sent to it.
    Revision(Revision),
    /// It claims to have acted by a policy of a number that no fleet comes to.
    Policy(u64),
    /// It was turned away.
    Rejected(Rejection),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::NotSubscribed => write!(f, "it speaks before it has subscribed"),
            Violation::SubscribedTwice => write!(f, "it subscribes twice"),
            Violation::TooLong => write!(f, "a name or text is too long"),
            Violation::Revision(r) => write!(f, "it claims revision {r}, which was not sent to it"),
            Violation::Policy(n) => write!(f, "it claims to have acted by policy {n}"),
            Violation::Rejected(r) => write!(f, "turned away: {r}"),
        }
    }
}

impl std::error::Error for Violation {}
