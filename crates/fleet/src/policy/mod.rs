//! What all dispatchers admit requests by: one numbered policy, changed everywhere or nowhere.
//!
//! A change is proposed, and each holder of a lease votes on it. Once all have said yes, each stops admitting and says
//! so; once all have stopped, the change is in force, and whoever sees that admits by it. So between the last request
//! that was admitted by the old one and the first by the new there is a moment at which nobody admitted any. Who is
//! cut off holds the switch up until its lease is over, which it knows before the others do; who begins a lease in
//! the middle of a switch has to stop, too. What the policy says is not looked at here: it is a text with its digest.

mod apply;
pub mod part;
mod queue;
mod record;
mod revisions;

pub use part::{Act, Gate, Part};
pub use queue::{MOST_WAITING, Waiting};
pub use record::PolicyRecord;
pub use revisions::{Change, Gap, History, KEPT_CHANGES, KEPT_TEXT, Revision};

use crate::{Holder, Micros, Peer};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The longest text of a policy, in bytes.
pub const MOST_TEXT: usize = 32 << 10;
/// Policies kept besides the one in force: work in hand ends under the one that admitted it.
pub const PAST: usize = 3;
/// Ends of proposals that are remembered.
pub const ENDED: usize = 8;
/// Faults kept of one vote, and the length of each, in bytes.
pub const FAULTS: usize = 16;
/// See [`FAULTS`].
pub const FAULT: usize = 240;

/// A policy: its number, its text as its file had it, and that text's SHA-256.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Policy {
    /// Grows with each proposal; 0 is what the settings say, which has no text.
    pub number: u64,
    /// The text.
    pub text: String,
    /// Its digest.
    pub digest: [u8; 32],
}

/// How far a change is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Those with a lease check it and vote.
    Voting,
    /// All have said yes; they stop admitting by the old one.
    Closing,
}

/// A change under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// What is proposed.
    pub policy: Policy,
    /// Through whom, and when by that one's clock.
    pub by: Peer,
    /// See `by`.
    pub at: Micros,
    /// How far it is.
    pub stage: Stage,
    /// Who has voted: what is wrong with it there; nothing is a yes.
    pub votes: BTreeMap<Holder, Vec<String>>,
    /// Who admits nothing until this is over.
    pub stopped: BTreeSet<Holder>,
    /// When voting, and when the whole is given up.
    until: [Micros; 2],
}

/// The time limits of a change that has just come out of the queue: its time runs from the next sweep.
const NOT_TIMED: [Micros; 2] = [Micros::MAX; 2];

/// How a change ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ended {
    /// Its number.
    pub number: u64,
    /// Why it did not take hold; `None` if it did.
    pub why: Option<String>,
    /// What was wrong with it, by peer.
    pub faults: Vec<(Peer, Vec<String>)>,
}

/// Changes whose taking is remembered: so many may be called within one look at the log.
const MOST_TAKEN: usize = 16;

/// A change that was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Taken {
    number: u64,
    by: Peer,
    at: Micros,
}

/// Moves the policy.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A change is proposed. It changes nothing while another is under way.
    Propose {
        /// Its text; empty for what the settings say.
        text: String,
        /// The text's digest.
        digest: [u8; 32],
        /// Through whom.
        by: Peer,
        /// When, by that one's Unix clock.
        at: Micros,
        /// How long votes are waited for, and after that how long all may take to stop.
        limits: [Micros; 2],
        /// The least number it gets: what one knows who was in a fleet that has lost its record.
        least: u64,
    },
    /// A change is proposed; while another is under way it waits for its turn, as far as the queue's bound allows.
    Queue(Waiting),
    /// The one before the one in force, proposed anew: through whom, when, and the limits.
    Back(Peer, Micros, [Micros; 2]),
    /// A holder has checked the change of this number; what is wrong with it.
    Vote(Holder, u64, Vec<String>),
    /// A holder admits nothing until the change of this number is over.
    Stopped(Holder, u64),
    /// A holder can't do what it voted for.
    Cannot(Holder, u64, String),
    /// An operator calls the change of this number off.
    Abort(u64),
}

/// The policy in force, the change under way, and what came of earlier ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Policies {
    current: Policy,
    /// Those in force before, the latest first.
    past: Vec<Policy>,
    pending: Option<Proposal>,
    /// Changes that wait for the one under way to end, in order.
    waiting: VecDeque<Waiting>,
    /// The time limits of the change that left the queue last.
    turn_limits: [Micros; 2],
    history: History,
    /// The latest first.
    ended: Vec<Ended>,
    /// The highest number ever given.
    last: u64,
    /// The changes that were taken last, the latest first.
    taken: VecDeque<Taken>,
    /// The number that was in force in a fleet before, whose record is lost: nobody admits by less.
    least: u64,
}

impl Policies {
    /// Those of a fleet that follows one in which this number was in force.
    pub fn after(least: u64) -> Policies {
        Policies { last: least, least, ..Policies::default() }
    }

    /// Whether the policy in force may be admitted by: in a fleet that follows one whose record is lost, nothing is
    /// until what was in force there, or what an operator proposes instead, has taken hold.
    pub fn abreast(&self) -> bool {
        self.current.number >= self.least
    }

    /// The policy in force.
    pub fn current(&self) -> &Policy {
        &self.current
    }

    /// The one of this number, if it is in force or was lately.
    pub fn numbered(&self, number: u64) -> Option<&Policy> {
        std::iter::once(&self.current).chain(&self.past).find(|p| p.number == number)
    }

    /// The one that was in force before, if any.
    pub fn before(&self) -> Option<&Policy> {
        self.past.first()
    }

    /// The change under way.
    pub fn pending(&self) -> Option<&Proposal> {
        self.pending.as_ref()
    }

    /// The number of a change that was taken lately, by the peer that it came through and that one's clock.
    pub fn taken(&self, by: Peer, at: Micros) -> Option<u64> {
        self.taken.iter().find(|t| t.by == by && t.at == at).map(|t| t.number)
    }

    /// Remembers a change that is taken just now.
    fn take(&mut self, number: u64, by: Peer, at: Micros) {
        self.taken.push_front(Taken { number, by, at });
        self.taken.truncate(MOST_TAKEN);
    }

    /// What came of earlier changes, the latest first.
    pub fn ended(&self) -> impl Iterator<Item = &Ended> {
        self.ended.iter()
    }

    /// Whether a change could be proposed now; else why not.
    pub fn accepts(&self, text: &str) -> Result<(), String> {
        match &self.pending {
            Some(p) => Err(format!("policy {} is under way already", p.policy.number)),
            None if text.len() > MOST_TEXT => Err(format!("longer than {MOST_TEXT} bytes")),
            None => Ok(()),
        }
    }
}
