//! One dispatcher of a fleet: a decision module, its clients and what its executors answer, in virtual time.

use crate::common::*;
use crate::count::Sent;
use crate::scene::{BEFORE, Scene};
use ottercroft::Balancer;
use ottercroft::api::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// When it begins, and when executors 1 up to the number of cold ones start anew.
const BEGIN: Micros = 100 * S;
const START: Micros = BEGIN + BEFORE;

#[derive(Debug, Clone)]
enum Next {
    Arrival,
    Gossip,
    Restart,
    Timer(u64),
    ProbeFinished(ExecutorId),
    Over(RequestId, u32, Outcome),
}

/// A request that is open: its work, its class, and where its attempts went.
struct Open {
    work: f64,
    class: ClassId,
    attempts: Vec<(ExecutorId, Micros, bool)>,
}

struct DispatcherRun<'a> {
    scene: &'a Scene,
    balancer: Balancer,
    rng: Pcg64Mcg,
    now: Micros,
    rate: f64,
    notified: bool,
    next: BTreeMap<(Micros, u64), Next>,
    planned: u64,
    open: BTreeMap<RequestId, Open>,
    sent: Vec<Sent>,
}

/// What one dispatcher sends to cold executors within the ramp.
pub fn play(scene: &Scene, seed: u64) -> Vec<Sent> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xC01D);
    let balancer = Balancer::new(scene.settings(), rng.next_u64()).expect("good settings");
    let mut run = DispatcherRun {
        scene,
        balancer,
        rng,
        now: BEGIN,
        rate: 0.0,
        notified: false,
        next: BTreeMap::new(),
        planned: 0,
        open: BTreeMap::new(),
        sent: vec![],
    };
    run.rate = scene.rate * if run.chance() < 0.1 { 4.0 } else { 2.0 / 3.0 };
    let late = if run.chance() < scene.late { (run.chance() * 1e6) as Micros } else { 0 };
    run.plan(START - BEGIN + late, Next::Gossip);
    if run.chance() < scene.restarted {
        let after = run.chance() * scene.played as f64 / 2.0;
        run.plan(START - BEGIN + late + after as Micros, Next::Restart);
    }
    run.list(EndpointListKind::Restored);
    run.plan_arrival();
    while let Some(((at, _), next)) = run.next.pop_first().filter(|((at, _), _)| *at < START + scene.played) {
        run.now = at;
        run.step(next);
    }
    run.sent
}

