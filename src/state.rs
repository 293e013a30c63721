//! What a gateway remembers, and the arithmetic of its parts. It decides nothing: every decision and every
//! tuned value stands in `src/control/`.

use crate::api::*;
use lru::LruCache;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::num::NonZeroUsize;

/// Fills at `rate` up to `burst`, both in the unit of what is taken.
#[derive(Debug, Clone, Default)]
pub(crate) struct TokenBucket {
    pub(crate) level: f64,
    pub(crate) rate: f64,
    pub(crate) burst: f64,
    pub(crate) at: Micros,
}

impl TokenBucket {
    /// Fills up to `most` at the rate held since the last time.
    pub(crate) fn refill(&mut self, now: Micros, most: f64) {
        let dt = now.saturating_sub(self.at) as f64 / 1e6;
        self.level = (self.level + self.rate * dt).min(most);
        self.at = now;
    }
}

/// Selector, condition, priority and limiter; an absent selector matches all.
#[derive(Debug, Clone, Default)]
pub(crate) struct Rule {
    pub(crate) class: Option<ClassId>,
    pub(crate) group: Option<u64>,
    pub(crate) tenant: Option<TenantId>,
    /// Matches only while the tenant sends more than its share.
    pub(crate) over_share: bool,
    /// Least predicted cost, as a multiple of the class mean.
    pub(crate) threshold: f64,
    /// 1 to 100; the highest match decides.
    pub(crate) priority: u8,
    /// Pressure at which it begins to close.
    pub(crate) closes_from: f64,
    /// How far it is open: 1 refuses nobody, 0 all.
    pub(crate) open: f64,
    pub(crate) bucket: TokenBucket,
}

/// A mean over about 1/weight of the latest values; the plain mean until there are so many.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Mean {
    pub(crate) value: f64,
    pub(crate) n: u32,
}

impl Mean {
    pub(crate) fn add(&mut self, x: f64, weight: f64) {
        self.n += 1;
        self.value += (x - self.value) * weight.max(1.0 / f64::from(self.n));
    }
    pub(crate) fn or(&self, default: f64) -> f64 {
        if self.n > 0 { self.value } else { default }
    }
}

/// What was learned of a class.
#[derive(Debug, Clone, Default)]
pub(crate) struct ClassModel {
    /// Thread-seconds of its outcomes.
    pub(crate) cost: Mean,
    /// Attempts that are over, however they ended.
    pub(crate) settled: u32,
    /// Thread-seconds as estimated on arrival.
    pub(crate) estimate: Mean,
    /// Learned cost over estimate, same queries: estimates lie by class.
    pub(crate) actual: Mean,
    pub(crate) told: Mean,
    /// Latency times threads over predicted cost: the pace of the day.
    pub(crate) pace: Mean,
    /// ln of memory needed over estimated, at the grant's quantile; and MB needed where told.
    pub(crate) memory_bias: f64,
    pub(crate) memory: Mean,
    /// Arrivals a second, and pressure from lateness.
    pub(crate) rate: f64,
    pub(crate) arrived: f64,
    pub(crate) late: f64,
    /// How far its rules close: from lateness and from the engines it may use.
    pub(crate) pressure: f64,
}

/// Engines open to the same classes: sums over those heard of, weighted by how much a report still tells.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Pool {
    pub(crate) held: f64,
    pub(crate) cores: f64,
    pub(crate) memory: f64,
    pub(crate) disks: f64,
    pub(crate) crowded: f64,
}

impl Pool {
    /// Counts an engine in.
    pub(crate) fn add(&mut self, e: &Engine, sure: f64, held: f64, memory: f64) {
        self.cores += e.cores * sure;
        self.held += held * sure;
        self.memory += memory * e.cores * sure;
        self.disks += e.report.disks.unwrap_or(0.0) * e.cores * sure;
    }

    /// A sum, for each core.
    pub(crate) fn part(&self, sum: f64) -> f64 {
        sum / self.cores.max(1.0)
    }
}

impl ClassModel {
    /// Counts a told cost and the actual one; before the first, the told one counts as `trusted` outcomes.
    pub(crate) fn compare(&mut self, told: f64, actual: f64, trusted: u32, weight: f64) {
        if self.told.n == 0 {
            (self.told, self.actual) = (Mean { value: told, n: trusted }, Mean { value: told, n: trusted });
        }
        self.actual.add(actual, weight);
        self.told.add(told, weight);
    }

