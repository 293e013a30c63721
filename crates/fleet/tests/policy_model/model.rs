//! What is checked, and the possible next actions.

use crate::world::World;
use fleet::{Holder, Peer};
use stateright::{Model, Property};

/// A deliberate defect of the protocol that the model must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    /// A dispatcher reports that it has stopped, but admits requests until the change is in force.
    AdmitsWhileClosing,
    /// A lease is declared expired before its holder knows.
    ExpiresEarly,
    /// Closing waits only for the holders that have voted.
    CountsVoters,
    /// Voting and closing wait only for the holders that had a lease when the change was proposed.
    CountsHoldersAtProposal,
}

/// How many more times each event may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    pub proposals: u8,
    pub aborts: u8,
    pub sweeps: u8,
    pub crashes: u8,
    /// Leases that expire by their holder's clock.
    pub lease_expiries: u8,
}

/// One model configuration with its bounds.
#[derive(Clone)]
pub struct Checks {
    pub defect: Defect,
    pub bounds: Bounds,
    /// Crashes and lease expiries happen only to dispatchers from this index on; the others are symmetric to
    /// them.
    pub first_affected: usize,
    /// This peer cannot apply the policy of this number.
    pub faulty: Option<(Peer, u64)>,
    /// Properties that must be reachable.
    pub reached: Vec<Property<Checks>>,
}

impl Checks {
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
    /// A dispatcher's lease expires by its own clock.
    LeaseExpires(usize),
    /// A lease is declared expired in the log.
    Expire(Holder),
    /// A dispatcher crashes and restarts; its submitted commands are lost if the flag is set, and arrive late
    /// otherwise.
    Crash(usize, bool),
    /// A dispatcher requests a lease.
    Register(usize),
    Propose,
    Abort,
    /// A change is given up because a deadline has passed.
    TimeOut,
    /// A request is admitted under a higher number than any before.
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
            // A dispatcher's expired lease has to be ended in the log before it requests another one.
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
