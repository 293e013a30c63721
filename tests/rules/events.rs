//! Generates random events, step by step.

use super::common::{self, MS, S, endpoint};
use super::{Open, Stream, WORK};
use ottercroft::Balancer;
use ottercroft::api::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

impl Stream {
    pub(super) fn new(s: Settings, seed: u64) -> Stream {
        let mut stream = Stream {
            dispatcher: Balancer::new(s.clone(), seed).unwrap(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 50 * S,
            s,
            timers: vec![],
            open: BTreeMap::new(),
            list: BTreeMap::new(),
            known_draining: BTreeMap::new(),
            cold: BTreeMap::new(),
            cold_sends: BTreeMap::new(),
            retries: vec![],
            arrivals: vec![],
            quiet_until: BTreeMap::new(),
            sends: 0,
            retry_sends: 0,
            cold_count: 0,
            finals: 0,
            telling: true,
        };
        let endpoints: Vec<Endpoint> = (1..=8)
            .map(|i| Endpoint { zone: i as usize % 2, kind: i as usize / 2 % 2, ..endpoint(i) })
            .collect();
        stream.list = endpoints.iter().map(|e| (e.executor, e.clone())).collect();
        stream.event(Event::EndpointList { kind: EndpointListKind::Restored, endpoints });
        stream
    }

    fn below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n
    }

    fn event(&mut self, event: Event) {
        let mut out = Vec::new();
        self.dispatcher.handle(self.now, event, &mut out);
        for a in out {
            self.check(a);
        }
    }

    fn outcome(&mut self, request: RequestId, n: usize, outcome: Outcome) {
        let now = self.now;
        let o = self.open.get_mut(&request).unwrap();
        let (executor, sent, _) = o.attempts[n];
        o.attempts[n].2 = Some(outcome);
        let ok = outcome == Outcome::Ok;
        if let (Some(k), Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) = (o.key, outcome) {
            let rest = now + self.s.key_quiet_period.unwrap();
            let t = self.quiet_until.entry(k).or_default();
            *t = rest.max(*t);
        }
        let work = WORK[o.class];
        if ok {
            self.end(request);
        }
        let done = self.open[&request].done;
        self.event(Event::AttemptFinished(AttemptFinished {
            request,
            attempt: n as u32,
            executor,
            request_done: done,
            outcome,
            latency: now - sent,
            reported_cost: ok.then_some(ReportedCost { thread_seconds: work, memory_mb: 100.0 }),
            report: Some(if self.telling {
                Report { inflight: Some((now % 9) as f64), ..Report::default() }
            } else {
                Report { queue: Some(0.0), ..Report::default() }
            }),
        }));
    }

    fn step(&mut self, next: RequestId) {
        self.now += 5 * MS;
        let due: Vec<(Micros, u64)> = self.timers.iter().copied().filter(|t| t.0 <= self.now).collect();
        self.timers.retain(|t| t.0 > self.now);
        for (_, token) in due {
            self.event(Event::Timer { token });
        }
        // Attempts in flight at the deadline time out; others finish at random.
        let out: Vec<(RequestId, usize, bool)> = self
            .open
            .iter()
            .flat_map(|(id, o)| {
                let late = self.now >= o.deadline;
                o.attempts.iter().enumerate().filter(|(_, a)| a.2.is_none()).map(move |(n, _)| (*id, n, late))
            })
            .collect();
        for (id, n, late) in out {
            let roll = self.below(1000);
            if late {
                self.outcome(id, n, Outcome::Timeout);
            } else if roll < 14 {
                self.outcome(id, n, Outcome::Ok);
            } else if roll < 20 {
                let kinds = [
                    Outcome::Error,
                    Outcome::Rejected,
                    Outcome::ConnectFailed,
                    Outcome::Reset,
                    Outcome::Error,
                    Outcome::Rejected,
                ];
                self.outcome(id, n, kinds[(roll - 14) as usize]);
            }
        }
        if self.below(100) < 30 {
            let class = self.below(self.s.classes.len() as u64) as usize;
            let key = self.s.classes[class].keep_order.then(|| self.below(3));
            let short = self.below(20) == 0;
            let time_budget = if short { 25 * MS + self.below(200 * MS) } else { S + self.below(3 * S) };
            self.arrivals.push(self.now);
            let o = Open { class, key, deadline: self.now + time_budget, ..Open::default() };
            self.open.insert(next, o);
            self.event(Event::Arrival(Arrival {
                class,
                key,
                time_budget,
                estimated_thread_seconds: Some(WORK[class]),
                ..common::arrival(next, class, 1.0)
            }));
        }
        if self.below(1000) < 6 {
            self.list_change();
        }
        // Every request is answered in time.
        for (id, o) in &self.open {
            assert!(o.done || self.now <= o.deadline + 20 * MS, "request {id} is overdue");
        }
    }

    fn list_change(&mut self) {
        let executor = 1 + self.below(8) as u32;
        let e = self.list.get_mut(&executor).unwrap();
        let (readiness, started) = match e.readiness {
            Readiness::Active => match self.rng.next_u64() % 3 {
                0 => (Readiness::Draining, e.started),
                1 => (Readiness::Removed, e.started),
                _ => (Readiness::Active, Some(self.now)),
            },
            _ => (Readiness::Active, Some(self.now)),
        };
        (e.readiness, e.started) = (readiness, started);
        if readiness == Readiness::Active {
            self.known_draining.remove(&executor);
            self.cold.insert(executor, self.now);
            self.cold_sends.remove(&executor);
        } else {
            self.known_draining.entry(executor).or_insert(self.now);
        }
        let endpoints = vec![e.clone()];
        self.event(Event::EndpointList { kind: EndpointListKind::Update, endpoints });
    }

    pub(super) fn run(&mut self, steps: u64) {
        for i in 0..steps {
            self.step(i + 1);
        }
    }
}