    /// Arrivals of the last `dt` seconds into their rate over a span.
    pub(crate) fn count(&mut self, dt: f64, span: f64) {
        self.rate += (self.arrived / dt - self.rate) * dt / span;
        self.arrived = 0.0;
    }
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Engine {
    pub(crate) entry: Entry,
    pub(crate) present: bool,
    /// Which classes it is open to, a bit each.
    pub(crate) pool: u64,
    pub(crate) cores: f64,
    pub(crate) report: Report,
    pub(crate) report_at: Micros,
    pub(crate) threads: f64,
    pub(crate) granted: f64,
    /// Own threads when the report was made, and at the last tick.
    pub(crate) threads_then: f64,
    pub(crate) threads_before: f64,
    pub(crate) out: BTreeSet<(QueryId, u32)>,
    pub(crate) slow: Mean,
    /// Lately, time taken over expected, where nothing else tells of load.
    pub(crate) pace: Option<f64>,
    pub(crate) heard: Micros,
    pub(crate) gap: Mean,
    pub(crate) errors: f64,
    pub(crate) ejected_until: Option<Micros>,
    pub(crate) silent: bool,
    pub(crate) ejections: u32,
    pub(crate) full_until: Micros,
    pub(crate) cold_since: Option<Micros>,
    /// While cold: own work that it may still get, and what may be staked in lots for it.
    pub(crate) cold: TokenBucket,
    pub(crate) lots: TokenBucket,
    pub(crate) probe_sent: Option<Micros>,
    /// Something was sent to this process: a connection is there.
    pub(crate) met: bool,
}

impl Engine {
    /// Notes that something was heard, and the gap before it.
    pub(crate) fn hear(&mut self, now: Micros, weight: f64) {
        self.gap.add((now - self.heard) as f64 / 1e6, weight);
        self.heard = now;
    }

    pub(crate) fn new(entry: Entry, cores: f64, now: Micros, cold: Option<Micros>) -> Engine {
        let mut e = Engine { entry, present: true, cores, heard: now, ..Engine::default() };
        e.restarted(now, cold);
        e
    }

    /// Forgets what held of the process before.
    pub(crate) fn restarted(&mut self, now: Micros, cold_since: Option<Micros>) {
        (self.cold_since, self.errors, self.ejected_until, self.silent) = (cold_since, 0.0, None, false);
        (self.ejections, self.report, self.pace, self.met) = (0, Report::default(), None, false);
        self.cold = TokenBucket { at: now, ..TokenBucket::default() };
        self.lots = self.cold.clone();
    }

    /// In the list, and taking queries.
    pub(crate) fn listed(&self) -> bool {
        self.present && self.entry.readiness == Readiness::Active
    }

    /// Counts an attempt in.
    pub(crate) fn take(&mut self, attempt: (QueryId, u32), threads: f64, grant: f64) {
        self.out.insert(attempt);
        self.met = true;
        self.threads += threads;
        self.granted += grant;
    }

    /// Counts an attempt out.
    pub(crate) fn release(&mut self, attempt: (QueryId, u32), threads: f64, grant: f64) {
        self.out.remove(&attempt);
        self.threads -= threads;
        self.granted -= grant;
    }

    /// Keeps a report. The same values mean the same old one; a new one tells of a moment ago, not of now.
    pub(crate) fn reported(&mut self, report: Report, now: Micros) {
        if report != self.report {
            self.threads_then = self.threads_before;
            self.report = report;
        }
        self.report_at = now;
    }
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Attempt {
    pub(crate) engine: usize,
    pub(crate) sent: Micros,
    pub(crate) outcome: Option<Outcome>,
    pub(crate) progress: f64,
    pub(crate) noted: Micros,
    /// When any word of it came, or it was sent.
    pub(crate) heard: Micros,
    pub(crate) cancelled: bool,
    pub(crate) spilled: bool,
    pub(crate) grant: f64,
}

impl Attempt {
    /// The attempt among these that word came of.
    pub(crate) fn word(all: &mut [Attempt], n: u32, now: Micros) -> Option<&mut Attempt> {
        let a = all.get_mut(n as usize)?;
        a.heard = now;
        Some(a)
    }

    /// Whether so many paces of notes, and at least so long, have brought no word of it, not even that it waits:
    /// its engine may tell of all others and never have got this one.
    pub(crate) fn mute(&self, now: Micros, pace: Option<Micros>, paces: f64, least: Micros) -> bool {
        pace.is_some_and(|p| now.saturating_sub(self.heard) > ((p as f64 * paces) as Micros).max(least))
    }

