//! The ledger of in-flight requests: a state machine that all peers apply.
//!
//! A request's record is stored under its `ask`, an id that stays the same over all attempts of its client. The first
//! holder to open a record owns the request; later ones are told that it exists. Records of requests that must
//! not run twice stay after the request's end, so that a repeated attempt is answered and not executed.

mod types;

pub use types::{Command, Effect, Limits, Outcome, Record};

use crate::{Holder, Incarnation, Micros};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum State {
    Open(Holder),
    Done(Outcome),
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Entry {
    record: Record,
    state: State,
}

/// The records of in-flight and recently ended requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    limits: Limits,
    entries: BTreeMap<u64, Entry>,
    /// Index of the requests of each holder, derived from `entries`.
    #[serde(skip)]
    owned: BTreeMap<Holder, BTreeSet<u64>>,
    /// Index of the expiry times: the deadline and the retention after it; derived from `entries`.
    #[serde(skip)]
    times: BTreeSet<(Micros, u64)>,
    swept: Micros,
}

/// Receives the effects of a command.
type Out<'a> = &'a mut dyn FnMut(Effect);

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(limits: Limits) -> Ledger {
        Ledger { limits, entries: BTreeMap::new(), owned: BTreeMap::new(), times: BTreeSet::new(), swept: 0 }
    }

    /// The number of records, including those of ended requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the ledger has no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The record of an open request, with its owner.
    pub fn open(&self, ask: u64) -> Option<(&Record, Holder)> {
        match self.entries.get(&ask) {
            Some(Entry { record, state: State::Open(h) }) => Some((record, *h)),
            _ => None,
        }
    }

    /// How a recorded request ended, if it has.
    pub fn outcome(&self, ask: u64) -> Option<&Outcome> {
        match self.entries.get(&ask) {
            Some(Entry { state: State::Done(end), .. }) => Some(end),
            _ => None,
        }
    }

    /// The requests that a holder owns.
    pub fn owned(&self, holder: Holder) -> impl Iterator<Item = u64> + '_ {
        self.owned.get(&holder).into_iter().flatten().copied()
    }

    /// Applies a command, given the current lease holders.
    pub(crate) fn apply(&mut self, command: Command, alive: &BTreeSet<Holder>, out: Out<'_>) {
        match command {
            Command::Open(h, ask, record) => {
                let effect = if !alive.contains(&h) {
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
                out(effect);
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
        }
    }

    /// Removes the records that have expired.
    pub(crate) fn sweep(&mut self, now: Micros, out: Out<'_>) {
        self.swept = self.swept.max(now);
        while let Some(&(at, ask)) = self.times.first().filter(|(at, _)| *at <= now) {
            self.times.remove(&(at, ask));
            if let Some((_, owner)) = self.open(ask) {
                self.disown(owner, ask);
                out(Effect::Closed(ask, Outcome::Removed));
            }
            self.entries.remove(&ask);
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

    fn close(&mut self, ask: u64, end: Outcome, out: Out<'_>) {
        let Some((_, owner)) = self.open(ask) else { return };
        self.disown(owner, ask);
        if end == Outcome::Removed {
            if let Some(e) = self.entries.remove(&ask) {
                self.times.remove(&(self.time(&e.record), ask));
            }
        } else if let Some(e) = self.entries.get_mut(&ask) {
            // Repeated attempts are answered from the outcome; the statement is no longer needed.
            (e.state, e.record.statement) = (State::Done(end.clone()), None);
        }
        out(Effect::Closed(ask, end));
    }

    /// Handles the end of a lease. Requests that must not run twice may have run, so they end as
    /// [`Outcome::Unknown`]; all others are spread over the holders that are alive, or dropped if there are none.
    pub(crate) fn end(&mut self, h: Holder, heirs: &BTreeSet<Holder>, out: Out<'_>) {
        for ask in self.owned.remove(&h).unwrap_or_default() {
            let repeats = self.entries.get(&ask).is_some_and(|e| e.record.repeats);
            if !repeats {
                self.close(ask, Outcome::Unknown, out);
                continue;
            }
            let heir = heirs.iter().max_by_key(|heir| mixed(ask, heir.incarnation)).copied();
            match (heir, self.entries.get_mut(&ask)) {
                (Some(by), Some(e)) => {
                    e.state = State::Open(by);
                    self.owned.entry(by).or_default().insert(ask);
                    out(Effect::Claimed { ask, from: h, by });
                }
                _ => self.close(ask, Outcome::Removed, out),
            }
        }
    }

    /// Rebuilds the derived indexes after decoding.
    pub(crate) fn restore(&mut self) {
        for (ask, e) in &self.entries {
            self.times.insert((e.record.deadline.saturating_add(self.limits.remember), *ask));
            if let State::Open(h) = e.state {
                self.owned.entry(h).or_default().insert(*ask);
            }
        }
    }
}

/// Hash for spreading requests over holders (rendezvous hashing), the same at all peers: the splitmix64 finalizer.
fn mixed(ask: u64, incarnation: Incarnation) -> u64 {
    let mut x = ask ^ incarnation.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
