//! The decisions' actions become commands.

use super::pending_request::Attempt;
use super::{Answer, AttemptId, AttemptTerms, BACKOFF_MS, Command, Dispatch};
use crate::api::{Action, AttemptFinished, Event, Micros, Outcome};
use crate::must;
use std::cmp::Reverse;
use std::collections::VecDeque;

impl<R> Dispatch<R> {
    /// Hands an event to the decisions, and on what they want done until nothing is left.
    pub(super) fn run(&mut self, now: Micros, event: Event) -> Vec<Command<R>> {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.balancer.handle(now, event, &mut actions);
            for action in actions {
                self.act(now, action, &mut events);
            }
        }
        std::mem::take(&mut self.commands)
    }

    fn act(&mut self, now: Micros, action: Action, events: &mut VecDeque<Event>) {
        match action {
            Action::SetTerms { request, memory_mb, priority } => {
                let Some(open) = self.pending.get_mut(&request) else { return };
                (open.memory_mb, open.priority) = (memory_mb, priority);
                for (n, a) in (0..).zip(&mut open.attempts) {
                    if a.outcome.is_none() && a.priority != priority {
                        a.priority = priority;
                        self.commands.push(Command::SetPriority(AttemptId { request, attempt: n }, priority));
                    }
                }
            }
            Action::Send { request, executor, timeout } => {
                let Some(open) = self.pending.get_mut(&request).filter(|o| !o.closed) else {
                    must!(false, "a send for a request that is over");
                    return;
                };
                if open.earlier_attempts + open.attempts.len() >= self.max_attempts
                    && open.earlier_attempts > 0
                {
                    // With those of the dispatcher that was lost there were enough.
                    let (attempt, outcome) = (open.attempts.len() as u32, Some(Outcome::NotSent));
                    let (begun, priority) = (false, open.priority);
                    open.attempts.push(Attempt { executor, sent: now, begun, outcome, priority });
                    let (done, latency, reported_cost, report) = (false, 0, None, None);
                    let outcome = Outcome::NotSent;
                    events.push_back(Event::AttemptFinished(AttemptFinished {
                        request,
                        attempt,
                        executor,
                        done,
                        outcome,
                        latency,
                        reported_cost,
                        report,
                    }));
                    return;
                }
                self.counters.attempts += 1;
                let further = !open.attempts.is_empty();
                let in_budget = self.retry_start_window.filter(|_| further).map(|slack| now + slack);
                let begin_by =
                    in_budget.into_iter().chain(open.repeats_known_until()).fold(open.deadline, Micros::min);
                let attempt_id = AttemptId { request, attempt: open.attempts.len() as u32 };
                let (begun, outcome, priority) = (false, None, open.priority);
                open.attempts.push(Attempt { executor, sent: now, begun, outcome, priority });
                self.commands.push(Command::StartAttempt {
                    attempt_id,
                    executor,
                    terms: AttemptTerms {
                        memory_mb: open.memory_mb,
                        priority: open.priority,
                        deadline: timeout.map_or(open.deadline, |t| open.deadline.min(now + t)),
                        begin_by,
                    },
                });
            }
            Action::Cancel { request, attempt } => {
                let attempt_id = AttemptId { request, attempt };
                if let Some(event) = self.finish(now, attempt_id, Outcome::Cancelled, None) {
                    self.commands.push(Command::StopAttempt(attempt_id));
                    events.push_back(event);
                    self.forget(request);
                }
            }
            Action::Reject { request, retry_after, reason } => {
                let backoff_ms = retry_after.map_or(BACKOFF_MS, |t| t.div_ceil(1000));
                self.answer(now, request, Answer::Refused(backoff_ms), reason);
                self.forget(request);
            }
            Action::Fail { request, reason } => {
                self.answer(now, request, Answer::Failed, reason);
                self.forget(request);
            }
            Action::Probe { executor } => {
                self.counters.probes += 1;
                self.commands.push(Command::Probe(executor));
            }
            Action::SetTimer { token, after } => self.timers.push(Reverse((now + after, token))),
            Action::Log(line) => tracing::info!("{line}"),
            // The list is pushed here, idle connections end by their own clock, and there are no peers.
            Action::Watch
            | Action::Unwatch
            | Action::FetchEndpointList
            | Action::CloseIdle { .. }
            | Action::Gossip { .. } => {}
        }
    }
}
