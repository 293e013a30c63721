//! Queue of changes proposed while another change is pending.
//!
//! A policy is complete, so the latest queued one supersedes all before it. It is therefore started next.
//! Once it is in force, the earlier ones are dropped as superseded; if it is given up, the one before it is
//! started. However many changes arrive in a burst, each is in force or superseded within the duration of two
//! changes.

use super::{ChangeOutcome, DEADLINES_UNSET, MAX_OUTCOMES, Policies, Policy};
use crate::{Micros, Peer};
use serde::{Deserialize, Serialize};

/// Maximum number of queued changes.
pub const MAX_QUEUED: usize = 128;
/// Maximum total length of their texts in bytes.
const MAX_QUEUED_TEXT_BYTES: usize = 1 << 20;

/// A proposed change while it is queued.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QueuedChange {
    /// The policy; its number is assigned when it joins the queue.
    pub policy: Policy,
    /// The proposing peer.
    pub by: Peer,
    /// Time of the proposal by that peer's Unix clock.
    pub at: Micros,
    /// Time limits of the vote and, after it, of stopping admission, counted from when the change leaves the
    /// queue.
    pub limits: [Micros; 2],
}

impl Policies {
    /// The queued changes, in order.
    pub fn queued(&self) -> impl Iterator<Item = &QueuedChange> {
        self.queued.iter()
    }

    /// Checks whether a change can be queued now; the error says why not.
    pub fn can_queue(&self, text: &str) -> Result<(), String> {
        let bytes: usize = self.queued.iter().map(|w| w.policy.text.len()).sum();
        match &self.pending {
            None => self.can_propose(text),
            Some(_) if text.len() > super::MAX_TEXT_BYTES => {
                Err(format!("longer than {} bytes", super::MAX_TEXT_BYTES))
            }
            Some(_) if self.queued.len() >= MAX_QUEUED || bytes + text.len() > MAX_QUEUED_TEXT_BYTES => {
                Err(format!("{} changes wait already", self.queued.len()))
            }
            Some(_) => Ok(()),
        }
    }

    /// Starts a change, or queues it while another is pending.
    pub(super) fn queue(&mut self, mut waiting: QueuedChange) -> bool {
        if self.can_queue(&waiting.policy.text).is_err() {
            return false;
        }
        // A proposer that knows a higher number passes it in the policy's number.
        self.last = self.last.saturating_add(1).max(waiting.policy.number);
        self.remember_accepted(self.last, waiting.by, waiting.at);
        waiting.policy.number = self.last;
        self.queued.push_back(waiting);
        if self.pending.is_none() {
            self.start_next();
        }
        true
    }

    /// Starts the latest queued change.
    pub(super) fn start_next(&mut self) {
        let Some(next) = self.queued.pop_back() else { return };
        self.next_limits = next.limits;
        self.start_vote(next.policy, next.by, next.at, DEADLINES_UNSET);
    }

    /// Drops queued changes that are older than the policy in force.
    pub(super) fn drop_superseded(&mut self) {
        let number = self.current.number;
        let older = self.queued.iter().take_while(|w| w.policy.number < number).count();
        for waiting in self.queued.drain(..older) {
            let why = Some(format!("superseded by {number}"));
            self.outcomes.insert(0, ChangeOutcome { number: waiting.policy.number, why, faults: Vec::new() });
        }
        // By number, highest first, regardless of the order in which they ended.
        self.outcomes.sort_by_key(|e| std::cmp::Reverse(e.number));
        self.outcomes.truncate(MAX_OUTCOMES);
    }

    /// Sets the deadlines of a change that has just left the queue. Returns whether they were still unset.
    pub(super) fn start_timer(&mut self, now: Micros) -> bool {
        let [vote_limit, close_limit] = self.next_limits;
        let Some(proposal) = self.pending.as_mut().filter(|p| p.deadlines == DEADLINES_UNSET) else {
            return false;
        };
        let vote = now.saturating_add(vote_limit);
        proposal.deadlines = [vote, vote.saturating_add(close_limit)];
        true
    }
}
