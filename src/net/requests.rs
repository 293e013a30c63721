//! Requests: how they come, begin, and are turned away before any decision.

use super::executors::Job;
use super::poll::Key;
use super::session::Asked;
use super::*;
use crate::api::{EndReason, Micros};
use crate::codec::mysql::Error;
use crate::dispatch::Answer;
use crate::operator::figures::Disposition;
use crate::storm::{self, Verdict};
use crate::takeover::Gate;

/// A request that was read and has not begun.
pub(super) struct Arrived {
    client: Key,
    request: Request,
    arrival: Arrival,
}

/// How a request came.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival {
    /// When its last byte came.
    came: Occurrence,
    /// Whether it is the first request on its connection.
    on_new_connection: bool,
    /// What the one before of its key tells; `None` without a key.
    spaced: Option<Spaced>,
}

/// A request that has no answer yet.
pub(super) struct OpenRequest {
    pub(super) client: Key,
    pub(super) job: Job,
    /// How it came; `None` for one that was taken over from a lost peer.
    pub(super) arrival: Option<Arrival>,
}

impl Node {
    /// Takes what the client wants, until a request is open or nothing is left.
    pub(super) fn advance(&mut self, key: Key, now: Micros) {
        while let Some(s) = self.sessions.by_key.get_mut(&key) {
            match s.next(&self.names, now) {
                None => break,
                Some(Asked::Close) => return self.hang_up(key, now),
                Some(Asked::Kill(id)) => self.kill(key, id, now),
                Some(Asked::Request(mut request, job)) => {
                    let id = request.id;
                    if s.overruns() {
                        return self.overrun(key, now);
                    }
                    if self.open.contains_key(&id) {
                        s.at_fault(&Error::new(1105, "HY000", "a request with this rid is open"), now);
                        continue;
                    }
                    s.open = Some(id);
                    let came = s.came();
                    let on_new_connection = s.takes_request();
                    self.cap(&mut request);
                    self.take_in_request(key, request, job, came, on_new_connection);
                }
            }
        }
        self.flush(key);
    }

    /// Requests that were read begin, in order, unless their clients have gone meanwhile. Once this has taken so long
    /// that more clients may have gone, the rest waits for another look at them.
    pub(super) fn begin_arrived(&mut self) {
        if self.given_up {
            let now = self.clock.now();
            return self.refuse_arrived(now);
        }
        while let Some(Arrived { client, mut request, arrival }) = self.arrived.pop_front() {
            let now = self.clock.now();
            request.held_back = arrival.held_back(request.budget) > 0;
            request.budget = arrival.left_of(request.budget, now);
            if let Some(job) = self.awaited(client, request.id) {
                self.begin(client, request, job, now);
            }
            self.answer_due();
            if !self.executors.may_begin() {
                return;
            }
        }
    }

    /// Requests that were read and can't begin any more are refused: they never ran.
    pub(super) fn refuse_arrived(&mut self, now: Micros) {
        while let Some(Arrived { client, request, .. }) = self.arrived.pop_front() {
            if let Some(job) = self.awaited(client, request.id) {
                self.turn_away(client, &request, &job, CLIENT_BACKOFF, EndReason::Stopping, now);
            }
        }
    }

    /// What an attempt of a request needs, if its client still waits for it.
    fn awaited(&self, client: Key, request: u64) -> Option<Job> {
        let waits = self.sessions.by_key.get(&client).is_some_and(|s| s.open == Some(request));
        self.open.get(&request).filter(|_| waits).map(|o| o.job.clone())
    }

    /// Refuses a request before any decision.
    fn turn_away(
        &mut self,
        key: Key,
        request: &Request,
        job: &Job,
        wait: Micros,
        reason: EndReason,
        now: Micros,
    ) {
        self.open.remove(&request.id);
        match self.dispatch.reject(request, reason) {
            Ok(()) => {
                self.figures.ended(&job.kind, Disposition::Declined);
                if let Some(s) = self.sessions.by_key.get_mut(&key) {
                    s.answer(&Answer::Refused(wait.div_ceil(1_000)));
                }
            }
            Err(e) => self.not_taken(key, e.text(), now),
        }
        self.advance(key, now);
    }

