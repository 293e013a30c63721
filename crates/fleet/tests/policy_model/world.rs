//! State of the model: all dispatchers and their log, and its transitions.

use crate::dispatcher::Dispatcher;
use crate::model::{Action, Bounds, Checks, Defect};
use crate::view::{Entry, View};
use fleet::policy::Command;
use fleet::{Holder, Peer, peer_of};
use std::sync::Arc;

pub const DISPATCHERS: Peer = 3;

/// State of the model.
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct World {
    /// The log from the first entry that some dispatcher has not seen.
    pub log: Vec<Entry>,
    /// The state after the whole log.
    pub latest: Arc<View>,
    pub dispatchers: Vec<Dispatcher>,
    /// The highest policy number any request was admitted under.
    pub highest: u64,
    pub remaining: Bounds,
}

impl World {
    /// All dispatchers have a lease and know it.
    pub fn new(checks: &Checks) -> World {
        let dispatchers: Vec<Dispatcher> = (1..=DISPATCHERS).map(Dispatcher::new).collect();
        let mut w = World {
            log: Vec::new(),
            latest: Arc::default(),
            dispatchers,
            highest: 0,
            remaining: checks.bounds,
        };
        for n in 0..w.dispatchers.len() {
            w.append(Entry::Register(w.dispatchers[n].incarnation(), 1), checks);
        }
        let World { log, dispatchers, .. } = &mut w;
        dispatchers.iter_mut().for_each(|d| d.read_log(log, checks));
        w.drop_read_entries();
        w
    }

    pub fn step(&mut self, action: Action, checks: &Checks) {
        match action {
            Action::Deliver(n, k) => {
                let World { log, dispatchers, .. } = self;
                let from = dispatchers[n].seen;
                dispatchers[n].read_log(&log[from..from + k], checks);
            }
            Action::Append(n) => {
                let command = self.dispatchers[n].out.remove(0);
                self.append(Entry::Policy(command), checks);
            }
            Action::LeaseExpires(n) => {
                self.remaining.lease_expiries -= 1;
                self.dispatchers[n].lose_lease();
            }
            Action::Expire(h) => self.append(Entry::Expire(h), checks),
            Action::Crash(n, lost) => {
                self.remaining.crashes -= 1;
                self.dispatchers[n].restart(lost);
            }
            Action::Register(n) => {
                let d = &mut self.dispatchers[n];
                (d.lease_requests, d.awaits_lease) = (d.lease_requests + 1, true);
                (d.seen, d.view) = (self.log.len(), self.latest.clone());
                let entry = Entry::Register(d.incarnation(), d.lease_requests);
                self.append(entry, checks);
            }
            Action::Propose => {
                self.remaining.proposals -= 1;
                let (text, digest, limits) = (String::new(), [0; 32], [1, 1]);
                let propose = Command::Propose { text, digest, by: 1, at: 0, limits, min_number: 0 };
                self.append(Entry::Policy(propose), checks);
            }
            Action::Abort => {
                self.remaining.aborts -= 1;
                let number = self.pending().unwrap_or(0);
                self.append(Entry::Policy(Command::Abort(number)), checks);
            }
            Action::TimeOut => {
                self.remaining.sweeps -= 1;
                self.append(Entry::Sweep, checks);
            }
            Action::Admit(n) => {
                let number = self.dispatchers[n].admits(checks).unwrap_or(0);
                self.highest = self.highest.max(number);
            }
        }
        self.drop_read_entries();
    }

    /// Entries without effect are left out: a dispatcher that processes the same state again submits nothing
    /// new.
    fn append(&mut self, entry: Entry, checks: &Checks) {
        let mut next = View::clone(&self.latest);
        next.apply(&entry, checks);
        if next != *self.latest {
            self.latest = Arc::new(next);
            self.log.push(entry);
        }
    }

    fn drop_read_entries(&mut self) {
        let all =
            self.dispatchers.iter().filter(|d| d.follows()).map(|d| d.seen).min().unwrap_or(self.log.len());
        self.log.drain(..all);
        self.dispatchers.iter_mut().filter(|d| d.follows()).for_each(|d| d.seen -= all);
    }

    pub fn pending(&self) -> Option<u64> {
        self.latest.policies.pending().map(|p| p.policy.number)
    }

    /// Leases that are valid in the log and may be declared expired.
    pub fn expirable(&self, checks: &Checks) -> impl Iterator<Item = Holder> {
        let held = |h: &Holder| self.dispatchers.iter().any(|d| d.may_hold(*h));
        let early = |h: &Holder| {
            checks.defect == Defect::ExpiresEarly
                && usize::from(peer_of(h.incarnation)) > checks.first_affected
        };
        self.latest.leases.alive().iter().copied().filter(move |h| early(h) || !held(h))
    }
}
