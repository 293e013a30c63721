//! One turn of the loop: in which order what came is heeded.
//!
//! All that came is taken in before anything new begins: first signals and the clients' side, so that who has gone is
//! known, then executors, lists and operators, so that what has ended and who drains is known. Then requests begin
//! that came in this turn, then what is due by the clock. No attempt begins by an old look at the clients (`executors::look`).

use super::*;
use crate::clock;

impl Node {
    /// Serves until SIGTERM, then until all that was taken has its answer.
    pub fn run(&mut self) -> io::Result<()> {
        // A look takes in all sockets that are ready, however many they are.
        let mut events = polling::Events::with_capacity(self.descriptors.most());
        loop {
            let now = self.clock.now();
            if self.over(now) {
                break;
            }
            let before = self.clock.now();
            let wait = self.next_due().saturating_sub(before);
            self.poll.wait(&mut events, Duration::from_micros(wait)).map_err(context("poller"))?;
            let woke = self.clock.now();
            // What came while this process did not look came at any time since it last did.
            let late = (woke - before).saturating_sub(wait);
            let worked_before = before.saturating_sub(self.woke);
            self.found_since = woke.saturating_sub(late + worked_before);
            self.woke = woke;
            self.take_in(&events, before);
            self.begin_arrived();
            self.tick();
            self.begin_arrived();
            let worked = self.clock.now() - woke;
            if worked > SLOW_TURN || late > SLOW_TURN {
                tracing::warn!(slept_us = woke - before, wanted_us = wait, worked_us = worked, "slow turn");
            }
        }
        self.leave_fleet(self.clock.last());
        self.leave_control(self.clock.last());
        self.count();
        tracing::info!("stopped");
        Ok(())
    }

    /// Heeds all that came. Clients and signals come first: from then on it is known what clients did up to `before`,
    /// the moment before the sockets were looked at.
    fn take_in(&mut self, events: &polling::Events, before: Micros) {
        self.keep_in_flight(self.woke);
        self.keep_control(self.woke);
        let listening = self.listener.as_ref().map(|(key, _)| *key);
        if listening.is_some_and(|key| events.iter().all(|e| e.key != key)) {
            self.backlog_since = None;
        }
        let (clients, others): (Vec<_>, Vec<_>) = events.iter().partition(|e| self.comes_first(e.key));
        // Resting connections before new ones: of two requests of a key the one on a new connection is the later one, as the
        // next after such a one comes no sooner than 250 ms (protocol).
        let (new, resting): (Vec<_>, Vec<_>) = clients.into_iter().partition(|e| Some(e.key) == listening);
        resting.into_iter().chain(new).for_each(|e| self.ready_in_time(e));
        self.executors.looked(before);
        // At once: on little processor time all that is heeded first would make the look old again.
        self.executors.begin_waiting(&self.poll);
        others.into_iter().for_each(|e| self.ready_in_time(e));
        // Whoever fell silent is judged by what is known, not by how long this process took to see it.
        self.heard_until = before;
    }

    /// Heeds one socket. Answers that are due wait for this one at most, not for all that is ready in the turn.
    fn ready_in_time(&mut self, event: polling::Event) {
        self.ready(event.key, event.readable, event.writable);
        self.answer_due();
    }

    /// Answers the requests whose time is over.
    pub(super) fn answer_due(&mut self) {
        let now = self.clock.now();
        let orders = self.dispatch.end_expired(now);
        if !orders.is_empty() {
            self.settle(orders);
        }
    }

    /// Whether a key is of the signals, the clients' listener or a client.
    fn comes_first(&self, key: Key) -> bool {
        let listens = self.listener.as_ref().is_some_and(|(k, _)| *k == key);
        listens || key == self.signals.0 || self.sessions.by_key.contains_key(&key)
    }

    /// The sides that have sockets and timers of their own.
    fn event_sources(&self) -> impl Iterator<Item = &dyn EventSource> {
        let feed = self.feed.as_ref().map(|f| f as &dyn EventSource);
        let in_flight = self.in_flight.as_ref().map(|h| h as &dyn EventSource);
        let operators = self.operators.as_ref().map(|o| o as &dyn EventSource);
        std::iter::once(&self.executors as &dyn EventSource).chain(feed).chain(operators).chain(in_flight)
    }

