//! Changes of ownership: requests of lost peers that become this dispatcher's, and its own after its lease has ended.

use super::Takeover;
use super::types::{Local, Reply, Stage, TakeoverAction};
use crate::api::Micros;
use fleet::Holder;
use fleet::ledger::Outcome;

impl Takeover {
    /// A request has a new owner, as the lease of the old one ended.
    pub(super) fn reassigned(&mut self, now: Micros, ask: u64, from: Holder, mine: bool) {
        if !mine {
            if let Some(Local { stage: Stage::Theirs { fetch_at }, .. }) = self.local.get_mut(&ask) {
                *fetch_at = now;
                self.due.insert((now, ask));
            }
            return;
        }
        self.tally.claimed += 1;
        let Some(record) = self.fleet.ledger().and_then(|l| l.open(ask)).map(|(r, _)| r.clone()) else {
            return;
        };
        tracing::info!(
            request = format_args!("{:016x}", record.attempt_id),
            peer = fleet::peer_of(from.incarnation),
            tried = record.executors_tried.len(),
            "fleet: taken over"
        );
        if self.local.get(&ask).is_some_and(|local| !local.is_for(&record)) && !self.release_ask(ask) {
            return self.fleet.close(now, ask, Outcome::Removed);
        }
        if let Some(local) = self.local.get_mut(&ask) {
            // Its client has retried here already: that try takes its place.
            if let Some(first) = local.waiting.pop_front() {
                self.own(ask, first.rid, first.attempt.record.repeatable, false);
                self.actions.push_back(TakeoverAction::Admit(first.rid));
                return;
            }
            if matches!(local.stage, Stage::Mine { .. } | Stage::Parked { .. }) {
                return;
            }
            self.local.remove(&ask);
        }
        let left = record.deadline > now + self.bounds.fetch;
        let sendable = record.statement.is_some() && record.executors_tried.len() < self.bounds.attempts;
        if !left
            || !sendable
            || self.adopted >= self.bounds.adopted
            || self.asks.contains_key(&record.attempt_id)
        {
            return self.fleet.close(now, ask, Outcome::Removed);
        }
        self.adopted += 1;
        self.tally.adopted += 1;
        self.local.insert(ask, Local::new(Stage::Opening, &record, true));
        self.own(ask, record.attempt_id, true, true);
        self.actions.push_back(TakeoverAction::Adopt(record));
    }

    /// The lease ended. Requests that run here are fenced, and further tries of them are refused. Idempotent ones are
    /// released, because another peer takes them over. Non-idempotent ones continue although the log line counts them
    /// as let go: no peer runs them again, so the try that runs here may still be answered. Requests in all other
    /// stages are refused.
    pub(super) fn lost(&mut self, holder: Holder) {
        tracing::warn!(
            term = holder.term,
            in_hand = self.local.len(),
            "fleet: lease lost, all in hand is let go"
        );
        let asks: Vec<u64> = self.local.asks().collect();
        for ask in asks {
            let Some(local) = self.local.get_mut(&ask) else { continue };
            match &mut local.stage {
                Stage::Mine { rid, fenced, repeats, .. } => {
                    *fenced = true;
                    let (rid, repeats) = (*rid, *repeats);
                    let mut waiting = std::mem::take(&mut local.waiting);
                    for w in waiting.drain(..) {
                        self.asks.remove(&w.rid);
                        self.actions
                            .push_back(TakeoverAction::Answer(w.rid, Reply::Refused(self.bounds.backoff_ms)));
                    }
                    if repeats {
                        self.tally.let_go += 1;
                        self.actions.push_back(TakeoverAction::LetGo(rid));
                    }
                }
                Stage::Opening | Stage::Theirs { .. } | Stage::Parked { .. } => {
                    if let Some(mut local) = self.local.remove(&ask) {
                        self.turn_away(&mut local);
                    }
                }
            }
        }
        self.adopted = 0;
    }
}
