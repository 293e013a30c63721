//! Protocol violations that end a follower's connection.

use crate::control_plane::messages::Rejection;
use crate::policy::Revision;
use std::fmt;

/// Why a follower's message was refused; its connection is closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A message before the subscription.
    NotSubscribed,
    /// A second subscription on one connection.
    SubscribedTwice,
    /// A name or text exceeds its maximum length.
    TooLong,
    /// It claims a revision that was not sent to it.
    Revision(Revision),
    /// It claims a policy number that no fleet can reach.
    Policy(u64),
    /// Its subscription was rejected.
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
