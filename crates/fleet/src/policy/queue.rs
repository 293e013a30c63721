//! Changes that wait while another one is under way.
//!
//! A policy is whole: the latest that waits says all that matters, whatever those before it say. So it has its turn
//! next, and once it is in force those before it are superseded; if it is given up, the one before it has its turn.
//! However many come in a burst, each is in force or superseded within the time of two changes.

use super::{ENDED, Ended, NOT_TIMED, Policies, Policy};
use crate::{Micros, Peer};
use serde::{Deserialize, Serialize};

/// Changes that wait at most.
pub const MOST_WAITING: usize = 128;
/// Bytes of their texts at most.
const MOST_WAITING_TEXT: usize = 1 << 20;

/// A change that is proposed, and what is known of it while it waits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Waiting {
    /// The policy; its number is given as it joins the queue.
    pub policy: Policy,
    /// Through whom it came.
    pub by: Peer,
    /// When, by that one's Unix clock.
    pub at: Micros,
    /// How long votes are waited for, and after that how long all may take to stop; from when its turn comes.
    pub limits: [Micros; 2],
}

impl Policies {
    /// The changes that wait, in order.
    pub fn waiting(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.iter()
    }

    /// Whether a change could join the queue now; else why not.
    pub fn queues(&self, text: &str) -> Result<(), String> {
        let bytes: usize = self.waiting.iter().map(|w| w.policy.text.len()).sum();
        match &self.pending {
            None => self.accepts(text),
            Some(_) if text.len() > super::MOST_TEXT => {
                Err(format!("longer than {} bytes", super::MOST_TEXT))
            }
            Some(_) if self.waiting.len() >= MOST_WAITING || bytes + text.len() > MOST_WAITING_TEXT => {
                Err(format!("{} changes wait already", self.waiting.len()))
            }
            Some(_) => Ok(()),
        }
    }

    /// Begins a change, or has it wait for its turn.
    pub(super) fn queue(&mut self, mut waiting: Waiting) -> bool {
        if self.queues(&waiting.policy.text).is_err() {
            return false;
        }
        // Who knows of a higher number says so in the policy's own.
        self.last = self.last.saturating_add(1).max(waiting.policy.number);
        self.take(self.last, waiting.by, waiting.at);
        waiting.policy.number = self.last;
        self.waiting.push_back(waiting);
        if self.pending.is_none() {
            self.begin_next();
        }
        true
    }

    /// The latest that waits has its turn.
    pub(super) fn begin_next(&mut self) {
        let Some(next) = self.waiting.pop_back() else { return };
        self.turn_limits = next.limits;
        self.begin(next.policy, next.by, next.at, NOT_TIMED);
    }

    /// Those that wait and are older than the policy in force never take hold.
    pub(super) fn drop_superseded(&mut self) {
        let number = self.current.number;
        let older = self.waiting.iter().take_while(|w| w.policy.number < number).count();
        for waiting in self.waiting.drain(..older) {
            let why = Some(format!("superseded by {number}"));
            self.ended.insert(0, Ended { number: waiting.policy.number, why, faults: Vec::new() });
        }
        // The newest number first, whatever ended when.
        self.ended.sort_by_key(|e| std::cmp::Reverse(e.number));
        self.ended.truncate(ENDED);
    }

    /// The time of a change that came out of the queue runs from now on; whether it did not yet.
    pub(super) fn time_from(&mut self, now: Micros) -> bool {
        let [vote_limit, close_limit] = self.turn_limits;
        let Some(proposal) = self.pending.as_mut().filter(|p| p.until == NOT_TIMED) else { return false };
        let vote = now.saturating_add(vote_limit);
        proposal.until = [vote, vote.saturating_add(close_limit)];
        true
    }
}
