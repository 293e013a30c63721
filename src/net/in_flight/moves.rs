//! What the record has done of itself: moves that come of time and of peers' words, and the end.

use crate::api::Micros;
use crate::dispatch::{Command, Request};
use crate::net::DispatcherServer;
use crate::net::clients::request_intake::OpenRequest;
use crate::net::event_loop::poll::Key;
use crate::net::executors::{Job, Rows};
use crate::takeover::Move;
use fleet::ledger::Record;

/// No client's key: keys count from 1.
const NOBODY: Key = 0;

impl DispatcherServer {
    /// Lets the record do what is due, before anything else of a turn and after all: a lease that ran out while
    /// this process stood still is over before it is acted on.
    pub(in crate::net) fn tick_in_flight(&mut self, now: Micros) {
        let Some(in_flight) = self.in_flight.as_mut().filter(|h| h.takeover.next_due() <= now) else {
            return;
        };
        in_flight.takeover.tick(now);
        // What was lost with the time that has passed is known before anything else is done.
        self.tick_policy(now);
        self.move_in_flight(now);
    }

    /// What peers said, what comes of it, and what is said to them, until nothing is left.
    pub(in crate::net) fn move_in_flight(&mut self, now: Micros) {
        loop {
            let Some(in_flight) = &mut self.in_flight else { return };
            for (from, message) in std::mem::take(&mut in_flight.peers.heard) {
                in_flight.takeover.hears(now, from, message);
            }
            in_flight.takeover.flush(now);
            self.tick_policy(now);
            let Some(in_flight) = &mut self.in_flight else { return };
            for (to, message) in std::mem::take(&mut in_flight.takeover.fleet.messages) {
                in_flight.peers.send(to, &message, now);
            }
            in_flight.peers.flush(now, &self.poll);
            let Some(next) = in_flight.takeover.moves.pop_front() else { return };
            let commands = match next {
                Move::Admit(rid) => self.admit_recorded(now, rid),
                Move::Answer(rid, reply) => {
                    let answer = self.answer_of(reply);
                    self.dispatch.answer_held(now, rid, answer)
                }
                Move::Adopt(record) => self.adopt(now, &record),
                Move::LetGo(rid) => self.dispatch.release(now, rid),
            };
            self.execute(commands);
        }
    }

    /// Takes a request of a lost peer in hand; its result waits for its client.
    fn adopt(&mut self, now: Micros, record: &Record) -> Vec<Command<Rows>> {
        let Some(in_flight) = &mut self.in_flight else { return Vec::new() };
        let (class, statement) = (usize::from(record.class), record.statement.clone().unwrap_or_default());
        let Some(kind) = in_flight.classes.get(class).cloned() else { return Vec::new() };
        let budget = record.deadline.saturating_sub(now);
        let request = Request {
            id: record.rid,
            ask: None,
            class,
            tenant: record.tenant.map(usize::from),
            key: record.key,
            client_wait: budget.max(1),
            budget,
            thread_seconds: record.work_s,
            memory_mb: record.memory_mb,
            group: record.group,
            repeated: true,
            held_back: false,
        };
        let job = Job { kind, statement: statement.into(), token: None };
        self.requests.open.insert(record.rid, OpenRequest { client: NOBODY, job, arrival: None });
        let under = self.rules.as_ref().filter(|r| r.part.number() != record.policy);
        let under = under.and_then(|r| r.under(record.policy));
        match self.dispatch.adopt(now, &request, record.tried.len(), under) {
            Ok(commands) => commands,
            Err(e) => {
                tracing::warn!(
                    request = format_args!("{:016x}", record.rid),
                    error = %e,
                    "fleet: not taken over"
                );
                self.requests.open.remove(&record.rid);
                self.end_in_flight_unasked(now, record.rid);
                Vec::new()
            }
        }
    }

    /// Whether a machine gets nothing new, as the plan has it out for work.
    pub(in crate::net) fn held_back(&self, uid: &str) -> bool {
        self.in_flight.as_ref().is_some_and(|h| h.maintenance.holds_back(uid))
    }

    /// Since when a machine is back from work that it was out for, in milliseconds; 0 if it was not.
    pub(in crate::net) fn cold_ms(&self, uid: &str) -> u64 {
        self.in_flight.as_ref().map_or(0, |h| h.maintenance.cold_ms(uid))
    }

    /// At the end: what is still owned is given back at once.
    pub(in crate::net) fn leave_fleet(&mut self, now: Micros) {
        let Some(in_flight) = &mut self.in_flight else { return };
        in_flight.takeover.fleet.leave(now);
        for (to, message) in std::mem::take(&mut in_flight.takeover.fleet.messages) {
            in_flight.peers.send(to, &message, now);
        }
        in_flight.peers.flush(now, &self.poll);
    }

    pub(in crate::net) fn count_in_flight(&self) {
        let Some(in_flight) = &self.in_flight else { return };
        let (t, w) = (&in_flight.takeover.tally, &in_flight.peers.tally);
        tracing::info!(
            records = in_flight.takeover.fleet.ledger().map_or(0, |l| l.len()),
            leads = in_flight.takeover.fleet.is_leader(),
            recorded = t.recorded,
            unrecorded = t.unrecorded,
            claimed = t.claimed,
            adopted = t.adopted,
            joined = t.joined,
            answered = t.answered,
            let_go = t.let_go,
            overlaps = t.overlaps,
            policy = self.policy_number(),
            held_for_policy = self.rules.as_ref().map_or(0, |r| r.tally[0]),
            refused_without = self.rules.as_ref().map_or(0, |r| r.tally[1]),
            dials = w.dials,
            bad_frames = w.bad_frames,
            dropped = w.dropped,
            written = w.written,
            "fleet counters"
        );
    }
}
