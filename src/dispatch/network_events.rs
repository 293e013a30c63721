//! Handling of the network's events.

use super::{
    Answer, AttemptEnd, AttemptId, AttemptProgress, Command, Dispatch, LoadReport, NetworkEvent,
    NeverSentReason, ProbeOutcome,
};
use crate::api::{EndReason, Event, ExecutorId, Micros, Outcome};
use crate::check_invariant;

impl<R> Dispatch<R> {
    /// Handles an event of the network and returns the commands for it.
    pub fn handle(&mut self, now: Micros, event: NetworkEvent<R>) -> Vec<Command<R>> {
        match event {
            NetworkEvent::AttemptEnded(id, end, load) => self.attempt_ended(now, id, end, load),
            NetworkEvent::AttemptBegun(id) => {
                if let Some(attempt) = self.outstanding(id) {
                    attempt.begun = true;
                }
                Vec::new()
            }
            NetworkEvent::AttemptProgressed(id, progress) => self.attempt_progressed(now, id, progress),
            NetworkEvent::ProbeFinished(executor, outcome, latency) => {
                self.probe_finished(now, executor, outcome, latency)
            }
            NetworkEvent::ConnectFailed(executor) => self.run(now, Event::ConnectFailed { executor }),
            NetworkEvent::ClientDisconnected(request) => self.client_disconnected(now, request),
        }
    }

    fn attempt_progressed(
        &mut self,
        now: Micros,
        id: AttemptId,
        progress: AttemptProgress,
    ) -> Vec<Command<R>> {
        let Some(executor) = self.outstanding(id).map(|attempt| attempt.executor) else { return Vec::new() };
        let AttemptId { request, attempt } = id;
        self.run(now, Event::AttemptProgressed { request, attempt, executor, progress })
    }

    fn probe_finished(
        &mut self,
        now: Micros,
        executor: ExecutorId,
        outcome: ProbeOutcome,
        latency: Micros,
    ) -> Vec<Command<R>> {
        let (outcome, report) = match outcome {
            ProbeOutcome::Up(load) => (Outcome::Ok, load),
            ProbeOutcome::Down => (Outcome::Error, None),
            ProbeOutcome::Unreachable => (Outcome::ConnectFailed, None),
            ProbeOutcome::Unknown => (Outcome::Cancelled, None),
            ProbeOutcome::TimedOut => (Outcome::Timeout, None),
        };
        self.run(now, Event::ProbeFinished { executor, outcome, latency, report })
    }

    fn client_disconnected(&mut self, now: Micros, id: u64) -> Vec<Command<R>> {
        let Some(pending) = self.pending.get_mut(&id).filter(|pending| !pending.closed) else {
            return Vec::new();
        };
        pending.closed = true;
        pending.client_disconnected = true;
        self.held_requests.remove(&id);
        self.counters.left += 1;
        self.withdraw(id);
        let mut commands = self.run(now, Event::ClientDisconnected { request: id });
        self.remove_if_finished(id);
        commands.append(&mut self.commands);
        commands
    }

    fn attempt_ended(
        &mut self,
        now: Micros,
        id: AttemptId,
        end: AttemptEnd<R>,
        load: Option<LoadReport>,
    ) -> Vec<Command<R>> {
        // An attempt may end while the command to stop it is being carried out; its end was already recorded.
        let Some(executor) = self.outstanding(id).map(|attempt| attempt.executor) else { return Vec::new() };
        let outcome = self.outcome_of(now, id, end);
        let event = self.finish(now, id, outcome, load);
        let is_its_end =
            matches!(&event, Some(Event::AttemptFinished(finished)) if finished.executor == executor);
        check_invariant!(is_its_end, "the end of an outstanding attempt was not reported");
        let mut commands = event.map_or_else(Vec::new, |event| self.run(now, event));
        self.remove_if_finished(id.request);
        commands.append(&mut self.commands);
        commands
    }

    /// The outcome to report to the balancer for the end of an attempt. A result also answers the request.
    fn outcome_of(&mut self, now: Micros, id: AttemptId, end: AttemptEnd<R>) -> Outcome {
        match end {
            AttemptEnd::Served(result) => {
                self.served(now, id.request, result);
                Outcome::Ok
            }
            AttemptEnd::Rejected => Outcome::Rejected,
            AttemptEnd::NotRun => Outcome::NotSent,
            AttemptEnd::Error => Outcome::Error,
            AttemptEnd::NeverSent(reason) => {
                self.counters.never_sent += 1;
                outcome_of_never_sent(reason)
            }
            AttemptEnd::ConnectionLost => {
                self.count_lost(id);
                Outcome::Reset
            }
            AttemptEnd::ConnectionUnusable => {
                self.count_lost(id);
                // A timeout tells the balancer that the attempt may have run, and nothing about the executor's health.
                Outcome::Timeout
            }
        }
    }

    fn served(&mut self, now: Micros, id: u64, result: R) {
        match self.pending.get_mut(&id) {
            Some(pending) if !pending.closed => {
                self.answer(now, id, Answer::Served(result), EndReason::Served);
            }
            Some(pending) if pending.client_disconnected && self.reports_abandoned => {
                pending.late_result = Some(result);
            }
            _ => {}
        }
    }

    fn count_lost(&mut self, id: AttemptId) {
        self.counters.lost += 1;
        let request = format_args!("{:016x}", id.request);
        tracing::info!(request, attempt = id.attempt, "attempt lost with its connection");
    }
}

/// The outcome of an attempt of which no byte was written: only a failed connection says something about the executor.
fn outcome_of_never_sent(reason: NeverSentReason) -> Outcome {
    match reason {
        NeverSentReason::ConnectFailed => Outcome::ConnectFailed,
        NeverSentReason::RequestClosed
        | NeverSentReason::StartExpired
        | NeverSentReason::ExecutorChanged
        | NeverSentReason::ExecutorUnlisted
        | NeverSentReason::LeaseMissing => Outcome::NotSent,
    }
}
