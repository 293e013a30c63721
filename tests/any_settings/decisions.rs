//! Simulates the balancer under a generated plan.

use crate::plan::Plan;
use crate::seen::Seen;
use crate::world::{START, Standing, World};
use ottercroft::Balancer;
use ottercroft::api::*;

struct Life {
    world: World,
    dispatcher: Balancer,
    timers: Vec<(u64, u64)>,
}

impl Life {
    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.world.now, event, &mut actions);
        for a in actions {
            self.act(a);
        }
    }

    fn act(&mut self, action: Action) {
        let now = self.world.now;
        match action {
            Action::SetTimer { token, after } => self.timers.push((now + after.max(1), token)),
            Action::Send { request, executor, .. } => {
                self.world.send(request, executor);
            }
            Action::Cancel { request, attempt } => {
                let n = attempt as usize;
                self.world.referee.cancel(now, request, n);
                let soon = now + 1 + self.world.below(5_000);
                // An outcome that is due earlier takes precedence.
                if let Some(fate) = self.world.fates.get_mut(&(request, n))
                    && fate.is_none_or(|(t, _)| t > soon)
                {
                    *fate = Some((soon, Outcome::Cancelled));
                }
            }
            Action::Reject { request, retry_after, .. } => {
                let told = self.world.referee.plan.retry_after == Some(true);
                assert!(told || retry_after.is_none(), "retry_after given without the retryAfter permission");
                self.world.referee.refuse(now, request);
            }
            Action::Fail { request, .. } => self.world.referee.fail(now, request),
            Action::Probe { executor } => self.world.probe(executor),
            Action::SetTerms { priority, memory_mb, .. } => {
                assert!(priority <= 3 && memory_mb.is_finite() && memory_mb >= 0.0);
            }
            Action::Gossip { .. } => panic!("gossip sent, which no settings here permit"),
            Action::Log(line) => assert!(!line.contains(&self.world.referee.plan.class_name(0))),
            Action::Watch | Action::Unwatch | Action::FetchEndpointList | Action::CloseIdle { .. } => {}
        }
    }

    fn endpoint(&self, executor: u32, standing: Standing, started: Option<u64>) -> Endpoint {
        let p = self.world.referee.places[&executor];
        let readiness = match standing {
            Standing::Up => Readiness::Active,
            Standing::Draining => Readiness::Draining,
            Standing::Gone => Readiness::Removed,
        };
        let (zone, kind, cell) = (p.zone, p.kind, p.cell);
        Endpoint { executor, zone, kind, cell, readiness, rating: 1.0, started, weight: None }
    }

    fn report(&mut self) -> Option<Report> {
        let some = self.world.below(4) > 0 && self.world.referee.plan.reports < 2;
        some.then(|| {
            let x = self.world.below(100) as f64 / 50.0;
            Report { util: Some(x.min(1.0)), inflight: Some(8.0 * x), memory: Some(x), ..Report::default() }
        })
    }

    fn step(&mut self, more: bool) {
        let timer = self.timers.iter().map(|(t, _)| *t).min();
        self.world.advance(timer);
        let now = self.world.now;
        let due: Vec<u64> = self.timers.iter().filter(|(t, _)| *t <= now).map(|(_, n)| *n).collect();
        self.timers.retain(|(t, _)| *t > now);
        due.into_iter().for_each(|token| self.event(Event::Timer { token }));
        for executor in self.world.echoes() {
            let outcome = if self.world.broken(executor) { Outcome::Timeout } else { Outcome::Ok };
            let report = self.report().filter(|_| outcome == Outcome::Ok);
            self.event(Event::ProbeFinished { executor, outcome, latency: 2_000, report });
        }
        for (request, n, outcome) in self.world.ends() {
            if !self.world.referee.end(now, request, n, outcome) {
                continue;
            }
            if outcome == Outcome::Ok && !self.world.referee.open[&request].over {
                self.world.referee.serve(now, request);
            }
            let o = &self.world.referee.open[&request];
            let (done, a, attempt) = (o.over, o.attempts[n].clone(), n as u32);
            let inline = self.world.referee.plan.reports == 0;
            let report = self.report().filter(|_| inline);
            let (executor, latency) = (a.executor, now - a.sent);
            let reported_cost = (outcome == Outcome::Ok && request % 2 == 0)
                .then_some(ReportedCost { thread_seconds: latency as f64 / 1e6, memory_mb: 120.0 });
            let finished = AttemptFinished {
                request,
                attempt,
                executor,
                request_done: done,
                outcome,
                latency,
                reported_cost,
                report,
            };
            self.event(Event::AttemptFinished(finished));
        }
        self.report_progress();
        if let Some(id) = self.world.leaver() {
            self.event(Event::ClientDisconnected { request: id });
        }
        if let Some(c) = self.world.change() {
            let started = (c.standing == Standing::Up).then_some(now);
            let changed = self.endpoint(c.executor, c.standing, started);
            let (kind, endpoints) = if self.world.below(4) > 0 {
                (EndpointListKind::Update, vec![changed])
            } else {
                // The whole list, from which removed executors are missing.
                let listed = self.world.standing.iter().filter(|(_, s)| **s != Standing::Gone);
                (EndpointListKind::Replace, listed.map(|(e, s)| self.endpoint(*e, *s, started)).collect())
            };
            self.event(Event::EndpointList { kind, endpoints });
        }
        if self.world.below(200) == 0 {
            self.event(Event::EndpointList { kind: EndpointListKind::Unavailable, endpoints: vec![] });
        }
        if let Some(r) = more.then(|| self.world.request()).flatten() {
            self.event(Event::Arrival(Arrival {
                request: r.id,
                class: r.class,
                tenant: r.tenant,
                key: r.key,
                time_budget: r.time_budget,
                estimated_thread_seconds: r.estimate_s,
                estimated_memory_mb: r.memory_mb,
                table_group: r.group,
                is_client_retry: false,
                held_by_client: false,
            }));
        }
    }

    /// Sends a progress report of an open attempt.
    fn report_progress(&mut self) {
        if self.world.referee.plan.notes.is_none() || self.world.fates.is_empty() {
            return;
        }
        let n = self.world.below(self.world.fates.len() as u64) as usize;
        let (request, n) = *self.world.fates.keys().nth(n).unwrap();
        let executor = self.world.referee.open[&request].attempts[n].executor;
        let progress = match self.world.below(6) {
            0..4 => AttemptProgress::Progress(self.world.below(100) as f64 / 100.0),
            4 => AttemptProgress::Spill(64.0),
            _ => AttemptProgress::Waits,
        };
        self.event(Event::AttemptProgressed { request, attempt: n as u32, executor, progress });
    }
}

pub fn life(plan: Plan, steps: u32) -> Seen {
    let (settings, _) = plan.settings();
    let dispatcher = Balancer::new(settings, plan.seed).unwrap();
    let mut life = Life { world: World::new(plan), dispatcher, timers: vec![] };
    assert_eq!(life.world.now, START);
    let endpoints = life.world.standing.iter().map(|(e, s)| life.endpoint(*e, *s, None)).collect();
    life.event(Event::EndpointList { kind: EndpointListKind::Restored, endpoints });
    (0..steps).for_each(|_| life.step(true));
    while life.world.owed() {
        life.step(false);
    }
    life.world.referee.seen
}
