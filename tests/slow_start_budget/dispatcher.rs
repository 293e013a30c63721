//! Simulates one dispatcher of a fleet in virtual time: its balancer, its clients and the responses of its executors.

use crate::common::*;
use crate::count::Sent;
use crate::scene::{BEFORE, Scenario};
use ottercroft::Balancer;
use ottercroft::api::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// When the simulation begins.
const BEGIN: Micros = 100 * S;
/// When the executors in slow start restart; these have the lowest ids, from 1.
const START: Micros = BEGIN + BEFORE;

#[derive(Debug, Clone)]
enum SimEvent {
    Arrival,
    StartNotice,
    DispatcherRestart,
    Timer(u64),
    ProbeFinished(ExecutorId),
    AttemptFinished(RequestId, u32, Outcome),
}

/// An open request: its work, its class, and the executor, start time and in-flight state of each attempt.
struct OpenRequest {
    work: f64,
    class: ClassId,
    attempts: Vec<(ExecutorId, Micros, bool)>,
}

struct DispatcherRun<'a> {
    scenario: &'a Scenario,
    balancer: Balancer,
    rng: Pcg64Mcg,
    now: Micros,
    rate: f64,
    notified: bool,
    events: BTreeMap<(Micros, u64), SimEvent>,
    /// Number of events scheduled so far; also used as a source of request ids.
    scheduled: u64,
    open: BTreeMap<RequestId, OpenRequest>,
    sent: Vec<Sent>,
}

/// Simulates one dispatcher and returns what it sends to executors in slow start.
pub fn simulate(scenario: &Scenario, seed: u64) -> Vec<Sent> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xC01D);
    let balancer = Balancer::new(scenario.settings(), rng.next_u64()).expect("valid settings");
    let mut run = DispatcherRun {
        scenario,
        balancer,
        rng,
        now: BEGIN,
        rate: 0.0,
        notified: false,
        events: BTreeMap::new(),
        scheduled: 0,
        open: BTreeMap::new(),
        sent: vec![],
    };
    run.rate = scenario.rate * if run.chance() < 0.1 { 4.0 } else { 2.0 / 3.0 };
    let delay = if run.chance() < scenario.late_fraction { (run.chance() * 1e6) as Micros } else { 0 };
    run.schedule(START - BEGIN + delay, SimEvent::StartNotice);
    if run.chance() < scenario.restarted_fraction {
        let after = run.chance() * scenario.duration as f64 / 2.0;
        run.schedule(START - BEGIN + delay + after as Micros, SimEvent::DispatcherRestart);
    }
    run.send_endpoint_list(EndpointListKind::Restored);
    run.schedule_arrival();
    let end = START + scenario.duration;
    while let Some(((at, _), event)) = run.events.pop_first().filter(|((at, _), _)| *at < end) {
        run.now = at;
        run.step(event);
    }
    run.sent
}

