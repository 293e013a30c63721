//! One dispatcher: the log entries it has seen, its view of its lease, and its real participant in policy
//! changes.

use crate::model::{Checks, Defect};
use crate::view::{Entry, View};
use fleet::policy::{Action, Command, Gate, Participant};
use fleet::{Holder, Incarnation, Peer, incarnation};
use std::sync::Arc;

#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Dispatcher {
    pub me: Peer,
    /// Number of its current incarnation.
    pub start: u64,
    /// Number of entries of the kept log that it has seen, and the state they produced.
    pub seen: usize,
    pub view: Arc<View>,
    /// Number of leases this incarnation has requested.
    pub lease_requests: u32,
    /// Whether the last lease request is not seen yet.
    pub awaits_lease: bool,
    /// Its lease, as far as it knows.
    pub holder: Option<Holder>,
    pub part: Participant,
    /// Commands submitted and not yet in the log.
    pub out: Vec<Command>,
}

impl Dispatcher {
    /// A dispatcher that has requested its first lease.
    pub fn new(me: Peer) -> Dispatcher {
        let (view, part) = (Arc::default(), Participant::default());
        Dispatcher {
            me,
            start: 1,
            seen: 0,
            view,
            lease_requests: 1,
            awaits_lease: true,
            holder: None,
            part,
            out: Vec::new(),
        }
    }

    /// Its lease expires. Without a lease it submits and admits nothing and reads the current state when it
    /// gets the next one, so the model delivers no entries to it until it requests a lease.
    pub fn lose_lease(&mut self) {
        (self.holder, self.awaits_lease) = (None, false);
        (self.seen, self.view) = (0, Arc::default());
    }

    /// Restarts it as a new incarnation without state; `lost` drops the commands in transit.
    pub fn restart(&mut self, lost: bool) {
        self.lose_lease();
        self.start += 1;
        (self.lease_requests, self.part) = (0, Participant::default());
        if lost {
            self.out.clear();
        }
    }

    /// Whether it has a lease or has requested one.
    pub fn follows(&self) -> bool {
        self.holder.is_some() || self.awaits_lease
    }

    pub fn incarnation(&self) -> Incarnation {
        incarnation(self.me, self.start)
    }

    /// The policy number a request would be admitted under now.
    pub fn admits(&self, checks: &Checks) -> Option<u64> {
        match self.part.gate(self.holder) {
            Gate::Admit(number) => Some(number),
            Gate::Hold if checks.defect == Defect::AdmitsWhileClosing => Some(self.part.number()),
            _ => None,
        }
    }

    /// Whether it may act under this lease, now or once it sees that it was granted.
    pub fn may_hold(&self, h: Holder) -> bool {
        self.holder == Some(h) || (self.awaits_lease && self.incarnation() == h.incarnation)
    }

    pub fn read_log(&mut self, entries: &[Entry], checks: &Checks) {
        let own = self.incarnation();
        for entry in entries {
            let view = Arc::make_mut(&mut self.view);
            view.apply(entry, checks);
            match entry {
                Entry::Register(incarnation, number)
                    if self.awaits_lease && *incarnation == own && *number == self.lease_requests =>
                {
                    self.awaits_lease = false;
                    self.holder = view.leases.alive().iter().find(|h| h.incarnation == *incarnation).copied();
                }
                Entry::Expire(h) if self.holder == Some(*h) => self.holder = None,
                _ => {}
            }
        }
        self.seen += entries.len();
        let mut check = |p: &fleet::policy::Policy| match checks.fault(self.me, p.number) {
            true => vec!["unknown".to_string()],
            false => Vec::new(),
        };
        for action in self.part.poll(0, self.me, self.holder, Some(&self.view.policies), &mut check) {
            if let Action::Submit(command) = action {
                self.out.push(command);
            }
        }
        if !self.follows() {
            self.lose_lease();
        }
    }
}
