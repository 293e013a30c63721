//! Settings and a test driver for the module tests. It simulates no executors: tests supply every event.
#![allow(dead_code)]

use ottercroft::Balancer;
use ottercroft::api::*;
use std::collections::BTreeMap;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
/// Start time of a rig.
pub const START: Micros = 100 * S;

pub fn class(latency_objective: Micros, priority_weight: f64, threads: u32) -> Class {
    Class {
        latency_objective,
        latency_objective_stretch: 2.0,
        client_timeout: 5 * latency_objective,
        priority_weight,
        late_priority_weight: 0.1,
        threads,
        idempotency: Idempotency::Idempotent,
        keep_order: false,
        loads: false,
        yields_to_loads: false,
        only_zones: None,
        only_kinds: None,
    }
}

/// Two classes (light, heavy), two zones, one kind of 8 cores, reports in answers.
pub fn settings() -> Settings {
    Settings {
        dispatchers: 2,
        classes: vec![class(S, 1.0, 1), class(3 * S, 6.0, 2)],
        kinds: vec![Kind { cores: 8.0, memory_mb: 16_384.0 }, Kind { cores: 12.0, memory_mb: 24_576.0 }],
        tenants: vec![],
        zones: 2,
        zone: 0,
        over_quota_weight: 1.0,
        cross_zone_price: 0.0,
        probe_price: 0.0,
        handshake_price: 0.0,
        reports: Reports::Inline,
        list_must_be_polled: false,
        probes: true,
        cancellation: true,
        hedging: true,
        max_attempts: 4,
        max_retry_after: Some(2 * S),
        memory_grants: true,
        priorities: true,
        max_grant_fraction: 0.5,
        memory_shortage: MemoryShortage::Queue,
        progress_interval: None,
        reports_cost: true,
        retry_budget: Some(RetryBudget {
            base_retries: 3.0,
            retries_per_request: 0.1,
            window: 5 * S,
            send_delay: 0,
        }),
        slow_start: SlowStart {
            initial_fraction: 0.34,
            ramp: 14 * S,
            overload_factor: 2.5,
            overload_window: 1_500 * MS,
        },
        drain_grace: S,
        key_quiet_period: Some(S),
        min_batch_interval: 5 * MS,
    }
}

pub fn endpoint(executor: ExecutorId) -> Endpoint {
    Endpoint { executor, cell: u64::from(executor % 2), rating: 1.0, ..Endpoint::default() }
}

pub fn arrival(request: RequestId, class: ClassId, estimate: f64) -> Arrival {
    Arrival {
        request,
        class,
        tenant: None,
        key: None,
        time_budget: 4 * S,
        estimated_thread_seconds: Some(estimate),
        estimated_memory_mb: Some(100.0),
        table_group: 1,
        is_client_retry: false,
        held_by_client: false,
    }
}

/// A dispatcher with a clock, its timers and a log of its actions.
pub struct Rig {
    pub dispatcher: Balancer,
    pub now: Micros,
    pub timers: Vec<(Micros, u64)>,
    pub log: Vec<(Micros, Action)>,
    /// Last report of each executor; probes sent at an arrival are answered with it immediately.
    pub reports: BTreeMap<ExecutorId, Report>,
    next: RequestId,
}

impl Rig {
    pub fn new(settings: Settings, executors: u32) -> Rig {
        Rig::seeded(settings, executors, 7)
    }

    pub fn seeded(settings: Settings, executors: u32, seed: u64) -> Rig {
        Rig::knowing(settings, seed, (1..=executors).map(endpoint).collect())
    }

    /// A dispatcher that knows these executors from its start.
    pub fn knowing(settings: Settings, seed: u64, endpoints: Vec<Endpoint>) -> Rig {
        let dispatcher = Balancer::new(settings, seed).expect("good settings");
        let now = START;
        let mut rig = Rig { dispatcher, now, timers: vec![], log: vec![], reports: BTreeMap::new(), next: 1 };
        rig.event(Event::EndpointList { kind: EndpointListKind::Restored, endpoints });
        rig
    }

    /// Passes an event to the dispatcher; logs and returns the actions.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        if let Event::ProbeFinished { executor, report: Some(r), .. }
        | Event::AttemptFinished(AttemptFinished { executor, report: Some(r), .. }) = &event
        {
            self.reports.insert(*executor, *r);
        }
        self.dispatcher.handle(self.now, event, &mut out);
        for a in &out {
            if let Action::SetTimer { token, after } = a {
                self.timers.push((self.now + after, *token));
            }
            self.log.push((self.now, a.clone()));
        }
        out
    }

    /// Advances time and fires due timers.
    pub fn pass(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut out = Vec::new();
        while let Some(i) =
            (0..self.timers.len()).filter(|&i| self.timers[i].0 <= end).min_by_key(|&i| self.timers[i])
        {
            let (at, token) = self.timers.swap_remove(i);
            self.now = at;
            out.extend(self.event(Event::Timer { token }));
        }
        self.now = end;
        out
    }

    pub fn arrive(&mut self, class: ClassId, estimate: f64) -> (RequestId, Vec<Action>) {
        let a = arrival(self.next, class, estimate);
        self.arrive_as(a)
    }

    pub fn arrive_as(&mut self, mut a: Arrival) -> (RequestId, Vec<Action>) {
        a.request = self.next;
        self.next += 1;
        let request = a.request;
        let mut actions = self.event(Event::Arrival(a));
        let probed = |a: &Action| if let Action::Probe { executor } = a { Some(*executor) } else { None };
        for executor in Vec::from_iter(actions.iter().filter_map(probed)) {
            let idle = Report { inflight: Some(0.0), ..Report::default() };
            let report = Some(self.reports.get(&executor).copied().unwrap_or(idle));
            actions.extend(self.event(Event::ProbeFinished {
                executor,
                outcome: Outcome::Ok,
                latency: MS,
                report,
            }));
        }
        (request, actions)
    }

    pub fn finish(
        &mut self,
        request: RequestId,
        attempt: u32,
        executor: ExecutorId,
        outcome: Outcome,
        cost: f64,
    ) -> Vec<Action> {
        self.finish_with(request, attempt, executor, outcome, cost, None)
    }

    pub fn finish_with(
        &mut self,
        request: RequestId,
        attempt: u32,
        executor: ExecutorId,
        outcome: Outcome,
        cost: f64,
        report: Option<Report>,
    ) -> Vec<Action> {
        let ok = outcome == Outcome::Ok;
        self.event(Event::AttemptFinished(AttemptFinished {
            request,
            attempt,
            executor,
            request_done: ok,
            outcome,
            latency: (cost * 1e6) as Micros,
            reported_cost: ok.then_some(ReportedCost { thread_seconds: cost, memory_mb: 100.0 }),
            report,
        }))
    }

    /// Serves `n` requests in sequence, so that the dispatcher learns the cost of the class.
    pub fn teach(&mut self, class: ClassId, n: usize, cost: f64) {
        for _ in 0..n {
            let (q, actions) = self.arrive(class, cost);
            self.pass(20 * MS);
            if let Some(e) = sent_to(&actions) {
                self.finish(q, 0, e, Outcome::Ok, cost);
            }
        }
    }
}

pub fn sent_to(actions: &[Action]) -> Option<ExecutorId> {
    actions.iter().find_map(|a| match a {
        Action::Send { executor, .. } => Some(*executor),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> Option<Option<Micros>> {
    actions.iter().find_map(|a| match a {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    })
}
