//! Time that passes, the one final answer of a request, and what is forgotten after it.

use super::pending_request::PendingRequest;
use super::{Answer, AttemptId, BACKOFF_MS, Command, Dispatch, LoadReport};
use crate::api::{AttemptFinished, EndReason, Event, Micros, Outcome};
use crate::must;
use std::cmp::Reverse;

impl<R> Dispatch<R> {
    /// Lets time pass: timers, and requests whose time is over.
    pub fn tick(&mut self, now: Micros) -> Vec<Command<R>> {
        let mut commands = Vec::new();
        while let Some((_, token)) = self.timers.peek().map(|Reverse(w)| *w).filter(|(t, _)| *t <= now) {
            self.timers.pop();
            commands.append(&mut self.run(now, Event::Timer { token }));
        }
        commands.append(&mut self.end_expired(now));
        commands
    }

    /// Answers the requests whose time is over; all else that is due waits for [`Dispatch::tick`].
    pub fn end_expired(&mut self, now: Micros) -> Vec<Command<R>> {
        let mut commands = Vec::new();
        while let Some((at, id)) = self.deadlines.first().copied().filter(|(t, _)| *t <= now) {
            self.deadlines.remove(&(at, id));
            commands.append(&mut self.expire(now, id, EndReason::Deadline));
        }
        commands
    }

    /// This dispatcher gives up at this time: what takes longer is not begun, but refused at once.
    pub fn set_shutdown_time(&mut self, at: Micros) {
        self.balancer.ends_at(at);
    }

    /// Gives every request that is open its answer now: refused where that is harmless, else failed.
    pub fn end_all(&mut self, now: Micros) -> Vec<Command<R>> {
        let waiting: Vec<u64> = self.pending.iter().filter(|(_, o)| !o.closed).map(|(id, _)| *id).collect();
        waiting.into_iter().flat_map(|id| self.close(now, id, EndReason::Stopping)).collect()
    }

    /// The right to act on a request is lost: what is out of it is called off, and its client told.
    pub fn release(&mut self, now: Micros, id: u64) -> Vec<Command<R>> {
        self.expire(now, id, EndReason::LeaseLost)
    }

    /// What is out of a request is given up and has timed out. Where its own time is over, nothing of it begins again.
    fn expire(&mut self, now: Micros, id: u64, reason: EndReason) -> Vec<Command<R>> {
        let over = reason == EndReason::Deadline;
        let Some(open) = self.pending.get(&id) else { return Vec::new() };
        let outstanding: Vec<u32> = open.outstanding_attempts().collect();
        let mut commands = Vec::new();
        for attempt in outstanding {
            let attempt_id = AttemptId { request: id, attempt };
            self.counters.expired += 1;
            self.commands.push(Command::StopAttempt(attempt_id));
            // What was stopped before its first byte never ran.
            let never = over && self.outstanding(attempt_id).is_some_and(|a| !a.begun);
            let outcome = if never { Outcome::ConnectFailed } else { Outcome::Timeout };
            if let Some(event) = self.finish(now, attempt_id, outcome, None) {
                commands.append(&mut self.run(now, event));
            }
        }
        commands.append(&mut self.close(now, id, reason));
        self.forget(id);
        commands.append(&mut self.commands);
        commands
    }

    /// Ends a request whose answer the decisions did not give.
    fn close(&mut self, now: Micros, id: u64, reason: EndReason) -> Vec<Command<R>> {
        let Some(open) = self.pending.get(&id).filter(|o| !o.closed) else { return Vec::new() };
        let harmless = open.idempotent || open.never_ran();
        self.held_requests.remove(&id);
        let answer = if harmless { Answer::Refused(BACKOFF_MS) } else { Answer::Failed };
        self.answer(now, id, answer, reason);
        let commands = self.run(now, Event::ClientDisconnected { request: id });
        self.forget(id);
        commands
    }

    /// A request is over, answered or left: of what waits to be written for it nothing may begin any more. Called
    /// wherever a request is closed, whatever the decisions call off besides.
    pub(super) fn withdraw(&mut self, id: u64) {
        let outstanding = self.pending.get(&id).into_iter().flat_map(PendingRequest::outstanding_attempts);
        let attempt_ids =
            outstanding.map(|attempt| Command::WithdrawAttempt(AttemptId { request: id, attempt }));
        self.commands.extend(attempt_ids);
    }

    /// Notes an attempt's end; the event that tells of it.
    pub(super) fn finish(
        &mut self,
        now: Micros,
        t: AttemptId,
        outcome: Outcome,
        load: Option<LoadReport>,
    ) -> Option<Event> {
        let done = self.pending.get(&t.request)?.closed;
        let attempt = self.outstanding(t)?;
        attempt.outcome = Some(outcome);
        let latency = now.saturating_sub(attempt.sent);
        let (request, attempt, executor) = (t.request, t.attempt, attempt.executor);
        let finished = AttemptFinished {
            request,
            attempt,
            executor,
            done,
            outcome,
            latency,
            reported_cost: None,
            report: load,
        };
        Some(Event::AttemptFinished(finished))
    }

    /// The one place that gives a final answer.
    pub(super) fn answer(&mut self, now: Micros, id: u64, answer: Answer<R>, reason: EndReason) {
        let Some(open) = self.pending.get_mut(&id) else { return };
        if !must!(!open.closed, "a second answer") {
            return;
        }
        open.closed = true;
        open.log_end(now, id, &answer, reason);
        self.counters.ends.add(reason);
        match &answer {
            Answer::Served(_) => self.counters.served += 1,
            Answer::Refused(_) => self.counters.refused += 1,
            Answer::Failed => self.counters.failed += 1,
        }
        self.withdraw(id);
        self.commands.push(Command::Answer(id, answer));
    }

    pub(super) fn forget(&mut self, id: u64) {
        if self.pending.get(&id).is_some_and(PendingRequest::over)
            && let Some(open) = self.pending.remove(&id)
        {
            self.deadlines.remove(&(open.deadline, id));
            if open.left && self.reports_abandoned {
                let never_ran = open.never_ran();
                let result = open.late_result;
                self.commands.push(Command::ReportAbandoned { request: id, result, never_ran });
            }
        }
    }
}
