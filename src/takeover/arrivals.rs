//! Arriving and sent requests: which may run, which wait, and what is recorded for them.

use super::types::{Gate, Local, Reply, Stage, Try, Waiting};
use super::{Takeover, reply};
use crate::api::Micros;
use fleet::ledger::Outcome;

impl Takeover {
    /// Handles an arriving request.
    pub fn handle_request(&mut self, now: Micros, mut attempt: Try) -> Gate {
        let (rid, repeats) = (attempt.record.attempt_id, attempt.record.repeatable);
        // Without an ask id its client can't retry it, so that an idempotent request needs no record.
        let ask = match attempt.ask {
            Some(ask) => ask,
            None if repeats => return Gate::Go,
            None => rid,
        };
        if attempt.record.statement.as_ref().is_some_and(|s| !repeats || s.len() > self.bounds.statement) {
            attempt.record.statement = None;
        }
        if self.fleet.holds(now).is_none() {
            return if repeats { self.unrecorded(Gate::Go) } else { self.unrecorded(self.later()) };
        }
        if self.conflicts(ask, &attempt) {
            return self.handle_conflict(ask, &attempt);
        }
        if let Some(reply) = self.fleet.ledger().and_then(|l| l.outcome(ask)).map(reply) {
            self.tally.joined += 1;
            self.tally.answered += 1;
            return Gate::Answer(reply);
        }
        if let Some(local) = self.local.get_mut(&ask) {
            self.tally.joined += 1;
            if let Stage::Parked { pages, .. } = &mut local.stage {
                let pages = std::mem::take(pages);
                self.local.remove(&ask);
                self.adopted = self.adopted.saturating_sub(1);
                self.fleet.close(now, ask, Outcome::Removed);
                self.tally.answered += 1;
                return Gate::Answer(Reply::Served(pages));
            }
            self.asks.insert(rid, ask);
            local.waiting.push_back(Waiting { rid, attempt });
            return Gate::Hold;
        }
        if repeats && !attempt.again {
            let local = Local::new(Stage::Opening, &attempt.record, true);
            return match self.fleet.open(now, ask, attempt.record, false) {
                true => {
                    self.local.insert(ask, local);
                    self.own(ask, rid, true, false);
                    self.tally.recorded += 1;
                    Gate::Go
                }
                false => self.unrecorded(Gate::Go),
            };
        }
        // A fleet without its full history may have replaced one that lost its ledger, and the record of this request
        // with it.
        if !repeats && attempt.again && !self.fleet.has_full_history(now) && attempt.ask.is_some() {
            return self.unrecorded(self.later());
        }
        self.fleet.open(now, ask, attempt.record.clone(), true);
        self.asks.insert(rid, ask);
        let mut local = Local::new(Stage::Opening, &attempt.record, attempt.ask.is_some());
        local.waiting.push_back(Waiting { rid, attempt });
        self.local.insert(ask, local);
        Gate::Hold
    }

    pub(super) fn later(&self) -> Gate {
        Gate::Answer(Reply::Refused(self.bounds.backoff_ms))
    }

    pub(super) fn unrecorded(&mut self, gate: Gate) -> Gate {
        self.tally.unrecorded += 1;
        gate
    }

    /// Passes a request that is known here to this dispatcher's balancer, under the id of one of its tries.
    pub(super) fn own(&mut self, ask: u64, rid: u64, repeats: bool, adopted: bool) {
        self.asks.insert(rid, ask);
        if let Some(local) = self.local.get_mut(&ask) {
            local.stage = Stage::Mine { rid, repeats, adopted, fenced: false };
        }
    }

    /// Whether an attempt of a request may be sent now. A request that may not send has to be given up.
    pub fn may_send(&self, now: Micros, rid: u64) -> bool {
        let Some(local) = self.asks.get(&rid).and_then(|a| self.local.get(a)) else { return true };
        match local.stage {
            Stage::Mine { fenced, .. } => !fenced && self.fleet.holds(now).is_some(),
            _ => true,
        }
    }

    /// Records that an attempt of a request was sent.
    pub fn record_attempt(&mut self, now: Micros, rid: u64, executor: u32) {
        if let Some(ask) = self.asks.get(&rid).copied() {
            self.fleet.record_attempt(now, ask, executor);
        }
    }

    /// Whether the outcome of a request still matters after its client has disconnected.
    pub fn is_tracked(&self, rid: u64) -> bool {
        self.asks.contains_key(&rid)
    }

    /// Whether the result of a request is needed for more than its client's answer.
    pub fn keeps_result(&self, rid: u64) -> bool {
        let local = self.asks.get(&rid).and_then(|a| self.local.get(a));
        local.is_some_and(|l| match l.stage {
            Stage::Mine { repeats, adopted, .. } => {
                !repeats || adopted || !l.waiting.is_empty() || !l.wanted.is_empty()
            }
            _ => false,
        })
    }
}
