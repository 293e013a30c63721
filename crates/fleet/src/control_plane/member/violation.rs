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
    /// The follower claims a revision that was not sent to it.
    Revision(Revision),
    /// The follower claims a policy number that no fleet can reach.
    Policy(u64),
    /// The subscription was rejected.
    Rejected(Rejection),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::NotSubscribed => write!(f, "message before the subscription"),
            Violation::SubscribedTwice => write!(f, "second subscription on one connection"),
            Violation::TooLong => write!(f, "a name or text exceeds its maximum length"),
            Violation::Revision(r) => write!(f, "follower claims revision {r}, which was not sent to it"),
            Violation::Policy(n) => write!(f, "follower claims policy number {n}, which is out of range"),
            Violation::Rejected(r) => write!(f, "subscription rejected: {r}"),
        }
    }
}

impl std::error::Error for Violation {}
