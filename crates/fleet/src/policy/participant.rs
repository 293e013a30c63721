//! A dispatcher's participation in policy changes: its checks, its votes, and the policy it admits under.
//! Sans-I/O.
//!
//! The host calls [`Participant::poll`] whenever the log has advanced and before it admits further requests, so that
//! a vote or stop already holds when it is submitted.

use super::{Command, Policies, Policy, Stage};
use crate::{Holder, Micros, Peer};

/// Interval at which a policy that the fleet has lost is proposed again.
const RESTORE_INTERVAL: Micros = 1_000_000;

/// Admission decision for an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// Admit it under the policy of this number.
    Admit(u64),
    /// Hold it back until the pending change comes into force or is given up.
    Hold,
    /// Refuse it: there is no lease, or the fleet has lost a policy known here, so the policy to admit under
    /// is unknown.
    Refuse,
}

/// An action for the host, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Submit this command to the log; call [`Participant::submit_failed`] if that fails.
    Submit(Command),
    /// Admit requests under this policy from now on.
    InForce(Policy),
    /// This dispatcher has voted on the change of this number, with these faults.
    Voted(u64, Vec<String>),
    /// Admit nothing until the change of this number is over.
    Closing(u64),
    /// The change of this number was given up, for this reason and with these faults by peer.
    GivenUp(u64, String, Vec<(Peer, Vec<String>)>),
}

/// A dispatcher's view of the policy and the votes it has submitted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Participant {
    /// The highest-numbered policy it has ever admitted under.
    applied: Policy,
    /// The fleet's state is known and not behind `applied`.
    caught_up: bool,
    closing: bool,
    voted: Option<(Holder, u64)>,
    stopped: Option<(Holder, u64)>,
    /// Number of the pending change seen last.
    last_pending: Option<u64>,
    next_proposal_at: Micros,
}

impl Participant {
    /// The number of the policy it admits under.
    pub fn number(&self) -> u64 {
        self.applied.number
    }

    /// Whether the fleet's state is known and its policy may be admitted under.
    pub fn caught_up(&self) -> bool {
        self.caught_up
    }

    /// Admission decision for a request that arrives now, given the lease that is valid at this moment.
    pub fn gate(&self, holder: Option<Holder>) -> Gate {
        match holder {
            Some(_) if self.caught_up && self.closing => Gate::Hold,
            Some(_) if self.caught_up => Gate::Admit(self.applied.number),
            _ => Gate::Refuse,
        }
    }

    /// A command could not be submitted: it is repeated on the next [`Participant::poll`].
    pub fn submit_failed(&mut self) {
        (self.voted, self.stopped, self.next_proposal_at) = (None, None, 0);
    }

    /// Processes the fleet's state. `check` returns the faults of a policy on this dispatcher and prepares
    /// it: applying a policy without faults must not fail later.
    pub fn poll(
        &mut self,
        now: Micros,
        me: Peer,
        holder: Option<Holder>,
        agreed: Option<&Policies>,
        check: &mut dyn FnMut(&Policy) -> Vec<String>,
    ) -> Vec<Action> {
        let mut acts = Vec::new();
        let Some(agreed) = agreed else {
            (self.caught_up, self.closing) = (false, false);
            return acts;
        };
        let current = agreed.current();
        // Separately founded fleets may use the same numbers: of two policies with one number, the fleet's
        // own applies.
        let other = current.number == self.applied.number && current.digest != self.applied.digest;
        if current.number > self.applied.number || other {
            self.applied = current.clone();
            acts.push(Action::InForce(current.clone()));
        }
        self.caught_up = current.number == self.applied.number && agreed.caught_up();
        let pending = agreed.pending();
        let number = pending.map(|p| p.policy.number);
        if let Some(was) = self.last_pending.filter(|was| number != Some(*was)) {
            let outcome = agreed.outcomes().find(|e| e.number == was && e.why.is_some());
            acts.extend(
                outcome.map(|e| Action::GivenUp(was, e.why.clone().unwrap_or_default(), e.faults.clone())),
            );
        }
        self.last_pending = number;
        let closes = pending.is_some_and(|p| p.stage == Stage::Closing);
        if closes && !self.closing {
            acts.extend(number.map(Action::Closing));
        }
        self.closing = closes;
        let Some(holder) = holder else { return acts };
        match pending {
            Some(p) if p.stage == Stage::Voting && self.voted != Some((holder, p.policy.number)) => {
                self.voted = Some((holder, p.policy.number));
                let faults = check(&p.policy);
                acts.push(Action::Voted(p.policy.number, faults.clone()));
                acts.push(Action::Submit(Command::Vote(holder, p.policy.number, faults)));
            }
            Some(p) if closes && self.stopped != Some((holder, p.policy.number)) => {
                self.stopped = Some((holder, p.policy.number));
                // A dispatcher that acquired its lease after the vote has not checked the policy yet.
                let faults = check(&p.policy);
                acts.push(Action::Submit(match faults.is_empty() {
                    true => Command::Stopped(holder, p.policy.number),
                    false => Command::CannotApply(holder, p.policy.number, faults.join("; ")),
                }));
            }
            None if current.number < self.applied.number && self.next_proposal_at <= now => {
                // The fleet was founded again without its state: the policy that was in force is proposed
                // like any other change.
                self.next_proposal_at = now + RESTORE_INTERVAL;
                let Policy { number: min_number, text, digest } = self.applied.clone();
                let limits = [3 * RESTORE_INTERVAL, 3 * RESTORE_INTERVAL];
                acts.push(Action::Submit(Command::Propose {
                    text,
                    digest,
                    by: me,
                    at: now,
                    limits,
                    min_number,
                }));
            }
            _ => {}
        }
        acts
    }
}