impl DispatcherRun<'_> {
    fn chance(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn plan(&mut self, after: Micros, next: Next) {
        self.planned += 1;
        self.next.insert((self.now + after, self.planned), next);
    }

    fn plan_arrival(&mut self) {
        let woken = START + self.scene.quiet * self.scene.rule.slow_start.overload_window;
        let times = if self.scene.quiet > 0 && self.now >= woken { 4.0 } else { 1.0 };
        let mut after = (-(1.0 - self.chance()).ln() / (self.rate * times) * 1e6) as Micros;
        if (START..woken).contains(&(self.now + after)) {
            after = woken - self.now + after % (100 * MS);
        }
        self.plan(after, Next::Arrival);
    }

    /// Tells the whole list, or of those that started anew.
    fn list(&mut self, kind: EndpointListKind) {
        let (rule, notified) = (self.scene.rule, self.notified);
        let cold = |e: ExecutorId| e <= rule.warming_executors;
        let all = (1..=rule.warming_executors + self.scene.warm_executors)
            .filter(|e| cold(*e) || kind != EndpointListKind::Update)
            .map(|e| Endpoint { started: (notified && cold(e)).then_some(START), ..endpoint(e) });
        self.handle(Event::EndpointList { kind, endpoints: all.collect() });
    }

    fn step(&mut self, next: Next) {
        match next {
            Next::Gossip => {
                self.notified = true;
                self.list(EndpointListKind::Update);
            }
            Next::Restart => {
                // Another process in its place: nothing of it is known, and what it had out is its clients' loss.
                let seed = self.rng.next_u64();
                self.balancer = Balancer::new(self.scene.settings(), seed).expect("good settings");
                self.next.retain(|_, n| matches!(n, Next::Arrival));
                self.open.clear();
                self.list(EndpointListKind::Restored);
            }
            Next::Timer(token) => self.handle(Event::Timer { token }),
            Next::Arrival => self.arrive(),
            Next::ProbeFinished(executor) => {
                // Cold executors look idle, warm ones well used.
                let inflight = Some(if executor <= self.scene.rule.warming_executors { 0.0 } else { 8.0 });
                let report = Some(Report { inflight, ..Report::default() });
                self.handle(Event::ProbeFinished { executor, outcome: Outcome::Ok, latency: MS, report });
            }
            Next::Over(request, attempt, outcome) => self.over(request, attempt, outcome),
        }
    }

    /// A request: its work is up to half more or less than its class's mean, its estimate rough.
    fn arrive(&mut self) {
        self.plan_arrival();
        let class = usize::from(self.chance() < self.scene.dear);
        let work = self.scene.work[class] * (0.5 + self.chance());
        let estimate = work * (0.7 + 0.6 * self.chance());
        let (request, group) = (self.planned, self.rng.next_u64() % 20);
        self.open.insert(request, Open { work, class, attempts: vec![] });
        self.handle(Event::Arrival(Arrival { table_group: group, ..arrival(request, class, estimate) }));
    }

    /// An attempt is over, unless it was so before.
    fn over(&mut self, request: RequestId, attempt: u32, outcome: Outcome) {
        let Some(o) = self.open.get_mut(&request) else { return };
        let (executor, at, out) = &mut o.attempts[attempt as usize];
        if !std::mem::replace(out, false) {
            return;
        }
        let done = outcome == Outcome::Ok;
        let reported_cost = done.then_some(ReportedCost { thread_seconds: o.work, memory_mb: 100.0 });
        let (executor, latency) = (*executor, self.now - *at);
        let event = AttemptFinished {
            request,
            attempt,
            executor,
            request_done: done,
            outcome,
            latency,
            reported_cost,
            report: None,
        };
        self.handle(Event::AttemptFinished(event));
    }

    fn handle(&mut self, event: Event) {
        let mut actions = vec![];
        self.balancer.handle(self.now, event, &mut actions);
        for a in actions {
            match a {
                Action::Send { request, executor, .. } => self.send(request, executor),
                Action::Probe { executor } => {
                    self.reach(executor, self.scene.rule.mean_work);
                    self.plan(MS, Next::ProbeFinished(executor));
                }
                Action::Cancel { request, attempt } => {
                    self.plan(MS, Next::Over(request, attempt, Outcome::Cancelled));
                }
                Action::SetTimer { token, after } => self.plan(after, Next::Timer(token)),
                _ => {}
            }
        }
    }

    fn send(&mut self, request: RequestId, executor: ExecutorId) {
        let fails = self.chance() < self.scene.failing;
        let o = self.open.get_mut(&request).expect("an open request");
        let (n, work, class) = (o.attempts.len() as u32, o.work, o.class);
        o.attempts.push((executor, self.now, true));
        let takes = (work / f64::from(class as u32 + 1) * 1e6) as Micros;
        let (after, outcome) = if fails { (5 * MS, Outcome::Error) } else { (takes, Outcome::Ok) };
        self.plan(after, Next::Over(request, n, outcome));
        self.reach(executor, work);
    }

    /// Counts what reaches a cold executor; a probe as a request of mean work.
    fn reach(&mut self, executor: ExecutorId, work: f64) {
        if executor <= self.scene.rule.warming_executors && self.now >= START {
            self.sent.push(Sent { at: self.now - START, executor, work, notified: self.notified });
        }
    }
}
