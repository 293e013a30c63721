//! What is agreed, at one place of the log: the real leases and the real policies.

use crate::model::{Break, Checks};
use fleet::leases::Leases;
use fleet::policy::{Command, Policies, Stage};
use fleet::{Holder, Incarnation, Micros, StateMachine, peer_of};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Entry {
    /// An incarnation asks for a lease, for the how manieth time.
    Register(Incarnation, u32),
    Expire(Holder),
    Policy(Command),
    /// Time has passed, past every limit.
    Sweep,
}

/// The state at one place of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    pub leases: Leases,
    pub policies: Policies,
    /// A change took hold while one with a lease had a fault to find with it.
    pub unfit: bool,
    /// Who had a lease when the change under way was proposed; kept for the variant that counts those alone.
    proposed: BTreeSet<Holder>,
}

impl Hash for View {
    fn hash<H: Hasher>(&self, to: &mut H) {
        // Who is alive follows from what is written.
        postcard::to_stdvec(&self.leases).expect("leases can be written").hash(to);
        (&self.policies, self.unfit, &self.proposed).hash(to);
    }
}

impl View {
    pub fn apply(&mut self, entry: &Entry, checks: &Checks) {
        let before = self.policies.current().number;
        match entry {
            Entry::Register(incarnation, _) => {
                self.leases.register(*incarnation);
                self.changed_leases(checks);
            }
            Entry::Expire(holder) => {
                if self.leases.end(*holder, None) {
                    self.changed_leases(checks);
                }
            }
            Entry::Policy(command) => {
                if checks.broken == Break::CountsThoseOfTheProposal && self.policies.pending().is_none() {
                    self.proposed = self.leases.alive().clone();
                }
                self.policies.apply(command.clone(), &self.counted(checks));
            }
            Entry::Sweep => {
                self.policies.sweep(Micros::MAX);
            }
        }
        let now = self.policies.current().number;
        let faulty = |h: &Holder| checks.fault(peer_of(h.incarnation), now);
        self.unfit |= now != before && self.leases.alive().iter().any(faulty);
    }

    fn changed_leases(&mut self, checks: &Checks) {
        self.policies.on_lease_change(&self.counted(checks));
    }

    /// Those whose word is waited for: all with a lease, but for the broken variants.
    fn counted(&self, checks: &Checks) -> BTreeSet<Holder> {
        let alive = self.leases.alive();
        let of = |those: &dyn Fn(&Holder) -> bool| alive.iter().filter(|h| those(h)).copied().collect();
        match (checks.broken, self.policies.pending()) {
            (Break::CountsVoters, Some(p)) if p.stage == Stage::Closing => of(&|h| p.votes.contains_key(h)),
            (Break::CountsThoseOfTheProposal, Some(_)) => of(&|h| self.proposed.contains(h)),
            _ => alive.clone(),
        }
    }

    /// Whether some change came to this end.
    pub fn ended(&self, how: &str) -> bool {
        self.policies.ended().any(|e| e.why.as_ref().is_some_and(|why| why.contains(how)))
    }
}
