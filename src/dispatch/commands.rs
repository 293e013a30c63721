//! Translates the balancer's actions into commands for the network.

use super::pending_request::Attempt;
use super::{Answer, AttemptId, AttemptTerms, BACKOFF_MS, Command, Dispatch};
use crate::api::{Action, AttemptFinished, EndReason, Event, ExecutorId, Micros, Outcome};
use crate::check_invariant;
use std::cmp::Reverse;
use std::collections::VecDeque;

impl<R> Dispatch<R> {
    /// Passes an event to the balancer, then the events that its actions cause, until there are none left.
    pub(super) fn run(&mut self, now: Micros, event: Event) -> Vec<Command<R>> {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.balancer.handle(now, event, &mut actions);
            for action in actions {
                events.extend(self.carry_out(now, action));
            }
        }
        std::mem::take(&mut self.commands)
    }

    /// Carries out an action and returns the event that it causes immediately, if any.
    fn carry_out(&mut self, now: Micros, action: Action) -> Option<Event> {
        match action {
            Action::SetTerms { request, memory_mb, priority } => self.set_terms(request, memory_mb, priority),
            Action::Send { request, executor, timeout } => return self.send(now, request, executor, timeout),
            Action::Cancel { request, attempt } => return self.cancel(now, AttemptId { request, attempt }),
            Action::Reject { request, retry_after, reason } => {
                let backoff_ms = retry_after.map_or(BACKOFF_MS, |backoff| backoff.div_ceil(1000));
                self.end_request(now, request, Answer::Rejected(backoff_ms), reason);
            }
            Action::Fail { request, reason } => self.end_request(now, request, Answer::Failed, reason),
            Action::Probe { executor } => {
                self.counters.probes += 1;
                self.commands.push(Command::Probe(executor));
            }
            Action::SetTimer { token, after } => self.timers.push(Reverse((now + after, token))),
            Action::Log(line) => tracing::info!("{line}"),
            // Not needed here: endpoint lists are pushed, the network closes idle connections, and balancers do not
            // gossip.
            Action::Watch
            | Action::Unwatch
            | Action::FetchEndpointList
            | Action::CloseIdle { .. }
            | Action::Gossip { .. } => {}
        }
        None
    }

    /// Sets the terms of a request's future attempts, and the priority of its outstanding ones.
    fn set_terms(&mut self, request: u64, memory_mb: f64, priority: u8) {
        let Some(pending) = self.pending.get_mut(&request) else { return };
        pending.memory_mb = memory_mb;
        pending.priority = priority;
        for (number, attempt) in (0..).zip(&mut pending.attempts) {
            if attempt.outcome.is_none() && attempt.priority != priority {
                attempt.priority = priority;
                let attempt_id = AttemptId { request, attempt: number };
                self.commands.push(Command::SetPriority(attempt_id, priority));
            }
        }
    }

    /// Starts an attempt of a request. If its attempts are used up, returns the event that this one was not sent.
    fn send(
        &mut self,
        now: Micros,
        request: u64,
        executor: ExecutorId,
        timeout: Option<Micros>,
    ) -> Option<Event> {
        let Some(pending) = self.pending.get_mut(&request).filter(|pending| !pending.closed) else {
            check_invariant!(false, "the balancer sent an attempt for a finished request");
            return None;
        };
        let attempt_id = AttemptId { request, attempt: pending.attempts.len() as u32 };
        if pending.attempts_used_up(self.max_attempts) {
            pending.attempts.push(Attempt {
                executor,
                sent_at: now,
                begun: false,
                outcome: Some(Outcome::NotSent),
                priority: pending.priority,
            });
            return Some(not_sent(attempt_id, executor));
        }
        self.counters.attempts += 1;
        let terms = AttemptTerms {
            memory_mb: pending.memory_mb,
            priority: pending.priority,
            deadline: timeout.map_or(pending.deadline, |timeout| pending.deadline.min(now + timeout)),
            begin_by: pending.begin_by(now, self.retry_start_window),
        };
        pending.attempts.push(Attempt {
            executor,
            sent_at: now,
            begun: false,
            outcome: None,
            priority: pending.priority,
        });
        self.commands.push(Command::StartAttempt { attempt_id, executor, terms });
        None
    }

    /// Cancels an attempt and returns the event of its end, if it was outstanding.
    fn cancel(&mut self, now: Micros, attempt_id: AttemptId) -> Option<Event> {
        let event = self.finish(now, attempt_id, Outcome::Cancelled, None)?;
        self.commands.push(Command::StopAttempt(attempt_id));
        self.remove_if_finished(attempt_id.request);
        Some(event)
    }

    /// Gives a request its final answer.
    fn end_request(&mut self, now: Micros, request: u64, answer: Answer<R>, reason: EndReason) {
        self.answer(now, request, answer, reason);
        self.remove_if_finished(request);
    }
}

/// The event for an attempt that the balancer decided on but that was not sent.
fn not_sent(attempt_id: AttemptId, executor: ExecutorId) -> Event {
    Event::AttemptFinished(AttemptFinished {
        request: attempt_id.request,
        attempt: attempt_id.attempt,
        executor,
        request_done: false,
        outcome: Outcome::NotSent,
        latency: 0,
        reported_cost: None,
        report: None,
    })
}
