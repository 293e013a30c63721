//! Handles events of the fleet: records opened and closed, and results of other peers' requests.

use super::types::{Local, Pages, Reply, Stage, TakeoverAction};
use super::{Takeover, reply};
use crate::api::Micros;
use fleet::ledger::Outcome;
use fleet::{FleetEvent, Peer, StateKind};

impl Takeover {
    pub(super) fn take_fleet_events(&mut self, now: Micros) {
        while let Some(event) = self.fleet.events.pop_front() {
            self.ruled |= matches!(
                event,
                FleetEvent::LeaseAcquired(_)
                    | FleetEvent::LeaseLost(_)
                    | FleetEvent::FleetJoined(_)
                    | FleetEvent::FleetAbandoned(_)
            );
            match event {
                FleetEvent::Opened(ask) => self.opened(now, ask),
                FleetEvent::AlreadyRecorded(ask) => self.already_recorded(now, ask),
                FleetEvent::NotRecorded(ask) => self.not_recorded(ask),
                FleetEvent::Reassigned { request_id: ask, from, mine, .. } => {
                    self.reassigned(now, ask, from, mine)
                }
                FleetEvent::Closed(ask, end) => self.closed(now, ask, &end),
                FleetEvent::ResultRequested(peer, result_id) => self.result_requested(now, peer, result_id),
                FleetEvent::ResultReceived(result_id, pages) => self.result_received(result_id, pages),
                FleetEvent::StateChanged(StateKind::Plan) => self.planned = true,
                FleetEvent::StateChanged(StateKind::Policy) => self.ruled = true,
                // Not used yet.
                FleetEvent::StateChanged(StateKind::Schema | StateKind::Slots) => {}
                FleetEvent::LeaseLost(holder) => self.lost(holder),
                FleetEvent::LeaseAcquired(h) => tracing::info!(term = h.term, "fleet: lease held"),
                FleetEvent::LeaseEnded(h) => {
                    tracing::warn!(
                        peer = fleet::peer_of(h.incarnation),
                        term = h.term,
                        "fleet: a peer's lease is over"
                    );
                }
                FleetEvent::FleetJoined(id) => {
                    tracing::info!(fleet = format_args!("{id:016x}"), "fleet: takes part")
                }
                FleetEvent::LeaderChanged(leader) => tracing::info!(?leader, "fleet: leader"),
                FleetEvent::FleetAbandoned(id) => {
                    let fleet = format_args!("{id:016x}");
                    tracing::error!(fleet, "fleet: its majority has started anew; its record is lost");
                }
            }
        }
    }

    fn opened(&mut self, now: Micros, ask: u64) {
        let Some(local) = self.local.get_mut(&ask) else {
            // The request ended before its record was committed. For example, its client disconnected, or it is
            // idempotent, was sent without waiting for the record, and has been answered.
            return self.fleet.close(now, ask, Outcome::Removed);
        };
        // The record may also be that of an earlier request with the same id, which has been answered meanwhile.
        let recorded = self.fleet.ledger().and_then(|ledger| ledger.record(ask));
        let is_own = recorded.is_some_and(|record| record.attempt_id == local.record.attempt_id);
        if local.stage != Stage::Opening || !is_own {
            return;
        }
        let Some(first) = local.waiting.pop_front() else {
            self.local.remove(&ask);
            return self.fleet.close(now, ask, Outcome::Removed);
        };
        self.tally.recorded += 1;
        self.own(ask, first.rid, first.attempt.record.repeatable, false);
        self.actions.push_back(TakeoverAction::Admit(first.rid));
    }

