//! Takeover of requests from lost dispatchers: which requests are recorded in the replicated ledger, which
//! dispatcher owns each, and what happens when an owner is lost. Sans-I/O; the ledger itself is in the [`fleet`] crate.
//!
//! A request keeps one `ask` id over all tries of its client. A non-idempotent request is recorded before it is
//! sent. An idempotent one is recorded while it is being sent, and only if its client could retry it.
//! A try whose ask is already recorded waits for that outcome and never runs concurrently with it.
//!
//! `arrivals` handles incoming requests, `answers` finished ones, `fleet_events` the events of the fleet, `ownership`
//! lost leases, and `conflicts` requests that use the ask of another; `request_digest` tells them apart.

mod answers;
mod arrivals;
mod conflicts;
mod fleet_events;
mod ownership;
mod request_digest;
mod request_table;
#[cfg(test)]
mod tests;
mod types;

pub use request_digest::{RecordId, RequestContent};
pub use types::{AbandonedOutcome, Bounds, Gate, Pages, Reply, TakeoverAction, Tally, Try};

use crate::api::Micros;
use fleet::ledger::Outcome;
use fleet::wire::Message;
use fleet::{Fleet, Peer};
use request_table::RequestTable;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use types::Stage;

/// The requests that this dispatcher owns or that wait here.
pub struct Takeover {
    /// The replicated state of the fleet.
    pub fleet: Fleet,
    bounds: Bounds,
    local: RequestTable,
    /// Ask id of each request, by request id: those given to the balancer and those that wait.
    asks: BTreeMap<u64, u64>,
    adopted: usize,
    /// The maintenance plan has changed since the host last cleared this flag.
    pub planned: bool,
    /// The same for the admission policy and for this peer's lease.
    pub ruled: bool,
    /// Due times of asks owned by another peer or with a parked result. Entries may be stale.
    due: BTreeSet<(Micros, u64)>,
    /// Actions for the host, in order.
    pub actions: VecDeque<TakeoverAction>,
    /// Counters.
    pub tally: Tally,
}

impl Takeover {
    /// Starts without any requests.
    pub fn new(fleet: Fleet, bounds: Bounds) -> Takeover {
        Takeover {
            fleet,
            bounds,
            local: RequestTable::default(),
            asks: BTreeMap::new(),
            adopted: 0,
            planned: false,
            ruled: false,
            due: BTreeSet::new(),
            actions: VecDeque::new(),
            tally: Tally::default(),
        }
    }

    /// Handles a message from a peer.
    pub fn handle_message(&mut self, now: Micros, from: Peer, message: Message) {
        self.fleet.handle_message(now, from, message);
        self.take_fleet_events(now);
    }

    /// When [`Takeover::tick`] has something to do next.
    pub fn next_due(&self) -> Micros {
        self.due.first().map_or(self.fleet.next_due(), |(at, _)| self.fleet.next_due().min(*at))
    }

    /// Advances the clock. Called first in each turn of the loop, so that a lease that expired while the process was
    /// stalled is dropped before anything is done under it.
    pub fn tick(&mut self, now: Micros) {
        self.fleet.tick(now);
        self.take_fleet_events(now);
        while let Some(&(at, ask)) = self.due.first().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, ask));
            match self.local.get_mut(&ask).map(|l| &mut l.stage) {
                Some(Stage::Theirs { fetch_at }) if *fetch_at == at => {
                    *fetch_at = now + self.bounds.fetch;
                    self.due.insert((*fetch_at, ask));
                    if self.check_record(now, ask) {
                        self.fleet.request_result(ask);
                    }
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

    /// Called once all events of a turn are handled; sends the pending proposals.
    pub fn flush(&mut self, now: Micros) {
        if self.next_due() <= now {
            self.tick(now);
        }
        self.take_fleet_events(now);
    }
}

/// The reply to a try whose ask already has a recorded outcome.
fn reply(end: &Outcome) -> Reply {
    match end {
        Outcome::Served(Some(pages)) => Reply::Served(pages.clone()),
        // It ran and its result is gone, or it is unknown whether it ran.
        Outcome::Served(None) | Outcome::Failed | Outcome::Unknown | Outcome::Removed => Reply::Failed,
    }
}
