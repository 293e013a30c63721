//! The decisions' commands, executed; and the endpoint list, handed on to them.

use super::DispatcherServer;
use super::clients::request_intake::OpenRequest;
use super::endpoint_lists::{self, EndpointLists};
use super::executors::{Executors, Rows};
use crate::api::Micros;
use crate::clock;
use crate::codec::coordinator::{State, Target, Update};
use crate::dispatch::{
    Answer, AttemptEnd, Command, ExecutorState, ListedExecutor, NetworkEvent, WatchEvent, executor_id,
};
use crate::net::clients::request_intake::asker;
use crate::operator::figures::Disposition;
use std::collections::VecDeque;

impl DispatcherServer {
    /// Executes commands, and those that their events cause, until none is left.
    pub(super) fn execute(&mut self, commands: Vec<Command<Rows>>) {
        let mut commands = VecDeque::from(commands);
        loop {
            let now = self.clock.now();
            if let Some(command) = commands.pop_front() {
                self.execute_command(now, command);
            } else if let Some(report) = self.executors.events.pop_front() {
                commands.extend(self.dispatch.handle(now, report));
            } else {
                break;
            }
        }
    }

    pub(super) fn execute_command(&mut self, now: Micros, command: Command<Rows>) {
        match command {
            Command::StartAttempt { attempt_id, executor, terms } => {
                // The client may have left since this was decided: then nothing goes out, and the decisions learn so.
                let Some(job) = self.requests.open.get(&attempt_id.request).map(|o| o.job.clone()) else {
                    return self.executors.events.push_back(NetworkEvent::AttemptEnded(
                        attempt_id,
                        AttemptEnd::NeverSent,
                        None,
                    ));
                };
                if !self.lease_allows_send(now, attempt_id, executor) {
                    return self.executors.events.push_back(NetworkEvent::AttemptEnded(
                        attempt_id,
                        AttemptEnd::NeverSent,
                        None,
                    ));
                }
                self.executors.start(attempt_id, executor, job, terms, now, &self.poll);
            }
            Command::StopAttempt(attempt_id) => self.executors.stop(attempt_id, now, &self.poll),
            Command::WithdrawAttempt(attempt_id) => self.executors.withdraw(attempt_id, now, &self.poll),
            Command::SetPriority(attempt_id, priority) => {
                self.executors.set_priority(attempt_id, priority, now, &self.poll)
            }
            Command::ReportAbandoned { request, result, never_ran } => {
                self.past(now, request, result, never_ran);
            }
            Command::Probe(executor) => self.executors.probe(executor, now, &self.poll),
            Command::Answer(request, mut answer) => {
                let Some(OpenRequest { client: key, job, .. }) = self.requests.open.remove(&request) else {
                    return;
                };
                self.end_in_flight(now, request, &answer);
                self.figures.ended(
                    &job.kind,
                    match answer {
                        Answer::Served(_) => Disposition::Succeeded,
                        Answer::Failed => Disposition::Aborted,
                        Answer::Refused(_) => Disposition::Declined,
                    },
                );
                if let Some(storm) = &mut self.storm {
                    match &mut answer {
                        Answer::Served(_) => storm.served(),
                        Answer::Failed => storm.failed(),
                        Answer::Refused(ms) => {
                            let wait = storm.refused(now, asker(&job), *ms * 1_000);
                            *ms = wait.div_ceil(1_000);
                        }
                    }
                }
                if let Some(s) = self.sessions.by_key.get_mut(&key).filter(|s| s.open == Some(request)) {
                    s.answer(&answer);
                    s.active_at = now;
                    self.flush_client(key);
                    self.process_commands(key, now);
                    self.close_if_idle_while_leaving(key, now);
                }
            }
        }
    }

    pub(super) fn update(&mut self, now: Micros, update: Update) {
        let Some(e) = update.endpoints else { return };
        if self.endpoint_lists.is_some() {
            return self.with_endpoint_lists(now, |lists, _| lists.feed(now, e.all, &e.targets));
        }
        let event = if e.all { WatchEvent::Replaced } else { WatchEvent::Changed };
        self.apply_endpoint_list(now, event, &e.targets);
    }

    pub(super) fn watch_storm(&mut self, now: Micros) {
        let Some(storm) = &mut self.storm else { return };
        let fleet = self.dispatch.fleet_capacity(now);
        if let Some((phase, was)) = storm.tick(now, fleet) {
            let (arrivals, baseline) = storm.arrivals();
            tracing::warn!(
                ?phase,
                ?was,
                arrivals_per_s = arrivals.round(),
                baseline_per_s = baseline.map(f64::round),
                room_per_s = storm.room(now).round(),
                usable_cores = fleet.usable,
                listed_cores = fleet.listed,
                "storm phase"
            );
        }
    }