    fn already_recorded(&mut self, now: Micros, ask: u64) {
        let Some(local) = self.local.get(&ask) else { return };
        let recorded = self.fleet.ledger().and_then(|l| l.record(ask));
        if recorded.is_some_and(|record| !local.is_for(record)) {
            self.release_ask(ask);
            return;
        }
        let Some(local) = self.local.get_mut(&ask) else { return };
        if local.stage != Stage::Opening {
            // It was sent before this was known and continues here; another peer holds the record.
            self.tally.overlaps += 1;
            return;
        }
        self.tally.joined += 1;
        match self.fleet.ledger().and_then(|l| l.outcome(ask)).map(reply) {
            Some(reply) => {
                if let Some(mut local) = self.local.remove(&ask) {
                    self.answer_all(&mut local, &reply);
                }
            }
            None => {
                let fetch_at = now + self.bounds.fetch;
                local.stage = Stage::Theirs { fetch_at };
                self.due.insert((fetch_at, ask));
                self.fleet.request_result(ask);
            }
        }
    }

    fn not_recorded(&mut self, ask: u64) {
        self.tally.unrecorded += 1;
        let Some(local) = self.local.get_mut(&ask).filter(|l| l.stage == Stage::Opening) else { return };
        let Some(first) = local.waiting.front() else { return };
        if !first.attempt.record.repeatable {
            if let Some(mut local) = self.local.remove(&ask) {
                self.turn_away(&mut local);
            }
        } else if let Some(mut local) = self.local.remove(&ask) {
            for w in std::mem::take(&mut local.waiting) {
                self.asks.remove(&w.rid);
                self.actions.push_back(TakeoverAction::Admit(w.rid));
            }
        }
    }

    fn closed(&mut self, now: Micros, ask: u64, end: &Outcome) {
        let Some(local) = self.local.get(&ask) else { return };
        if !matches!(local.stage, Stage::Theirs { .. }) {
            return;
        }
        let recorded = self.fleet.ledger().and_then(|l| l.record(ask));
        match end {
            Outcome::Removed => self.open_again(now, ask),
            // After a snapshot it may be the end of another request.
            _ if recorded.is_some_and(|record| !local.is_for(record)) => {
                self.release_ask(ask);
            }
            end => {
                if let Some(mut local) = self.local.remove(&ask) {
                    self.answer_all(&mut local, &reply(end));
                }
            }
        }
    }

    fn result_requested(&mut self, now: Micros, peer: Peer, result_id: u64) {
        // A peer of an earlier release asks by the request's id.
        let ask = self.local.ask_of_result(result_id).unwrap_or(result_id);
        match self.local.get_mut(&ask) {
            Some(Local { stage: Stage::Parked { pages, .. }, .. }) => {
                let pages = pages.clone();
                self.fleet.send_result(peer, result_id, Some(pages));
            }
            Some(local) if matches!(local.stage, Stage::Mine { fenced: false, .. }) => {
                local.wanted.insert((peer, result_id));
            }
            Some(_) => {}
            None => self.close_unknown(now, result_id),
        }
    }

    /// Closes a record that this peer owns and whose request is unknown here: it will never have an outcome.
    fn close_unknown(&mut self, now: Micros, result_id: u64) {
        let Some(holder) = self.fleet.holds(now) else { return };
        let Some(ledger) = self.fleet.ledger() else { return };
        let own = |ask: &u64| ledger.open(*ask).is_some_and(|(_, owner)| owner == holder);
        let asked_for = Some(result_id).filter(own).or_else(|| ledger.find_result(holder, result_id));
        if let Some(ask) = asked_for.filter(|ask| self.local.get(ask).is_none()) {
            self.fleet.close(now, ask, Outcome::Removed);
        }
    }

    fn result_received(&mut self, result_id: u64, pages: Option<Pages>) {
        let Some(pages) = pages else { return };
        let (ask, is_bound) = match self.local.ask_of_result(result_id) {
            Some(ask) => (ask, true),
            None => (result_id, false),
        };
        let Some(local) = self.local.get(&ask) else { return };
        // Under the request's id it may be that of another request, so that it counts only if it was asked for so.
        let is_expected = is_bound
            || self.fleet.ledger().is_some_and(|ledger| {
                ledger.result_id(ask) == result_id && ledger.record(ask).is_some_and(|r| local.is_for(r))
            });
        if !is_expected || !matches!(local.stage, Stage::Theirs { .. }) {
            return;
        }
        if let Some(mut local) = self.local.remove(&ask) {
            self.answer_all(&mut local, &Reply::Served(pages));
        }
    }
}