    /// Notes how far it is; its engine, and seconds for each whole since the note before.
    pub(crate) fn progressed(&mut self, now: Micros, progress: f64) -> (usize, f64) {
        let span = (now - self.noted) as f64 / 1e6;
        let seconds = span / (progress - self.progress).max(0.001);
        (self.progress, self.noted) = (progress, now);
        (self.engine, seconds)
    }
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Query {
    pub(crate) class: ClassId,
    pub(crate) key: Option<u64>,
    pub(crate) group: u64,
    /// Engines that read its table group by preference.
    pub(crate) homes: Vec<EngineId>,
    pub(crate) arrived: Micros,
    pub(crate) deadline: Micros,
    pub(crate) aim: Micros,
    pub(crate) cost: f64,
    pub(crate) estimate: Option<f64>,
    pub(crate) memory_estimate: Option<f64>,
    pub(crate) grant: f64,
    pub(crate) priority: u8,
    pub(crate) attempts: Vec<Attempt>,
    /// Until when it waits for probes.
    pub(crate) asked_until: Option<Micros>,
    pub(crate) done: bool,
    pub(crate) streaming: bool,
    pub(crate) late: bool,
}

impl Query {
    /// A request as it arrived, with nothing sent.
    pub(crate) fn new(
        a: &Arrival,
        now: Micros,
        cost: f64,
        aim: Micros,
        homes: Vec<EngineId>,
        keep_order: bool,
    ) -> Query {
        Query {
            class: a.class,
            key: a.key.filter(|_| keep_order),
            group: a.group,
            homes,
            arrived: now,
            deadline: now + a.grace,
            aim: now + aim,
            cost,
            estimate: a.estimate_s,
            memory_estimate: a.memory_mb,
            ..Query::default()
        }
    }

    /// Attempts that are out and not called off.
    pub(crate) fn live(&self) -> Vec<u32> {
        let all = self.attempts.iter().enumerate();
        all.filter(|(_, a)| a.outcome.is_none() && !a.cancelled).map(|(n, _)| n as u32).collect()
    }

    pub(crate) fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }

    /// No attempt can have run.
    pub(crate) fn never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.outcome.is_some_and(Outcome::never_ran))
    }
}

#[derive(Debug, Clone, Default)]
pub(crate) struct KeyLine {
    pub(crate) waiting: VecDeque<QueryId>,
    pub(crate) rest_until: Micros,
}

/// Fixed-size memory of costs by class and table group.
pub(crate) type CostCache = LruCache<(ClassId, u64), Mean>;

/// One query gateway: what it was told, what it learned and what is open.
pub struct Gateway {
    pub(crate) s: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now: Micros,
    pub(crate) started: bool,
    pub(crate) rules: Vec<Rule>,
    pub(crate) cache: CostCache,
    pub(crate) models: Vec<ClassModel>,
    pub(crate) overall: Mean,
    pub(crate) tenants: Vec<f64>,
    /// Probes that own queries have paid for.
    pub(crate) purse: f64,
    /// When engines that are gone were looked for last.
    pub(crate) swept: Micros,
    pub(crate) engines: Vec<Engine>,
    pub(crate) index: BTreeMap<EngineId, usize>,
    pub(crate) queries: BTreeMap<QueryId, Query>,
    pub(crate) keys: BTreeMap<u64, KeyLine>,
    pub(crate) taken: VecDeque<Micros>,
    pub(crate) further: VecDeque<Micros>,
    pub(crate) thread_mb: Mean,
    /// Own threads and queries in flight, running means.
    pub(crate) held_threads: f64,
    pub(crate) held_queries: f64,
    pub(crate) share: f64,
    pub(crate) pressure: f64,
    /// When it last woke from standing still.
    pub(crate) stalled: Micros,
    /// Threads a core that the engines hold, as far as they were heard.
    pub(crate) occupancy: f64,
    pub(crate) pools: BTreeMap<u64, Pool>,
    /// Whether reports tell of load, once one came.
    pub(crate) tells_load: Option<bool>,
    /// Queries that wait for probes.
    pub(crate) asking: Vec<QueryId>,
    pub(crate) loaded: bool,
    pub(crate) actions: Vec<Action>,
}