    /// Has the lists do something, and hands some of the entries on that wait.
    pub(super) fn with_endpoint_lists(
        &mut self,
        now: Micros,
        what: impl FnOnce(&mut EndpointLists, &Executors),
    ) {
        let Some(lists) = &mut self.endpoint_lists else { return };
        let begun = std::time::Instant::now();
        what(lists, &self.executors);
        let next = lists.take(endpoint_lists::SLICE);
        if !next.is_empty() {
            self.apply_endpoint_list(now, WatchEvent::Changed, &next);
        }
        let took = begun.elapsed().as_micros() as Micros;
        if let Some(lists) = &mut self.endpoint_lists {
            lists.tally.slowest = lists.tally.slowest.max(took);
        }
    }

    /// The list has news. Starts that it tells by the wall clock become times of this process's clock.
    pub(super) fn apply_endpoint_list(&mut self, now: Micros, event: WatchEvent, targets: &[Target]) {
        self.wall_clock.observe(now, clock::unix());
        let start_times = &mut self.start_times;
        let by_our_clock = |t: &Target| {
            let started = start_times.started_at(&t.uid, t.boot_ms, now, &self.wall_clock);
            // To the nearest millisecond, the unit on the wire.
            Target { boot_ms: started.map_or(0, |at| (at + 500) / 1_000), ..t.clone() }
        };
        let targets: Vec<Target> = targets.iter().map(by_our_clock).collect();
        self.update_endpoints(now, event, &targets);
    }

    /// What the list says of executors now, with starts by this process's clock.
    pub(super) fn update_endpoints(&mut self, now: Micros, event: WatchEvent, targets: &[Target]) {
        let member = |t: &Target| {
            // Who is gone may be named by no more than that: it was where it was listed.
            let known = self.endpoints.get(&t.uid).filter(|_| t.state == State::Removed);
            let listed = known.map(|k| Target { state: t.state, ..k.clone() });
            let t = listed.as_ref().unwrap_or(t);
            let (zone, kind) = (self.names.zones.get(&t.az), self.names.kinds.get(&t.model));
            let gone = t.state == State::Removed;
            if !gone && (zone.is_none() || kind.is_none() || t.endpoint.is_none()) {
                tracing::error!(executor = t.uid, "executor ignored: unknown zone or kind, or no address");
                return None;
            }
            Some(ListedExecutor {
                executor: executor_id(&t.uid),
                zone: zone.copied().unwrap_or(0),
                kind: kind.copied().unwrap_or(0),
                cell: t.pod_group,
                // An executor taken out by hand stays out, whatever the list says of it meanwhile.
                state: match t.state {
                    State::Up if self.bans.banned(&t.uid) || self.held_back(&t.uid) => {
                        ExecutorState::Draining
                    }
                    State::Up => ExecutorState::Up,
                    State::Draining => ExecutorState::Draining,
                    State::Removed => ExecutorState::Removed,
                },
                size: t.capacity_hint.unwrap_or(1.0),
                // One let back by hand was restarted meanwhile: it is cold from then, whatever the list knew.
                started: Some(
                    t.boot_ms
                        .max(self.onlined_at_ms.get(&t.uid).copied().unwrap_or(0))
                        .max(self.cold_ms(&t.uid)),
                )
                .filter(|ms| *ms > 0)
                .map(|ms| ms * 1000),
                weight: t.weight,
            })
        };
        let restored = |t: &&Target| event != WatchEvent::Restored || t.state != State::Removed;
        let members: Vec<ListedExecutor> = targets.iter().filter(restored).filter_map(member).collect();
        if event != WatchEvent::Changed {
            self.endpoints.clear();
        }
        for t in targets {
            match t.state {
                State::Removed => {
                    self.onlined_at_ms.remove(&t.uid);
                    self.endpoints.remove(&t.uid)
                }
                _ => self.endpoints.insert(t.uid.clone(), t.clone()),
            };
        }
        self.onlined_at_ms.retain(|uid, _| self.endpoints.contains_key(uid));
        if self.start_times.len() > self.endpoints.len() {
            self.start_times.retain(|uid| self.endpoints.contains_key(uid));
        }
        self.executors.apply_endpoints(targets, event != WatchEvent::Changed, now, &self.poll);
        let commands = self.dispatch.apply_watch_event(now, event, &members);
        self.execute(commands);
    }
}