impl DispatcherRun<'_> {
    fn chance(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn schedule(&mut self, after: Micros, event: SimEvent) {
        self.scheduled += 1;
        self.events.insert((self.now + after, self.scheduled), event);
    }

    fn schedule_arrival(&mut self) {
        let quiet_until = START + self.scenario.quiet_windows * self.scenario.rule.slow_start.overload_window;
        let rate_factor = if self.scenario.quiet_windows > 0 && self.now >= quiet_until { 4.0 } else { 1.0 };
        let mut after = (-(1.0 - self.chance()).ln() / (self.rate * rate_factor) * 1e6) as Micros;
        if (START..quiet_until).contains(&(self.now + after)) {
            after = quiet_until - self.now + after % (100 * MS);
        }
        self.schedule(after, SimEvent::Arrival);
    }

    /// Sends the balancer the complete list, or an update with the restarted executors.
    fn send_endpoint_list(&mut self, kind: EndpointListKind) {
        let (rule, notified) = (self.scenario.rule, self.notified);
        let is_warming = |e: ExecutorId| e <= rule.warming_executors;
        let endpoints = (1..=rule.warming_executors + self.scenario.warm_executors)
            .filter(|e| is_warming(*e) || kind != EndpointListKind::Update)
            .map(|e| Endpoint { started: (notified && is_warming(e)).then_some(START), ..endpoint(e) });
        self.handle(Event::EndpointList { kind, endpoints: endpoints.collect() });
    }

    fn step(&mut self, event: SimEvent) {
        match event {
            SimEvent::StartNotice => {
                self.notified = true;
                self.send_endpoint_list(EndpointListKind::Update);
            }
            SimEvent::DispatcherRestart => {
                // A new process replaces the dispatcher: its state and its attempts in flight are lost.
                let seed = self.rng.next_u64();
                self.balancer = Balancer::new(self.scenario.settings(), seed).expect("valid settings");
                self.events.retain(|_, event| matches!(event, SimEvent::Arrival));
                self.open.clear();
                self.send_endpoint_list(EndpointListKind::Restored);
            }
            SimEvent::Timer(token) => self.handle(Event::Timer { token }),
            SimEvent::Arrival => self.arrive(),
            SimEvent::ProbeFinished(executor) => {
                // Executors in slow start look idle, warm ones busy.
                let inflight = Some(if executor <= self.scenario.rule.warming_executors { 0.0 } else { 8.0 });
                let report = Some(Report { inflight, ..Report::default() });
                self.handle(Event::ProbeFinished { executor, outcome: Outcome::Ok, latency: MS, report });
            }
            SimEvent::AttemptFinished(request, attempt, outcome) => {
                self.finish_attempt(request, attempt, outcome);
            }
        }
    }

    /// Submits a request whose work is within 50% of its class's mean, with an estimate within 30% of its work.
    fn arrive(&mut self) {
        self.schedule_arrival();
        let class = usize::from(self.chance() < self.scenario.expensive_fraction);
        let work = self.scenario.work[class] * (0.5 + self.chance());
        let estimate = work * (0.7 + 0.6 * self.chance());
        let (request, group) = (self.scheduled, self.rng.next_u64() % 20);
        self.open.insert(request, OpenRequest { work, class, attempts: vec![] });
        self.handle(Event::Arrival(Arrival { table_group: group, ..arrival(request, class, estimate) }));
    }

    /// Reports the end of an attempt, unless it has already ended.
    fn finish_attempt(&mut self, request: RequestId, attempt: u32, outcome: Outcome) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let (executor, sent_at, in_flight) = &mut open.attempts[attempt as usize];
        if !std::mem::replace(in_flight, false) {
            return;
        }
        let done = outcome == Outcome::Ok;
        let reported_cost = done.then_some(ReportedCost { thread_seconds: open.work, memory_mb: 100.0 });
        let (executor, latency) = (*executor, self.now - *sent_at);
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
        for action in actions {
            match action {
                Action::Send { request, executor, .. } => self.send(request, executor),
                Action::Probe { executor } => {
                    self.record_sent(executor, self.scenario.rule.mean_work);
                    self.schedule(MS, SimEvent::ProbeFinished(executor));
                }
                Action::Cancel { request, attempt } => {
                    self.schedule(MS, SimEvent::AttemptFinished(request, attempt, Outcome::Cancelled));
                }
                Action::SetTimer { token, after } => self.schedule(after, SimEvent::Timer(token)),
                _ => {}
            }
        }
    }

    fn send(&mut self, request: RequestId, executor: ExecutorId) {
        let fails = self.chance() < self.scenario.failing_fraction;
        let open = self.open.get_mut(&request).expect("the request is open");
        let (attempt, work, class) = (open.attempts.len() as u32, open.work, open.class);
        open.attempts.push((executor, self.now, true));
        let run_time = (work / f64::from(class as u32 + 1) * 1e6) as Micros;
        let (after, outcome) = if fails { (5 * MS, Outcome::Error) } else { (run_time, Outcome::Ok) };
        self.schedule(after, SimEvent::AttemptFinished(request, attempt, outcome));
        self.record_sent(executor, work);
    }

    /// Records what is sent to an executor in slow start. A probe counts as a request of mean work.
    fn record_sent(&mut self, executor: ExecutorId, work: f64) {
        if executor <= self.scenario.rule.warming_executors && self.now >= START {
            self.sent.push(Sent { at: self.now - START, executor, work, notified: self.notified });
        }
    }
}
