//! One dispatcher's part in a change of policy: what it checks, says and admits by. Sans-I/O.
//!
//! It is looked at each time that the log was seen to move, before any request is taken: what it has said in the log
//! holds from before it was said.

use super::{Command, Policies, Policy, Stage};
use crate::{Holder, Micros, Peer};

/// How long before a policy that the fleet has lost is proposed to it again.
const AGAIN: Micros = 1_000_000;

/// What a request that arrives meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// It is admitted by the policy of this number.
    Admit(u64),
    /// A change is about to take hold or to be given up: it waits for that.
    Hold,
    /// There is no lease, or the fleet has lost a policy that is known here: nobody can tell by what to admit.
    Refuse,
}

/// What is to be done, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Act {
    /// To be said in the log. If it can't be, [`Part::unsaid`].
    Say(Command),
    /// What is admitted from now on is by this one.
    InForce(Policy),
    /// A change of this number was voted on: what is wrong with it.
    Voted(u64, Vec<String>),
    /// Nothing is admitted until the change of this number is over.
    Closing(u64),
    /// The change of this number is over and has not taken hold: why, and what was wrong with it, by peer.
    GivenUp(u64, String, Vec<(Peer, Vec<String>)>),
}

/// What a dispatcher knows and has said.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Part {
    /// The policy of the highest number that it has ever acted by.
    known: Policy,
    /// It knows the fleet's state, and that is not behind what it knows.
    abreast: bool,
    closing: bool,
    voted: Option<(Holder, u64)>,
    stopped: Option<(Holder, u64)>,
    /// The change under way that was seen last.
    watched: Option<u64>,
    again: Micros,
}

impl Part {
    /// The number of the policy that it acts by.
    pub fn number(&self) -> u64 {
        self.known.number
    }

    /// Whether the fleet's state is known, and by what to admit.
    pub fn abreast(&self) -> bool {
        self.abreast
    }

    /// What a request that arrives meets, with the lease that holds at this very moment.
    pub fn gate(&self, holder: Option<Holder>) -> Gate {
        match holder {
            Some(_) if self.abreast && self.closing => Gate::Hold,
            Some(_) if self.abreast => Gate::Admit(self.known.number),
            _ => Gate::Refuse,
        }
    }

    /// Something that it wanted said could not be: it is said again at the next look.
    pub fn unsaid(&mut self) {
        (self.voted, self.stopped, self.again) = (None, None, 0);
    }

    /// Looks at the fleet's state. `check` tells what is wrong with a policy here, and makes it ready: what it has
    /// nothing against it can do without fail.
    pub fn look(
        &mut self,
        now: Micros,
        me: Peer,
        holder: Option<Holder>,
        agreed: Option<&Policies>,
        check: &mut dyn FnMut(&Policy) -> Vec<String>,
    ) -> Vec<Act> {
        let mut acts = Vec::new();
        let Some(agreed) = agreed else {
            (self.abreast, self.closing) = (false, false);
            return acts;
        };
        let current = agreed.current();
        // Fleets that were founded apart count alike: of two policies of one number the fleet's own holds.
        let other = current.number == self.known.number && current.digest != self.known.digest;
        if current.number > self.known.number || other {
            self.known = current.clone();
            acts.push(Act::InForce(current.clone()));
        }
        self.abreast = current.number == self.known.number && agreed.abreast();
        let pending = agreed.pending();
        let number = pending.map(|p| p.policy.number);
        if let Some(was) = self.watched.filter(|was| number != Some(*was)) {
            let ended = agreed.ended().find(|e| e.number == was && e.why.is_some());
            acts.extend(
                ended.map(|e| Act::GivenUp(was, e.why.clone().unwrap_or_default(), e.faults.clone())),
            );
        }
        self.watched = number;
        let closes = pending.is_some_and(|p| p.stage == Stage::Closing);
        if closes && !self.closing {
            acts.extend(number.map(Act::Closing));
        }
        self.closing = closes;
        let Some(holder) = holder else { return acts };
        match pending {
            Some(p) if p.stage == Stage::Voting && self.voted != Some((holder, p.policy.number)) => {
                self.voted = Some((holder, p.policy.number));
                let faults = check(&p.policy);
                acts.push(Act::Voted(p.policy.number, faults.clone()));
                acts.push(Act::Say(Command::Vote(holder, p.policy.number, faults)));
            }
            Some(p) if closes && self.stopped != Some((holder, p.policy.number)) => {
                self.stopped = Some((holder, p.policy.number));
                // One that was given its lease after the vote has not looked at it yet.
                let faults = check(&p.policy);
                acts.push(Act::Say(match faults.is_empty() {
                    true => Command::Stopped(holder, p.policy.number),
                    false => Command::Cannot(holder, p.policy.number, faults.join("; ")),
                }));
            }
            None if current.number < self.known.number && self.again <= now => {
                // The fleet was founded anew without its record: what was in force comes back by a change like any.
                self.again = now + AGAIN;
                let Policy { number: least, text, digest } = self.known.clone();
                let limits = [3 * AGAIN, 3 * AGAIN];
                acts.push(Act::Say(Command::Propose { text, digest, by: me, at: now, limits, least }));
            }
            _ => {}
        }
        acts
    }
}
