//! State transitions of the policy.

use super::*;
use crate::{StateMachine, peer_of};

impl Policies {
    fn propose(&mut self, p: Policy, by: Peer, at: Micros, limits: [Micros; 2], min_number: u64) -> bool {
        if self.can_propose(&p.text).is_err() {
            return false;
        }
        self.last = self.last.saturating_add(1).max(min_number);
        self.remember_accepted(self.last, by, at);
        let vote = at.saturating_add(limits[0]);
        let policy = Policy { number: self.last, ..p };
        self.start_vote(policy, by, at, [vote, vote.saturating_add(limits[1])]);
        true
    }

    /// Starts the vote on a policy.
    pub(super) fn start_vote(&mut self, policy: Policy, by: Peer, at: Micros, deadlines: [Micros; 2]) {
        self.history.record(Change::Proposed(policy.clone()));
        self.pending = Some(Proposal {
            policy,
            by,
            at,
            stage: Stage::Voting,
            votes: BTreeMap::new(),
            stopped: BTreeSet::new(),
            deadlines,
        });
    }

    /// The pending change, if it has this number and stage.
    fn pending_at(&mut self, number: u64, stage: Stage) -> Option<&mut Proposal> {
        self.pending.as_mut().filter(|p| p.policy.number == number && p.stage == stage)
    }

    fn finish(&mut self, why: Option<String>) -> bool {
        let Some(p) = self.pending.take() else { return false };
        let faults = p.votes.iter().filter(|(_, f)| !f.is_empty());
        let faults = faults.map(|(h, f)| (peer_of(h.incarnation), f.clone())).collect();
        let outcome = ChangeOutcome { number: p.policy.number, why: why.clone(), faults };
        self.history.record(match why {
            None => Change::InForce(outcome.number),
            Some(_) => Change::GivenUp(outcome.clone()),
        });
        self.outcomes.insert(0, outcome);
        self.outcomes.truncate(MAX_OUTCOMES);
        if why.is_none() {
            let old = std::mem::replace(&mut self.current, p.policy);
            self.past.insert(0, old);
            self.past.truncate(MAX_PAST);
            self.drop_superseded();
        }
        self.start_next();
        true
    }

    /// Advances the pending change as far as the current lease holders allow.
    fn advance(&mut self, alive: &BTreeSet<Holder>) -> bool {
        let Some(p) = &mut self.pending else { return false };
        if alive.is_empty() {
            return false;
        }
        match p.stage {
            Stage::Voting if alive.iter().all(|h| p.votes.contains_key(h)) => {
                let against = |h: &&Holder| p.votes.get(h).is_some_and(|f| !f.is_empty());
                match alive.iter().filter(against).count() {
                    0 => {
                        p.stage = Stage::Closing;
                        self.history.record(Change::Closing(p.policy.number));
                    }
                    n => return self.finish(Some(format!("{n} of {} voted against it", alive.len()))),
                }
                true
            }
            Stage::Closing if alive.is_subset(&p.stopped) => self.finish(None),
            _ => false,
        }
    }
}

/// Truncates faults to the stored bounds.
fn truncated(mut faults: Vec<String>) -> Vec<String> {
    faults.truncate(MAX_FAULTS);
    for f in &mut faults {
        if f.len() > MAX_FAULT_BYTES {
            let end = (0..=MAX_FAULT_BYTES).rev().find(|n| f.is_char_boundary(*n)).unwrap_or(0);
            f.truncate(end);
        }
    }
    faults
}

impl StateMachine for Policies {
    type Command = Command;

    fn apply(&mut self, command: Command, alive: &BTreeSet<Holder>) -> bool {
        let changed = match command {
            Command::Propose { text, digest, by, at, limits, min_number } => {
                self.propose(Policy { number: 0, text, digest }, by, at, limits, min_number)
            }
            Command::Queue(waiting) => self.queue(waiting),
            Command::Back(by, at, limits) => match self.past.first().cloned() {
                Some(before) => self.propose(before, by, at, limits, 0),
                None => false,
            },
            Command::Vote(h, number, faults) => match self.pending_at(number, Stage::Voting) {
                Some(p) if alive.contains(&h) && !p.votes.contains_key(&h) => {
                    p.votes.insert(h, truncated(faults));
                    true
                }
                _ => false,
            },
            Command::Stopped(h, number) => match self.pending_at(number, Stage::Closing) {
                Some(p) if alive.contains(&h) => p.stopped.insert(h),
                _ => false,
            },
            Command::CannotApply(h, number, why) => match self.pending_at(number, Stage::Closing) {
                Some(p) if alive.contains(&h) => {
                    let why = truncated(vec![why]);
                    let told = format!("peer {} can't: {}", peer_of(h.incarnation), why.concat());
                    p.votes.insert(h, why);
                    self.finish(Some(told))
                }
                _ => false,
            },
            Command::Abort(number) => match &self.pending {
                Some(p) if p.policy.number == number => self.finish(Some("called off by an operator".into())),
                _ => false,
            },
        };
        self.advance(alive) || changed
    }

    fn on_lease_change(&mut self, alive: &BTreeSet<Holder>) -> bool {
        if let Some(p) = &mut self.pending {
            // Votes and stops of expired leases no longer count and are dropped, which bounds their number.
            p.votes.retain(|h, faults| alive.contains(h) || !faults.is_empty());
            p.stopped.retain(|h| alive.contains(h));
            while p.votes.len() > 2 * crate::leases::MAX_HOLDERS {
                p.votes.pop_first();
            }
        }
        self.advance(alive)
    }

    fn sweep(&mut self, now: Micros) -> bool {
        if self.start_timer(now) {
            return false;
        }
        let why = match &self.pending {
            Some(p) if p.stage == Stage::Voting && p.deadlines[0] <= now => "not all have voted in time",
            Some(p) if p.deadlines[1] <= now => "not all have stopped in time",
            _ => return false,
        };
        self.finish(Some(why.into()))
    }
}
