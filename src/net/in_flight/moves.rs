//! Actions initiated by the replicated record, because of timers, peers' messages or the shutdown.

use crate::api::Micros;
use crate::dispatch::{Command, Request};
use crate::net::DispatcherServer;
use crate::net::clients::request_intake::OpenRequest;
use crate::net::event_loop::poll::Key;
use crate::net::executors::{Job, Rows};
use crate::takeover::TakeoverAction;
use fleet::ledger::Record;

/// Placeholder key of a request without a client; poller keys count from 1.
const NO_CLIENT: Key = 0;

impl DispatcherServer {
    /// Processes the record's timers, both at the beginning and at the end of a turn: a lease that expired
    /// while this process was stalled must be noticed before anything is done under it.
    pub(in crate::net) fn tick_in_flight(&mut self, now: Micros) {
        let Some(in_flight) =
            self.in_flight.as_mut().filter(|in_flight| in_flight.takeover.next_due() <= now)
        else {
            return;
        };
        in_flight.takeover.tick(now);
        // Leases lost in the meantime must be known before anything else is done.
        self.tick_policy(now);
        self.process_in_flight(now);
    }

    /// Exchanges messages with peers and carries out the resulting actions, until none is left.
    pub(in crate::net) fn process_in_flight(&mut self, now: Micros) {
        loop {
            let Some(in_flight) = &mut self.in_flight else { return };
            for (from, message) in std::mem::take(&mut in_flight.peers.heard) {
                in_flight.takeover.handle_message(now, from, message);
            }
            in_flight.takeover.flush(now);
            self.tick_policy(now);
            let Some(in_flight) = &mut self.in_flight else { return };
            for (to, message) in std::mem::take(&mut in_flight.takeover.fleet.messages) {
                in_flight.peers.send(to, &message, now);
            }
            in_flight.peers.flush(now, &self.poll);
            let Some(next) = in_flight.takeover.actions.pop_front() else { return };
            let commands = match next {
                TakeoverAction::Admit(rid) => self.admit_recorded(now, rid),
                TakeoverAction::Answer(rid, reply) => {
                    let answer = self.to_answer(reply);
                    self.dispatch.answer_held(now, rid, answer)
                }
                TakeoverAction::Adopt(record) => self.adopt(now, &record),
                TakeoverAction::LetGo(rid) => self.dispatch.release(now, rid),
            };
            self.execute(commands);
        }
    }

    /// Takes over a request of a lost peer; its result is kept for its client.
    fn adopt(&mut self, now: Micros, record: &Record) -> Vec<Command<Rows>> {
        if self.requests.open.contains_key(&record.attempt_id) {
            // Another client's request has the same id and must not be replaced. The one taken over is served anew when
            // its client retries.
            tracing::warn!(
                request = format_args!("{:016x}", record.attempt_id),
                error = "a request with this rid is open",
                "fleet: request takeover failed"
            );
            self.end_unsubmitted_in_flight(now, record.attempt_id);
            return Vec::new();
        }
        let Some(in_flight) = &mut self.in_flight else { return Vec::new() };
        let (class, statement) = (usize::from(record.class), record.statement.clone().unwrap_or_default());
        let Some(kind) = in_flight.classes.get(class).cloned() else { return Vec::new() };
        let budget = record.deadline.saturating_sub(now);
        let request = Request {
            id: record.attempt_id,
            client_request_id: None,
            class,
            tenant: record.tenant.map(usize::from),
            key: record.key,
            client_timeout: budget.max(1),
            time_budget: budget,
            estimated_thread_seconds: record.work_s,
            estimated_memory_mb: record.memory_mb,
            table_group: record.group,
            is_client_retry: true,
            held_by_client: false,
        };
        let job = Job { class_name: kind, statement: statement.into(), token: None };
        self.requests.open.insert(record.attempt_id, OpenRequest { client: NO_CLIENT, job, arrival: None });
        let under =
            self.fleet_policy.as_ref().filter(|fleet_policy| fleet_policy.part.number() != record.policy);
        let under = under.and_then(|fleet_policy| fleet_policy.settings_under(record.policy));
        match self.dispatch.adopt(now, &request, record.executors_tried.len(), under) {
            Ok(commands) => commands,
            Err(e) => {
                tracing::warn!(
                    request = format_args!("{:016x}", record.attempt_id),
                    error = %e,
                    "fleet: request takeover failed"
                );
                self.requests.open.remove(&record.attempt_id);
                self.end_unsubmitted_in_flight(now, record.attempt_id);
                Vec::new()
            }
        }
    }

    /// Whether the maintenance plan keeps new requests off a machine.
    pub(in crate::net) fn is_withheld_by_maintenance(&self, uid: &str) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| in_flight.maintenance.holds_back(uid))
    }

    /// When a machine returned from maintenance, in milliseconds; 0 if it was not out.
    pub(in crate::net) fn returned_from_maintenance_ms(&self, uid: &str) -> u64 {
        self.in_flight.as_ref().map_or(0, |in_flight| in_flight.maintenance.cold_ms(uid))
    }

    /// Hands leases back to the fleet on shutdown.
    pub(in crate::net) fn leave_fleet(&mut self, now: Micros) {
        let Some(in_flight) = &mut self.in_flight else { return };
        in_flight.takeover.fleet.leave(now);
        for (to, message) in std::mem::take(&mut in_flight.takeover.fleet.messages) {
            in_flight.peers.send(to, &message, now);
        }
        in_flight.peers.flush(now, &self.poll);
    }

    pub(in crate::net) fn log_in_flight_counters(&self) {
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
            conflicts = t.conflicts,
            policy = self.policy_number(),
            held_for_policy = self.fleet_policy.as_ref().map_or(0, |fleet_policy| fleet_policy.held_total),
            refused_without =
                self.fleet_policy.as_ref().map_or(0, |fleet_policy| fleet_policy.rejected_total),
            dials = w.dials,
            bad_frames = w.bad_frames,
            dropped = w.dropped,
            written = w.written,
            "fleet counters"
        );
    }
}
