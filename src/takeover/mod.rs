//! Work in hand that survives its dispatcher: which requests are on the fleet's record, who may act on them, and
//! what becomes of those whose owner was lost. Sans-I/O; the record itself is the [`fleet`] crate's.
//!
//! A request is known over all tries of its client by its `ask`. What must not run twice is on record before it
//! is sent; what may repeat is put on record beside being sent, and only where a client could come back for it.
//! A try that finds its ask on record waits for what comes of that: it never runs beside it.
//!
//! `arrivals` has the requests that come, `answers` those that end, and `fleet_events` what the fleet tells of them.

mod answers;
mod arrivals;
mod fleet_events;
#[cfg(test)]
mod tests;
mod types;

pub use types::{Bounds, Gate, Move, Pages, Past, Reply, Tally, Try};

use crate::api::Micros;
use fleet::ledger::Outcome;
use fleet::wire::Message;
use fleet::{Fleet, Peer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use types::{Local, Stage};

/// Work in hand.
pub struct Takeover {
    /// The fleet.
    pub fleet: Fleet,
    bounds: Bounds,
    local: BTreeMap<u64, Local>,
    /// The ask of each request that the decisions have or that waits.
    asks: BTreeMap<u64, u64>,
    adopted: usize,
    /// The plan of machines that are taken out for work has changed since this was last asked.
    pub planned: bool,
    /// The same of what all admit requests by, or this peer's lease.
    pub ruled: bool,
    /// When something that is another's, or kept for a client, is to be looked at; some may no longer be.
    due: BTreeSet<(Micros, u64)>,
    /// What is to be done.
    pub moves: VecDeque<Move>,
    /// Counters.
    pub tally: Tally,
}

impl Takeover {
    /// Nothing in hand.
    pub fn new(fleet: Fleet, bounds: Bounds) -> Takeover {
        Takeover {
            fleet,
            bounds,
            local: BTreeMap::new(),
            asks: BTreeMap::new(),
            adopted: 0,
            planned: false,
            ruled: false,
            due: BTreeSet::new(),
            moves: VecDeque::new(),
            tally: Tally::default(),
        }
    }

    /// A message of a peer.
    pub fn hears(&mut self, now: Micros, from: Peer, message: Message) {
        self.fleet.handle_message(now, from, message);
        self.take_fleet_events(now);
    }

    /// When [`Takeover::tick`] has something to do next.
    pub fn next_due(&self) -> Micros {
        self.due.first().map_or(self.fleet.next_due(), |(at, _)| self.fleet.next_due().min(*at))
    }

    /// Lets time pass. Called before anything else of a turn: a lease that ran out while this process stood
    /// still is over before it acts on it.
    pub fn tick(&mut self, now: Micros) {
        self.fleet.tick(now);
        self.take_fleet_events(now);
        while let Some(&(at, ask)) = self.due.first().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, ask));
            match self.local.get_mut(&ask).map(|l| &mut l.stage) {
                Some(Stage::Theirs { fetch_at }) if *fetch_at == at => {
                    *fetch_at = now + self.bounds.fetch;
                    self.due.insert((*fetch_at, ask));
                    self.fleet.request_result(ask);
                }
                Some(Stage::Parked { until, .. }) if *until == at => {
                    self.local.remove(&ask);
                    self.adopted = self.adopted.saturating_sub(1);
                    self.fleet.close(now, ask, Outcome::Removed);
                }
                _ => {}
            }
        }
    }

    /// All that came at one moment was handled: what is to be agreed first goes out.
    pub fn flush(&mut self, now: Micros) {
        if self.next_due() <= now {
            self.tick(now);
        }
        self.take_fleet_events(now);
    }
}

/// What a try is answered that finds its ask ended on record.
fn reply(end: &Outcome) -> Reply {
    match end {
        Outcome::Served(Some(pages)) => Reply::Served(pages.clone()),
        // It ran, and its result is no longer there; or whether it ran is not known.
        Outcome::Served(None) | Outcome::Failed | Outcome::Unknown | Outcome::Removed => Reply::Failed,
    }
}
