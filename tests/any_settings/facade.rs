//! Simulates the dispatch facade, the interface of the network layer, under a generated plan.

use crate::plan::Plan;
use crate::seen::Seen;
use crate::world::{Standing as Stand, World};
use ottercroft::api::Outcome;
use ottercroft::dispatch::*;
use std::collections::BTreeSet;

struct Life {
    world: World,
    dispatch: Dispatch<u64>,
    /// Withdrawn attempts; a later command to stop one has no effect.
    withdrawn: BTreeSet<AttemptId>,
}

impl Life {
    fn act(&mut self, commands: Vec<Command<u64>>) {
        for command in commands {
            let now = self.world.now;
            match command {
                Command::StartAttempt { attempt_id, executor, terms } => {
                    let AttemptTerms { memory_mb, priority, deadline, .. } = terms;
                    let n = self.world.send(attempt_id.request, executor);
                    assert_eq!(n, attempt_id.attempt as usize);
                    assert!(priority <= 3 && memory_mb.is_finite() && memory_mb >= 0.0);
                    assert!(
                        now < deadline && deadline <= self.world.referee.open[&attempt_id.request].deadline
                    );
                    if !self.never_begins(attempt_id) {
                        assert!(self.dispatch.handle(now, NetworkEvent::AttemptBegun(attempt_id)).is_empty());
                    }
                }
                Command::WithdrawAttempt(t) if self.never_begins(t) => {
                    let (id, n) = (t.request, t.attempt as usize);
                    self.world.fates.remove(&(id, n));
                    self.withdrawn.insert(t);
                    assert!(self.world.referee.end(now, id, n, Outcome::ConnectFailed));
                    let commands = self.dispatch.handle(
                        now,
                        NetworkEvent::AttemptEnded(
                            t,
                            AttemptEnd::NeverSent(NeverSentReason::RequestClosed),
                            None,
                        ),
                    );
                    self.act(commands);
                }
                Command::WithdrawAttempt(_) => {}
                Command::StopAttempt(t) if self.withdrawn.remove(&t) => {}
                Command::StopAttempt(t) => {
                    // Nothing more is reported of the attempt. It was cancelled or timed out; the timeout ends before
                    // the client's, so that the client receives the answer.
                    let (id, n) = (t.request, t.attempt as usize);
                    let (due, never) = (self.due(id), self.never_begins(t));
                    self.world.referee.cancel(if now >= due { u64::MAX } else { now }, id, n);
                    assert!(
                        self.world.fates.remove(&(id, n)).is_some(),
                        "stopped an attempt that is not open"
                    );
                    let outcome = match never {
                        true => Outcome::ConnectFailed,
                        false if now >= due => Outcome::Timeout,
                        false => Outcome::Cancelled,
                    };
                    assert!(self.world.referee.end(now, id, n, outcome));
                }
                Command::SetPriority(t, priority) => {
                    assert!(priority <= 3 && self.world.fates.contains_key(&(t.request, t.attempt as usize)));
                }
                Command::Probe(executor) => self.world.probe(executor),
                Command::Answer(id, Answer::Served(by)) => {
                    assert_eq!(by, id, "result of another request");
                    self.world.referee.serve(now, id);
                }
                Command::Answer(id, Answer::Rejected(_)) => self.world.referee.refuse(now, id),
                Command::Answer(id, Answer::Failed) => self.world.referee.fail(now, id),
                Command::ReportAbandoned { .. } => panic!("unexpected report of an abandoned request"),
            }
        }
    }

    /// Whether the connection of an open attempt will fail.
    fn never_begins(&self, t: AttemptId) -> bool {
        let fate = self.world.fates.get(&(t.request, t.attempt as usize));
        matches!(fate, Some(Some((_, Outcome::ConnectFailed))))
    }

    /// When the facade ends a request: an eighth of its time budget before the deadline, 250 ms at most.
    fn due(&self, id: u64) -> u64 {
        let o = &self.world.referee.open[&id];
        let budget = o.deadline - self.world.taken_at[&id];
        o.deadline - (budget / 8).min(250_000)
    }

    fn listed(&self, executor: u32, standing: Stand, started: Option<u64>) -> ListedExecutor {
        let p = self.world.referee.places[&executor];
        let standing = match standing {
            Stand::Up => ExecutorState::Up,
            Stand::Draining => ExecutorState::Draining,
            Stand::Gone => ExecutorState::Removed,
        };
        let (zone, kind, cell) = (p.zone, p.kind, p.cell);
        ListedExecutor { executor, zone, kind, cell, state: standing, size: 1.0, started, weight: None }
    }

    fn load_report(&mut self) -> Option<LoadReport> {
        let some = self.world.below(4) > 0 && self.world.referee.plan.reports < 2;
        some.then(|| {
            let x = self.world.below(100) as f64 / 50.0;
            LoadReport {
                util: Some(x.min(1.0)),
                inflight: Some(8.0 * x),
                queue: Some(x),
                ..LoadReport::default()
            }
        })
    }

