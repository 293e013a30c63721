//! The record of work in hand: a state machine that every peer applies alike.
//!
//! A request has a record under its `ask`, the name that it keeps over all tries of its client. Whoever opens
//! the record first owns it; all others are told that it is taken. What must not run twice stays on record
//! after its end, so that a try that comes back is answered and not run.

use crate::plan::{self, Plan};
use crate::{Life, Micros, peer_of};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A peer's right to act: one life of it and a term, which grows each time that it lost its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The process.
    pub life: Life,
    /// Counts its leases, from 1.
    pub term: u32,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// Nothing of it is left that matters: it never ran, or may run again. The record goes.
    Gone,
    /// It ran and was answered; the pages of its result, or none where they were too large to keep.
    Served(Option<Vec<Vec<u8>>>),
    /// It ended in an error and may have run.
    Failed,
    /// Its owner was lost, and it may have run: it never runs again.
    Unknown,
}

/// A request on record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The id of the try that opened it.
    pub rid: u64,
    /// Its class, an index.
    pub class: u16,
    /// Its tenant, an index.
    pub tenant: Option<u16>,
    /// Its key, in classes that keep order.
    pub key: Option<u64>,
    /// Its group of tables.
    pub group: u64,
    /// Estimated work of all threads, in seconds.
    pub work_s: Option<f64>,
    /// Estimated memory in MB.
    pub memory_mb: Option<f64>,
    /// It may run more than once.
    pub repeats: bool,
    /// The statement, where it may be sent again by another and is short enough.
    pub statement: Option<String>,
    /// When its client gives up, by the Unix clock.
    pub deadline: Micros,
    /// Where it was sent, in order: the executors' numbers.
    pub tried: Vec<u32>,
}

/// What happens to the record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A life asks for a lease: the next term of it.
    Register(Life),
    /// The lease goes on.
    Renew(Holder),
    /// The lease ended without a renewal: all that it owns goes to others.
    Expire(Holder),
    /// The peer ends in order.
    Leave(Holder),
    /// A request comes into hand.
    Open(Holder, u64, Record),
    /// It was sent to an executor.
    Tried(Holder, u64, u32),
    /// It is over.
    Close(Holder, u64, End),
    /// Time passes, by the leader's clock: what is past its time goes.
    Sweep(Micros),
    /// Moves the plan of machines that are taken out for work.
    Plan(plan::Command),
}

/// What a command did.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// A lease was given.
    Registered(Holder),
    /// A lease was renewed.
    Renewed(Holder),
    /// A lease is over.
    Ended(Holder),
    /// The record was opened by its holder.
    Opened(Holder, u64),
    /// It was not: it is on record already.
    Taken(Holder, u64),
    /// It was not: there are too many.
    Full(Holder, u64),
    /// It was not: the holder's lease is over.
    Fenced(Holder, u64),
    /// The record has a new owner, as the old one was lost.
    Claimed {
        /// The request.
        ask: u64,
        /// Who owned it.
        from: Holder,
        /// Who owns it now.
        by: Holder,
    },
    /// The request is over.
    Closed(u64, End),
    /// The plan has changed.
    Plan,
}

