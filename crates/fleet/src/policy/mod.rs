//! Admission policy: one numbered policy for all dispatchers, changed at all of them or at none.
//!
//! A change is proposed, and every lease holder votes on it. Once all have voted yes, each stops admitting
//! requests and reports that. Once all have stopped, the change is in force, and each dispatcher that learns
//! of it admits under the new policy. Between the last request admitted under the old policy and the first
//! under the new one there is thus a moment at which nobody admits any. A disconnected dispatcher delays the
//! change until its lease expires, which it notices before the others do. A dispatcher that acquires a lease
//! during a change has to stop as well. The content of a policy is opaque here: a text and its digest.

mod apply;
mod log;
pub mod participant;
mod queue;
mod revisions;

pub use log::PolicyLog;
pub use participant::{Action, Gate, Participant};
pub use queue::{MAX_QUEUED, QueuedChange};
pub use revisions::{Change, Gap, History, MAX_KEPT_CHANGES, MAX_KEPT_TEXT_BYTES, Revision};

use crate::{Holder, Micros, Peer};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum length of a policy's text in bytes.
pub const MAX_TEXT_BYTES: usize = 32 << 10;
/// Number of past policies kept, because requests in flight finish under the policy that admitted them.
pub const MAX_PAST: usize = 3;
/// Number of outcomes of past changes that are kept.
pub const MAX_OUTCOMES: usize = 8;
/// Maximum number of faults kept per vote.
pub const MAX_FAULTS: usize = 16;
/// Maximum length of a fault in bytes.
pub const MAX_FAULT_BYTES: usize = 240;

/// A policy: its number, the text of its file, and the SHA-256 of that text.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Policy {
    /// Increases with each proposal; 0 is the policy from the settings, which has no text.
    pub number: u64,
    /// The text.
    pub text: String,
    /// SHA-256 of the text.
    pub digest: [u8; 32],
}

/// Stage of a pending change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Lease holders check the policy and vote.
    Voting,
    /// All have voted yes; lease holders stop admitting under the old policy.
    Closing,
}

/// A pending change.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// The proposed policy.
    pub policy: Policy,
    /// The peer through which it was proposed.
    pub by: Peer,
    /// When it was proposed, by that peer's clock.
    pub at: Micros,
    /// The stage it has reached.
    pub stage: Stage,
    /// The votes: faults found by each holder; no faults means yes.
    pub votes: BTreeMap<Holder, Vec<String>>,
    /// Holders that have stopped admission until the change is over.
    pub stopped: BTreeSet<Holder>,
    /// Deadlines of the vote and of the whole change.
    deadlines: [Micros; 2],
}

/// Deadlines of a change that has just left the queue: they are set at the next sweep.
const DEADLINES_UNSET: [Micros; 2] = [Micros::MAX; 2];

/// The outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChangeOutcome {
    /// The change's number.
    pub number: u64,
    /// Why it was given up; `None` if it came into force.
    pub why: Option<String>,
    /// Faults found, by peer.
    pub faults: Vec<(Peer, Vec<String>)>,
}

/// Number of accepted changes that are remembered: as many may be proposed between two reads of the log.
const MAX_ACCEPTED: usize = 16;

/// An accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct AcceptedChange {
    number: u64,
    by: Peer,
    at: Micros,
}

/// A command that changes the policy state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Proposes a change. It has no effect while another change is pending.
    Propose {
        /// The policy's text; empty for the policy from the settings.
        text: String,
        /// SHA-256 of the text.
        digest: [u8; 32],
        /// The proposing peer.
        by: Peer,
        /// Time of the proposal by that peer's Unix clock.
        at: Micros,
        /// Time limits of the vote and, after it, of stopping admission.
        limits: [Micros; 2],
        /// Minimum number for the policy, from a proposer that knows it from a fleet that has lost its state.
        min_number: u64,
    },
    /// Proposes a change; it is queued while another one is pending, within the queue's limits.
    Queue(QueuedChange),
    /// Proposes the previous policy again: the proposing peer, the time, and the limits.
    Back(Peer, Micros, [Micros; 2]),
    /// A holder's vote on the change of this number, with the faults found; no faults means yes.
    Vote(Holder, u64, Vec<String>),
    /// A holder has stopped admission until the change of this number is over.
    Stopped(Holder, u64),
    /// A holder cannot apply the change of this number although it voted yes.
    CannotApply(Holder, u64, String),
    /// An operator aborts the change of this number.
    Abort(u64),
}

/// The policy in force, the pending and queued changes, and the outcomes of earlier ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Policies {
    current: Policy,
    /// Policies in force before, latest first.
    past: Vec<Policy>,
    pending: Option<Proposal>,
    /// Changes that wait for the pending one to end, in order.
    queued: VecDeque<QueuedChange>,
    /// Time limits of the change that last left the queue.
    next_limits: [Micros; 2],
    history: History,
    /// Latest first.
    outcomes: Vec<ChangeOutcome>,
    /// The highest number assigned so far.
    last: u64,
    /// The most recently accepted changes, latest first.
    accepted: VecDeque<AcceptedChange>,
    /// The policy number in force in a previous fleet whose state is lost: nobody admits under a lower
    /// number.
    min_number: u64,
}

impl Policies {
    /// The initial state of a fleet that succeeds one in which this policy number was in force.
    pub fn after(min_number: u64) -> Policies {
        Policies { last: min_number, min_number, ..Policies::default() }
    }

    /// Whether requests may be admitted under the policy in force. In a fleet that succeeds one whose state
    /// is lost, they may not until the policy in force there, or one that an operator proposes instead, is in
    /// force again.
    pub fn caught_up(&self) -> bool {
        self.current.number >= self.min_number
    }

    /// The policy in force.
    pub fn current(&self) -> &Policy {
        &self.current
    }

    /// The policy with this number, if it is in force or was recently.
    pub fn by_number(&self, number: u64) -> Option<&Policy> {
        std::iter::once(&self.current).chain(&self.past).find(|p| p.number == number)
    }

    /// The policy in force before the current one.
    pub fn previous(&self) -> Option<&Policy> {
        self.past.first()
    }

    /// The pending change.
    pub fn pending(&self) -> Option<&Proposal> {
        self.pending.as_ref()
    }

    /// The number of a recently accepted change, identified by the proposing peer and the time of the
    /// proposal.
    pub fn accepted_number(&self, by: Peer, at: Micros) -> Option<u64> {
        self.accepted.iter().find(|t| t.by == by && t.at == at).map(|t| t.number)
    }

    /// Remembers a change that was just accepted.
    fn remember_accepted(&mut self, number: u64, by: Peer, at: Micros) {
        self.accepted.push_front(AcceptedChange { number, by, at });
        self.accepted.truncate(MAX_ACCEPTED);
    }

    /// The outcomes of earlier changes, latest first.
    pub fn outcomes(&self) -> impl Iterator<Item = &ChangeOutcome> {
        self.outcomes.iter()
    }

    /// Checks whether a change can be proposed now; the error says why not.
    pub fn can_propose(&self, text: &str) -> Result<(), String> {
        match &self.pending {
            Some(p) => Err(format!("policy {} is under way already", p.policy.number)),
            None if text.len() > MAX_TEXT_BYTES => Err(format!("longer than {MAX_TEXT_BYTES} bytes")),
            None => Ok(()),
        }
    }
}