    fn step(&mut self, more: bool) {
        let due = self.dispatch.next_due();
        self.world.advance(due);
        let now = self.world.now;
        let commands = self.dispatch.tick(now);
        self.act(commands);
        for executor in self.world.echoes() {
            let load = self.load_report();
            let outcome = match (self.world.broken(executor), self.world.below(5)) {
                (false, 1..) => ProbeOutcome::Up(load),
                (true, 0..2) => ProbeOutcome::Down,
                (true, 2) => ProbeOutcome::Unreachable,
                (true, _) => ProbeOutcome::TimedOut,
                (false, _) => ProbeOutcome::Unknown,
            };
            let commands = self.dispatch.handle(now, NetworkEvent::ProbeFinished(executor, outcome, 2_000));
            self.act(commands);
        }
        for (id, n, outcome) in self.world.ends() {
            if !self.world.referee.end(now, id, n, outcome) {
                continue;
            }
            let end = match outcome {
                Outcome::Ok => AttemptEnd::Served(id),
                Outcome::Error => AttemptEnd::Error,
                Outcome::Rejected => AttemptEnd::Rejected,
                Outcome::ConnectFailed => AttemptEnd::NeverSent(NeverSentReason::ConnectFailed),
                Outcome::Reset if self.world.below(2) == 0 => AttemptEnd::ConnectionLost,
                Outcome::Reset => AttemptEnd::ConnectionUnusable,
                _ => panic!("an attempt was left open until the client's deadline"),
            };
            let inline = self.world.referee.plan.reports == 0;
            let load = self.load_report().filter(|_| inline);
            let attempt_id = AttemptId { request: id, attempt: n as u32 };
            let commands = self.dispatch.handle(now, NetworkEvent::AttemptEnded(attempt_id, end, load));
            self.act(commands);
        }
        if let Some(id) = self.world.leaver() {
            let commands = self.dispatch.handle(now, NetworkEvent::ClientDisconnected(id));
            self.act(commands);
        }
        if let Some(c) = self.world.change() {
            let started = (c.standing == Stand::Up).then_some(now);
            let (event, executors) = if self.world.below(4) > 0 {
                (WatchEvent::Changed, vec![self.listed(c.executor, c.standing, started)])
            } else {
                let listed = self.world.standing.iter().filter(|(_, s)| **s != Stand::Gone);
                (WatchEvent::Replaced, listed.map(|(e, s)| self.listed(*e, *s, started)).collect())
            };
            let commands = self.dispatch.apply_watch_event(now, event, &executors);
            self.act(commands);
        }
        if let Some(r) = more.then(|| self.world.request()).flatten() {
            // Estimates come from clients and can be any number.
            let wild = [f64::MAX, 1e300, 1e13, f64::NAN, f64::INFINITY, -1.0, 0.0, 1e-300];
            let wild = wild.get(self.world.below(150) as usize).copied();
            let request = Request {
                id: r.id,
                client_request_id: None,
                class: r.class,
                tenant: r.tenant,
                key: r.key,
                client_timeout: r.time_budget,
                time_budget: r.time_budget,
                estimated_thread_seconds: wild.or(r.estimate_s),
                estimated_memory_mb: wild.or(r.memory_mb),
                table_group: r.group,
                is_client_retry: false,
                held_by_client: false,
            };
            let commands = self.dispatch.submit(now, &request).expect("a valid request");
            self.act(commands);
            assert!(self.dispatch.submit(now, &request).is_err(), "an id was accepted twice");
        }
    }
}

pub fn life(plan: Plan, steps: u32) -> Seen {
    let (settings, _) = plan.settings();
    let max_open_requests = 3 + (plan.seed % 50) as usize;
    let dispatch = Dispatch::new(settings, max_open_requests, plan.seed).unwrap();
    let mut life = Life { world: World::new(plan), dispatch, withdrawn: BTreeSet::new() };
    let executors: Vec<ListedExecutor> =
        life.world.standing.iter().map(|(e, s)| life.listed(*e, *s, None)).collect();
    let commands = life.dispatch.apply_watch_event(life.world.now, WatchEvent::Restored, &executors);
    life.act(commands);
    (0..steps).for_each(|_| life.step(true));
    // Every other run ends while requests are open.
    if life.world.referee.plan.seed % 2 == 0 {
        let commands = life.dispatch.end_all(life.world.now);
        life.act(commands);
        assert!(!life.world.owed(), "requests without an answer after end_all");
    }
    while life.world.owed() {
        life.step(false);
    }
    assert_eq!(life.dispatch.open_requests(), 0);
    life.world.referee.seen
}
