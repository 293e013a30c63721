//! Executes the commands of the dispatch logic: attempts, probes and final answers.

use super::DispatcherServer;
use super::clients::request_intake::{OpenRequest, request_fingerprint};
use super::executors::Rows;
use crate::api::Micros;
use crate::dispatch::{
    Answer, AttemptEnd, AttemptId, AttemptTerms, Command, ExecutorId, NetworkEvent, NeverSentReason,
};
use crate::net::event_loop::poll::Key;
use crate::operator::metrics::Disposition;
use std::collections::VecDeque;

impl DispatcherServer {
    /// Executes commands and the commands that result from their events, until none is left.
    pub(super) fn execute(&mut self, commands: Vec<Command<Rows>>) {
        let mut commands = VecDeque::from(commands);
        loop {
            let now = self.clock.now();
            if let Some(command) = commands.pop_front() {
                self.execute_command(now, command);
            } else if let Some(event) = self.executors.events.pop_front() {
                commands.extend(self.dispatch.handle(now, event));
            } else {
                break;
            }
        }
    }

    pub(super) fn execute_command(&mut self, now: Micros, command: Command<Rows>) {
        match command {
            Command::StartAttempt { attempt_id, executor, terms } => {
                self.start_attempt(now, attempt_id, executor, terms);
            }
            Command::StopAttempt(attempt_id) => self.executors.stop(attempt_id, now, &self.poll),
            Command::WithdrawAttempt(attempt_id) => {
                self.executors.withdraw(attempt_id, NeverSentReason::RequestClosed, now, &self.poll);
            }
            Command::SetPriority(attempt_id, priority) => {
                self.executors.set_priority(attempt_id, priority, now, &self.poll);
            }
            Command::ReportAbandoned { request, result, never_ran } => {
                self.record_abandoned(now, request, result, never_ran);
            }
            Command::Probe(executor) => self.executors.probe(executor, now, &self.poll),
            Command::Answer(request, answer) => self.end_request(now, request, answer),
        }
    }

    /// Starts an attempt, unless the client has disconnected since the decision or this dispatcher has no
    /// lease to send it. In that case nothing is sent and the dispatch logic is notified.
    fn start_attempt(
        &mut self,
        now: Micros,
        attempt_id: AttemptId,
        executor: ExecutorId,
        terms: AttemptTerms,
    ) {
        let open = self.requests.open.get(&attempt_id.request);
        let Some(job) = open.map(|request| request.job.clone()) else {
            return self.report_never_sent(attempt_id, NeverSentReason::RequestClosed);
        };
        if !self.lease_allows_send(now, attempt_id, executor) {
            return self.report_never_sent(attempt_id, NeverSentReason::LeaseMissing);
        }
        self.executors.start(attempt_id, executor, job, terms, now, &self.poll);
    }

    fn report_never_sent(&mut self, attempt_id: AttemptId, reason: NeverSentReason) {
        let event = NetworkEvent::AttemptEnded(attempt_id, AttemptEnd::NeverSent(reason), None);
        self.executors.events.push_back(event);
    }

    /// Ends a request with its final answer: updates the counters, and writes the answer to the client if it
    /// is still connected.
    fn end_request(&mut self, now: Micros, request: u64, mut answer: Answer<Rows>) {
        let Some(OpenRequest { client, job, .. }) = self.requests.open.remove(&request) else { return };
        self.end_in_flight(now, request, &answer);
        let disposition = match answer {
            Answer::Served(_) => Disposition::Succeeded,
            Answer::Failed => Disposition::Aborted,
            Answer::Rejected(_) => Disposition::Declined,
        };
        self.metrics.ended(&job.class_name, disposition);
        if let Some(storm) = &mut self.storm {
            match &mut answer {
                Answer::Served(_) => storm.served(),
                Answer::Failed => storm.failed(),
                Answer::Rejected(retry_after_ms) => {
                    let wait = storm.rejected(now, request_fingerprint(&job), *retry_after_ms * 1_000);
                    *retry_after_ms = wait.div_ceil(1_000);
                }
            }
        }
        self.answer_client(now, client, request, &answer);
    }

    /// Writes an answer to the waiting client, and processes what the client has sent in the meantime.
    fn answer_client(&mut self, now: Micros, client: Key, request: u64, answer: &Answer<Rows>) {
        let session = self.sessions.by_key.get_mut(&client);
        let Some(session) = session.filter(|session| session.open == Some(request)) else { return };
        session.answer(answer);
        session.active_at = now;
        self.flush_client(client);
        self.process_commands(client, now);
        self.close_if_idle_while_leaving(client, now);
    }

    /// Advances overload control and logs a change of phase.
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
                room_per_s = storm.admission_rate(now).round(),
                usable_cores = fleet.usable,
                listed_cores = fleet.listed,
                "storm phase"
            );
        }
    }
}
