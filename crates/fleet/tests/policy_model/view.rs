//! The agreed state at one position of the log: the real leases and the real policies.

use crate::model::{Checks, Defect};
use fleet::leases::Leases;
use fleet::policy::{Command, Policies, Stage};
use fleet::{Holder, Incarnation, Micros, StateMachine, peer_of};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Entry {
    /// A lease request by an incarnation, with the request's number.
    Register(Incarnation, u32),
    Expire(Holder),
    Policy(Command),
    /// A sweep at a time past every deadline.
    Sweep,
}

/// The state at one position of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    pub leases: Leases,
    pub policies: Policies,
    /// A change came into force while a lease holder had found a fault in it.
    pub fault_overruled: bool,
    /// Lease holders when the pending change was proposed; used by [`Defect::CountsHoldersAtProposal`].
    proposed: BTreeSet<Holder>,
}

impl Hash for View {
    fn hash<H: Hasher>(&self, to: &mut H) {
        // The set of lease holders is not serialized, but follows from the serialized fields.
        postcard::to_stdvec(&self.leases).expect("leases can be written").hash(to);
        (&self.policies, self.fault_overruled, &self.proposed).hash(to);
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
                if checks.defect == Defect::CountsHoldersAtProposal && self.policies.pending().is_none() {
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
        self.fault_overruled |= now != before && self.leases.alive().iter().any(faulty);
    }

    fn changed_leases(&mut self, checks: &Checks) {
        self.policies.on_lease_change(&self.counted(checks));
    }

    /// Holders whose votes and stops are required: all lease holders, except in the defective variants.
    fn counted(&self, checks: &Checks) -> BTreeSet<Holder> {
        let alive = self.leases.alive();
        let of = |those: &dyn Fn(&Holder) -> bool| alive.iter().filter(|h| those(h)).copied().collect();
        match (checks.defect, self.policies.pending()) {
            (Defect::CountsVoters, Some(p)) if p.stage == Stage::Closing => of(&|h| p.votes.contains_key(h)),
            (Defect::CountsHoldersAtProposal, Some(_)) => of(&|h| self.proposed.contains(h)),
            _ => alive.clone(),
        }
    }

    /// Whether some change was given up for a reason that contains this text.
    pub fn ended(&self, how: &str) -> bool {
        self.policies.outcomes().any(|e| e.why.as_ref().is_some_and(|why| why.contains(how)))
    }
}
