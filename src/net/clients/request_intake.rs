//! Request intake: a request is read, queued until all input of this turn has been processed, and then
//! submitted to the dispatch logic.

use super::CLIENT_BACKOFF;
use super::arrival::Arrival;
use super::client_error::ClientError;
use crate::api::{EndReason, Micros};
use crate::arrivals::{KeySpacing, Occurrence};
use crate::dispatch::{Answer, Request};
use crate::net::DispatcherServer;
use crate::net::clients::session::ClientCommand;
use crate::net::event_loop::poll::Key;
use crate::net::executors::Job;
use crate::operator::metrics::Disposition;
use crate::storm::{self, Admission};
use crate::takeover::Gate;
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Display;

/// A request that was read but not yet submitted.
pub(in crate::net) struct ArrivedRequest {
    client: Key,
    request: Request,
    arrival: Arrival,
}

/// A request without a final answer.
pub(in crate::net) struct OpenRequest {
    pub(in crate::net) client: Key,
    pub(in crate::net) job: Job,
    /// Arrival details; `None` for a request taken over from a lost peer.
    pub(in crate::net) arrival: Option<Arrival>,
}

/// All requests without a final answer.
#[derive(Default)]
pub(in crate::net) struct Requests {
    /// Open requests by id, from the time they were read.
    pub(in crate::net) open: BTreeMap<u64, OpenRequest>,
    /// Requests that were read but not yet submitted, in arrival order.
    pub(in crate::net) arrived: VecDeque<ArrivedRequest>,
    key_spacing: KeySpacing,
}

impl DispatcherServer {
    /// Processes the commands a client has sent, until a request is open or no complete command is left.
    pub(in crate::net) fn process_commands(&mut self, key: Key, now: Micros) {
        while let Some(session) = self.sessions.by_key.get_mut(&key) {
            match session.next_command(&self.names, now) {
                None => break,
                Some(ClientCommand::Close) => return self.close_client(key, now),
                Some(ClientCommand::Kill(id)) => self.kill_request(key, id, now),
                Some(ClientCommand::Request(mut request, job)) => {
                    let id = request.id;
                    if session.sends_while_open() {
                        return self.reject_second_request(key, now);
                    }
                    if self.requests.open.contains_key(&id) {
                        session.reject_and_pause(ClientError::DuplicateRequestId, now);
                        continue;
                    }
                    session.open = Some(id);
                    let arrived = session.received();
                    let on_new_connection = session.take_first_request();
                    self.limit_budget(&mut request);
                    self.enqueue_arrived(key, request, job, arrived, on_new_connection);
                }
            }
        }
        self.flush_client(key);
    }

    /// Submits the queued requests in arrival order, unless their clients have disconnected. If this takes so
    /// long that more clients may have disconnected, the rest waits for the next poll.
    pub(in crate::net) fn begin_arrived_requests(&mut self) {
        if self.shutdown.gave_up() {
            let now = self.clock.now();
            return self.reject_arrived_requests(now);
        }
        while let Some(ArrivedRequest { client, mut request, arrival }) = self.requests.arrived.pop_front() {
            let now = self.clock.now();
            request.held_by_client = arrival.client_delay(request.time_budget) > 0;
            request.time_budget = arrival.remaining_budget(request.time_budget, now);
            if let Some(job) = self.job_if_client_waits(client, request.id) {
                self.begin_request(client, request, job, now);
            }
            self.expire_due_requests();
            if !self.executors.may_start_attempt() {
                return;
            }
        }
    }

    /// Rejects the queued requests, which can no longer be submitted and never ran.
    pub(in crate::net) fn reject_arrived_requests(&mut self, now: Micros) {
        while let Some(ArrivedRequest { client, request, .. }) = self.requests.arrived.pop_front() {
            if let Some(job) = self.job_if_client_waits(client, request.id) {
                self.reject_request(client, &request, &job, CLIENT_BACKOFF, EndReason::Stopping, now);
            }
        }
    }

    /// The job of a request, if its client is still waiting for it.
    fn job_if_client_waits(&self, client: Key, request: u64) -> Option<Job> {
        let waits = self.sessions.by_key.get(&client).is_some_and(|s| s.open == Some(request));
        self.requests.open.get(&request).filter(|_| waits).map(|o| o.job.clone())
    }

