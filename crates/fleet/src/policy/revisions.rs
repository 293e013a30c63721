//! The policy state as a sequence of revisions, for followers that do not take part in the log.
//!
//! Each change that followers need increments the revision and is kept for a while. A follower whose revision
//! is still kept receives the changes since then, any other one a snapshot. Revisions are part of the
//! replicated state, so that any member can continue where another one stopped.

use super::{ChangeOutcome, Policies, Policy, Proposal, Stage};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Counts the changes of a fleet's policy state.
pub type Revision = u64;

/// Number of changes kept for followers that lag behind.
pub const MAX_KEPT_CHANGES: usize = 128;
/// Maximum total length of the policy texts in the kept changes, in bytes.
pub const MAX_KEPT_TEXT_BYTES: usize = 512 << 10;

/// A change of the policy state as sent to followers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// A policy was proposed; the vote starts.
    Proposed(Policy),
    /// All have voted yes to the policy of this number; admission under the old one stops.
    Closing(u64),
    /// The policy of this number is in force.
    InForce(u64),
    /// A change was given up.
    GivenUp(ChangeOutcome),
}

impl Change {
    fn text_len(&self) -> usize {
        match self {
            Change::Proposed(policy) => policy.text.len(),
            _ => 0,
        }
    }
}

/// The latest changes, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct History {
    /// Revision of the latest change.
    revision: Revision,
    /// Revision at which admission was last closed.
    barrier: Revision,
    /// Revision at which the latest policy was proposed.
    proposed: Revision,
    kept: VecDeque<Change>,
}

impl History {
    /// Appends a change and drops the oldest ones beyond the limits.
    pub(super) fn record(&mut self, change: Change) {
        self.revision += 1;
        match change {
            Change::Closing(_) => self.barrier = self.revision,
            Change::Proposed(_) => self.proposed = self.revision,
            Change::InForce(_) | Change::GivenUp(_) => {}
        }
        self.kept.push_back(change);
        while self.kept.len() > MAX_KEPT_CHANGES || self.kept_text() > MAX_KEPT_TEXT_BYTES {
            self.kept.pop_front();
        }
    }

    fn kept_text(&self) -> usize {
        self.kept.iter().map(Change::text_len).sum()
    }
}

/// A received change that does not follow the known revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap {
    /// The known revision.
    pub known: Revision,
    /// The received revision.
    pub received: Revision,
}

impl std::fmt::Display for Gap {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "revision {} received after {}", self.received, self.known)
    }
}

impl std::error::Error for Gap {}

impl Policies {
    /// Revision of the latest change.
    pub fn revision(&self) -> Revision {
        self.history.revision
    }

    /// Revision at which admission was last closed; a dispatcher must know it to admit requests under a
    /// lease.
    pub fn barrier(&self) -> Revision {
        self.history.barrier
    }

    /// The lowest revision that includes the pending change; 0 if none is pending.
    pub fn pending_revision(&self) -> Revision {
        self.pending.as_ref().map_or(0, |_| self.history.proposed)
    }

    /// The changes after a revision, with their revisions; `None` if they are no longer kept or if that
    /// revision is not known here yet.
    pub fn changes_since(
        &self,
        revision: Revision,
    ) -> Option<impl Iterator<Item = (Revision, &Change)> + '_> {
        let missing = usize::try_from(self.history.revision.checked_sub(revision)?).ok()?;
        let skipped = self.history.kept.len().checked_sub(missing)?;
        let changes = self.history.kept.iter().skip(skipped);
        Some((revision + 1..).zip(changes))
    }

    /// The part of the state that followers need: without votes and other data used only by members.
    pub fn snapshot(&self) -> Policies {
        let mut snapshot = Policies {
            current: self.current.clone(),
            outcomes: self.outcomes.first().cloned().into_iter().collect(),
            last: self.last,
            min_number: self.min_number,
            ..Policies::default()
        };
        snapshot.history.revision = self.history.revision;
        snapshot.history.barrier = self.history.barrier;
        snapshot.history.proposed = self.history.proposed;
        snapshot.pending = self.pending.as_ref().map(|p| Proposal::followed(p.policy.clone(), p.stage));
        snapshot
    }

    /// Applies a change on a follower; its revision must directly follow the known one.
    pub fn apply_change(&mut self, revision: Revision, change: Change) -> Result<(), Gap> {
        let known = self.history.revision;
        if revision != known + 1 {
            return Err(Gap { known, received: revision });
        }
        match change.clone() {
            Change::Proposed(policy) => {
                self.last = policy.number;
                self.pending = Some(Proposal::followed(policy, Stage::Voting));
            }
            Change::Closing(_) => self.pending.iter_mut().for_each(|p| p.stage = Stage::Closing),
            Change::InForce(number) => {
                if let Some(proposal) = self.pending.take() {
                    self.current = proposal.policy;
                }
                self.add_outcome(ChangeOutcome { number, why: None, faults: Vec::new() });
            }
            Change::GivenUp(ended) => {
                self.pending = None;
                self.add_outcome(ended);
            }
        }
        self.history.record(change);
        // A follower does not serve other followers.
        self.history.kept.clear();
        Ok(())
    }

    fn add_outcome(&mut self, outcome: ChangeOutcome) {
        self.outcomes.insert(0, outcome);
        self.outcomes.truncate(super::MAX_OUTCOMES);
    }
}

impl Proposal {
    /// A pending change as a follower sees it.
    fn followed(policy: Policy, stage: Stage) -> Proposal {
        let never: [Micros; 2] = [Micros::MAX; 2];
        Proposal {
            policy,
            by: 0,
            at: 0,
            stage,
            votes: Default::default(),
            stopped: Default::default(),
            deadlines: never,
        }
    }
}
