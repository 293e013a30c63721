//! What is checked, and everything that may happen next.

use crate::world::World;
use fleet::{Holder, Peer};
use stateright::{Model, Property};

/// What is done wrongly, to see that it is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
    Nothing,
    /// A dispatcher says that it has stopped, but goes on until the change is in force.
    AdmitsWhileClosing,
    /// A lease is said to be over before its holder knows.
    ExpiresEarly,
    /// Stopping is waited for of those alone who have voted.
    CountsVoters,
    /// Votes and stopping are waited for of those alone who had a lease when the change was proposed.
    CountsThoseOfTheProposal,
}

/// How often each may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    pub proposals: u8,
    pub aborts: u8,
    pub sweeps: u8,
    pub crashes: u8,
    /// Leases that end by their holder's clock.
    pub ends: u8,
}

/// What is checked: one model with its bounds.
#[derive(Clone)]
pub struct Checks {
    pub broken: Break,
    pub bounds: Bounds,
    /// Crashes and ends of leases befall the dispatchers from this place on; the others are like them.
    pub befall: usize,
    /// This peer can't do the policy of this number.
    pub faulty: Option<(Peer, u64)>,
    /// What has to be reachable.
    pub reached: Vec<Property<Checks>>,
}

impl Checks {
    pub fn fault(&self, peer: Peer, number: u64) -> bool {
        self.faulty == Some((peer, number))
    }
}

/// What may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A dispatcher sees so many further entries, and then looks.
    Deliver(usize, usize),
    /// The next word of a dispatcher comes to stand in the log.
    Append(usize),
    /// A dispatcher's lease is over by its own clock.
    LeaseOut(usize),
    /// A lease is said to be over.
    Expire(Holder),
    /// A dispatcher dies and begins anew; what it has said gets lost with it or comes late.
    Crash(usize, bool),
    /// A dispatcher asks for a lease.
    Register(usize),
    Propose,
    Abort,
    /// A change is given up for its time.
    Late,
    /// A request is admitted by a higher number than any before.
    Admit(usize),
}

impl Model for Checks {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        vec![World::new(self)]
    }

    fn actions(&self, w: &World, to: &mut Vec<Action>) {
        for (n, d) in w.each.iter().enumerate() {
            if d.follows() {
                to.extend((1..=w.log.len() - d.seen).map(|k| Action::Deliver(n, k)));
            }
            if !d.out.is_empty() {
                to.push(Action::Append(n));
            }
            if n >= self.befall && d.follows() && w.left.ends > 0 {
                to.push(Action::LeaseOut(n));
            }
            if n >= self.befall && w.left.crashes > 0 {
                to.push(Action::Crash(n, true));
                to.extend((!d.out.is_empty()).then_some(Action::Crash(n, false)));
            }
            // A dispatcher gives the lease that it has lost back before it asks for another.
            let gone = w.end.leases.alive().iter().all(|h| h.incarnation != d.incarnation());
            if !d.follows() && gone {
                to.push(Action::Register(n));
            }
            if d.admits(self).is_some_and(|number| number > w.highest) {
                to.push(Action::Admit(n));
            }
        }
        to.extend(w.over(self).map(Action::Expire));
        match w.pending() {
            None => to.extend((w.left.proposals > 0).then_some(Action::Propose)),
            Some(_) => {
                to.extend((w.left.aborts > 0).then_some(Action::Abort));
                to.extend((w.left.sweeps > 0).then_some(Action::Late));
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
