//! The replicated state of the fleet: leases, the ledger of in-flight requests and every [`StateMachine`].
//!
//! All peers apply the log's batches in log order and each batch once, and so reach the same state. To add a part,
//! implement [`StateMachine`] and extend [`Command`], [`StateKind`] and [`ReplicatedState`].

use crate::leases::{Holder, Leases};
use crate::ledger::{self, Ledger, Limits};
use crate::lend::{self, Slots};
use crate::plan::{self, Plan};
use crate::policy::{self, Policies};
use crate::schema::{self, Schema};
use crate::state_machine::StateMachine;
use crate::{Incarnation, Micros, extension};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A command of the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Requests a lease under the next term. The time of the request by the incarnation's own clock: its lease runs
    /// from then.
    Register(Incarnation, Micros),
    /// Renews a lease, from the time of the request by its holder's clock.
    Renew(Holder, Micros),
    /// Expires a lease that was not renewed; applies only if it still has the given number of renewals.
    Expire(Holder, u64),
    /// Gives a lease back, on shutdown or after it expired by its holder's clock.
    Leave(Holder),
    /// Advances the time to the leader's clock and drops what has expired.
    Sweep(Micros),
    /// A command to the ledger of in-flight requests.
    Work(ledger::Command),
    /// A command to the executor maintenance plan.
    Plan(plan::Command),
    /// A command to the admission policy.
    Policy(policy::Command),
    /// A command to the schema versions that requests may run under.
    Schema(schema::Command),
    /// A command to the slots for slow requests.
    Slots(lend::Command),
}

/// A part of the state whose changes are reported as a whole; readers fetch the new state themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StateKind {
    /// Executor maintenance.
    Plan,
    /// The admission policy.
    Policy,
    /// Schema versions that requests may run under.
    Schema,
    /// Slots for slow requests.
    Slots,
}

/// The result of applying a command.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// A lease was granted, with the time of its request.
    Registered(Holder, Micros),
    /// A lease was renewed, with the time of that request.
    Renewed(Holder, Micros),
    /// A lease has ended.
    Ended(Holder),
    /// A record in the ledger has changed.
    Work(ledger::Effect),
    /// Another part of the state has changed.
    Changed(StateKind),
}

/// The replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    leases: Leases,
    /// The number of the last batch applied for each incarnation; duplicate batches are skipped.
    batches: BTreeMap<Incarnation, u64>,
    work: Ledger,
    plan: Plan,
    policy: Policies,
    schema: Schema,
    slots: Slots,
}

impl ReplicatedState {
    /// The initial state of a fleet. `policy` is the highest policy number that its founder knows of.
    pub fn new(limits: Limits, policy: u64) -> ReplicatedState {
        ReplicatedState {
            leases: Leases::default(),
            batches: BTreeMap::new(),
            work: Ledger::new(limits),
            plan: Plan::default(),
            policy: Policies::after(policy),
            schema: Schema::default(),
            slots: Slots::default(),
        }
    }

    /// The holders of the current leases.
    pub fn alive(&self) -> &BTreeSet<Holder> {
        self.leases.alive()
    }

    /// How often a lease was renewed; `None` once it has ended.
    pub fn renewals(&self, h: Holder) -> Option<u64> {
        self.leases.renewals(h)
    }

    /// The ledger of in-flight requests.
    pub fn work(&self) -> &Ledger {
        &self.work
    }

    /// Executor maintenance.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The admission policy.
    pub fn policy(&self) -> &Policies {
        &self.policy
    }

    /// Schema versions that requests may run under.
    pub fn schema(&self) -> &Schema {
        &self.schema
    }

    /// Slots for slow requests.
    pub fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Whether any part can expire, so that the leader has to propose [`Command::Sweep`].
    pub fn keeps_time(&self) -> bool {
        let (schema, slots) = (Schema::default(), Slots::default());
        !self.work.is_empty()
            || self.policy.pending().is_some()
            || self.schema != schema
            || self.slots != slots
    }

    /// The number of the last batch applied for an incarnation.
    pub fn batch(&self, incarnation: Incarnation) -> u64 {
        self.batches.get(&incarnation).copied().unwrap_or(0)
    }

    /// Applies a batch if it is the incarnation's next one. Returns false for one that is skipped.
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
                self.leases_changed(out);
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
        self.work.on_lease_end(h, self.leases.alive(), &mut |e| out.push(Effect::Work(e)));
        self.leases_changed(out);
    }

    fn leases_changed(&mut self, out: &mut Vec<Effect>) {
        for incarnation in self.leases.remove_superseded() {
            self.batches.remove(&incarnation);
        }
        let alive = self.leases.alive();
        let parts = [
            (StateKind::Plan, self.plan.on_lease_change(alive)),
            (StateKind::Policy, self.policy.on_lease_change(alive)),
            (StateKind::Schema, self.schema.on_lease_change(alive)),
            (StateKind::Slots, self.slots.on_lease_change(alive)),
        ];
        tell(parts, out);
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        let state = postcard::to_stdvec(self);
        state.and_then(|bytes| extension::append_digests(bytes, &self.work)).unwrap_or_default()
    }

    /// Decodes what [`ReplicatedState::encode`] wrote.
    pub fn decode(bytes: &[u8]) -> Result<ReplicatedState, postcard::Error> {
        let (mut state, rest): (ReplicatedState, &[u8]) = postcard::take_from_bytes(bytes)?;
        extension::restore_digests(rest, &mut state.work);
        state.leases.restore();
        state.work.restore();
        Ok(state)
    }
}

/// Appends [`Effect::Changed`] for each part that has changed.
fn tell<const N: usize>(parts: [(StateKind, bool); N], out: &mut Vec<Effect>) {
    out.extend(parts.into_iter().filter(|(_, changed)| *changed).map(|(part, _)| Effect::Changed(part)));
}