/// What bounds the record; the same at every peer, so it comes with the founding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Records at most.
    pub records: u32,
    /// How long after its deadline an ended request that must not run twice is remembered.
    pub remember: Micros,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum State {
    Open(Holder),
    Done(End),
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Entry {
    record: Record,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Lease {
    term: u32,
    alive: bool,
}

/// The record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    limits: Limits,
    leases: BTreeMap<Life, Lease>,
    /// The last batch of each life that was applied; batches that come again are skipped.
    batches: BTreeMap<Life, u64>,
    entries: BTreeMap<u64, Entry>,
    /// What each holder owns; follows from the entries.
    #[serde(skip)]
    owned: BTreeMap<Holder, BTreeSet<u64>>,
    /// When each entry goes: its deadline and more; follows from the entries.
    #[serde(skip)]
    times: BTreeSet<(Micros, u64)>,
    swept: Micros,
    plan: Plan,
}

/// Lives remembered at most, so that terms never start anew for one that returns.
const MOST_LIVES: usize = 64;

impl Ledger {
    /// An empty one.
    pub fn new(limits: Limits) -> Ledger {
        Ledger {
            limits,
            leases: BTreeMap::new(),
            batches: BTreeMap::new(),
            entries: BTreeMap::new(),
            owned: BTreeMap::new(),
            times: BTreeSet::new(),
            swept: 0,
            plan: Plan::default(),
        }
    }

    /// Records, the ended ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The bounds it was founded with.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Holders whose lease goes on.
    pub fn alive(&self) -> impl Iterator<Item = Holder> + '_ {
        self.leases.iter().filter(|(_, l)| l.alive).map(|(&life, l)| Holder { life, term: l.term })
    }

    /// A request on record, if it is open: with its owner.
    pub fn open(&self, ask: u64) -> Option<(&Record, Holder)> {
        match self.entries.get(&ask) {
            Some(Entry { record, state: State::Open(h) }) => Some((record, *h)),
            _ => None,
        }
    }

    /// How a request on record ended, if it has.
    pub fn ended(&self, ask: u64) -> Option<&End> {
        match self.entries.get(&ask) {
            Some(Entry { state: State::Done(end), .. }) => Some(end),
            _ => None,
        }
    }

    /// What a holder owns.
    pub fn owned(&self, holder: Holder) -> impl Iterator<Item = u64> + '_ {
        self.owned.get(&holder).into_iter().flatten().copied()
    }

    /// The plan of machines that are taken out for work.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The last batch of a life that was applied.
    pub fn batch(&self, life: Life) -> u64 {
        self.batches.get(&life).copied().unwrap_or(0)
    }

    /// Takes a numbered batch of one life: in order and once. False if it was skipped.
    pub fn apply(&mut self, from: Life, number: u64, commands: Vec<Command>, out: &mut Vec<Effect>) -> bool {
        if number != self.batch(from) + 1 {
            return false;
        }
        self.batches.insert(from, number);
        commands.into_iter().for_each(|c| self.command(c, out));
        true
    }

    fn alive_as(&self, h: Holder) -> bool {
        self.leases.get(&h.life).is_some_and(|l| l.alive && l.term == h.term)
    }

    fn command(&mut self, command: Command, out: &mut Vec<Effect>) {
        match command {
            Command::Register(life) => {
                let lease = self.leases.entry(life).or_insert(Lease { term: 0, alive: false });
                if !lease.alive {
                    *lease = Lease { term: lease.term + 1, alive: true };
                }
                out.push(Effect::Registered(Holder { life, term: lease.term }));
                self.forget_lives();
            }
            Command::Renew(h) => out.extend(self.alive_as(h).then_some(Effect::Renewed(h))),
            Command::Expire(h) | Command::Leave(h) => self.end(h, out),
            Command::Open(h, ask, record) => {
                let effect = if !self.alive_as(h) {
                    Effect::Fenced(h, ask)
                } else if self.entries.contains_key(&ask) {
                    Effect::Taken(h, ask)
                } else if self.entries.len() >= self.limits.records as usize {
                    Effect::Full(h, ask)
                } else {
                    self.times.insert((self.time(&record), ask));
                    self.owned.entry(h).or_default().insert(ask);
                    self.entries.insert(ask, Entry { record, state: State::Open(h) });
                    Effect::Opened(h, ask)
                };
                out.push(effect);
            }
            Command::Tried(h, ask, executor) => {
                if let Some(Entry { record, state: State::Open(owner) }) = self.entries.get_mut(&ask)
                    && *owner == h
                {
                    record.tried.push(executor);
                }
            }
            Command::Close(h, ask, end) => {
                if self.open(ask).is_some_and(|(_, owner)| owner == h) {
                    self.close(ask, end, out);
                }
            }
            Command::Plan(command) => out.extend(self.plan.apply(command).then_some(Effect::Plan)),
            Command::Sweep(now) => {
                self.swept = self.swept.max(now);
                while let Some(&(at, ask)) = self.times.first().filter(|(at, _)| *at <= now) {
                    self.times.remove(&(at, ask));
                    if let Some((_, owner)) = self.open(ask) {
                        self.disown(owner, ask);
                        out.push(Effect::Closed(ask, End::Gone));
                    }
                    self.entries.remove(&ask);
                }
            }
        }
    }

    fn time(&self, record: &Record) -> Micros {
        record.deadline.saturating_add(self.limits.remember)
    }

    fn disown(&mut self, owner: Holder, ask: u64) {
        if let Some(all) = self.owned.get_mut(&owner) {
            all.remove(&ask);
            if all.is_empty() {
                self.owned.remove(&owner);
            }
        }
    }

    fn close(&mut self, ask: u64, end: End, out: &mut Vec<Effect>) {
        let Some((_, owner)) = self.open(ask) else { return };
        self.disown(owner, ask);
        if end == End::Gone {
            if let Some(e) = self.entries.remove(&ask) {
                self.times.remove(&(self.time(&e.record), ask));
            }
        } else if let Some(e) = self.entries.get_mut(&ask) {
            // Who asks again is told how it ended, and needs no statement for that.
            (e.state, e.record.statement) = (State::Done(end.clone()), None);
        }
        out.push(Effect::Closed(ask, end));
    }

    /// A lease is over: what must not run twice may have run, and never runs again; the rest goes to others,
    /// spread over those alive. With nobody alive it waits for the next who registers.
    fn end(&mut self, h: Holder, out: &mut Vec<Effect>) {
        if !self.alive_as(h) {
            return;
        }
        if let Some(lease) = self.leases.get_mut(&h.life) {
            lease.alive = false;
        }
        out.push(Effect::Ended(h));
        let heirs: Vec<Holder> = self.alive().collect();
        for ask in self.owned.remove(&h).unwrap_or_default() {
            let repeats = self.entries.get(&ask).is_some_and(|e| e.record.repeats);
            if !repeats {
                self.close(ask, End::Unknown, out);
                continue;
            }
            let heir = heirs.iter().max_by_key(|heir| mixed(ask, heir.life)).copied();
            match (heir, self.entries.get_mut(&ask)) {
                (Some(by), Some(e)) => {
                    e.state = State::Open(by);
                    self.owned.entry(by).or_default().insert(ask);
                    out.push(Effect::Claimed { ask, from: h, by });
                }
                _ => self.close(ask, End::Gone, out),
            }
        }
        self.forget_lives();
    }

    /// Lives that a later one of their peer has followed go, the oldest first; a peer's last is never forgotten.
    fn forget_lives(&mut self) {
        while self.leases.len() > MOST_LIVES {
            let lives: Vec<Life> = self.leases.keys().copied().collect();
            let followed = |w: &&[Life]| peer_of(w[0]) == peer_of(w[1]) && !self.leases[&w[0]].alive;
            let Some(old) = lives.windows(2).find(followed).map(|w| w[0]) else { return };
            self.leases.remove(&old);
            self.batches.remove(&old);
        }
    }

    /// The whole, for a peer that joins.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads what [`Ledger::encode`] wrote.
    pub fn decode(bytes: &[u8]) -> Result<Ledger, postcard::Error> {
        let mut ledger: Ledger = postcard::from_bytes(bytes)?;
        for (ask, e) in &ledger.entries {
            ledger.times.insert((e.record.deadline.saturating_add(ledger.limits.remember), *ask));
            if let State::Open(h) = e.state {
                ledger.owned.entry(h).or_default().insert(*ask);
            }
        }
        Ok(ledger)
    }
}

/// Spreads requests over heirs, alike everywhere: splitmix64's finish.
fn mixed(ask: u64, life: Life) -> u64 {
    let mut x = ask ^ life.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
