//! Simulated executors and clients driven by a seed, shared by the tests of the balancer and of the facade.

use crate::plan::Plan;
use crate::referee::{Place, Referee};
use ottercroft::api::Outcome;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

pub const START: u64 = 50_000_000;
const EXECUTORS: u32 = 10;

/// When and how an attempt ends; `None` if the executor never answers.
pub type Fate = Option<(u64, Outcome)>;

pub struct Request {
    pub id: u64,
    pub class: usize,
    pub key: Option<u64>,
    pub time_budget: u64,
    pub tenant: Option<usize>,
    pub estimate_s: Option<f64>,
    pub memory_mb: Option<f64>,
    pub group: u64,
}

/// A change of the list.
pub struct Change {
    pub executor: u32,
    pub standing: Standing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    Up,
    Draining,
    Gone,
}

pub struct World {
    pub rng: Pcg64Mcg,
    pub now: u64,
    pub next: u64,
    pub referee: Referee,
    pub standing: BTreeMap<u32, Standing>,
    /// Open attempts and how they will end.
    pub fates: BTreeMap<(u64, usize), Fate>,
    pub probes: Vec<(u64, u32)>,
    pub taken_at: BTreeMap<u64, u64>,
    /// Bit set of executors that fail every attempt.
    broken: u64,
    pace: u64,
}

