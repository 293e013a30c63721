//! The policy as a sequence of revisions, so that others than the log's members can follow it.
//!
//! Each change that a follower has to know of raises the revision by one and is kept for a while: whoever has a
//! revision that is still kept gets what came since, anyone else a snapshot. Revisions are part of the agreed state,
//! so that any member can go on where another one stopped.

use super::{Ended, Policies, Policy, Proposal, Stage};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Counts the changes of one fleet's policy.
pub type Revision = u64;

/// Changes kept for followers that are a little behind.
pub const KEPT_CHANGES: usize = 128;
/// Bytes of policy texts kept in those, at most.
pub const KEPT_TEXT: usize = 512 << 10;

/// A change that followers have to know of.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// A policy is proposed: voting begins.
    Proposed(Policy),
    /// All have said yes to the policy of this number: admission by the old one stops.
    Closing(u64),
    /// The policy of this number is in force.
    InForce(u64),
    /// A change did not take hold.
    GivenUp(Ended),
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
    /// The number of the latest change.
    revision: Revision,
    /// The revision at which admission was last told to stop.
    barrier: Revision,
    /// The revision at which the latest policy was proposed.
    proposed: Revision,
    kept: VecDeque<Change>,
}

impl History {
    /// Appends a change, and forgets the oldest beyond the bounds.
    pub(super) fn record(&mut self, change: Change) {
        self.revision += 1;
        match change {
            Change::Closing(_) => self.barrier = self.revision,
            Change::Proposed(_) => self.proposed = self.revision,
            Change::InForce(_) | Change::GivenUp(_) => {}
        }
        self.kept.push_back(change);
        while self.kept.len() > KEPT_CHANGES || self.kept_text() > KEPT_TEXT {
            self.kept.pop_front();
        }
    }

    fn kept_text(&self) -> usize {
        self.kept.iter().map(Change::text_len).sum()
    }
}

/// A change that does not follow on what is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap {
    /// The revision that is known.
    pub known: Revision,
    /// The one that came.
    pub came: Revision,
}

impl std::fmt::Display for Gap {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "revision {} came after {}", self.came, self.known)
    }
}

impl std::error::Error for Gap {}

impl Policies {
    /// The number of the latest change.
    pub fn revision(&self) -> Revision {
        self.history.revision
    }

    /// The revision at which admission was last told to stop: who admits by a lease has to know it.
    pub fn barrier(&self) -> Revision {
        self.history.barrier
    }

    /// The least revision that includes the change under way, if there is one.
    pub fn includes_pending(&self) -> Revision {
        self.pending.as_ref().map_or(0, |_| self.history.proposed)
    }

    /// The changes after a revision, with their numbers; `None` if they are no longer kept, or if that revision is
    /// not known here yet.
    pub fn changes_since(
        &self,
        revision: Revision,
    ) -> Option<impl Iterator<Item = (Revision, &Change)> + '_> {
        let missing = usize::try_from(self.history.revision.checked_sub(revision)?).ok()?;
        let skipped = self.history.kept.len().checked_sub(missing)?;
        let changes = self.history.kept.iter().skip(skipped);
        Some((revision + 1..).zip(changes))
    }

    /// What a follower has to know: without votes, and without what only members need.
    pub fn snapshot(&self) -> Policies {
        let mut snapshot = Policies {
            current: self.current.clone(),
            ended: self.ended.first().cloned().into_iter().collect(),
            last: self.last,
            least: self.least,
            ..Policies::default()
        };
        snapshot.history.revision = self.history.revision;
        snapshot.history.barrier = self.history.barrier;
        snapshot.history.proposed = self.history.proposed;
        snapshot.pending = self.pending.as_ref().map(|p| Proposal::followed(p.policy.clone(), p.stage));
        snapshot
    }

    /// Takes a change as a follower, which has to be the one after the revision that is known.
    pub fn follow(&mut self, revision: Revision, change: Change) -> Result<(), Gap> {
        let known = self.history.revision;
        if revision != known + 1 {
            return Err(Gap { known, came: revision });
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
                self.remember(Ended { number, why: None, faults: Vec::new() });
            }
            Change::GivenUp(ended) => {
                self.pending = None;
                self.remember(ended);
            }
        }
        self.history.record(change);
        // A follower hands nothing on.
        self.history.kept.clear();
        Ok(())
    }

    fn remember(&mut self, ended: Ended) {
        self.ended.insert(0, ended);
        self.ended.truncate(super::ENDED);
    }
}

impl Proposal {
    /// A change under way as a follower knows it.
    fn followed(policy: Policy, stage: Stage) -> Proposal {
        let never: [Micros; 2] = [Micros::MAX; 2];
        Proposal {
            policy,
            by: 0,
            at: 0,
            stage,
            votes: Default::default(),
            stopped: Default::default(),
            until: never,
        }
    }
}
