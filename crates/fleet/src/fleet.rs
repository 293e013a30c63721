//! One dispatcher's part in its fleet: founding and joining, its lease, what it owns, and what it is told.
//!
//! A lease counts from when its renewal was asked for, at the owner, and from when the renewal was seen in the
//! log, at all others: the owner knows that it is over before anybody may say so.

use crate::group::Group;
use crate::ledger::{Command, Effect, End, Holder, Ledger, Limits, Record};
use crate::plan;
use crate::wire::{Founding, Message};
use crate::{Life, Micros, Peer, life, peer_of};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a fleet is told at its start; the times are alike at all peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// Which peer this is.
    pub me: Peer,
    /// All peers, this one included.
    pub peers: Vec<Peer>,
    /// How long a lease lasts without a renewal.
    pub lease: Micros,
    /// How much longer others wait before they say that it is over.
    pub margin: Micros,
    /// The log's tick: its leader is heard once a tick.
    pub tick: Micros,
    /// How long what need not be agreed first may wait to go together with more.
    pub batch: Micros,
    /// Without a leader for this long, a fleet whose majority has started anew is given up.
    pub give_up: Micros,
    /// What bounds the record.
    pub limits: Limits,
}

/// What a fleet tells.
#[derive(Debug, Clone, PartialEq)]
pub enum News {
    /// This peer has a lease.
    Held(Holder),
    /// The lease is over: all that this peer owned is no longer its own.
    Lost(Holder),
    /// It owns this request from now on, as it asked to.
    Opened(u64),
    /// The request is on record already.
    Taken(u64),
    /// There is no room on record, or no lease: it is not on record.
    Unrecorded(u64),
    /// The owner of a request was lost; who owns it now.
    Claimed {
        /// The request.
        ask: u64,
        /// Who owned it.
        from: Holder,
        /// Who does now.
        by: Holder,
        /// It is this peer.
        mine: bool,
    },
    /// A request is over.
    Closed(u64, End),
    /// A peer's lease is over.
    Ended(Holder),
    /// A peer wants the result of a request.
    Fetch(Peer, u64),
    /// A peer has the result of a request, or none.
    Result(u64, Option<Vec<Vec<u8>>>),
    /// It takes part in this fleet.
    Joined(u64),
    /// Another leads now.
    Leader(Option<Peer>),
    /// The plan of machines that are taken out for work has changed.
    Plan,
    /// The fleet has lost its majority, and with it its record; it is founded anew.
    GivenUp(u64),
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    life: Life,
    fleet: Option<u64>,
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
    terms: Terms,
    life: Life,
    rng: Pcg64Mcg,
    group: Option<Group>,
    /// A fleet that others take part in, to be joined once its leader speaks.
    other: Option<Founding>,
    heard: BTreeMap<Peer, Heard>,
    /// Lives that asked to be taken in.
    asking: BTreeMap<Peer, Life>,
    begun: Micros,
    hello_at: Micros,
    lease: Option<(Holder, Micros)>,
    /// When renewals that were not seen yet were asked for.
    renewals: VecDeque<Micros>,
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
    /// Messages to peers.
    pub messages: Vec<(Peer, Message)>,
    /// What happened.
    pub news: VecDeque<News>,
}

impl Fleet {
    /// A life that begins now and knows nobody; `seed` makes the number of a fleet that it founds.
    pub fn new(terms: Terms, seed: u64, now: Micros) -> Fleet {
        let life = life(terms.me, now);
        Fleet {
            life,
            rng: Pcg64Mcg::seed_from_u64(seed),
            group: None,
            other: None,
            heard: BTreeMap::new(),
            asking: BTreeMap::new(),
            begun: now,
            hello_at: now,
            lease: None,
            renewals: VecDeque::new(),
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
            messages: Vec::new(),
            news: VecDeque::new(),
            terms,
        }
    }

    /// This life.
    pub fn life(&self) -> Life {
        self.life
    }