    fn next_due(&self) -> Micros {
        if self.executors.waits_for_look() || !self.arrived.is_empty() {
            return self.clock.last();
        }
        let lists = self.lists.as_ref().filter(|l| l.pending()).map(|_| self.clock.last());
        let event_sources = self.event_sources().map(EventSource::next_due);
        let control = self.control.as_ref().map(ControlLink::next_due);
        let due = [self.dispatch.next_due(), self.accept_at, lists, control].into_iter().chain(event_sources);
        // While stopping, a look every now and then is near enough to each of its limits.
        let own = if self.stopping.is_some() { self.clock.last() + STOP_LOOK } else { self.clients_at };
        due.flatten().fold(own, Micros::min)
    }

    /// When something came that is noticed now. Whatever this turn did before it noticed does not count for it.
    pub(super) fn noticed(&self, now: Micros) -> Occurrence {
        Occurrence::between(self.found_since, now)
    }

    fn ready(&mut self, key: Key, readable: bool, writable: bool) {
        let now = self.clock.now();
        if self.listener.as_ref().is_some_and(|(k, _)| *k == key) {
            self.accept(now);
        } else if key == self.signals.0 {
            let (stop, reread) = self.signals.1.take();
            if reread {
                self.reread(now);
            }
            if stop {
                self.stop(self.noticed(now));
            }
        } else if self.operators.as_ref().is_some_and(|o| o.owns(key)) {
            let lines = self.operators.as_mut().map(|o| o.ready(key, now, &self.poll)).unwrap_or_default();
            for (caller, line) in lines {
                let asked = tracing::enabled!(tracing::Level::DEBUG).then(|| format!("{line:?}"));
                let answer = self.call(caller, now, line);
                if let Some(asked) = asked {
                    let answer = answer.as_ref().and_then(|a| a.lines().next());
                    tracing::debug!(asked, answer, "operator call");
                }
                if let (Some(o), Some(answer)) = (&mut self.operators, answer) {
                    o.answer(caller, &answer, &self.poll);
                }
            }
        } else if self.feed.as_ref().is_some_and(|f| f.owns(key)) {
            let updates = self.feed.as_mut().map(|f| f.ready(key, now, &self.poll));
            updates.into_iter().flatten().for_each(|update| self.update(now, update));
        } else if self.lists.as_ref().is_some_and(|l| l.owns(key)) {
            self.with_lists(now, |lists, _| lists.ready(now));
        } else if self.in_flight.as_ref().is_some_and(|h| h.owns(key)) {
            if let Some(h) = &mut self.in_flight {
                h.peers.ready(key, now, &self.poll);
            }
            self.move_in_flight(now);
        } else if self.control.as_ref().is_some_and(|c| c.owns(key)) {
            self.control_ready(now);
        } else if self.executors.owns(key) {
            self.executors.ready(key, readable, writable, now, &self.poll);
            self.settle(Vec::new());
        } else if self.sessions.by_key.contains_key(&key) {
            if readable {
                self.read(key, now);
            }
            if writable {
                self.flush(key);
            }
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let orders = self.dispatch.tick(now);
        self.settle(orders);
        let heard_until = self.heard_until;
        self.executors.tick(heard_until, &self.poll);
        self.settle(Vec::new());
        if let Some(feed) = &mut self.feed {
            feed.tick(heard_until, &self.poll);
        }
        self.spare_descriptors(now);
        if self.lists.as_ref().is_some_and(Lists::pending) {
            self.with_lists(now, |_, _| ());
        }
        if self.accept_at.is_some_and(|t| t <= now) {
            self.accept_at = None;
            self.accept_again(now);
        }
        if let Some(o) = &mut self.operators {
            o.tick(now, &self.poll);
        }
        if let Some(h) = &mut self.in_flight {
            h.tick(now, &self.poll);
        }
        self.keep_in_flight(now);
        self.keep_plan(now);
        self.keep_control(now);
        self.keep_policy(now);
        if self.clients_at <= now {
            self.clients_at = now + CLIENTS;
            self.wall.observe(now, clock::unix());
            self.bans_file.try_again(&self.bans);
            self.look_after_clients(now);
            self.send_all_away(now);
            self.watch_storm(now);
            self.with_lists(now, |lists, executors| lists.tick(now, &|uid| executors.busy(uid)));
        }
        if self.sweep_at <= now {
            self.sweep_at = now + SWEEP;
            self.sweep(now);
        }
        if self.counters_at <= now {
            self.counters_at = now + COUNTERS;
            self.count();
        }
    }
}