/// Uniform in 0 to 1, the ends left out.
fn unit(rng: &mut Pcg64Mcg) -> f64 {
    ((rng.next_u64() >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Uniform in 0 to 1, the same for the same pair everywhere.
pub(crate) fn hashed(group: u64, engine: EngineId) -> f64 {
    unit(&mut Pcg64Mcg::seed_from_u64(group ^ (u64::from(engine) << 32)))
}

/// The place that a point from 0 to 1 falls on, by weight.
pub(crate) fn weighted(weights: &[f64], point: f64) -> Option<usize> {
    let mut left = point * weights.iter().sum::<f64>();
    let hit = weights.iter().position(|w| {
        left -= w;
        left <= 0.0
    });
    hit.or(weights.len().checked_sub(1))
}

impl Gateway {
    /// Uniform in 0 to 1, from the gateway's own seed.
    pub(crate) fn chance(&mut self) -> f64 {
        unit(&mut self.rng)
    }

    pub(crate) fn seconds_since(&self, t: Micros) -> f64 {
        self.now.saturating_sub(t) as f64 / 1e6
    }

    pub(crate) fn query(&mut self, id: QueryId) -> &mut Query {
        self.queries.get_mut(&id).expect("an open query")
    }

    /// An answer has begun: the attempt belongs to the client.
    pub(crate) fn streams(&mut self, id: QueryId) {
        self.queries.get_mut(&id).into_iter().for_each(|q| q.streaming = true);
    }

    pub(crate) fn cancel(&mut self, id: QueryId, n: u32) {
        self.query(id).attempts[n as usize].cancelled = true;
        self.actions.push(Action::Cancel { query: id, attempt: n });
    }

    /// Marks all engines absent that a whole list does not name.
    pub(crate) fn only_present(&mut self, entries: &[Entry]) {
        let named: BTreeSet<EngineId> = entries.iter().map(|n| n.engine).collect();
        self.engines.iter_mut().for_each(|e| e.present = named.contains(&e.entry.engine));
    }

    /// Takes engines out of the table that are gone and that no open query was sent to: on a long day they would
    /// outnumber the rest, and whatever counts engines would count them.
    fn drop_gone(&mut self) {
        let sent: BTreeSet<usize> =
            self.queries.values().flat_map(|q| q.attempts.iter().map(|a| a.engine)).collect();
        let gone = |i: usize, e: &Engine| {
            (!e.present || e.entry.readiness == Readiness::Left) && e.out.is_empty() && !sent.contains(&i)
        };
        let kept: Vec<bool> = self.engines.iter().enumerate().map(|(i, e)| !gone(i, e)).collect();
        if kept.iter().all(|k| *k) {
            return;
        }
        let places: Vec<usize> = kept
            .iter()
            .scan(0, |next, k| {
                *next += usize::from(*k);
                Some(*next)
            })
            .collect();
        let mut keep = kept.iter();
        self.engines.retain(|_| keep.next().is_some_and(|k| *k));
        for a in self.queries.values_mut().flat_map(|q| &mut q.attempts) {
            a.engine = places[a.engine] - 1;
        }
        self.index = self.engines.iter().enumerate().map(|(i, e)| (e.entry.engine, i)).collect();
    }

    /// Enters an engine in the table, or what changed of it; `restarted` is when it started, if it did.
    pub(crate) fn enter(&mut self, entry: Entry, restarted: Option<Micros>) -> usize {
        let Some(&i) = self.index.get(&entry.engine) else {
            // A list is one event: what is gone is looked for once in it, not for each of its engines.
            if std::mem::replace(&mut self.swept, self.now) != self.now {
                self.drop_gone();
            }
            self.index.insert(entry.engine, self.engines.len());
            let cores = self.s.kinds[entry.kind].cores;
            self.engines.push(Engine::new(entry, cores, self.now, restarted));
            return self.engines.len() - 1;
        };
        let e = &mut self.engines[i];
        if restarted.is_some() {
            e.restarted(self.now, restarted);
        }
        (e.entry, e.present) = (entry, true);
        i
    }

    pub(crate) fn reported(&mut self, engine: EngineId, report: Option<Report>) {
        if let Some((&i, r)) = self.index.get(&engine).zip(report) {
            self.tells_load = Some(r.util.or(r.inflight).or(r.memory).or(r.disks).is_some());
            self.engines[i].reported(r.sane(), self.now);
        }
    }

    /// Writes an attempt down with its query and its engine.
    pub(crate) fn record(&mut self, id: QueryId, i: usize, grant: f64, priority: u8) {
        let now = self.now;
        let q = self.query(id);
        (q.grant, q.priority) = (grant, priority);
        let (n, class) = (q.attempts.len() as u32, q.class);
        q.attempts.push(Attempt {
            engine: i,
            sent: now,
            noted: now,
            heard: now,
            grant,
            ..Attempt::default()
        });
        self.engines[i].take((id, n), f64::from(self.s.classes[class].threads), grant);
    }

    /// Writes the outcome of an attempt down and tells its engine; nothing if it is unknown or had one.
    pub(crate) fn settle(&mut self, id: QueryId, n: u32, outcome: Outcome) -> Option<usize> {
        let q = self.queries.get_mut(&id)?;
        let threads = f64::from(self.s.classes[q.class].threads);
        let a = q.attempts.get_mut(n as usize).filter(|a| a.outcome.is_none())?;
        a.outcome = Some(outcome);
        let (i, grant) = (a.engine, a.grant);
        self.models[q.class].settled += 1;
        self.engines[i].release((id, n), threads, grant);
        Some(i)
    }

    /// Engines on the list, and of these those that take nothing new now: leaving, silent or ejected.
    pub(crate) fn avoided(&self, now: Micros) -> (usize, usize) {
        let listed = self.engines.iter().filter(|e| e.present && e.entry.readiness != Readiness::Left);
        let avoided = |e: &&Engine| {
            e.entry.readiness != Readiness::Active || e.silent || e.ejected_until.is_some_and(|t| t > now)
        };
        (listed.clone().count(), listed.filter(avoided).count())
    }

    /// Cores of engines that the list has as taking queries, of those that are healthy, and of these by how warm
    /// they are.
    pub(crate) fn fleet(&self, now: Micros) -> [f64; 3] {
        let mut sums = [0.0; 3];
        for e in self.engines.iter().filter(|e| e.listed()) {
            let healthy = !e.silent && e.ejected_until.is_none_or(|t| t <= now);
            let usable = if healthy { e.cores } else { 0.0 };
            let parts = [e.cores, usable, usable * self.warmth(e)];
            sums.iter_mut().zip(parts).for_each(|(sum, part)| *sum += part);
        }
        sums
    }

    /// Share of its capacity that an engine has: a cold one grows from `from` over the ramp.
    pub(crate) fn warmth(&self, e: &Engine) -> f64 {
        let Some(since) = e.cold_since else { return 1.0 };
        let done = self.now.saturating_sub(since) as f64 / self.s.cold.ramp.max(1) as f64;
        if done >= 1.0 { 1.0 } else { self.s.cold.from + (1.0 - self.s.cold.from) * done }
    }

    /// Seconds that a query should take, at the pace of the day.
    pub(crate) fn expected(&self, q: &Query) -> f64 {
        let pace = self.models[q.class].pace.or(1.0);
        q.cost / f64::from(self.s.classes[q.class].threads) * pace
    }

    /// How much a report still tells, 1 when new.
    pub(crate) fn confidence(&self, e: &Engine, span_s: f64) -> f64 {
        (-(self.seconds_since(e.report_at) / span_s)).exp()
    }

    /// Memory in use where it is not reported: what own threads were granted stands for all.
    pub(crate) fn memory_use(&self, e: &Engine, held: f64) -> f64 {
        held * self.thread_mb.or(0.0) / self.s.kinds[e.entry.kind].memory_mb.max(1.0)
    }

    /// Running means of own threads, queries and memory in flight.
    pub(crate) fn tally(&mut self, weight: f64) {
        let queries = self.queries.len() as f64;
        let (mb, out) = self.engines.iter().fold((0.0, 0.0), |(m, t), e| (m + e.granted, t + e.threads));
        if out > 0.0 {
            self.thread_mb.add(mb / out, weight);
            self.held_threads += (out - self.held_threads) * weight;
            self.held_queries += (queries - self.held_queries) * weight;
        }
    }

    pub(crate) fn log(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }

    /// One that has seen nothing: `seed` feeds its draws, `cache_size` is how many costs it remembers.
    pub(crate) fn empty(
        s: Settings,
        seed: u64,
        rules: Vec<Rule>,
        cache_size: NonZeroUsize,
        models: Vec<ClassModel>,
    ) -> Gateway {
        Gateway {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            started: false,
            rules,
            cache: LruCache::new(cache_size),
            models,
            overall: Mean::default(),
            tenants: vec![0.0; s.tenants.len()],
            purse: 0.0,
            engines: Vec::new(),
            swept: Micros::MAX,
            index: BTreeMap::new(),
            queries: BTreeMap::new(),
            keys: BTreeMap::new(),
            taken: VecDeque::new(),
            further: VecDeque::new(),
            thread_mb: Mean::default(),
            held_threads: 0.0,
            held_queries: 0.0,
            share: 1.0 / f64::from(s.gateways),
            pressure: 0.0,
            stalled: 0,
            occupancy: 0.0,
            pools: BTreeMap::new(),
            tells_load: None,
            asking: Vec::new(),
            loaded: false,
            actions: Vec::new(),
            s,
        }
    }
}
