//! Messages between followers and members, and their framing.

use crate::policy::{Change, Policies, Revision};
use crate::wire::{FrameError, Framing};
use crate::{Micros, Peer};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Protocol version; peers with another version are rejected.
pub const VERSION: u32 = 1;
/// Maximum size of a follower's message in bytes: a policy text plus its envelope.
pub const MAX_FOLLOWER_FRAME: usize = 64 << 10;
/// Maximum size of a member's message in bytes: a snapshot contains two policy texts and the outcome of the
/// last change.
pub const MAX_MEMBER_FRAME: usize = 256 << 10;
/// Maximum length of a group or follower name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Framing of this protocol. Its check value differs from the one between peers, so that frames of the two
/// protocols cannot be confused.
pub const FRAMING: Framing = Framing { check: 0x6f74_6374 };

/// Identifies one follower process; a restarted dispatcher gets a new id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FollowerId(pub u64);

/// The position from which a follower wants to resume.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resume {
    /// Id of the log in which `revision` counts; a newly founded log has a new id.
    pub fleet: u64,
    /// The last revision the follower has.
    pub revision: Revision,
}

/// A message from a follower.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FollowerMessage {
    /// The first message on every connection.
    Subscribe {
        /// [`VERSION`] of the sender.
        version: u32,
        /// The group to follow.
        group: String,
        /// The follower process.
        follower: FollowerId,
        /// The follower's name, for operators.
        name: String,
        /// Where to resume; `None` if the follower has no state.
        resume: Option<Resume>,
        /// The highest policy number the follower has admitted requests under.
        policy: u64,
    },
    /// The follower has applied everything up to this revision and asks to renew its lease.
    Renew {
        /// The applied position; `None` if the follower has no state yet.
        at: Option<Resume>,
        /// Time of the request by the follower's clock; the lease runs from then.
        requested_at: Micros,
    },
    /// Vote on the policy of this number, with the faults found in it; no faults means yes.
    Vote(u64, Vec<String>),
    /// The follower admits no requests until the change of this number is over.
    Stopped(u64),
    /// The follower cannot apply a policy that it voted for.
    CannotApply(u64, String),
    /// A policy that was in force and that the members have lost.
    Restore {
        /// The policy's number.
        number: u64,
        /// The policy's text.
        text: String,
        /// Digest of the text.
        digest: [u8; 32],
    },
    /// The follower shuts down and admits no further requests.
    Leave,
}

/// A message from a member.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Accepts a subscription.
    Welcome {
        /// The group.
        group: String,
        /// The member that answers.
        member: Peer,
    },
    /// Rejects a subscription; the connection is closed.
    Rejected(Rejection),
    /// The complete agreed state at its revision.
    Snapshot {
        /// Id of the log in which revisions count.
        fleet: u64,
        /// The agreed state, including its revision.
        policies: Box<Policies>,
    },
    /// The next change.
    Change(Revision, Change),
    /// Answers a renewal.
    Keepalive {
        /// The `requested_at` time of the renewal.
        requested_at: Micros,
        /// Duration of the lease from `requested_at`; `None` if no lease was granted.
        lease: Option<Micros>,
        /// The member's latest revision.
        revision: Revision,
    },
    /// The member shuts down; the follower should connect to another one.
    GoAway,
}

/// Reason for rejecting a subscription.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// Protocol version of the member.
    Version(u32),
    /// The group the member belongs to.
    Group(String),
    /// The member has reached its follower limit; the names of the other members.
    Full(Vec<String>),
    /// The member has not received the group's state yet.
    NotReady,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::Version(v) => {
                write!(f, "the member has protocol version {v}, this process has version {VERSION}")
            }
            Rejection::Group(g) => write!(f, "the member belongs to group {g:?}"),
            Rejection::Full(others) => write!(f, "the member is full; other members: {}", others.join(", ")),
            Rejection::NotReady => write!(f, "the member has not received the group's state yet"),
        }
    }
}

/// Decodes the first message in `bytes` sent by a follower.
pub fn from_follower(bytes: &[u8]) -> Result<Option<(usize, FollowerMessage)>, FrameError> {
    FRAMING.decode(bytes, MAX_FOLLOWER_FRAME)
}

/// Decodes the first message in `bytes` sent by a member.
pub fn from_member(bytes: &[u8]) -> Result<Option<(usize, MemberMessage)>, FrameError> {
    FRAMING.decode(bytes, MAX_MEMBER_FRAME)
}
