//! The ledger of in-flight requests: a state machine that all peers apply.
//!
//! A request's record is stored under its `request_id`, which stays the same over all attempts of its client. The first
//! holder to open a record owns the request; later ones are told that it exists. Records of requests that must
//! not run twice stay after the request's end, so that a repeated attempt is answered and not executed.

mod digests;
mod types;

pub(crate) use digests::RecordDigest;
pub use types::{Command, Effect, Limits, Outcome, Record, RequestDigest};

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
    /// Whether the owner has opened the record with its digest, so that it finds the request by it. Not a part of the
    /// encoding, like the digest.
    #[serde(skip)]
    owner_knows_digest: bool,
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
    expiries: BTreeSet<(Micros, u64)>,
    last_sweep: Micros,
}

/// The callback that receives the effects of a command.
type EffectSink<'a> = &'a mut dyn FnMut(Effect);

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(limits: Limits) -> Ledger {
        Ledger {
            limits,
            entries: BTreeMap::new(),
            owned: BTreeMap::new(),
            expiries: BTreeSet::new(),
            last_sweep: 0,
        }
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
    pub fn open(&self, request_id: u64) -> Option<(&Record, Holder)> {
        match self.entries.get(&request_id) {
            Some(Entry { record, state: State::Open(h), .. }) => Some((record, *h)),
            _ => None,
        }
    }

    /// The record of a request, open or ended.
    pub fn record(&self, request_id: u64) -> Option<&Record> {
        self.entries.get(&request_id).map(|entry| &entry.record)
    }

    /// How a recorded request ended, if it has.
    pub fn outcome(&self, request_id: u64) -> Option<&Outcome> {
        match self.entries.get(&request_id) {
            Some(Entry { state: State::Done(end), .. }) => Some(end),
            _ => None,
        }
    }

    /// The requests that a holder owns.
    pub fn owned(&self, holder: Holder) -> impl Iterator<Item = u64> + '_ {
        self.owned.get(&holder).into_iter().flatten().copied()
    }

    /// Applies a command, given the current lease holders.
    pub(crate) fn apply(&mut self, command: Command, alive: &BTreeSet<Holder>, out: EffectSink<'_>) {
        match command {
            Command::Open(h, request_id, record) => {
                let effect = if !alive.contains(&h) {
                    Effect::LeaseEnded(h, request_id)
                } else if self.entries.contains_key(&request_id) {
                    Effect::AlreadyRecorded(h, request_id)
                } else if self.entries.len() >= self.limits.records as usize {
                    Effect::Full(h, request_id)
                } else {
                    self.expiries.insert((self.expiry(&record), request_id));
                    self.owned.entry(h).or_default().insert(request_id);
                    let owner_knows_digest = record.digest.is_some();
                    let state = State::Open(h);
                    self.entries.insert(request_id, Entry { record, state, owner_knows_digest });
                    Effect::Opened(h, request_id)
                };
                out(effect);
            }
            Command::AddAttempt(h, request_id, executor) => {
                if let Some(Entry { record, state: State::Open(owner), .. }) =
                    self.entries.get_mut(&request_id)
                    && *owner == h
                {
                    record.executors_tried.push(executor);
                }
            }
            Command::Close(h, request_id, end) => {
                if self.open(request_id).is_some_and(|(_, owner)| owner == h) {
                    self.close(request_id, end, out);
                }
            }
        }
    }

    /// Removes the records that have expired.
    pub(crate) fn sweep(&mut self, now: Micros, out: EffectSink<'_>) {
        self.last_sweep = self.last_sweep.max(now);
        while let Some(&(at, request_id)) = self.expiries.first().filter(|(at, _)| *at <= now) {
            self.expiries.remove(&(at, request_id));
            if let Some((_, owner)) = self.open(request_id) {
                self.remove_owner(owner, request_id);
                out(Effect::Closed(request_id, Outcome::Removed));
            }
            self.entries.remove(&request_id);
        }
    }

    fn expiry(&self, record: &Record) -> Micros {
        record.deadline.saturating_add(self.limits.retention)
    }

    fn remove_owner(&mut self, owner: Holder, request_id: u64) {
        if let Some(all) = self.owned.get_mut(&owner) {
            all.remove(&request_id);
            if all.is_empty() {
                self.owned.remove(&owner);
            }
        }
    }

    fn close(&mut self, request_id: u64, end: Outcome, out: EffectSink<'_>) {
        let Some((_, owner)) = self.open(request_id) else { return };
        self.remove_owner(owner, request_id);
        if end == Outcome::Removed {
            if let Some(e) = self.entries.remove(&request_id) {
                self.expiries.remove(&(self.expiry(&e.record), request_id));
            }
        } else if let Some(e) = self.entries.get_mut(&request_id) {
            // Repeated attempts are answered from the outcome; the statement is no longer needed.
            (e.state, e.record.statement) = (State::Done(end.clone()), None);
        }
        out(Effect::Closed(request_id, end));
    }

    /// Handles the end of a lease. Requests that must not run twice may have run, so they end as
    /// [`Outcome::Unknown`]; all others are spread over the holders that are alive, or dropped if there are none.
    pub(crate) fn on_lease_end(&mut self, h: Holder, successors: &BTreeSet<Holder>, out: EffectSink<'_>) {
        for request_id in self.owned.remove(&h).unwrap_or_default() {
            let repeatable = self.entries.get(&request_id).is_some_and(|e| e.record.repeatable);
            if !repeatable {
                self.close(request_id, Outcome::Unknown, out);
                continue;
            }
            let successor = successors
                .iter()
                .max_by_key(|successor| rendezvous_hash(request_id, successor.incarnation))
                .copied();
            match (successor, self.entries.get_mut(&request_id)) {
                (Some(by), Some(e)) => {
                    (e.state, e.owner_knows_digest) = (State::Open(by), false);
                    self.owned.entry(by).or_default().insert(request_id);
                    out(Effect::Reassigned { request_id, from: h, by });
                }
                _ => self.close(request_id, Outcome::Removed, out),
            }
        }
    }

    /// Rebuilds the derived indexes after decoding.
    pub(crate) fn restore(&mut self) {
        for (request_id, e) in &self.entries {
            self.expiries.insert((e.record.deadline.saturating_add(self.limits.retention), *request_id));
            if let State::Open(h) = e.state {
                self.owned.entry(h).or_default().insert(*request_id);
            }
        }
    }
}

/// Hash for spreading requests over holders (rendezvous hashing), the same at all peers: the splitmix64 finalizer.
fn rendezvous_hash(request_id: u64, incarnation: Incarnation) -> u64 {
    let mut x = request_id ^ incarnation.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
