//! One dispatcher's part in its fleet: founding and joining, its lease, what it owns, and what it is told.
//!
//! A lease counts from when its renewal was asked for, at the owner, and from when the renewal was seen in the
//! log, at all others: the owner knows that it is over before anybody may say so.

use crate::group::Group;
mod digest;
mod joining;
mod lease;
mod requests;
mod types;

pub use types::{FleetConfig, FleetEvent};

use crate::agreed::{Agreed, Command, Effect, StateKind};
use crate::ledger::{self, End, Ledger, Record};
use crate::wire::{Founding, Message};
use crate::{Holder, Incarnation, Micros, Peer, incarnation, peer_of};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Debug, Clone, Copy)]
struct Heard {
    incarnation: Incarnation,
    fleet: Option<u64>,
    policy: u64,
    at: Micros,
}

/// Peers say who they are this often, in ticks.
const HELLO: u64 = 8;
/// What was heard of a peer counts for this many of those.
const FRESH: u64 = 4;
/// Commands that wait at most; beyond, what need not be recorded is not.
const WAITING: usize = 8_192;
/// A lease is renewed this many times within its length.
const RENEWALS: u64 = 5;

/// One dispatcher's part in its fleet.
pub struct Fleet {
    config: FleetConfig,
    incarnation: Incarnation,
    rng: Pcg64Mcg,
    group: Option<Group>,
    /// A fleet that others take part in, to be joined once its leader speaks.
    other: Option<Founding>,
    heard: BTreeMap<Peer, Heard>,
    /// Lives that asked to be taken in.
    asking: BTreeMap<Peer, Incarnation>,
    begun: Micros,
    hello_at: Micros,
    lease: Option<(Holder, Micros)>,
    renew_at: Micros,
    register_at: Micros,
    /// When the last renewal of each lease was seen.
    renewed: BTreeMap<Holder, Micros>,
    sweep_at: Micros,
    mine: BTreeSet<u64>,
    queue: Vec<Command>,
    flush_at: Option<Micros>,
    leader: Option<Peer>,
    leaderless: Option<Micros>,
    last: Micros,
    /// The number of the policy that this dispatcher acts by, as its host says.
    pub policy: u64,
    /// Messages to peers.
    pub messages: Vec<(Peer, Message)>,
    /// What happened.
    pub events: VecDeque<FleetEvent>,
}

impl Fleet {
    /// An incarnation that begins now and knows nobody; `seed` makes the number of a fleet that it founds.
    pub fn new(config: FleetConfig, seed: u64, now: Micros) -> Fleet {
        let incarnation = incarnation(config.me, now);
        Fleet {
            incarnation,
            // Another incarnation draws other numbers: a fleet that it founds is not the one that it founded before.
            rng: Pcg64Mcg::seed_from_u64(seed ^ incarnation.rotate_left(17)),
            group: None,
            other: None,
            heard: BTreeMap::new(),
            asking: BTreeMap::new(),
            begun: now,
            hello_at: now,
            lease: None,
            renew_at: now,
            register_at: now,
            renewed: BTreeMap::new(),
            sweep_at: now,
            mine: BTreeSet::new(),
            queue: Vec::new(),
            flush_at: None,
            leader: None,
            leaderless: Some(now),
            last: now,
            policy: 0,
            messages: Vec::new(),
            events: VecDeque::new(),
            config,
        }
    }

    /// Which peer this is.
    pub fn me(&self) -> Peer {
        self.config.me
    }

    /// This incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The record of work in hand as far as it is known here.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.agreed().map(Agreed::work)
    }

    /// All that is agreed, as far as it is known here.
    pub fn agreed(&self) -> Option<&Agreed> {
        self.group.as_ref().map(Group::agreed)
    }

    /// The lease, if it holds now.
    pub fn holds(&self, now: Micros) -> Option<Holder> {
        self.lease.filter(|(_, until)| now < *until).map(|(h, _)| h)
    }

    /// The lease that holds now, and when it is over by this peer's clock.
    pub fn lease(&self, now: Micros) -> Option<(Holder, Micros)> {
        self.lease.filter(|(_, until)| now < *until)
    }

    /// The number of the fleet whose record is known here.
    pub fn founding(&self) -> Option<u64> {
        self.group.as_ref().filter(|g| g.begun()).map(|g| g.founding.id)
    }

    /// Whether this peer leads the fleet.
    pub fn leads(&self) -> bool {
        self.group.as_ref().is_some_and(Group::leads)
    }

    /// Whether a request that is not on record was never on record as long as that matters: the fleet is older
    /// than anything that a client could still ask again.
    pub fn vouches(&self, now: Micros) -> bool {
        self.group.as_ref().is_some_and(|g| now >= g.founding.at + self.config.limits.remember)
    }

    /// Whether it owns a request, and may act on it now.
    pub fn owns(&self, now: Micros, ask: u64) -> bool {
        self.holds(now).is_some() && self.mine.contains(&ask)
    }

    /// What this peer says of itself, first on every connection.
    pub fn hello(&self) -> Message {
        let fleet = self.group.as_ref().filter(|g| g.begun()).map(|g| g.founding.clone());
        let formed = self.group.as_ref().is_some_and(Group::formed);
        Message::Hello {
            from: self.config.me,
            incarnation: self.incarnation,
            fleet,
            formed,
            policy: self.policy,
        }
    }

    /// When [`Fleet::tick`] has something to do next.
    pub fn next_due(&self) -> Micros {
        let lease = self.lease.map(|(_, until)| until.min(self.renew_at));
        let group = self.group.as_ref().map(Group::next_due);
        [Some(self.hello_at), lease, group, self.flush_at]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.hello_at)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Micros) {
        // One that stood still has not heard the others meanwhile, which says nothing of them.
        if now > self.last + self.config.lease / 2 {
            self.renewed.values_mut().for_each(|t| *t = now);
        }
        self.last = now;
        self.check_lease(now);
        if self.hello_at <= now {
            self.hello_at = now + HELLO * self.config.tick;
            let hello = self.hello();
            let others: Vec<Peer> = self.others().collect();
            self.messages.extend(others.into_iter().map(|p| (p, hello.clone())));
        }
        match &mut self.group {
            None => self.found(now),
            Some(group) => {
                group.tick(now);
                if group.leads() {
                    let asking: Vec<Incarnation> = self.asking.values().copied().collect();
                    asking.into_iter().for_each(|incarnation| group.seat(incarnation));
                }
            }
        }
        self.digest(now);
        self.lead(now);
        self.keep_lease(now);
        if self.flush_at.is_some_and(|t| t <= now) {
            self.flush(now);
        }
        self.give_up_if_lost(now);
    }

    /// Sends what waits and is due; called once all that came at one moment has been handled.
    pub fn flush(&mut self, now: Micros) {
        let Some(group) = self.group.as_mut().filter(|g| g.has_room()) else {
            // What is under way has to be seen first, which takes a leader: a look each tick is enough.
            self.flush_at = Some(now + self.config.tick);
            return;
        };
        self.flush_at = None;
        if !self.queue.is_empty() {
            let batch = std::mem::take(&mut self.queue);
            group.propose(&batch, now);
            self.digest(now);
        }
    }

    pub(super) fn flush_by(&mut self, at: Micros) {
        self.flush_at = Some(self.flush_at.map_or(at, |t| t.min(at)));
    }
}
