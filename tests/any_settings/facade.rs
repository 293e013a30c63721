//! A short life of the facade that the network sees.

use crate::plan::Plan;
use crate::seen::Seen;
use crate::world::{Standing as Stand, World};
use ottercroft::api::Outcome;
use ottercroft::dispatch::*;
use std::collections::BTreeSet;

struct Life {
    world: World,
    dispatch: Dispatch<u64>,
    /// Attempts that were taken back; the order to stop one may follow, and finds nothing.
    withdrawn: BTreeSet<Ticket>,
}

impl Life {
    fn act(&mut self, orders: Vec<Order<u64>>) {
        for order in orders {
            let now = self.world.now;
            match order {
                Order::Start { ticket, executor, terms } => {
                    let Terms { memory_mb, priority, until, .. } = terms;
                    let n = self.world.send(ticket.request, executor);
                    assert_eq!(n, ticket.attempt as usize);
                    assert!(priority <= 3 && memory_mb.is_finite() && memory_mb >= 0.0);
                    assert!(now < until && until <= self.world.referee.open[&ticket.request].deadline);
                    if !self.never_begins(ticket) {
                        assert!(self.dispatch.report(now, Report::Begun(ticket)).is_empty());
                    }
                }
                Order::Withdraw(t) if self.never_begins(t) => {
                    let (id, n) = (t.request, t.attempt as usize);
                    self.world.fates.remove(&(id, n));
                    self.withdrawn.insert(t);
                    assert!(self.world.referee.end(now, id, n, Outcome::ConnectFailed));
                    let orders = self.dispatch.report(now, Report::Ended(t, End::NeverSent, None));
                    self.act(orders);
                }
                Order::Withdraw(_) => {}
                Order::Stop(t) if self.withdrawn.remove(&t) => {}
                Order::Stop(t) => {
                    // Nothing more is told of it. It is called off, or its time-out is over, which ends before
                    // the client's so that the answer is seen.
                    let (id, n) = (t.request, t.attempt as usize);
                    let (due, never) = (self.due(id), self.never_begins(t));
                    self.world.referee.cancel(if now >= due { u64::MAX } else { now }, id, n);
                    assert!(self.world.fates.remove(&(id, n)).is_some(), "stopped what was not out");
                    let outcome = match never {
                        true => Outcome::ConnectFailed,
                        false if now >= due => Outcome::Timeout,
                        false => Outcome::Cancelled,
                    };
                    assert!(self.world.referee.end(now, id, n, outcome));
                }
                Order::Boost(t, priority) => {
                    assert!(priority <= 3 && self.world.fates.contains_key(&(t.request, t.attempt as usize)));
                }
                Order::Probe(executor) => self.world.probe(executor),
                Order::Answer(id, Answer::Served(by)) => {
                    assert_eq!(by, id, "another's result");
                    self.world.referee.serve(now, id);
                }
                Order::Answer(id, Answer::Refused(_)) => self.world.referee.refuse(now, id),
                Order::Answer(id, Answer::Failed) => self.world.referee.fail(now, id),
                Order::Past(..) => panic!("told what nobody follows"),
            }
        }
    }

    /// Whether an attempt that is out has no connection, and will have none.
    fn never_begins(&self, t: Ticket) -> bool {
        let fate = self.world.fates.get(&(t.request, t.attempt as usize));
        matches!(fate, Some(Some((_, Outcome::ConnectFailed))))
    }

    /// When the facade ends a request: an eighth before its client leaves, or a quarter of a second.
    fn due(&self, id: u64) -> u64 {
        let o = &self.world.referee.open[&id];
        let budget = o.deadline - self.world.taken_at[&id];
        o.deadline - (budget / 8).min(250_000)
    }

    fn member(&self, executor: u32, standing: Stand, started: Option<u64>) -> Member {
        let p = self.world.referee.places[&executor];
        let standing = match standing {
            Stand::Up => Standing::Up,
            Stand::Draining => Standing::Draining,
            Stand::Gone => Standing::Gone,
        };
        let (zone, kind, cell) = (p.zone, p.kind, p.cell);
        Member { executor, zone, kind, cell, standing, size: 1.0, started, weight: None }
    }

