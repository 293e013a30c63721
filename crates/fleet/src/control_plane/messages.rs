//! What followers and members say to each other, and its frames.

use crate::policy::{Change, Policies, Revision};
use crate::wire::{FrameError, Framing};
use crate::{Micros, Peer};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The version of these messages; others are not spoken to.
pub const VERSION: u32 = 1;
/// The longest message of a follower, in bytes: a policy's text with what surrounds it.
pub const MOST_FOLLOWER_FRAME: usize = 64 << 10;
/// The longest message of a member, in bytes: a snapshot has two policies' texts and the last end of a change.
pub const MOST_MEMBER_FRAME: usize = 256 << 10;
/// The longest name of a group or follower, in bytes.
pub const MOST_NAME: usize = 64;

/// The frames of this protocol. Peers' frames have another check, so that neither is taken for the other.
pub const FRAMING: Framing = Framing { check: 0x6f74_6374 };

/// One process that follows; another start of the same dispatcher has another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FollowerId(pub u64);

/// From where on a follower wants to hear.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resume {
    /// The founding of the members' log that its revision counts in.
    pub fleet: u64,
    /// The last revision that it has.
    pub revision: Revision,
}

/// What a follower says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FollowerMessage {
    /// The first on every connection.
    Subscribe {
        /// [`VERSION`] of the speaker.
        version: u32,
        /// The group that it means to follow.
        group: String,
        /// Which process it is.
        follower: FollowerId,
        /// Its name, for operators.
        name: String,
        /// From where on it wants to hear; `None` if it knows nothing.
        resume: Option<Resume>,
        /// The highest number of a policy that it has acted by.
        policy: u64,
    },
    /// It acts by all up to this revision, and asks for its lease to go on.
    Renew {
        /// What it acts by; `None` if it knows nothing yet.
        at: Option<Resume>,
        /// When it asks, by its own clock: the lease counts from then.
        asked: Micros,
    },
    /// What is wrong with the policy of this number; nothing is a yes.
    Vote(u64, Vec<String>),
    /// It admits nothing until the change of this number is over.
    Stopped(u64),
    /// It can't do what it voted for.
    Cannot(u64, String),
    /// The members have lost this policy, which was in force.
    Restore {
        /// Its number.
        number: u64,
        /// Its text.
        text: String,
        /// The text's digest.
        digest: [u8; 32],
    },
    /// It ends, and admits nothing more.
    Leave,
}

/// What a member says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// The answer to a subscription.
    Welcome {
        /// The group.
        group: String,
        /// Which of its members speaks.
        member: Peer,
    },
    /// The subscription is not taken; the connection ends.
    Rejected(Rejection),
    /// All that is agreed, at its revision.
    Snapshot {
        /// The founding that revisions count in.
        fleet: u64,
        /// What is agreed, which has its revision.
        policies: Box<Policies>,
    },
    /// The next change.
    Change(Revision, Change),
    /// The answer to a renewal.
    Keepalive {
        /// The renewal's own time.
        asked: Micros,
        /// How long the lease is, from that time; `None` if there is none.
        lease: Option<Micros>,
        /// The newest revision here.
        revision: Revision,
    },
    /// The member ends: go to another one.
    GoAway,
}

/// Why a subscription is not taken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// The member speaks this version.
    Version(u32),
    /// The member is one of this group.
    Group(String),
    /// The member takes no further followers; the names of the others.
    Full(Vec<String>),
    /// The member does not know the group's record yet.
    NotReady,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::Version(v) => write!(f, "it speaks version {v}, and this is version {VERSION}"),
            Rejection::Group(g) => write!(f, "it is a member of group {g:?}"),
            Rejection::Full(others) => write!(f, "it is full; other members: {}", others.join(", ")),
            Rejection::NotReady => write!(f, "it does not know the group's record yet"),
        }
    }
}

/// Reads the first message of a follower.
pub fn from_follower(bytes: &[u8]) -> Result<Option<(usize, FollowerMessage)>, FrameError> {
    FRAMING.decode(bytes, MOST_FOLLOWER_FRAME)
}

/// Reads the first message of a member.
pub fn from_member(bytes: &[u8]) -> Result<Option<(usize, MemberMessage)>, FrameError> {
    FRAMING.decode(bytes, MOST_MEMBER_FRAME)
}
