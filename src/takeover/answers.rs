//! Finished requests: their replies, and the tries that waited for the same ask.

use super::Takeover;
use super::types::{AbandonedOutcome, Local, Pages, Reply, Stage, TakeoverAction};
use crate::api::Micros;
use fleet::ledger::Outcome;

impl Takeover {
    /// The balancer gave its final answer to a request.
    pub fn handle_answer(&mut self, now: Micros, rid: u64, reply: Reply) {
        let Some(ask) = self.asks.remove(&rid) else { return };
        let Some(local) = self.local.get(&ask) else { return };
        let Stage::Mine { rid: own, repeats, adopted, fenced } = local.stage else {
            return self.waiter_gone(ask, rid);
        };
        if own != rid {
            return self.waiter_gone(ask, rid);
        }
        let Some(mut local) = self.local.remove(&ask) else { return };
        self.adopted -= usize::from(adopted && self.adopted > 0);
        if fenced {
            return self.turn_away(&mut local);
        }
        let pages = match &reply {
            Reply::Served(pages) => Some(pages),
            _ => None,
        };
        for (peer, result_id) in std::mem::take(&mut local.wanted) {
            self.fleet.send_result(peer, result_id, pages.cloned());
        }
        let end = match (&reply, repeats) {
            (Reply::Failed, false) => Outcome::Failed,
            (Reply::Served(pages), false) => Outcome::Served(self.small(pages)),
            _ => Outcome::Removed,
        };
        let asked_for = !local.waiting.is_empty();
        if let (true, false, Reply::Served(pages)) = (adopted, asked_for, &reply) {
            // The client has not retried here yet: keep the result until the request's deadline.
            let until = self.fleet.ledger().and_then(|l| l.open(ask)).map_or(now, |(r, _)| r.deadline);
            if self.adopted < self.bounds.adopted && until > now {
                self.adopted += 1;
                local.stage = Stage::Parked { pages: pages.clone(), until };
                self.due.insert((until, ask));
                self.local.insert(ask, local);
                return;
            }
        }
        self.fleet.close(now, ask, end);
        self.answer_all(&mut local, &reply);
    }

    /// The client of a request disconnected. A non-idempotent request continues; any other has been cancelled.
    pub fn handle_disconnect(&mut self, now: Micros, rid: u64) {
        let Some(ask) = self.asks.get(&rid).copied() else { return };
        let Some(local) = self.local.get_mut(&ask) else { return };
        match local.stage {
            Stage::Mine { rid: own, repeats, fenced, .. } if own == rid => {
                if !repeats {
                    return;
                }
                self.asks.remove(&rid);
                if fenced {
                    self.local.remove(&ask);
                    return;
                }
                self.fleet.close(now, ask, Outcome::Removed);
                self.open_again(now, ask);
            }
            _ => {
                self.asks.remove(&rid);
                self.waiter_gone(ask, rid);
            }
        }
    }

    /// A request whose client had disconnected is finished.
    pub fn handle_abandoned_outcome(&mut self, now: Micros, rid: u64, outcome: AbandonedOutcome) {
        let Some(ask) = self.asks.remove(&rid) else { return };
        let Some(local) = self.local.get(&ask) else { return };
        let is_own = matches!(local.stage, Stage::Mine { rid: own, .. } if own == rid);
        if !is_own {
            // A try that waited. How the request itself ends is not known yet.
            return self.waiter_gone(ask, rid);
        }
        let Some(mut local) = self.local.remove(&ask) else { return };
        if matches!(local.stage, Stage::Mine { fenced: true, .. }) {
            return self.turn_away(&mut local);
        }
        let (end, reply) = match outcome {
            AbandonedOutcome::Served(pages) => (Outcome::Served(self.small(&pages)), Reply::Served(pages)),
            AbandonedOutcome::NeverRan => {
                self.fleet.close(now, ask, Outcome::Removed);
                self.local.insert(ask, local);
                return self.open_again(now, ask);
            }
            AbandonedOutcome::MayHaveRan => (Outcome::Unknown, Reply::Failed),
        };
        if let Reply::Served(pages) = &reply {
            for (peer, result_id) in &local.wanted {
                self.fleet.send_result(*peer, *result_id, Some(pages.clone()));
            }
        }
        self.fleet.close(now, ask, end);
        self.answer_all(&mut local, &reply);
    }

    fn small(&self, pages: &Pages) -> Option<Pages> {
        (pages.iter().map(Vec::len).sum::<usize>() <= self.bounds.result).then(|| pages.clone())
    }

    /// Removes a waiting try. A record that is being opened for it goes to the next one that waits, or is closed.
    fn waiter_gone(&mut self, ask: u64, rid: u64) {
        let Some(local) = self.local.get_mut(&ask) else { return };
        local.waiting.retain(|w| w.rid != rid);
        if local.waiting.is_empty() && matches!(local.stage, Stage::Theirs { .. }) {
            self.local.remove(&ask);
        }
    }

    pub(super) fn answer_all(&mut self, local: &mut Local, reply: &Reply) {
        for w in std::mem::take(&mut local.waiting) {
            self.asks.remove(&w.rid);
            self.tally.answered += 1;
            self.actions.push_back(TakeoverAction::Answer(w.rid, reply.clone()));
        }
    }

    pub(super) fn turn_away(&mut self, local: &mut Local) {
        let reply = Reply::Refused(self.bounds.backoff_ms);
        self.answer_all(local, &reply);
    }

    /// Nobody owns the ask any more: records it for the first try that waits for it, if there is one.
    pub(super) fn open_again(&mut self, now: Micros, ask: u64) {
        let Some(local) = self.local.get_mut(&ask) else { return };
        let Some(first) = local.waiting.front() else {
            self.local.remove(&ask);
            return;
        };
        local.stage = Stage::Opening;
        local.wanted.clear();
        let record = first.attempt.record.clone();
        local.record.attempt_id = record.attempt_id;
        if !self.fleet.open(now, ask, record, true)
            && let Some(mut local) = self.local.remove(&ask)
        {
            self.turn_away(&mut local);
        }
    }
}
