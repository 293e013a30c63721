//! The event loop: a single thread polls all sockets and processes their events in a fixed order.
//!
//! In each turn, the timers of the fleet and of the control plane are processed first, so that expired leases
//! are known; then signals and clients, so that disconnected clients are known. Attempts that waited for this
//! poll of the clients start next. Then come executors, endpoint lists and operators, so that finished
//! attempts and draining executors are known. Only then do the requests read in this turn start, followed by
//! expired timers. No attempt starts on the basis of an outdated poll of the clients
//! (`executors::client_poll`).
//!
//! - `poll`: socket readiness.
//! - `poll_times`: when the sockets were polled.
//! - `events`: dispatch of socket events.
//! - `schedule`, `timers`: periodic work and timers.
//! - `event_source`: interface of components with their own sockets and timers.

pub mod event_source;
mod events;
pub mod poll;
pub(in crate::net) mod poll_times;
pub(in crate::net) mod schedule;
pub mod timers;

use crate::api::Micros;
use crate::clock;
use crate::net::DispatcherServer;
use crate::net::control_plane::ControlLink;
use crate::net::endpoint_lists::EndpointLists;
use crate::net::setup::context;
use crate::net::shutdown;
use event_source::EventSource;
use std::io;
use std::time::Duration;

/// Threshold in microseconds: a turn is logged if it works for longer, or if its poll oversleeps by more.
const SLOW_TURN: Micros = 20_000;

impl DispatcherServer {
    /// Serves until SIGTERM, and then until the shutdown ends: when no client is left, or at its time limit.
    /// Requests that are still open at the give-up time are rejected or failed (`shutdown`).
    pub fn run(&mut self) -> io::Result<()> {
        // Sized so that one poll returns all ready sockets.
        let mut events = polling::Events::with_capacity(self.descriptors.max_open());
        loop {
            let now = self.clock.now();
            if self.advance_shutdown(now) {
                break;
            }
            self.run_turn(&mut events)?;
        }
        self.leave_fleet(self.clock.last());
        self.leave_control(self.clock.last());
        self.log_counters();
        tracing::info!("stopped");
        Ok(())
    }

    /// Polls once, then processes events and expired timers.
    fn run_turn(&mut self, events: &mut polling::Events) -> io::Result<()> {
        let before = self.clock.now();
        let wait = self.next_due().saturating_sub(before);
        self.poll.wait(events, Duration::from_micros(wait)).map_err(context("poller"))?;
        let polled_at = self.clock.now();
        let overslept = self.poll_times.polled(before, wait, polled_at);
        self.process_events(events, before);
        self.begin_arrived_requests();
        self.process_timers();
        self.begin_arrived_requests();
        let worked = self.clock.now() - polled_at;
        if worked > SLOW_TURN || overslept > SLOW_TURN {
            tracing::warn!(slept_us = polled_at - before, wanted_us = wait, worked_us = worked, "slow turn");
        }
        Ok(())
    }

    /// Processes all events of a poll that began at `before`. Leases that have expired by then are dropped first.
    /// Events of signals and clients come before all others: after them, everything that clients did up to
    /// `before` is known.
    fn process_events(&mut self, events: &polling::Events, before: Micros) {
        self.tick_in_flight(self.poll_times.polled_at());
        self.tick_control(self.poll_times.polled_at());
        let listener = self.listener.key();
        if listener.is_some_and(|key| events.iter().all(|event| event.key != key)) {
            self.listener.backlog_is_empty();
        }
        let (clients, others): (Vec<_>, Vec<_>) =
            events.iter().partition(|event| self.is_client_side(event.key));
        // Existing connections come before new ones: of two requests for a key in the same poll, the one on
        // a new connection is the later one. Had it been sent first, the protocol would have required the
        // client to wait at least 250 ms before the other one.
        let (new, known): (Vec<_>, Vec<_>) =
            clients.into_iter().partition(|event| Some(event.key) == listener);
        known.into_iter().chain(new).for_each(|event| self.process_event(event));
        self.executors.clients_polled(before);
        // Done before the remaining events: with little CPU time, these could take so long that the client
        // poll would be outdated before the waiting attempts start.
        self.executors.start_waiting_attempts(&self.poll);
        others.into_iter().for_each(|event| self.process_event(event));
        self.poll_times.processed_until = before;
    }