impl World {
    pub fn new(plan: Plan) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let places = (0..EXECUTORS).map(|i| {
            let (zone, kind) = (i as usize % plan.zones, i as usize / plan.zones % plan.kinds);
            let cell = zone as u64 * 10 + u64::from(i / 4 % 2);
            (rng.next_u32() | 1 << (i % 32), Place { zone, kind, cell })
        });
        let places: BTreeMap<u32, Place> = places.collect();
        let standing = places.keys().map(|e| (*e, Standing::Up)).collect();
        // The arrival rate gives a few requests per latency objective of a class.
        let pace = plan.classes.iter().map(|c| c.promise).min().unwrap().clamp(1_000, 2_000_000) / 2;
        let (broken, now, next) = (rng.next_u64() & rng.next_u64(), START, 1);
        let referee = Referee::new(plan, places);
        let (fates, probes, taken_at) = Default::default();
        World { referee, rng, now, next, standing, fates, probes, taken_at, broken, pace }
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n.max(1)
    }

    /// Advances time by a random step, shortened to the next due event.
    pub fn advance(&mut self, timer: Option<u64>) {
        let step = self.below(self.pace) + 1;
        let fate = self.fates.values().flatten().map(|(t, _)| *t).min();
        let probe = self.probes.iter().map(|(t, _)| *t).min();
        let deadline = self.referee.open.values().filter(|o| !o.over).map(|o| o.deadline);
        let deadline = deadline.filter(|d| *d > self.now).min();
        let due = [timer, fate, probe, deadline].into_iter().flatten().min().unwrap_or(u64::MAX);
        self.now = (self.now + step).min(due.max(self.now));
        self.referee.pass(self.now);
    }

    /// Records a sent attempt and draws how it will end.
    pub fn send(&mut self, id: u64, executor: u32) -> usize {
        self.referee.send(self.now, id, executor);
        let o = &self.referee.open[&id];
        let (n, class) = (o.attempts.len() - 1, o.class);
        let promise = self.referee.plan.classes[class].promise;
        let broken = self.broken >> (executor % 64) & 1 == 1;
        let roll = if broken { 50 + self.below(50) } else { self.below(100) };
        let quick = self.now + 1 + self.below(promise / 20 + 1);
        let usual = self.now + 1 + self.below(2 * promise);
        let fate = match roll {
            0..62 => Some((usual, Outcome::Ok)),
            62..70 => Some((usual, Outcome::Error)),
            70..78 => Some((quick, Outcome::Rejected)),
            78..86 => Some((quick, Outcome::ConnectFailed)),
            86..93 => Some((usual, Outcome::Reset)),
            _ => None,
        };
        self.fates.insert((id, n), fate);
        n
    }

    /// Attempts that end now, those at their deadline among them.
    pub fn ends(&mut self) -> Vec<(u64, usize, Outcome)> {
        let (now, open) = (self.now, &self.referee.open);
        let due = |(&(id, n), fate): (&(u64, usize), &Fate)| match fate {
            Some((t, outcome)) if *t <= now => Some((id, n, *outcome)),
            _ if open[&id].deadline <= now => Some((id, n, Outcome::Timeout)),
            _ => None,
        };
        let due: Vec<_> = self.fates.iter().filter_map(due).collect();
        for (id, n, _) in &due {
            self.fates.remove(&(*id, *n));
        }
        due
    }

    /// Generates a request at random times.
    pub fn request(&mut self) -> Option<Request> {
        if self.below(100) >= 45 {
            return None;
        }
        let class = self.below(self.referee.plan.classes.len() as u64) as usize;
        let c = self.referee.plan.classes[class].clone();
        let (limit, tenants) = (c.limit, self.referee.plan.tenants as u64);
        let part = [1, 2, 4, 20][self.below(4) as usize];
        let time_budget = (limit / part).max(1_000);
        let tenant = (self.below(3) < 2 && tenants > 0).then(|| self.below(tenants) as usize);
        let work = c.promise as f64 / 1e6 * (0.1 + self.below(200) as f64 / 100.0);
        let estimate_s = (self.below(3) > 0).then_some(work);
        let memory_mb = (self.below(2) > 0).then_some(100.0);
        let key = c.keep_order.then(|| self.below(3));
        let (id, group) = (self.next, self.below(9));
        self.next += 1;
        self.taken_at.insert(id, self.now);
        self.referee.take(self.now, id, class, key, time_budget);
        Some(Request { id, class, key, time_budget, tenant, estimate_s, memory_mb, group })
    }

    /// Changes the state of an executor at random times.
    pub fn change(&mut self) -> Option<Change> {
        if self.below(100) >= 3 {
            return None;
        }
        let n = self.below(u64::from(EXECUTORS)) as usize;
        let (&executor, &was) = self.standing.iter().nth(n)?;
        let standing = match (was, self.below(2)) {
            (Standing::Up, 0) => Standing::Draining,
            (Standing::Up, _) | (Standing::Draining, 0) => Standing::Gone,
            _ => Standing::Up,
        };
        self.standing.insert(executor, standing);
        if standing == Standing::Up {
            self.referee.told.remove(&executor);
        } else {
            self.referee.told.entry(executor).or_insert(self.now);
        }
        Some(Change { executor, standing })
    }

    /// At random times disconnects a client that waits for its answer.
    pub fn leaver(&mut self) -> Option<u64> {
        let waiting: Vec<u64> =
            self.referee.open.iter().filter(|(_, o)| !o.over).map(|(id, _)| *id).collect();
        let n = self.below(waiting.len() as u64) as usize;
        let id = waiting.get(n).copied().filter(|_| self.below(200) == 0)?;
        self.referee.open.get_mut(&id).unwrap().over = true;
        Some(id)
    }

    /// Removes and returns the probes that are answered now.
    pub fn echoes(&mut self) -> Vec<u32> {
        let now = self.now;
        let due = self.probes.iter().filter(|(t, _)| *t <= now).map(|(_, e)| *e).collect();
        self.probes.retain(|(t, _)| *t > now);
        due
    }

    pub fn probe(&mut self, executor: u32) {
        self.referee.probe();
        let due = self.now + 1_000 + self.below(30_000);
        self.probes.push((due, executor));
    }

    pub fn broken(&self, executor: u32) -> bool {
        self.broken >> (executor % 64) & 1 == 1
    }

    pub fn owed(&self) -> bool {
        self.referee.open.values().any(|o| !o.over)
    }
}
