//! Two requests under one ask id: none is answered with the result of the other.
//!
//! Clients choose their ask ids themselves, so that two of them may use the same one for different requests. The one
//! on record keeps the id. Another read is served without a record, as it may run again. Another load is refused:
//! without a record it could run twice.

use super::types::{Gate, Local, Reply, Stage, TakeoverAction, Try};
use super::{Takeover, reply};
use crate::api::Micros;
use fleet::ledger::Record;

impl Local {
    /// Whether a record is that of the request which this dispatcher has under the same id.
    pub(super) fn is_for(&self, record: &Record) -> bool {
        // What waits has its statement, which tells requests apart where a record has no digest.
        let own = self.waiting.front().map_or(&self.record, |waiting| &waiting.attempt.record);
        self.has_ask && record.is_same_request(own)
    }
}

impl Try {
    /// Whether this is a try of the request with that record. Without an ask id it is never another's try.
    pub(super) fn is_try_of(&self, record: &Record) -> bool {
        self.ask.is_some() && record.is_same_request(&self.record)
    }
}

impl Takeover {
    /// Whether a try belongs to another request than the one that is on record, or in hand here, under its id.
    pub(super) fn conflicts(&self, ask: u64, attempt: &Try) -> bool {
        let recorded = self.fleet.ledger().and_then(|ledger| ledger.record(ask));
        let local = self.local.get(&ask).map(|local| &local.record);
        [recorded, local].into_iter().flatten().any(|record| !attempt.is_try_of(record))
    }

    /// Decides on a try whose id belongs to another request.
    pub(super) fn handle_conflict(&mut self, ask: u64, attempt: &Try) -> Gate {
        self.note_conflict(ask, attempt.record.attempt_id);
        self.unrecorded(if attempt.record.repeatable { Gate::Go } else { self.later() })
    }

    /// Gives up the id of a request because the record under it is another's. Tries that wait are served without a
    /// record or refused; what runs here continues without a record. Returns false if the request stays: it is
    /// a load that runs here, or nothing of it may be sent any more.
    pub(super) fn release_ask(&mut self, ask: u64) -> bool {
        let Some(local) = self.local.get(&ask) else { return true };
        if matches!(local.stage, Stage::Mine { repeats, fenced, .. } if fenced || !repeats) {
            return false;
        }
        let Some(local) = self.local.remove(&ask) else { return true };
        match local.stage {
            Stage::Mine { rid, adopted, .. } => {
                self.asks.remove(&rid);
                self.adopted = self.adopted.saturating_sub(usize::from(adopted));
                self.note_conflict(ask, rid);
            }
            Stage::Parked { .. } => self.adopted = self.adopted.saturating_sub(1),
            Stage::Opening | Stage::Theirs { .. } => {}
        }
        // The record that a load waited for is gone, and with it how the load ended.
        let load_reply = match local.stage {
            Stage::Theirs { .. } => Reply::Failed,
            _ => Reply::Refused(self.bounds.backoff_ms),
        };
        for waiting in local.waiting {
            let rid = waiting.rid;
            self.asks.remove(&rid);
            self.note_conflict(ask, rid);
            self.tally.unrecorded += 1;
            self.actions.push_back(if waiting.attempt.record.repeatable {
                TakeoverAction::Admit(rid)
            } else {
                TakeoverAction::Answer(rid, load_reply.clone())
            });
        }
        true
    }

    /// Compares a request that waits for another peer with what is on record now: after a snapshot the events of its
    /// record may be missing. Returns whether it still waits.
    pub(super) fn check_record(&mut self, now: Micros, ask: u64) -> bool {
        let Some(local) = self.local.get(&ask) else { return false };
        let Some(ledger) = self.fleet.ledger() else { return true };
        let reply = match ledger.record(ask) {
            Some(record) if !local.is_for(record) => {
                self.release_ask(ask);
                return false;
            }
            Some(_) => match ledger.outcome(ask) {
                Some(outcome) => reply(outcome),
                None => return true,
            },
            None if local.record.repeatable => {
                self.open_again(now, ask);
                return false;
            }
            None => Reply::Failed,
        };
        if let Some(mut local) = self.local.remove(&ask) {
            self.answer_all(&mut local, &reply);
        }
        false
    }

    fn note_conflict(&mut self, ask: u64, rid: u64) {
        self.tally.conflicts += 1;
        tracing::info!(
            request = format_args!("{rid:016x}"),
            ask = format_args!("{ask:016x}"),
            "fleet: ask is in use by another request"
        );
    }
}