    /// Processes one event. Expired requests are answered after each event rather than after all events of
    /// the turn.
    fn process_event(&mut self, event: polling::Event) {
        self.dispatch_event(event);
        self.expire_due_requests();
    }

    /// Answers requests whose deadline has passed.
    pub(in crate::net) fn expire_due_requests(&mut self) {
        let now = self.clock.now();
        let commands = self.dispatch.end_expired(now);
        if !commands.is_empty() {
            self.execute(commands);
        }
    }

    /// The components with their own sockets and timers.
    fn event_sources(&self) -> impl Iterator<Item = &dyn EventSource> {
        let coordinator_watch = self.coordinator_watch.as_ref().map(|watch| watch as &dyn EventSource);
        let in_flight = self.in_flight.as_ref().map(|in_flight| in_flight as &dyn EventSource);
        let admin_listener = self.admin_listener.as_ref().map(|listener| listener as &dyn EventSource);
        let siblings = self.siblings.as_ref().map(|siblings| siblings as &dyn EventSource);
        std::iter::once(&self.executors as &dyn EventSource)
            .chain(coordinator_watch)
            .chain(admin_listener)
            .chain(in_flight)
            .chain(siblings)
    }

    /// When the next turn is due if no event occurs.
    fn next_due(&self) -> Micros {
        if self.executors.awaits_client_poll() || !self.requests.arrived.is_empty() {
            return self.clock.last();
        }
        let lists = self.endpoint_lists.as_ref().filter(|lists| lists.pending()).map(|_| self.clock.last());
        let event_sources = self.event_sources().map(EventSource::next_due);
        let control = self.control.as_ref().map(ControlLink::next_due);
        let due = [self.dispatch.next_due(), self.listener.resume_at(), lists, control];
        let longest_sleep = if self.shutdown.is_requested() {
            self.clock.last() + shutdown::POLL_INTERVAL
        } else {
            self.schedule.clients.due_at()
        };
        due.into_iter().chain(event_sources).flatten().fold(longest_sleep, Micros::min)
    }

    /// Processes everything that is due by now.
    fn process_timers(&mut self) {
        let now = self.clock.now();
        let commands = self.dispatch.tick(now);
        self.execute(commands);
        let processed_until = self.poll_times.processed_until;
        self.executors.tick(processed_until, &self.poll);
        // Processes the events that the executors' tick produced.
        self.execute(Vec::new());
        if let Some(coordinator_watch) = &mut self.coordinator_watch {
            coordinator_watch.tick(processed_until, &self.poll);
        }
        self.free_descriptors(now);
        if self.endpoint_lists.as_ref().is_some_and(EndpointLists::pending) {
            self.with_endpoint_lists(now, |_, _| ());
        }
        if self.listener.resume_at().is_some_and(|at| at <= now) {
            self.resume_accepting(now);
        }
        if let Some(admin_listener) = &mut self.admin_listener {
            admin_listener.tick(now, &self.poll);
        }
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.tick(now, &self.poll);
        }
        self.tick_siblings(now);
        self.tick_in_flight(now);
        self.advance_plan(now);
        self.tick_control(now);
        self.tick_policy(now);
        self.run_periodic_work(now);
    }

    /// Runs the periodic tasks that are due.
    fn run_periodic_work(&mut self, now: Micros) {
        if self.schedule.clients.take_due(now) {
            self.wall_clock.observe(now, clock::unix());
            self.bans_file.retry_now(self.bans.in_force());
            self.process_client_timers(now);
            self.close_idle_clients_while_leaving(now);
            self.watch_storm(now);
            self.with_endpoint_lists(now, |lists, executors| lists.tick(now, &|uid| executors.busy(uid)));
        }
        if self.schedule.sweep.take_due(now) {
            self.executors.sweep(now, &self.poll);
            self.dropped_lines.report();
        }
        if self.schedule.counters.take_due(now) {
            self.log_counters();
        }
    }
}
