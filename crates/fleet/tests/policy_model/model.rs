//! What is checked, and the possible next actions.

use crate::world::World;
use fleet::{Holder, Peer};
use stateright::{Model, Property};

/// A deliberate defect of the protocol that the model must detect, or no defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    /// A dispatcher reports that it has stopped, but admits requests until the change is in force.
    AdmitsWhileClosing,
    /// A lease may be declared expired in the log while its holder still uses it.
    ExpiresEarly,
    /// The closing stage, between the vote and the change being in force, waits only for the holders that have
    /// voted.
    CountsVoters,
    /// Voting and closing wait only for the holders that had a lease when the change was proposed.
    CountsHoldersAtProposal,
}

/// How many more times each event may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    pub proposals: u8,
    pub aborts: u8,
    /// Changes given up because a deadline has passed, [`Action::TimeOut`].
    pub sweeps: u8,
    pub crashes: u8,
    /// Leases that expire by their holder's clock.
    pub lease_expiries: u8,
}

/// The model, in one configuration and with its bounds.
#[derive(Clone)]
pub struct Checks {
    pub defect: Defect,
    pub bounds: Bounds,
    /// Crashes and lease expiries happen only to dispatchers from this index on. This leaves out no case if each
    /// of the others is symmetric to one of them. If the only one of them is the `faulty` peer, crashes and
    /// lease expiries of the others are not explored.
    pub first_affected: usize,
    /// This peer cannot apply the policy of this number.
    pub faulty: Option<(Peer, u64)>,
    /// Properties that some state must satisfy, within at least one of the bounds checked together.
    pub reached: Vec<Property<Checks>>,
}

impl Checks {
    /// Whether the peer cannot apply the policy of this number.
    pub fn fault(&self, peer: Peer, number: u64) -> bool {
        self.faulty == Some((peer, number))
    }
}

/// A possible next event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A dispatcher receives this many further log entries and processes them.
    Deliver(usize, usize),
    /// A dispatcher's next submitted command is appended to the log.
    Append(usize),
    /// A dispatcher's lease expires by its own clock; the log does not show it.
    LeaseExpires(usize),
    /// The entry that declares a lease expired is appended to the log.
    Expire(Holder),
    /// A dispatcher crashes and restarts. Its submitted commands are lost with `true`, and arrive late with
    /// `false`.
    Crash(usize, bool),
    /// A dispatcher requests a lease.
    Register(usize),
    Propose,
    Abort,
    /// A change is given up because a deadline has passed.
    TimeOut,
    /// A request is admitted under a policy with a higher number than any before.
    Admit(usize),
}

impl Model for Checks {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        vec![World::new(self)]
    }

    fn actions(&self, w: &World, to: &mut Vec<Action>) {
        for (n, d) in w.dispatchers.iter().enumerate() {
            if d.follows() {
                to.extend((1..=w.log.len() - d.seen).map(|k| Action::Deliver(n, k)));
            }
            if !d.out.is_empty() {
                to.push(Action::Append(n));
            }
            if n >= self.first_affected && d.follows() && w.remaining.lease_expiries > 0 {
                to.push(Action::LeaseExpires(n));
            }
            if n >= self.first_affected && w.remaining.crashes > 0 {
                to.push(Action::Crash(n, true));
                to.extend((!d.out.is_empty()).then_some(Action::Crash(n, false)));
            }
            // A dispatcher's lease has to be declared expired in the log before it requests another one.
            let expired = w.latest.leases.alive().iter().all(|h| h.incarnation != d.incarnation());
            if !d.follows() && expired {
                to.push(Action::Register(n));
            }
            if d.admits(self).is_some_and(|number| number > w.highest) {
                to.push(Action::Admit(n));
            }
        }
        to.extend(w.expirable(self).map(Action::Expire));
        match w.pending() {
            None => to.extend((w.remaining.proposals > 0).then_some(Action::Propose)),
            Some(_) => {
                to.extend((w.remaining.aborts > 0).then_some(Action::Abort));
                to.extend((w.remaining.sweeps > 0).then_some(Action::TimeOut));
            }
        }
    }

    fn next_state(&self, w: &World, action: Action) -> Option<World> {
        let mut w = w.clone();
        w.step(action, self);
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Checks>> {
        let mut all = crate::properties::always();
        all.extend(self.reached.iter().cloned());
        all
    }
}