    /// Rejects a request before it is submitted to the dispatch logic.
    fn reject_request(
        &mut self,
        key: Key,
        request: &Request,
        job: &Job,
        wait: Micros,
        reason: EndReason,
        now: Micros,
    ) {
        self.requests.open.remove(&request.id);
        match self.dispatch.reject(request, reason) {
            Ok(()) => {
                self.metrics.ended(&job.class_name, Disposition::Declined);
                if let Some(session) = self.sessions.by_key.get_mut(&key) {
                    session.answer(&Answer::Rejected(wait.div_ceil(1_000)));
                }
            }
            Err(e) => self.report_client_error(key, e.text(), now),
        }
        self.process_commands(key, now);
    }

    /// Submits a request to the dispatch logic, unless overload control rejects it or the fleet holds or
    /// answers it.
    fn begin_request(&mut self, key: Key, request: Request, job: Job, now: Micros) {
        let id = request.id;
        let storm =
            self.storm.as_mut().map(|s| s.admit(now, request_fingerprint(&job), request.is_client_retry));
        if let Some(Admission::Reject(wait)) = storm {
            return self.reject_request(key, &request, &job, wait, EndReason::DecidedOutside, now);
        }
        let taken = match self.gate(now, &request, &job) {
            Gate::Go => self.dispatch.submit(now, &request),
            Gate::Hold => self.dispatch.hold(now, &request),
            Gate::Answer(reply) => {
                let held = self.dispatch.hold(now, &request);
                held.map(|mut commands| {
                    commands.extend(self.dispatch.answer_held(now, id, self.to_answer(reply)));
                    commands
                })
            }
        };
        match taken {
            Ok(commands) => self.execute(commands),
            Err(e) => {
                self.requests.open.remove(&id);
                self.end_unsubmitted_in_flight(now, id);
                self.report_client_error(key, e.text(), now);
                self.process_commands(key, now);
            }
        }
    }

    /// Reports a client error for a request that the dispatch logic did not accept.
    fn report_client_error(&mut self, key: Key, why: impl Display, now: Micros) {
        if let Some(session) = self.sessions.by_key.get_mut(&key) {
            session.open = None;
            session.reject_and_pause(ClientError::NotAccepted(why.to_string()), now);
        }
    }

    /// Queues a request with its arrival details. It is submitted once all input of this turn has been
    /// processed.
    fn enqueue_arrived(
        &mut self,
        client: Key,
        request: Request,
        job: Job,
        arrived: Occurrence,
        on_new_connection: bool,
    ) {
        let key = request.key.filter(|_| self.dispatch.keeps_order(request.class));
        let spacing = key.map(|key| self.requests.key_spacing.record(key, arrived, on_new_connection));
        let arrival = Arrival { arrived, on_new_connection, spacing };
        tracing::debug!(
            request = format_args!("{:016x}", request.id),
            class = &*job.class_name,
            key = request.key.map(|key| tracing::field::display(format!("{key:016x}"))),
            budget_ms = request.time_budget / 1_000,
            late_ms = arrival.late_ms(),
            new_connection = on_new_connection,
            after_previous_ms = arrival.after_previous_ms(),
            maybe_held_back_ms = arrival.max_client_delay_ms(),
            "request read"
        );
        self.requests.open.insert(request.id, OpenRequest { client, job, arrival: Some(arrival) });
        self.requests.arrived.push_back(ArrivedRequest { client, request, arrival });
    }

    /// Logs the arrival details and progress of an abandoned request: a client that leaves shortly before its
    /// budget ends would have been answered too late.
    pub(in crate::net) fn log_abandoned(&self, id: u64, open: &OpenRequest, now: Micros) {
        let Some(progress) = self.dispatch.progress(now, id) else { return };
        let arrival = open.arrival.as_ref();
        tracing::info!(
            request = format_args!("{id:016x}"),
            class = &*open.job.class_name,
            waited_ms = progress.waited_ms,
            left_ms = progress.left_ms,
            attempts = progress.attempts,
            outstanding = progress.outstanding,
            late_ms = arrival.map(Arrival::late_ms),
            new_connection = arrival.map(|a| a.on_new_connection),
            after_previous_ms = arrival.and_then(Arrival::after_previous_ms),
            maybe_held_back_ms = arrival.and_then(Arrival::max_client_delay_ms),
            "client left"
        );
    }
}

/// Fingerprint of a request's class and statement, which overload control uses to recognize a repeat under a
/// new request id.
pub(in crate::net) fn request_fingerprint(job: &Job) -> storm::RequestFingerprint {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    (&*job.class_name, &*job.statement).hash(&mut hasher);
    hasher.finish()
}