    fn begin(&mut self, key: Key, request: Request, job: Job, now: Micros) {
        let id = request.id;
        let storm = self.storm.as_mut().map(|s| s.ask(now, asker(&job), request.repeated));
        if let Some(Verdict::Refuse(wait)) = storm {
            return self.turn_away(key, &request, &job, wait, EndReason::Elsewhere, now);
        }
        let taken = match self.gate(now, &request, &job) {
            Gate::Go => self.dispatch.submit(now, &request),
            Gate::Hold => self.dispatch.hold(now, &request),
            Gate::Answer(reply) => {
                let held = self.dispatch.hold(now, &request);
                held.map(|mut orders| {
                    orders.extend(self.dispatch.answer_held(now, id, self.answer_of(reply)));
                    orders
                })
            }
        };
        match taken {
            Ok(orders) => self.settle(orders),
            Err(e) => {
                self.open.remove(&id);
                self.end_in_flight_unasked(now, id);
                self.not_taken(key, e.text(), now);
                self.advance(key, now);
            }
        }
    }

    /// A request that can't be one is its client's mistake.
    fn not_taken(&mut self, key: Key, why: &'static str, now: Micros) {
        if let Some(s) = self.sessions.by_key.get_mut(&key) {
            s.open = None;
            s.at_fault(&Error::new(1105, "HY000", why), now);
        }
    }

    /// Notes how a request came; it begins once all that came in this turn has been heeded.
    fn take_in_request(
        &mut self,
        client: Key,
        request: Request,
        job: Job,
        came: Occurrence,
        on_new_connection: bool,
    ) {
        let key = request.key.filter(|_| self.dispatch.keeps_order(request.class));
        let spaced = key.map(|key| self.key_spacing.came(key, came, on_new_connection));
        let arrival = Arrival { came, on_new_connection, spaced };
        tracing::debug!(
            request = format_args!("{:016x}", request.id),
            class = &*job.kind,
            key = request.key.map(|key| tracing::field::display(format!("{key:016x}"))),
            budget_ms = request.budget / 1_000,
            late_ms = arrival.late_ms(),
            new_connection = on_new_connection,
            after_previous_ms = arrival.after_previous_ms(),
            maybe_held_back_ms = arrival.maybe_held_back_ms(),
            "request read"
        );
        self.open.insert(request.id, OpenRequest { client, job, arrival: Some(arrival) });
        self.arrived.push_back(Arrived { client, request, arrival });
    }

    /// Tells of a request whose client has gone how it came and how far it was: whoever leaves close to the end of its time
    /// was answered too late.
    pub(super) fn log_left(&self, id: u64, open: &OpenRequest, now: Micros) {
        let Some(progress) = self.dispatch.progress(now, id) else { return };
        let arrival = open.arrival.as_ref();
        tracing::info!(
            request = format_args!("{id:016x}"),
            class = &*open.job.kind,
            waited_ms = progress.waited_ms,
            left_ms = progress.left_ms,
            attempts = progress.attempts,
            outstanding = progress.outstanding,
            late_ms = arrival.map(Arrival::late_ms),
            new_connection = arrival.map(|a| a.on_new_connection),
            after_previous_ms = arrival.and_then(Arrival::after_previous_ms),
            maybe_held_back_ms = arrival.and_then(Arrival::maybe_held_back_ms),
            "client left"
        );
    }
}

impl Arrival {
    /// What is left of a budget that its client has waited on since it wanted to send the request.
    fn left_of(&self, budget: Micros, now: Micros) -> Micros {
        let here = now.saturating_sub(self.came.earliest);
        budget.saturating_sub(here).saturating_sub(self.held_back(budget))
    }

    /// How long its client may have held it back.
    fn held_back(&self, budget: Micros) -> Micros {
        self.spaced.map_or(0, |s| s.held_back(self.came, budget))
    }

    /// How much later it was read than its last byte may have come, in milliseconds.
    fn late_ms(&self) -> u64 {
        (self.came.latest - self.came.earliest) / 1_000
    }

    /// How long after the one before of its key it came, at least.
    fn after_previous_ms(&self) -> Option<u64> {
        self.spaced.and_then(|s| s.after_previous).map(|t| t / 1_000)
    }

    /// The same without regard to its budget, in milliseconds.
    fn maybe_held_back_ms(&self) -> Option<u64> {
        self.spaced.map(|s| (self.came.earliest - s.wanted_since) / 1_000)
    }
}

/// Who asks, as far as a request tells: repeats bring the same statement under a new id.
pub(super) fn asker(job: &Job) -> storm::Asker {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    (&*job.kind, &*job.statement).hash(&mut hasher);
    hasher.finish()
}