    /// The record as far as it is known here.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.group.as_ref().map(Group::ledger)
    }

    /// The lease, if it holds now.
    pub fn holds(&self, now: Micros) -> Option<Holder> {
        self.lease.filter(|(_, until)| now < *until).map(|(h, _)| h)
    }

    /// Whether this peer leads the fleet.
    pub fn leads(&self) -> bool {
        self.group.as_ref().is_some_and(Group::leads)
    }

    /// Whether a request that is not on record was never on record as long as that matters: the fleet is older
    /// than anything that a client could still ask again.
    pub fn vouches(&self, now: Micros) -> bool {
        self.group.as_ref().is_some_and(|g| now >= g.founding.at + self.terms.limits.remember)
    }

    /// Whether it owns a request, and may act on it now.
    pub fn owns(&self, now: Micros, ask: u64) -> bool {
        self.holds(now).is_some() && self.mine.contains(&ask)
    }

    /// What this peer says of itself, first on every connection.
    pub fn hello(&self) -> Message {
        let fleet = self.group.as_ref().filter(|g| g.begun()).map(|g| g.founding.clone());
        let formed = self.group.as_ref().is_some_and(Group::formed);
        Message::Hello { from: self.terms.me, life: self.life, fleet, formed }
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

    // ---- Work in hand ------------------------------------------------------------------------------

    /// Puts a request on record. With `first`, it is told at once and [`News::Opened`] says that it is agreed.
    /// False if it can't be: there is no lease.
    pub fn open(&mut self, now: Micros, ask: u64, record: Record, first: bool) -> bool {
        let Some(holder) = self.holds(now) else { return false };
        if !first && self.queue.len() >= WAITING {
            return false;
        }
        self.queue.push(Command::Open(holder, ask, record));
        self.flush_by(if first { now } else { now + self.terms.batch });
        true
    }

    /// It was sent to an executor.
    pub fn tried(&mut self, now: Micros, ask: u64, executor: u32) {
        let Some((holder, _)) = self.lease else { return };
        let waits = self.queue.iter_mut().rev().find_map(|c| match c {
            Command::Open(_, a, record) if *a == ask => Some(record),
            _ => None,
        });
        match waits {
            Some(record) => record.tried.push(executor),
            None => {
                self.queue.push(Command::Tried(holder, ask, executor));
                self.flush_by(now + self.terms.batch);
            }
        }
    }

    /// A request is over. One that nobody was told of yet leaves no trace.
    pub fn close(&mut self, now: Micros, ask: u64, end: End) {
        let Some((holder, _)) = self.lease else { return };
        self.mine.remove(&ask);
        let opened = self.queue.iter().position(|c| matches!(c, Command::Open(_, a, _) if *a == ask));
        if let (Some(at), End::Gone) = (opened, &end) {
            self.queue.remove(at);
            return;
        }
        self.queue.push(Command::Close(holder, ask, end));
        self.flush_by(now + self.terms.batch);
    }

    /// Moves the plan of machines that are taken out for work. False if nothing can be agreed now.
    pub fn plan(&mut self, now: Micros, command: plan::Command) -> bool {
        if self.holds(now).is_none() {
            return false;
        }
        self.queue.push(Command::Plan(command));
        self.flush_by(now);
        true
    }

    /// For how long no leader has been heard of; `None` while there is one.
    pub fn without_word(&self, now: Micros) -> Option<Micros> {
        let led = self.group.as_ref().is_some_and(|g| g.leader().is_some());
        (!led).then(|| now.saturating_sub(self.leaderless.unwrap_or(now)))
    }

    /// Asks the owner of a request for its result.
    pub fn fetch(&mut self, ask: u64) {
        if let Some((_, owner)) = self.ledger().and_then(|l| l.open(ask)) {
            self.messages.push((peer_of(owner.life), Message::Fetch(ask)));
        }
    }

    /// Tells a peer the result of a request that it asked for.
    pub fn tell(&mut self, to: Peer, ask: u64, pages: Option<Vec<Vec<u8>>>) {
        self.messages.push((to, Message::Result(ask, pages)));
    }

    /// Ends in order: the lease goes back.
    pub fn leave(&mut self, now: Micros) {
        if let Some((holder, _)) = self.lease.take() {
            self.queue.push(Command::Leave(holder));
            self.flush_by(now);
            self.flush(now);
        }
    }

    // ---- Events ------------------------------------------------------------------------------------

    /// A message of a peer.
    pub fn hear(&mut self, now: Micros, from: Peer, message: Message) {
        match message {
            Message::Hello { life, fleet, formed, .. } => self.greeted(now, from, life, fleet, formed),
            Message::Log(fleet, bytes) => {
                if self.group.is_none()
                    && let Some(other) = self.other.take_if(|o| o.id == fleet)
                {
                    self.take_part(now, other);
                }
                if let Some(group) = self.group.as_mut().filter(|g| g.founding.id == fleet) {
                    group.step(&bytes);
                }
            }
            Message::Fetch(ask) => self.news.push_back(News::Fetch(from, ask)),
            Message::Result(ask, pages) => self.news.push_back(News::Result(ask, pages)),
        }
        self.digest(now);
    }

    fn greeted(&mut self, now: Micros, from: Peer, life: Life, fleet: Option<Founding>, formed: bool) {
        if peer_of(life) != from || !self.terms.peers.contains(&from) {
            return;
        }
        let id = fleet.as_ref().map(|f| f.id);
        self.heard.insert(from, Heard { life, fleet: id, at: now });
        let own = self.group.as_ref().map(|g| g.founding.id);
        if own.is_some() && (id.is_none() || id == own) {
            self.asking.insert(from, life);
        }
        let Some(fleet) = fleet else { return };
        let unformed = self.group.as_ref().is_some_and(|g| !g.formed());
        if unformed && formed && id != own {
            // Two were founded at once; the other came to be.
            self.give_up();
        }
        if self.group.is_none() {
            match fleet.voters.contains(&self.life) {
                true => self.take_part(now, fleet),
                false => self.other = Some(fleet),
            }
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Micros) {
        // One that stood still has not heard the others meanwhile, which says nothing of them.
        if now > self.last + self.terms.lease / 2 {
            self.renewed.values_mut().for_each(|t| *t = now);
        }
        self.last = now;
        self.check_lease(now);
        if self.hello_at <= now {
            self.hello_at = now + HELLO * self.terms.tick;
            let hello = self.hello();
            let others: Vec<Peer> = self.others().collect();
            self.messages.extend(others.into_iter().map(|p| (p, hello.clone())));
        }
        match &mut self.group {
            None => self.found(now),
            Some(group) => {
                group.tick(now);
                if group.leads() {
                    let asking: Vec<Life> = self.asking.values().copied().collect();
                    asking.into_iter().for_each(|life| group.seat(life));
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
            self.flush_at = Some(now + self.terms.tick);
            return;
        };
        self.flush_at = None;
        if !self.queue.is_empty() {
            let batch = std::mem::take(&mut self.queue);
            group.propose(&batch, now);
            self.digest(now);
        }
    }

    fn flush_by(&mut self, at: Micros) {
        self.flush_at = Some(self.flush_at.map_or(at, |t| t.min(at)));
    }

    fn others(&self) -> impl Iterator<Item = Peer> + '_ {
        self.terms.peers.iter().copied().filter(|p| *p != self.terms.me)
    }

    fn fresh(&self, now: Micros) -> impl Iterator<Item = (Peer, Heard)> + '_ {
        let oldest = now.saturating_sub(FRESH * HELLO * self.terms.tick);
        self.heard.iter().filter(move |(_, h)| h.at >= oldest).map(|(p, h)| (*p, *h))
    }

    fn majority(&self) -> usize {
        self.terms.peers.len() / 2 + 1
    }

    /// Founds a fleet if a majority has none and this is the first of them. Any two majorities share a peer,
    /// and a peer takes part in one founding.
    fn found(&mut self, now: Micros) {
        if now < self.begun + 2 * HELLO * self.terms.tick {
            return;
        }
        let fresh: BTreeMap<Peer, Heard> = self.fresh(now).collect();
        let first = fresh.keys().all(|p| *p > self.terms.me);
        let free = fresh.values().all(|h| h.fleet.is_none());
        if !first || !free || fresh.len() + 1 < self.majority() {
            return;
        }
        let voter = |p: &Peer| match fresh.get(p) {
            Some(h) => h.life,
            None if *p == self.terms.me => self.life,
            None => life(*p, 0),
        };
        let voters = self.terms.peers.iter().map(voter).collect();
        let founding = Founding { id: self.rng.next_u64(), voters, limits: self.terms.limits, at: now };
        self.take_part(now, founding);
        self.hello_at = now;
    }

    fn take_part(&mut self, now: Micros, founding: Founding) {
        let id = founding.id;
        if let Ok(group) = Group::new(founding, self.life, self.terms.tick, now) {
            (self.group, self.other) = (Some(group), None);
            (self.leaderless, self.hello_at) = (Some(now), now);
            self.news.push_back(News::Joined(id));
        }
    }

    fn give_up(&mut self) {
        let Some(group) = self.group.take() else { return };
        if let Some((holder, _)) = self.lease.take() {
            self.lose(holder);
        }
        (self.leader, self.leaderless) = (None, None);
        self.renewals.clear();
        self.renewed.clear();
        self.queue.clear();
        self.asking.clear();
        // Who takes part again does so as another life: its old votes stay with the old fleet.
        self.life = life(self.terms.me, (self.life & (u64::MAX >> 8)) + 1);
        self.news.push_back(News::GivenUp(group.founding.id));
    }

    fn give_up_if_lost(&mut self, now: Micros) {
        let Some(group) = &self.group else { return };
        match (group.leader(), self.leaderless) {
            (Some(_), _) => self.leaderless = None,
            (None, None) => self.leaderless = Some(now),
            // Taken in by a fleet that is no longer there, or founded one that never came to be.
            (None, Some(since)) if !group.formed() && now > since + self.terms.give_up / 2 => self.give_up(),
            (None, Some(since)) if now > since + self.terms.give_up => {
                // They have none, or another, which was founded while this peer was cut off.
                let own = Some(group.founding.id);
                let anew = self.fresh(now).filter(|(_, h)| h.fleet != own).count();
                if anew >= self.majority() {
                    self.give_up();
                }
            }
            _ => {}
        }
    }

    // ---- The lease ---------------------------------------------------------------------------------

    fn lose(&mut self, holder: Holder) {
        self.mine.clear();
        self.renewals.clear();
        self.news.push_back(News::Lost(holder));
    }

    /// A lease that ran out is over here first: nothing that it stood for is done after.
    fn check_lease(&mut self, now: Micros) {
        if let Some((holder, until)) = self.lease
            && until <= now
        {
            self.lease = None;
            self.lose(holder);
            // What waits was meant under that lease. If it still holds for the others, it is given back.
            self.queue.clear();
            self.queue.push(Command::Leave(holder));
            self.flush_by(now);
            self.register_at = now;
        }
    }

    fn keep_lease(&mut self, now: Micros) {
        let Some(group) = &self.group else { return };
        let every = self.terms.lease / RENEWALS;
        match self.lease {
            Some((holder, _)) if self.renew_at <= now => {
                self.renew_at = now + every;
                self.renewals.push_back(now);
                self.queue.push(Command::Renew(holder));
                self.flush_by(now);
            }
            None if self.register_at <= now && group.leader().is_some() && group.votes() => {
                self.register_at = now + self.terms.lease;
                // Its length counts from here, whenever it is seen.
                self.renewals.clear();
                self.renewals.push_back(now);
                self.queue.push(Command::Register(self.life));
                self.flush_by(now);
            }
            _ => {}
        }
    }

    /// As leader: says whose lease is over, and that time has passed.
    fn lead(&mut self, now: Micros) {
        let Some(group) = self.group.as_ref().filter(|g| g.leads()) else { return };
        let (alive, records): (Vec<Holder>, usize) =
            (group.ledger().alive().filter(|h| h.life != self.life).collect(), group.ledger().len());
        for holder in alive {
            let seen = self.renewed.entry(holder).or_insert(now);
            if now > *seen + self.terms.lease + self.terms.margin {
                *seen = now;
                self.queue.push(Command::Expire(holder));
                self.flush_by(now);
            }
        }
        if self.sweep_at <= now {
            self.sweep_at = now + 1_000_000;
            if records > 0 {
                self.queue.push(Command::Sweep(now));
                self.flush_by(now);
            }
        }
    }

    /// Turns what the log did into news, and sends its messages.
    fn digest(&mut self, now: Micros) {
        let Some(group) = &mut self.group else { return };
        let fleet = group.founding.id;
        let messages = std::mem::take(&mut group.messages);
        self.messages
            .extend(messages.into_iter().map(|(to, bytes)| (peer_of(to), Message::Log(fleet, bytes))));
        let leader = group.leader().map(peer_of);
        if leader != self.leader {
            self.leader = leader;
            self.news.push_back(News::Leader(leader));
        }
        let (effects, restored) = (std::mem::take(&mut group.effects), std::mem::take(&mut group.restored));
        if restored {
            self.restored(now);
        }
        effects.into_iter().for_each(|e| self.effect(now, e));
    }

    fn effect(&mut self, now: Micros, effect: Effect) {
        let own = |h: Holder| h.life == self.life;
        match effect {
            Effect::Registered(h) => {
                self.renewed.insert(h, now);
                if own(h) {
                    let asked = self.renewals.pop_front().unwrap_or(now);
                    let until = asked + self.terms.lease;
                    if until > now && self.lease.is_none() {
                        self.lease = Some((h, until));
                        self.renew_at = now;
                        self.news.push_back(News::Held(h));
                    }
                }
            }
            Effect::Renewed(h) => {
                self.renewed.insert(h, now);
                if let Some((mine, until)) = &mut self.lease
                    && *mine == h
                    && let Some(asked) = self.renewals.pop_front()
                {
                    *until = (*until).max(asked + self.terms.lease);
                }
            }
            Effect::Ended(h) => {
                self.renewed.remove(&h);
                if self.lease.is_some_and(|(mine, _)| mine == h) {
                    self.lease = None;
                    self.register_at = now;
                    self.lose(h);
                }
                self.news.push_back(News::Ended(h));
            }
            Effect::Opened(h, ask) if own(h) => {
                if self.lease.is_some_and(|(mine, _)| mine == h) {
                    self.mine.insert(ask);
                    self.news.push_back(News::Opened(ask));
                }
            }
            Effect::Taken(h, ask) if own(h) => self.news.push_back(News::Taken(ask)),
            Effect::Full(h, ask) | Effect::Fenced(h, ask) if own(h) => {
                self.news.push_back(News::Unrecorded(ask));
            }
            Effect::Opened(..) | Effect::Taken(..) | Effect::Full(..) | Effect::Fenced(..) => {}
            Effect::Claimed { ask, from, by } => {
                let mine = own(by) && self.lease.is_some_and(|(h, _)| h == by);
                if mine {
                    self.mine.insert(ask);
                }
                self.news.push_back(News::Claimed { ask, from, by, mine });
            }
            Effect::Plan => self.news.push_back(News::Plan),
            Effect::Closed(ask, end) => {
                self.mine.remove(&ask);
                self.news.push_back(News::Closed(ask, end));
            }
        }
    }

    /// The record came whole: what it says of this peer stands instead of what was missed.
    fn restored(&mut self, now: Micros) {
        let Some(ledger) = self.group.as_ref().map(Group::ledger) else { return };
        self.news.push_back(News::Plan);
        let alive: BTreeSet<Holder> = ledger.alive().collect();
        self.renewed = alive.iter().map(|h| (*h, now)).collect();
        let Some((holder, _)) = self.lease else { return };
        if !alive.contains(&holder) {
            self.lease = None;
            self.register_at = now;
            return self.lose(holder);
        }
        let owned: BTreeSet<u64> = ledger.owned(holder).collect();
        for ask in self.mine.difference(&owned) {
            self.news.push_back(News::Closed(*ask, End::Gone));
        }
        for &ask in owned.difference(&self.mine) {
            self.news.push_back(News::Claimed { ask, from: holder, by: holder, mine: true });
        }
        self.mine = owned;
    }
}
