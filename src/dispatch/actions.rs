//! The decisions' actions become orders.

use super::open::Attempt;
use super::{Answer, BACKOFF_MS, Dispatch, Order, Terms, Ticket};
use crate::api::{Action, AttemptFinished, Event, Micros, Outcome};
use crate::must;
use std::cmp::Reverse;
use std::collections::VecDeque;

impl<R> Dispatch<R> {
    /// Hands an event to the decisions, and on what they want done until nothing is left.
    pub(super) fn run(&mut self, now: Micros, event: Event) -> Vec<Order<R>> {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.dispatcher.handle(now, event, &mut actions);
            for action in actions {
                self.act(now, action, &mut events);
            }
        }
        std::mem::take(&mut self.orders)
    }

    fn act(&mut self, now: Micros, action: Action, events: &mut VecDeque<Event>) {
        match action {
            Action::SetTerms { request, memory_mb, priority } => {
                let Some(open) = self.open.get_mut(&request) else { return };
                (open.memory_mb, open.priority) = (memory_mb, priority);
                for (n, a) in (0..).zip(&mut open.attempts) {
                    if a.outcome.is_none() && a.priority != priority {
                        a.priority = priority;
                        self.orders.push(Order::Boost(Ticket { request, attempt: n }, priority));
                    }
                }
            }
            Action::Send { request, executor, timeout } => {
                let Some(open) = self.open.get_mut(&request).filter(|o| !o.closed) else {
                    must!(false, "a send for a request that is over");
                    return;
                };
                if open.before + open.attempts.len() >= self.most_attempts && open.before > 0 {
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
                        request_done: done,
                        outcome,
                        latency,
                        reported_cost,
                        report,
                    }));
                    return;
                }
                self.tally.attempts += 1;
                let further = !open.attempts.is_empty();
                let in_budget = self.budget_slack.filter(|_| further).map(|slack| now + slack);
                let begin_by =
                    in_budget.into_iter().chain(open.repeats_known_until()).fold(open.deadline, Micros::min);
                let ticket = Ticket { request, attempt: open.attempts.len() as u32 };
                let (begun, outcome, priority) = (false, None, open.priority);
                open.attempts.push(Attempt { executor, sent: now, begun, outcome, priority });
                self.orders.push(Order::Start {
                    ticket,
                    executor,
                    terms: Terms {
                        memory_mb: open.memory_mb,
                        priority: open.priority,
                        until: timeout.map_or(open.deadline, |t| open.deadline.min(now + t)),
                        begin_by,
                    },
                });
            }
            Action::Cancel { request, attempt } => {
                let ticket = Ticket { request, attempt };
                if let Some(event) = self.finish(now, ticket, Outcome::Cancelled, None) {
                    self.orders.push(Order::Stop(ticket));
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
                self.tally.probes += 1;
                self.orders.push(Order::Probe(executor));
            }
            Action::SetTimer { token, after } => self.wakes.push(Reverse((now + after, token))),
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
