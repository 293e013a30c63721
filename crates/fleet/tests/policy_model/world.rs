//! State of the model: all dispatchers and their log, and its transitions.

use crate::dispatcher::Dispatcher;
use crate::model::{Action, Bounds, Break, Checks};
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
    pub end: Arc<View>,
    pub each: Vec<Dispatcher>,
    /// The highest policy number any request was admitted under.
    pub highest: u64,
    pub left: Bounds,
}

impl World {
    /// All dispatchers have a lease and know it.
    pub fn new(checks: &Checks) -> World {
        let each: Vec<Dispatcher> = (1..=DISPATCHERS).map(Dispatcher::new).collect();
        let mut w = World { log: Vec::new(), end: Arc::default(), each, highest: 0, left: checks.bounds };
        for n in 0..w.each.len() {
            w.append(Entry::Register(w.each[n].incarnation(), 1), checks);
        }
        let World { log, each, .. } = &mut w;
        each.iter_mut().for_each(|d| d.see(log, checks));
        w.forget();
        w
    }

    pub fn step(&mut self, action: Action, checks: &Checks) {
        match action {
            Action::Deliver(n, k) => {
                let World { log, each, .. } = self;
                let from = each[n].seen;
                each[n].see(&log[from..from + k], checks);
            }
            Action::Append(n) => {
                let said = self.each[n].out.remove(0);
                self.append(Entry::Policy(said), checks);
            }
            Action::LeaseOut(n) => {
                self.left.ends -= 1;
                self.each[n].lose();
            }
            Action::Expire(h) => self.append(Entry::Expire(h), checks),
            Action::Crash(n, lost) => {
                self.left.crashes -= 1;
                self.each[n].die(lost);
            }
            Action::Register(n) => {
                let d = &mut self.each[n];
                (d.asks, d.asked) = (d.asks + 1, true);
                (d.seen, d.view) = (self.log.len(), self.end.clone());
                let entry = Entry::Register(d.incarnation(), d.asks);
                self.append(entry, checks);
            }
            Action::Propose => {
                self.left.proposals -= 1;
                let (text, digest, limits) = (String::new(), [0; 32], [1, 1]);
                let propose = Command::Propose { text, digest, by: 1, at: 0, limits, min_number: 0 };
                self.append(Entry::Policy(propose), checks);
            }
            Action::Abort => {
                self.left.aborts -= 1;
                let number = self.pending().unwrap_or(0);
                self.append(Entry::Policy(Command::Abort(number)), checks);
            }
            Action::Late => {
                self.left.sweeps -= 1;
                self.append(Entry::Sweep, checks);
            }
            Action::Admit(n) => {
                let number = self.each[n].admits(checks).unwrap_or(0);
                self.highest = self.highest.max(number);
            }
        }
        self.forget();
    }

    /// Entries without effect are left out: a dispatcher that processes the same state again submits nothing
    /// new.
    fn append(&mut self, entry: Entry, checks: &Checks) {
        let mut next = View::clone(&self.end);
        next.apply(&entry, checks);
        if next != *self.end {
            self.end = Arc::new(next);
            self.log.push(entry);
        }
    }

    fn forget(&mut self) {
        let all = self.each.iter().filter(|d| d.follows()).map(|d| d.seen).min().unwrap_or(self.log.len());
        self.log.drain(..all);
        self.each.iter_mut().filter(|d| d.follows()).for_each(|d| d.seen -= all);
    }

    pub fn pending(&self) -> Option<u64> {
        self.end.policies.pending().map(|p| p.policy.number)
    }

    /// Leases that are valid in the log and may be declared expired.
    pub fn over(&self, checks: &Checks) -> impl Iterator<Item = Holder> {
        let held = |h: &Holder| self.each.iter().any(|d| d.may_hold(*h));
        let early = |h: &Holder| {
            checks.broken == Break::ExpiresEarly && usize::from(peer_of(h.incarnation)) > checks.befall
        };
        self.end.leases.alive().iter().copied().filter(move |h| early(h) || !held(h))
    }
}
