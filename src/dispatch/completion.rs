//! Timers and deadlines, the final answer of a request, and its removal afterwards.

use super::pending_request::PendingRequest;
use super::{Answer, AttemptId, BACKOFF_MS, Command, Dispatch, LoadReport};
use crate::api::{AttemptFinished, EndReason, Event, Micros, Outcome};
use crate::check_invariant;
use std::cmp::Reverse;

impl<R> Dispatch<R> {
    /// Fires the timers that are due and ends the requests whose deadline has passed.
    pub fn tick(&mut self, now: Micros) -> Vec<Command<R>> {
        let mut commands = Vec::new();
        while let Some(token) = self.next_timer(now) {
            commands.append(&mut self.run(now, Event::Timer { token }));
        }
        commands.append(&mut self.end_expired(now));
        commands
    }

    /// Removes the next timer that is due and returns its token.
    fn next_timer(&mut self, now: Micros) -> Option<u64> {
        let (due_at, token) = self.timers.peek().map(|Reverse(timer)| *timer)?;
        if due_at > now {
            return None;
        }
        self.timers.pop();
        Some(token)
    }

    /// Answers the requests whose deadline has passed, but does not fire timers; [`Dispatch::tick`] does that.
    pub fn end_expired(&mut self, now: Micros) -> Vec<Command<R>> {
        let mut commands = Vec::new();
        while let Some((deadline, id)) = self.deadlines.first().copied().filter(|(at, _)| *at <= now) {
            self.deadlines.remove(&(deadline, id));
            commands.append(&mut self.stop_and_close(now, id, EndReason::Deadline));
        }
        commands
    }

    /// Sets the time at which this dispatcher shuts down and ends all requests, in microseconds. Requests that would
    /// take longer are not started but rejected at once.
    pub fn set_shutdown_time(&mut self, at: Micros) {
        self.balancer.set_shutdown_deadline(at);
    }

    /// Answers every pending request now: rejects it if a retry is harmless, fails it otherwise.
    pub fn end_all(&mut self, now: Micros) -> Vec<Command<R>> {
        let unanswered = self.pending.iter().filter(|(_, pending)| !pending.closed);
        let ids: Vec<u64> = unanswered.map(|(id, _)| *id).collect();
        ids.into_iter().flat_map(|id| self.close(now, id, EndReason::Stopping)).collect()
    }

    /// Handles the loss of this dispatcher's lease on a request: stops its attempts and answers its client.
    pub fn release(&mut self, now: Micros, id: u64) -> Vec<Command<R>> {
        self.stop_and_close(now, id, EndReason::LeaseLost)
    }

    /// Stops the outstanding attempts of a request whose deadline has passed or whose lease is lost, and answers it.
    /// After the deadline, no further attempt starts.
    fn stop_and_close(&mut self, now: Micros, id: u64, reason: EndReason) -> Vec<Command<R>> {
        let Some(pending) = self.pending.get(&id) else { return Vec::new() };
        let outstanding: Vec<u32> = pending.outstanding_attempts().collect();
        let mut commands = Vec::new();
        for attempt in outstanding {
            let attempt_id = AttemptId { request: id, attempt };
            self.counters.expired += 1;
            self.commands.push(Command::StopAttempt(attempt_id));
            let outcome = self.outcome_of_stopped(attempt_id, reason);
            if let Some(event) = self.finish(now, attempt_id, outcome, None) {
                commands.append(&mut self.run(now, event));
            }
        }
        commands.append(&mut self.close(now, id, reason));
        self.remove_if_finished(id);
        commands.append(&mut self.commands);
        commands
    }

    /// The outcome of an attempt that is stopped here. One that is stopped at the deadline before its first byte was
    /// written never ran, which says nothing about its executor: the network reports a failed connection by itself.
    fn outcome_of_stopped(&mut self, attempt_id: AttemptId, reason: EndReason) -> Outcome {
        let never_begun = self.outstanding(attempt_id).is_some_and(|attempt| !attempt.begun);
        if reason == EndReason::Deadline && never_begun { Outcome::NotSent } else { Outcome::Timeout }
    }

    /// Ends a request that the balancer has not answered.
    fn close(&mut self, now: Micros, id: u64, reason: EndReason) -> Vec<Command<R>> {
        let Some(pending) = self.pending.get(&id).filter(|pending| !pending.closed) else {
            return Vec::new();
        };
        let retry_is_harmless = pending.idempotent || pending.never_ran();
        self.held_requests.remove(&id);
        let answer = if retry_is_harmless { Answer::Rejected(BACKOFF_MS) } else { Answer::Failed };
        self.answer(now, id, answer, reason);
        let commands = self.run(now, Event::ClientDisconnected { request: id });
        self.remove_if_finished(id);
        commands
    }

    /// Withdraws the attempts of a closed request that have not been written yet. Called wherever a request is closed,
    /// in addition to cancellations by the balancer. Otherwise, an attempt whose connection is established later would
    /// run for a request that was already rejected or cancelled.
    pub(super) fn withdraw(&mut self, id: u64) {
        let outstanding = self.pending.get(&id).into_iter().flat_map(PendingRequest::outstanding_attempts);
        let withdrawals =
            outstanding.map(|attempt| Command::WithdrawAttempt(AttemptId { request: id, attempt }));
        self.commands.extend(withdrawals);
    }

    /// Records the end of an attempt and returns the event that reports it to the balancer.
    pub(super) fn finish(
        &mut self,
        now: Micros,
        id: AttemptId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) -> Option<Event> {
        let done = self.pending.get(&id.request)?.closed;
        let attempt = self.outstanding(id)?;
        attempt.outcome = Some(outcome);
        Some(Event::AttemptFinished(AttemptFinished {
            request: id.request,
            attempt: id.attempt,
            executor: attempt.executor,
            request_done: done,
            outcome,
            latency: now.saturating_sub(attempt.sent_at),
            reported_cost: None,
            report,
        }))
    }

    /// Gives a request its final answer; the only function that does so.
    pub(super) fn answer(&mut self, now: Micros, id: u64, answer: Answer<R>, reason: EndReason) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        if !check_invariant!(!pending.closed, "a request was answered twice") {
            return;
        }
        pending.closed = true;
        pending.log_answer(now, id, &answer, reason);
        self.counters.ends.add(reason);
        match &answer {
            Answer::Served(_) => self.counters.served += 1,
            Answer::Rejected(_) => self.counters.refused += 1,
            Answer::Failed => self.counters.failed += 1,
        }
        self.withdraw(id);
        self.commands.push(Command::Answer(id, answer));
    }

    /// Removes a request if it is finished.
    pub(super) fn remove_if_finished(&mut self, id: u64) {
        if !self.pending.get(&id).is_some_and(PendingRequest::is_over) {
            return;
        }
        let Some(pending) = self.pending.remove(&id) else { return };
        self.deadlines.remove(&(pending.deadline, id));
        if pending.client_disconnected && self.reports_abandoned {
            let never_ran = pending.never_ran();
            let result = pending.late_result;
            self.commands.push(Command::ReportAbandoned { request: id, result, never_ran });
        }
    }
}