    fn load(&mut self) -> Option<Load> {
        let some = self.world.below(4) > 0 && self.world.referee.plan.reports < 2;
        some.then(|| {
            let x = self.world.below(100) as f64 / 50.0;
            Load { util: Some(x.min(1.0)), inflight: Some(8.0 * x), queue: Some(x), ..Load::default() }
        })
    }

    fn step(&mut self, more: bool) {
        let due = self.dispatch.next_due();
        self.world.advance(due);
        let now = self.world.now;
        let orders = self.dispatch.tick(now);
        self.act(orders);
        for executor in self.world.echoes() {
            let load = self.load();
            let echo = match (self.world.broken(executor), self.world.below(5)) {
                (false, 1..) => Echo::Up(load),
                (true, 0..2) => Echo::Down,
                (true, 2) => Echo::Unreachable,
                (true, _) => Echo::Silent,
                (false, _) => Echo::Unknown,
            };
            let orders = self.dispatch.report(now, Report::ProbeFinished(executor, echo, 2_000));
            self.act(orders);
        }
        for (id, n, outcome) in self.world.ends() {
            if !self.world.referee.end(now, id, n, outcome) {
                continue;
            }
            let end = match outcome {
                Outcome::Ok => End::Served(id),
                Outcome::Error => End::Error,
                Outcome::Rejected => End::Full,
                Outcome::ConnectFailed => End::NeverSent,
                Outcome::Reset if self.world.below(2) == 0 => End::Lost,
                Outcome::Reset => End::Spoilt,
                _ => panic!("an attempt was let run to its client's deadline"),
            };
            let inline = self.world.referee.plan.reports == 0;
            let load = self.load().filter(|_| inline);
            let ticket = Ticket { request: id, attempt: n as u32 };
            let orders = self.dispatch.report(now, Report::Ended(ticket, end, load));
            self.act(orders);
        }
        if let Some(id) = self.world.leaver() {
            let orders = self.dispatch.report(now, Report::Left(id));
            self.act(orders);
        }
        if let Some(c) = self.world.change() {
            let started = (c.standing == Stand::Up).then_some(now);
            let (news, members) = if self.world.below(4) > 0 {
                (News::Changes, vec![self.member(c.executor, c.standing, started)])
            } else {
                let listed = self.world.standing.iter().filter(|(_, s)| **s != Stand::Gone);
                (News::Whole, listed.map(|(e, s)| self.member(*e, *s, started)).collect())
            };
            let orders = self.dispatch.members(now, news, &members);
            self.act(orders);
        }
        if let Some(r) = more.then(|| self.world.request()).flatten() {
            // What a client writes is a number at best.
            let wild = [f64::MAX, 1e300, 1e13, f64::NAN, f64::INFINITY, -1.0, 0.0, 1e-300];
            let wild = wild.get(self.world.below(150) as usize).copied();
            let request = Request {
                id: r.id,
                ask: None,
                class: r.class,
                tenant: r.tenant,
                key: r.key,
                told: r.time_budget,
                budget: r.time_budget,
                thread_seconds: wild.or(r.estimate_s),
                memory_mb: wild.or(r.memory_mb),
                group: r.group,
                repeated: false,
                held_back: false,
            };
            let orders = self.dispatch.pick(now, &request).expect("a request like its class");
            self.act(orders);
            assert!(self.dispatch.pick(now, &request).is_err(), "an id was taken twice");
        }
    }
}

pub fn life(plan: Plan, steps: u32) -> Seen {
    let (settings, _) = plan.settings();
    let most_held = 3 + (plan.seed % 50) as usize;
    let dispatch = Dispatch::new(settings, most_held, plan.seed).unwrap();
    let mut life = Life { world: World::new(plan), dispatch, withdrawn: BTreeSet::new() };
    let members: Vec<Member> = life.world.standing.iter().map(|(e, s)| life.member(*e, *s, None)).collect();
    let orders = life.dispatch.members(life.world.now, News::Restored, &members);
    life.act(orders);
    (0..steps).for_each(|_| life.step(true));
    // The end comes in the middle of work for some.
    if life.world.referee.plan.seed % 2 == 0 {
        let orders = life.dispatch.give_up(life.world.now);
        life.act(orders);
        assert!(!life.world.owed(), "given up, and answers are owed");
    }
    while life.world.owed() {
        life.step(false);
    }
    assert_eq!(life.dispatch.waiting(), 0);
    life.world.referee.seen
}
