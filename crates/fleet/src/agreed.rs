//! All that the fleet agrees on: leases, and beside each other the record of work in hand and every machine.
//!
//! It is moved by the batches of the log, in their order and each once, alike at all peers. A new kind of state is a
//! [`Machine`] with a line in [`Command`], in [`StateKind`] and in [`Agreed`].

use crate::leases::{Holder, Leases};
use crate::ledger::{self, Ledger, Limits};
use crate::lend::{self, Slots};
use crate::machine::Machine;
use crate::plan::{self, Plan};
use crate::policy::{self, Policies};
use crate::schema::{self, Schema};
use crate::{Incarnation, Micros};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What moves the fleet's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// An incarnation asks for a lease: the next term of it. When it asked, by its own clock: its lease counts from then.
    Register(Incarnation, Micros),
    /// The lease goes on, from when that was asked for by its holder's clock.
    Renew(Holder, Micros),
    /// The lease ended without a renewal, as seen by one who has seen so many of them.
    Expire(Holder, u64),
    /// The peer ends in order.
    Leave(Holder),
    /// Time passes, by the leader's clock: what is past its time goes.
    Sweep(Micros),
    /// Work in hand.
    Work(ledger::Command),
    /// Machines that are taken out for work.
    Plan(plan::Command),
    /// What all admit requests by.
    Policy(policy::Command),
    /// Versions of the schema that requests may run under.
    Schema(schema::Command),
    /// Slots for slow requests.
    Slots(lend::Command),
}

/// A part of the state that has changed as a whole; who cares looks at it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StateKind {
    /// Machines that are taken out for work.
    Plan,
    /// What all admit requests by.
    Policy,
    /// Versions of the schema that requests may run under.
    Schema,
    /// Slots for slow requests.
    Slots,
}

/// What a command did.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// A lease was given, as asked for then.
    Registered(Holder, Micros),
    /// A lease was renewed, as asked for then.
    Renewed(Holder, Micros),
    /// A lease is over.
    Ended(Holder),
    /// Work in hand.
    Work(ledger::Effect),
    /// A part has changed.
    Changed(StateKind),
}

/// The whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Agreed {
    leases: Leases,
    /// The last batch of each incarnation that was applied; batches that come again are skipped.
    batches: BTreeMap<Incarnation, u64>,
    work: Ledger,
    plan: Plan,
    policy: Policies,
    schema: Schema,
    slots: Slots,
}

impl Agreed {
    /// That of a fleet that begins, with the highest number of a policy that its founder heard of.
    pub fn new(limits: Limits, policy: u64) -> Agreed {
        Agreed {
            leases: Leases::default(),
            batches: BTreeMap::new(),
            work: Ledger::new(limits),
            plan: Plan::default(),
            policy: Policies::after(policy),
            schema: Schema::default(),
            slots: Slots::default(),
        }
    }

    /// Those who have a lease.
    pub fn alive(&self) -> &BTreeSet<Holder> {
        self.leases.alive()
    }

    /// How often a lease was renewed; `None` once it is over.
    pub fn renewals(&self, h: Holder) -> Option<u64> {
        self.leases.renewals(h)
    }

    /// The record of work in hand.
    pub fn work(&self) -> &Ledger {
        &self.work
    }

    /// Machines that are taken out for work.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// What all admit requests by.
    pub fn policy(&self) -> &Policies {
        &self.policy
    }

    /// Versions of the schema that requests may run under.
    pub fn schema(&self) -> &Schema {
        &self.schema
    }

    /// Slots for slow requests.
    pub fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Whether anything here ends with time, so that its passing has to be told.
    pub fn keeps_time(&self) -> bool {
        let (schema, slots) = (Schema::default(), Slots::default());
        !self.work.is_empty()
            || self.policy.pending().is_some()
            || self.schema != schema
            || self.slots != slots
    }

    /// The last batch of an incarnation that was applied.
    pub fn batch(&self, incarnation: Incarnation) -> u64 {
        self.batches.get(&incarnation).copied().unwrap_or(0)
    }

    /// Takes a numbered batch of one incarnation: in order and once. False if it was skipped.
    pub fn apply(
        &mut self,
        from: Incarnation,
        number: u64,
        commands: Vec<Command>,
        out: &mut Vec<Effect>,
    ) -> bool {
        if number != self.batch(from) + 1 {
            return false;
        }
        self.batches.insert(from, number);
        commands.into_iter().for_each(|c| self.command(c, out));
        true
    }

    fn command(&mut self, command: Command, out: &mut Vec<Effect>) {
        match command {
            Command::Register(incarnation, asked) => {
                let holder = self.leases.register(incarnation);
                out.push(Effect::Registered(holder, asked));
                self.changed_leases(out);
            }
            Command::Renew(h, asked) => {
                out.extend(self.leases.renew(h).then_some(Effect::Renewed(h, asked)));
            }
            Command::Expire(h, renewals) => self.end(h, Some(renewals), out),
            Command::Leave(h) => self.end(h, None, out),
            Command::Sweep(now) => {
                self.work.sweep(now, &mut |e| out.push(Effect::Work(e)));
                let parts = [
                    (StateKind::Plan, self.plan.sweep(now)),
                    (StateKind::Policy, self.policy.sweep(now)),
                    (StateKind::Schema, self.schema.sweep(now)),
                    (StateKind::Slots, self.slots.sweep(now)),
                ];
                tell(parts, out);
            }
            Command::Work(c) => self.work.apply(c, self.leases.alive(), &mut |e| out.push(Effect::Work(e))),
            Command::Plan(c) => tell([(StateKind::Plan, self.plan.apply(c, self.leases.alive()))], out),
            Command::Policy(c) => tell([(StateKind::Policy, self.policy.apply(c, self.leases.alive()))], out),
            Command::Schema(c) => tell([(StateKind::Schema, self.schema.apply(c, self.leases.alive()))], out),
            Command::Slots(c) => tell([(StateKind::Slots, self.slots.apply(c, self.leases.alive()))], out),
        }
    }

    fn end(&mut self, h: Holder, renewals: Option<u64>, out: &mut Vec<Effect>) {
        if !self.leases.end(h, renewals) {
            return;
        }
        out.push(Effect::Ended(h));
        self.work.end(h, self.leases.alive(), &mut |e| out.push(Effect::Work(e)));
        self.changed_leases(out);
    }

    fn changed_leases(&mut self, out: &mut Vec<Effect>) {
        for incarnation in self.leases.forget() {
            self.batches.remove(&incarnation);
        }
        let alive = self.leases.alive();
        let parts = [
            (StateKind::Plan, self.plan.leases(alive)),
            (StateKind::Policy, self.policy.leases(alive)),
            (StateKind::Schema, self.schema.leases(alive)),
            (StateKind::Slots, self.slots.leases(alive)),
        ];
        tell(parts, out);
    }

    /// The whole, for a peer that joins.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads what [`Agreed::encode`] wrote.
    pub fn decode(bytes: &[u8]) -> Result<Agreed, postcard::Error> {
        let mut agreed: Agreed = postcard::from_bytes(bytes)?;
        agreed.leases.restore();
        agreed.work.restore();
        Ok(agreed)
    }
}

/// Tells which parts have changed.
fn tell<const N: usize>(parts: [(StateKind, bool); N], out: &mut Vec<Effect>) {
    out.extend(parts.into_iter().filter(|(_, changed)| *changed).map(|(part, _)| Effect::Changed(part)));
}
