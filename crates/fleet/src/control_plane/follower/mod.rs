//! A dispatcher that follows the agreed record: which member it is connected to, what it knows, and its lease.
//!
//! `connection` chooses members and goes to another one when one is lost; `stream` takes what a member sends.

mod connection;
mod stream;

use super::messages::{FollowerId, FollowerMessage, Rejection, Resume};
use super::timing::Timing;
use crate::policy::{Command, Gap, Policies, PolicyRecord, Revision};
use crate::{Holder, Micros};
use connection::Connection;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

/// What a follower is told at its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FollowerConfig {
    /// The group that it follows.
    pub group: String,
    /// Its name, for operators.
    pub name: String,
    /// For each member, in the order of the group's names: whether it is near, so that it is chosen first.
    pub near: Vec<bool>,
    /// The group's times.
    pub timing: Timing,
}

/// What the host is to do with the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Connect to the member of this index, and close any connection before it.
    Dial(usize),
    /// Close the connection.
    Close,
}

/// Why a connection to a member ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lost {
    /// It ended or could not be made.
    Closed,
    /// Nothing came for longer than a lease.
    Silent,
    /// The member gave no lease for long.
    NoLease,
    /// The member ends.
    GoAway,
    /// The member turned the subscription away.
    Rejected(Rejection),
    /// The connection leads to another member, or to one of another group.
    WrongMember,
    /// A change is missing.
    Gap(Gap),
    /// A snapshot is older than what is known.
    Stale,
}

/// What happened, for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowerEvent {
    /// It follows the member of this index.
    Following(usize),
    /// The connection to the member of this index is over.
    Lost(usize, Lost),
    /// It has a lease.
    LeaseHeld,
    /// Its lease is over.
    LeaseLost,
}

/// Counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FollowerTally {
    /// Connections to members that were begun.
    pub dials: u64,
    /// Changes taken.
    pub changes: u64,
    /// Snapshots taken.
    pub snapshots: u64,
    /// Changes that did not follow on what was known.
    pub gaps: u64,
    /// Renewals that brought no lease.
    pub denied: u64,
}

/// A dispatcher that follows.
pub struct Follower {
    config: FollowerConfig,
    id: FollowerId,
    rng: Pcg64Mcg,
    connection: Connection,
    /// Connections that failed one after the other.
    failures: u32,
    /// The founding that revisions count in, and what is agreed.
    known: Option<(u64, Policies)>,
    /// The revision that the host acts by.
    heeded: Revision,
    /// The number of the policy that the host acts by.
    number: u64,
    /// Grows with each connection: what was said to one member is said again to the next.
    term: u32,
    lease_until: Option<Micros>,
    renew_at: Micros,
    last_asked: Micros,
    changed: bool,
    /// What the host is to do with the connection.
    pub orders: Vec<Order>,
    /// Messages to the member.
    pub outgoing: Vec<FollowerMessage>,
    /// What happened.
    pub events: VecDeque<FollowerEvent>,
    /// Counters.
    pub tally: FollowerTally,
}

impl Follower {
    /// Knows nothing; connects at the first tick. `seed` spreads followers over members and time.
    pub fn new(config: FollowerConfig, seed: u64, now: Micros) -> Follower {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let id = FollowerId(rng.next_u64());
        let mut follower = Follower {
            config,
            id,
            rng,
            connection: Connection::Idle { member: 0, dial_at: now },
            failures: 0,
            known: None,
            heeded: 0,
            number: 0,
            term: 0,
            lease_until: None,
            renew_at: now,
            last_asked: 0,
            changed: false,
            orders: Vec::new(),
            outgoing: Vec::new(),
            events: VecDeque::new(),
            tally: FollowerTally::default(),
        };
        follower.choose(now, None);
        follower
    }

    /// The newest revision that is known, and its founding.
    pub fn revision(&self) -> Option<Resume> {
        self.known.as_ref().map(|(fleet, p)| Resume { fleet: *fleet, revision: p.revision() })
    }

    /// The member that it follows, by index.
    pub fn member(&self) -> Option<usize> {
        match self.connection {
            Connection::Following { member, .. } => Some(member),
            _ => None,
        }
    }

    /// Whether what is agreed or the lease has changed since this was last asked.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// When [`Follower::tick`] has something to do next.
    pub fn next_due(&self) -> Micros {
        let connection = self.connection_due();
        let lease = self.lease_until.unwrap_or(Micros::MAX);
        let renew = if self.member().is_some() { self.renew_at } else { Micros::MAX };
        connection.min(lease).min(renew)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Micros) {
        if self.lease_until.is_some_and(|until| until <= now) {
            self.lease_until = None;
            self.changed = true;
            self.events.push_back(FollowerEvent::LeaseLost);
        }
        self.keep_connection(now);
        if self.member().is_some() && self.renew_at <= now {
            self.renew(now);
        }
    }

    fn renew(&mut self, now: Micros) {
        self.renew_at = now + self.config.timing.renew_every;
        self.last_asked = now;
        let at = self.known.as_ref().map(|(fleet, _)| Resume { fleet: *fleet, revision: self.heeded });
        self.outgoing.push(FollowerMessage::Renew { at, asked: now });
    }

    /// It ends: nothing is admitted from here on.
    pub fn leave(&mut self) {
        self.lease_until = None;
        if self.member().is_some() {
            self.outgoing.push(FollowerMessage::Leave);
        }
    }
}

impl PolicyRecord for Follower {
    fn holds(&self, now: Micros) -> Option<Holder> {
        let holder = Holder { incarnation: self.id.0, term: self.term };
        self.lease_until.filter(|until| now < *until).map(|_| holder)
    }

    fn policies(&self) -> Option<&Policies> {
        self.known.as_ref().map(|(_, policies)| policies)
    }

    fn say(&mut self, _now: Micros, command: Command) -> bool {
        let message = match command {
            Command::Vote(_, number, faults) => FollowerMessage::Vote(number, faults),
            Command::Stopped(_, number) => FollowerMessage::Stopped(number),
            Command::Cannot(_, number, why) => FollowerMessage::Cannot(number, why),
            Command::Propose { text, digest, least, .. } => {
                FollowerMessage::Restore { number: least, text, digest }
            }
            Command::Queue(_) | Command::Back(..) | Command::Abort(_) => return false,
        };
        let connected = self.member().is_some();
        if connected {
            self.outgoing.push(message);
        }
        connected
    }

    fn heeded(&mut self, number: u64) {
        self.number = number;
        self.heeded = self.known.as_ref().map_or(0, |(_, policies)| policies.revision());
    }
}
