//! Every decision of the gateway. The interface (settings, events, actions, ids) stands in `src/api.rs`.
//!
//! The ordinary path: predict a query's cost, let the matching rule's bucket pass or refuse it at once, and
//! draw an engine weighted down by reported load plus own threads since. All else is ours: docs/design.md.
//! In order: constants, rules, cost model, admission, draw, health, attempts, rule guards.

use crate::api::*;
use crate::state::*;
use lru::LruCache;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::num::NonZeroUsize;

// ---- Tuned constants -------------------------------------------------------------------------------

const SECOND: Micros = 1_000_000;
/// Pace of housekeeping: short beside any aim. With nothing heard for STALL a gateway stood still.
const TICK: Micros = 100_000;
const STALL: Micros = 3 * TICK;
/// Expensive means above these multiples of the class mean; each tier is a rule of its own, dearest first.
const TIERS: [f64; 6] = [4.0, 2.0, 1.0, 0.5, 0.25, 0.125];
/// Tier k closes while pressure goes from k to k + 2 times this: the last ones act only in heavy overload.
const TIER_STEP: f64 = 0.2;
/// Pressure at which all tiers are closed; 1 is what an ordinary overload reaches.
const PRESSURE_MOST: f64 = 1.4;
/// Burst of a bucket, seconds of its rate.
const BURST_S: f64 = 2.0;
/// Span of a class's arrival rate, seconds.
const RATE_SPAN_S: f64 = 2.0;
/// Tenants over their share, counted over so many seconds, still pass queries under this multiple; the rest
/// closes while pressure goes from 0 to this, as what they send holds their share too.
const TENANT_SPAN_S: f64 = 3.0;
const OVER_SHARE_MULTIPLE: f64 = 0.6;
const OVER_SHARE_STEP: f64 = 1.0;
/// Costs remembered, by class and table group: some hundred groups for a few classes.
const CACHE_SIZE: NonZeroUsize = NonZeroUsize::new(1024).unwrap();
/// Weight of one outcome in learned means, in a cached mean, and in an engine's slowness beside the others.
const LEARN: f64 = 0.02;
const CACHE_WEIGHT: f64 = 0.1;
const SPEED_WEIGHT: f64 = 0.08;
/// Outcomes of a class before its mean comes from them, and its buckets may refuse.
const ENOUGH: u32 = 8;
/// Outcomes that an estimate's own word is worth: one bad plan must not teach a gateway that sees few.
const TRUSTED: u32 = 5;
/// More than this multiple of what was predicted is a bad plan's doing, and learned as this much.
const OUTLIER: f64 = 3.0;
/// Threads a core in flight at which pressure begins and is 1: total work falls beyond one to two.
const OCCUPANCY: [f64; 2] = [1.8, 3.6];
/// The same where the pace of own queries stands in for reports: it rises with any bottleneck.
const PACE_OCCUPANCY: [f64; 2] = [1.0, 2.5];
/// The same for memory in use, where lacking it spills, and where queries wait in line for it.
const MEMORY_OCCUPANCY: [f64; 2] = [0.75, 1.35];
const MEMORY_LINE: [f64; 2] = [0.8, 1.05];
/// The same for the share of disks busy: it saturates, and total work falls when many wait for them.
const DISKS: [f64; 2] = [0.65, 0.9];
/// Most pressure that lateness makes where engines report what they hold: it comes late and swings.
const LATE_MOST: f64 = 0.5;
/// Share of a class's queries that may be late before pressure rises: bad plans make some late always.
const LATE_TARGET: f64 = 0.2;
/// Queries in flight that a guess at their threads weighs, against the mean of those seen.
const MIX_PRIOR: f64 = 0.3;
/// Outcomes a second that a class is taken to have besides its own: one late query proves little.
const LATE_PRIOR: f64 = 1.0;
/// Age at which a report counts a third, seconds, for one engine, and for the fleet, of which few are heard.
const REPORT_AGE_S: f64 = 1.5;
const PRESSURE_AGE_S: f64 = 5.0;
/// Weight of a tick in the share of traffic: about ten seconds count.
const SHARE_WEIGHT: f64 = 0.01;
/// Reported load, threads a core, under which engines have room and pressure from lateness eases faster.
const ROOM: f64 = 0.5;
/// Weight of one query's pace; the most it tells; the part of the fleet, unheard of, that stands against it.
const PACE_WEIGHT: f64 = 0.4;
const PACE_MOST: f64 = 6.0;
const PACE_PRIOR: f64 = 0.02;
/// Idle engines that stand against reports where the rest of the fleet is unheard of: a few prove no crowd.
const UNHEARD: f64 = 2.0;
/// Load at which an engine's weight is halved in the draw, threads a core; keeps idle ones from herding.
const LOAD_FLOOR: f64 = 0.25;
/// Memory or disks in use from which an engine counts as more loaded, and how much more.
const SCARCE_FROM: f64 = 0.75;
const SCARCE_WEIGHT: f64 = 2.0;
/// Sharpness of the draw: weight falls with this power of load.
const DRAW_POWER: i32 = 3;
/// Engines that read a table group by preference: two, so that one can be busy. Their weight for each engine
/// there is: a third of a group's queries go home at any size.
const HOMES: usize = 2;
const HOME_BONUS: f64 = 0.25;
/// Loads keep to homes of their own, so that readers can keep away; three, as they wait for each other there.
const LOAD_HOMES: usize = 3;
const LOAD_BONUS: f64 = 12.0;
/// Weight, for a class free to go elsewhere, of engines that a bound class needs.
const SPARED: f64 = 0.25;
/// How strongly the price of crossing zones weighs in the draw: at two points a far engine is drawn as often
/// as a near one of 1.7 times its load.
const CROSS_WEIGHT: f64 = 200.0;
/// The same for the price of a connection to an engine that nothing was sent to yet.
const HANDSHAKE_WEIGHT: f64 = 4000.0;
/// Share of failed outcomes at which an engine is ejected: two resets, or six errors (maybe the statement's).
const EJECT_ERRORS: f64 = 0.25;
const ERROR_WEIGHTS: [f64; 2] = [0.05, 0.15];
/// Further weight of an error on a query that another engine then served: it was the engine's own, and the
/// second such one ejects it.
const BLAME: f64 = 0.24;
/// How an engine's share of errors weighs in the draw: for what may be tried again, and for what may not.
const ERROR_POWERS: [i32; 2] = [2, 8];
/// First ejection, and the most that doubling makes of it.
const EJECT: [Micros; 2] = [SECOND, 8 * SECOND];
/// Ejections are ignored while less than this share of the cores would be left; weight of ejected ones then.
const LEAST_USABLE: f64 = 0.4;
const UNHEALTHY: f64 = 0.05;
/// Silence: this multiple of the time to the next word, no sooner than this, nor before so many usual gaps.
const SILENT_FACTOR: f64 = 3.0;
const SILENT_LEAST: Micros = 700_000;
const SILENT_GAPS: f64 = 8.0;
const SILENT_GAP_MOST: f64 = 0.3;
const GAP_WEIGHT: f64 = 0.1;
/// Retry budget of our own where no rule states one: free attempts, share of requests, window.
const OWN_BUDGET: Budget = Budget { free: 3.0, ratio: 0.25, span: 10 * SECOND };
/// An attempt has a bad plan once it looks this many times longer than expected.
const RUNAWAY: f64 = 4.0;
/// Engines heard of within this time are drawn; with fewer of them others are probed, some round trips long.
const KNOWN_FOR: Micros = 800_000;
const CANDIDATES: usize = 3;
const ASK_WAIT: Micros = 40_000;
/// Points of service that probes may cost: each query pays in what that buys at the stated price, a probe
/// takes one out. Dear queries may empty the purse, others leave half of it, less what the next one brings.
const PROBE_SPEND: f64 = 0.01;
const PURSE: f64 = 6.0;
/// Quantile of memory needs that a grant covers, its step (ln), and the weight of what one spill tells.
const GRANT_QUANTILE: f64 = 0.8;
const GRANT_STEP: f64 = 0.05;
const SPILL_WEIGHT: f64 = 0.3;
/// Share of the cold-engine budget used in expectation; windows of it saved up at most for one query; the
/// largest query, as a part of it, and the least part of its class's mean that one counts as.
const COLD_SAFETY: f64 = 0.4;
const COLD_SAVED: f64 = 4.0;
const COLD_LARGEST: f64 = 0.3;
const COLD_LEAST: f64 = 0.5;
/// Queries past their aim are given up at once above this pressure.
const GIVE_UP_PRESSURE: f64 = 0.5;
/// One in line for its key is given up once less than this, or than it takes, is left: two ticks and a half.
const HELD_MARGIN: Micros = 250_000;

// ---- Rules and buckets -----------------------------------------------------------------------------

/// Tiers of expensive queries by class, and one rule for each tenant; none of one priority can match alike.
fn build_rules(s: &Settings) -> Vec<Rule> {
    let mut rules = Vec::new();
    for class in 0..s.classes.len() {
        rules.extend(TIERS.iter().enumerate().map(|(k, &threshold)| {
            let (priority, closes_from) = (80 - 10 * k as u8, TIER_STEP * k as f64);
            Rule { class: Some(class), threshold, priority, closes_from, open: 1.0, ..Rule::default() }
        }));
    }
    if s.over_share_worth < 1.0 {
        rules.extend((0..s.tenants.len()).map(|t| Rule {
            tenant: Some(t),
            over_share: true,
            open: 1.0,
            threshold: OVER_SHARE_MULTIPLE,
            priority: 90,
            ..Rule::default()
        }));
    }
    rules
}

// ---- Cost model ------------------------------------------------------------------------------------

impl Gateway {
    /// A gateway that knows its settings and nothing else; `seed` feeds its random draws.
    pub fn new(settings: Settings, seed: u64) -> Result<Gateway, SettingsError> {
        check(&settings)?;
        // The engines' own choice of grant is a quarter over the estimate.
        let pace = Mean { value: 1.0, n: TRUSTED };
        let bias = ClassModel { memory_bias: 0.25f64.ln_1p(), pace, ..ClassModel::default() };
        let (rng, rules) = (Pcg64Mcg::seed_from_u64(seed), build_rules(&settings));
        let models = vec![bias; settings.classes.len()];
        Ok(Gateway::empty(settings, rng, rules, LruCache::new(CACHE_SIZE), models))
    }

    /// Takes one event at time `now` and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if self.started && now > self.now + STALL {
            // This gateway stood still: what was not heard meanwhile says nothing of the engines.
            self.stalled = now;
            self.engines.iter_mut().for_each(|e| e.heard = now);
        }
        self.now = now.max(self.now);
        if !self.started {
            self.started = true;
            self.actions.push(Action::Wake { token: 0, after: TICK });
            if self.s.list_must_be_asked {
                self.actions.push(Action::Watch);
            }
        }
        match event {
            Event::List { kind, entries } => self.list(kind, entries),
            Event::Arrival(a) => self.arrival(a),
            Event::FirstByte { query, .. } => self.streams(query),
            Event::Finished(f) => self.finished(f),
            Event::Noted { query, attempt, note, .. } => self.noted(query, attempt, note),
            Event::HungUp { query } => self.close(query),
            Event::Timer { token: 0 } => self.tick(),
            Event::Timer { token: 1 } => self.go_on(),
            Event::Timer { .. } | Event::Told { .. } => {}
            Event::Probed { engine, outcome, report, .. } => self.probed(engine, outcome, report),
        }
        actions.append(&mut self.actions);
    }

    fn class_mean(&self, class: ClassId) -> f64 {
        let (m, c) = (&self.models[class], &self.s.classes[class]);
        let aim = c.aim as f64 / 1e6 * f64::from(c.threads);
        if m.cost.n >= ENOUGH { m.cost.value } else { m.estimate.or(aim) }
    }

    /// Thread-seconds: the told estimate, corrected; else the cache's mean; else the class's.
    fn predict(&mut self, a: &Arrival) -> f64 {
        let m = &self.models[a.class];
        let bias = m.actual.or(1.0) / m.told.or(1.0).max(1e-9);
        if let Some(e) = a.estimate_s {
            return e * bias;
        }
        self.cache.get(&(a.class, a.group)).copied().map_or_else(|| self.class_mean(a.class), |m| m.value)
    }

    fn learn(&mut self, id: QueryId, attempt: usize, latency: Micros, bill: Option<Bill>) {
        let q = &self.queries[&id];
        let threads = f64::from(self.s.classes[q.class].threads);
        let spent = latency as f64 / 1e6 * threads;
        let cost = bill.map_or(spent.min(OUTLIER * q.cost), |b| b.work_s);
        let m = &mut self.models[q.class];
        m.cost.add(cost, LEARN);
        m.pace.add((spent / q.cost.max(1e-6)).min(10.0), LEARN * 2.0);
        q.estimate.into_iter().for_each(|e| m.compare(e, cost.min(20.0 * q.cost), TRUSTED, LEARN));
        let a = &q.attempts[attempt];
        bill.into_iter().for_each(|b| m.memory.add(b.memory_mb, LEARN));
        // Without notes or told needs nothing is learned: a grant that fell with each answer spilled unseen.
        if let Some(e) = q.memory_estimate.filter(|_| bill.is_some() || self.s.progress.is_some()) {
            // A spill was learned when the note came; a told need moves the first few grants far.
            let first = bill.map_or(0.0, |_| 1.0 / f64::from(m.memory.n + 1));
            let short = bill.is_some_and(|b| b.memory_mb > e * m.memory_bias.exp());
            let way = if short { GRANT_QUANTILE } else { GRANT_QUANTILE - 1.0 };
            m.memory_bias += if short || !a.spilled { GRANT_STEP.max(first) * way } else { 0.0 };
        }
        let (i, times, pace) = (a.engine, spent / q.cost.max(1e-6), m.pace.value.max(1e-6));
        self.engines[i].slow.add((times / pace).clamp(0.1, 10.0), SPEED_WEIGHT);
        self.cache.get_or_insert_mut((q.class, q.group), Mean::default).add(cost, CACHE_WEIGHT);
        self.paced(i, times);
    }

    // ---- Admission ---------------------------------------------------------------------------------

    /// The rule that decides for a query: the highest-priority match.
    fn match_rule(&self, a: &Arrival, cost: f64) -> Option<usize> {
        let multiple = cost / self.class_mean(a.class).max(1e-9);
        // Counts scatter by their square root: a small gateway's few queries are not yet too many.
        let over = |t: TenantId| {
            let fair = self.s.tenants[t].quota_per_s * self.share * TENANT_SPAN_S;
            self.tenants[t] > fair + 2.0 * fair.sqrt() + 1.0
        };
        let matches = |r: &Rule| {
            let applies = !r.over_share || a.tenant.is_some_and(over);
            let (class, group) = (r.class.is_none_or(|c| c == a.class), r.group.is_none_or(|g| g == a.group));
            let selects = class && group && r.tenant.is_none_or(|t| a.tenant == Some(t));
            multiple > r.threshold && applies && selects
        };
        let found = self.rules.iter().enumerate().filter(|(_, r)| matches(r));
        found.max_by_key(|(_, r)| r.priority).map(|(i, _)| i)
    }

    /// Passes a query or says when to come back. What is left of a bucket passes it by chance, in proportion.
    fn admit(&mut self, a: &Arrival, cost: f64) -> Result<(), Micros> {
        let learned = self.models[a.class].settled >= ENOUGH; // any kind: nothing ends well in a jam
        let Some(i) = self.match_rule(a, cost).filter(|_| learned) else { return Ok(()) };
        let (mean, now, part) = (self.class_mean(a.class), self.now, self.chance());
        let r = &mut self.rules[i];
        // Beyond its share a tenant's queries count alike, and leave evenly spaced: a leaky bucket.
        let (n, unit) = if r.over_share { (1.0, 1.0) } else { (cost, mean) };
        r.bucket.refill(now, r.bucket.burst.max(unit * r.open));
        let need = n.min(r.bucket.burst.max(unit)) * part;
        if r.open < 1.0 && r.bucket.level < need {
            return Err(((need - r.bucket.level) / r.bucket.rate.max(1e-3) * 1e6) as Micros);
        }
        r.bucket.level -= n; // what is dearer than what is there leaves a debt
        Ok(())
    }

    /// Rates start from summed cores times this gateway's share, in thread-seconds, and follow pressure.
    fn set_rates(&mut self) {
        let mut rules = std::mem::take(&mut self.rules);
        let density = |c: ClassId| self.s.classes[c].worth / self.class_mean(c).max(1e-6);
        let least = (0..self.s.classes.len()).map(density).fold(f64::MAX, f64::min).max(1e-9);
        for r in &mut rules {
            let fits = |e: &&Engine| listed(e) && r.class.is_none_or(|c| self.placed(c, e));
            let cores: f64 = self.engines.iter().filter(fits).map(|e| e.cores).sum();
            // A class that earns more for each thread-second closes later.
            let later = r.class.map_or(1.0, |c| (density(c) / least).sqrt().min(2.0));
            let pressure = r.class.map_or(self.pressure, |c| self.models[c].pressure);
            let step = if r.over_share { OVER_SHARE_STEP } else { 2.0 * TIER_STEP };
            r.open = 1.0 - ((pressure / later - r.closes_from) / step).clamp(0.0, 1.0);
            let quota = r.tenant.map_or(0.0, |t| self.s.tenants[t].quota_per_s);
            let (rate, burst_s) = if r.over_share { (quota, 0.0) } else { (cores, BURST_S) };
            r.bucket.rate = self.share * rate * r.open * r.open;
            r.bucket.burst = r.bucket.rate * burst_s;
            if r.open >= 1.0 {
                (r.bucket.level, r.bucket.at) = (r.bucket.burst, self.now);
            }
        }
        self.rules = rules;
    }

    fn arrival(&mut self, a: Arrival) {
        self.taken.push_back(self.now);
        self.purse = (self.purse + PROBE_SPEND / self.s.probe_price).min(PURSE);
        let cost = self.predict(&a);
        self.overall.add(cost, LEARN);
        let m = &mut self.models[a.class];
        m.arrived += 1.0;
        a.estimate_s.into_iter().for_each(|e| m.estimate.add(e, LEARN));
        a.tenant.into_iter().for_each(|t| self.tenants[t] += 1.0); // a running count, see tick
        let admitted = self.admit(&a, cost);
        let (homes, c) = (self.homes(a.class, a.group), &self.s.classes[a.class]);
        let aim = c.aim + (c.aim_stretch * cost / f64::from(c.threads) * 1e6) as Micros;
        let q = Query::new(&a, self.now, cost, aim, homes, c.keep_order);
        let key = q.key;
        self.queries.insert(a.query, q);
        if let Err(wait) = admitted {
            return self.end(a.query, wait);
        }
        if let Some(k) = key {
            self.keys.entry(k).or_default().waiting.push_back(a.query);
        }
        if self.hopeless(a.query) {
            return self.end(a.query, SECOND);
        }
        self.start(a.query);
    }

    /// In line for its key with too little time left: asked on arrival too, for tries with little patience.
    fn hopeless(&self, id: QueryId) -> bool {
        let q = &self.queries[&id];
        let margin = HELD_MARGIN.max((self.expected(q) * 1e6) as Micros);
        q.key.is_some() && q.attempts.is_empty() && !self.has_turn(id) && self.now + margin > q.deadline
    }

    /// First attempt, once it is the query's turn; it waits for probes at most `ASK_WAIT`.
    fn start(&mut self, id: QueryId) {
        if !self.has_turn(id) {
            return;
        }
        let (asked_until, deadline) = (self.queries[&id].asked_until, self.queries[&id].deadline);
        let ask = asked_until.map_or(self.now + 2 * ASK_WAIT < deadline, |t| self.now < t);
        if self.send(id, ask) {
            return;
        }
        if !ask || self.now >= self.queries[&id].asked_until.unwrap_or(0) {
            self.end(id, SECOND);
        } else if asked_until.is_none() {
            self.asking.push(id);
            self.actions.push(Action::Wake { token: 1, after: ASK_WAIT });
        }
    }

    /// Queries that wait for probes go on once there are candidates or the wait is over.
    fn go_on(&mut self) {
        let waits = |q: &Query| !q.done && q.attempts.is_empty();
        let mut asking = std::mem::take(&mut self.asking);
        asking.retain(|id| {
            if self.queries.get(id).is_some_and(waits) {
                self.start(*id);
            }
            self.queries.get(id).is_some_and(waits)
        });
        self.asking.append(&mut asking);
    }

    // ---- Engine draw -------------------------------------------------------------------------------

    /// Threads that an engine holds by its report: what it runs, else what the memory it granted stands for.
    fn held(&self, e: &Engine) -> Option<f64> {
        let (threads, r) = (self.mean_threads(), &e.report);
        let (util, inflight) = (r.util.map(|u| u * e.cores), r.inflight.map(|n| n * threads));
        let by_memory =
            || r.memory.filter(|_| self.thread_mb.value > 0.0).map(|m| m / self.memory_use(e, 1.0));
        let told = util.map_or(inflight, |u| Some(u.max(inflight.unwrap_or(0.0)))).or_else(by_memory);
        told.or(e.pace.map(|p| p.exp() * e.cores))
    }

    /// Where reports tell nothing, own queries' pace stands in. Logarithms, as estimates scatter by factors.
    fn paced(&mut self, i: usize, times: f64) {
        if self.tells_load != Some(false) {
            return;
        }
        let (now, e, x) = (self.now, &mut self.engines[i], times.clamp(1.0 / PACE_MOST, PACE_MOST).ln());
        e.pace = Some(e.pace.map_or(x, |p| p + (x - p) * PACE_WEIGHT));
        e.report_at = now;
    }

    /// Load of an engine, threads a core: the report plus own threads sent since, else own threads.
    fn load(&self, e: &Engine) -> f64 {
        let threads = self.mean_threads();
        let Some(reported) = self.held(e) else {
            return self.crowd(e).max(e.threads / e.cores);
        };
        let queued = e.report.queue.unwrap_or(0.0) * threads;
        let since = e.threads - e.threads_then;
        let sure = self.confidence(e, REPORT_AGE_S);
        let held = (reported + queued + since).max(e.threads) * sure + self.crowd(e) * e.cores * (1.0 - sure);
        let scarce = e.report.memory.unwrap_or(self.memory_use(e, held)).max(e.report.disks.unwrap_or(0.0));
        held / e.cores + SCARCE_WEIGHT * (scarce.min(1.5) - SCARCE_FROM).max(0.0)
    }

    /// Threads a core that engines of its pool hold, as far as they were heard; a cold one by what it can do.
    fn crowd(&self, e: &Engine) -> f64 {
        self.pools.get(&e.pool).map_or(self.occupancy, |p| p.part(p.held)) * self.warmth(e)
    }

    /// Threads of a query in flight, as own ones had lately; before that, as if classes held equal threads.
    fn mean_threads(&self) -> f64 {
        let inverse: f64 = self.s.classes.iter().map(|c| 1.0 / f64::from(c.threads)).sum();
        let guess = self.s.classes.len() as f64 / inverse;
        (self.held_threads + MIX_PRIOR * guess) / (self.held_queries + MIX_PRIOR)
    }

    fn distance(&self, e: &Engine) -> f64 {
        let far = e.entry.zone != self.s.zone;
        if far { 1.0 + CROSS_WEIGHT * self.s.cross_zone_price } else { 1.0 }
    }

    /// Engines of a table group, the same at all gateways by rendezvous hashing: homes, or its loads' homes.
    fn homes(&self, class: ClassId, group: u64) -> Vec<EngineId> {
        let yields = self.s.classes[class].yields_to_loads;
        let of = self.s.classes.iter().position(|c| yields && c.loads).unwrap_or(class);
        let score = |e: &Engine| {
            let unit = hashed(group, e.entry.engine);
            (-unit.ln() / e.cores * self.distance(e) / self.spared(of, e), e.entry.engine)
        };
        let fits = |e: &&Engine| listed(e) && self.placed(of, e);
        let mut all: Vec<_> = self.engines.iter().filter(fits).map(score).collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        let homes = if self.s.classes[of].loads { LOAD_HOMES } else { HOMES };
        all.into_iter().take(homes).map(|(_, e)| e).collect()
    }

    /// A class that may go anywhere leaves the engines of a bound class to it.
    fn spared(&self, class: ClassId, e: &Engine) -> f64 {
        let bound = |c: &Class| c.only_kinds.is_some() || c.only_zones.is_some();
        let mut all = self.s.classes.iter().enumerate();
        let others = !bound(&self.s.classes[class]) && all.any(|(i, c)| bound(c) && e.pool >> i & 1 == 1);
        if others { SPARED } else { 1.0 }
    }

    fn weight(&self, q: &Query, e: &Engine) -> f64 {
        let capacity = e.cores * self.warmth(e) * e.entry.weight.unwrap_or(1.0);
        let load = self.load(e) * e.cores / capacity.max(1e-9);
        let c = &self.s.classes[q.class];
        let home = match q.homes.contains(&e.entry.engine) {
            false => 1.0,
            true if c.yields_to_loads => 1.0 / LOAD_BONUS, // its group may be held there
            true if c.loads => LOAD_BONUS,
            true => (HOME_BONUS * self.engines.len() as f64).max(1.0),
        };
        let new =
            if e.met || self.warmth(e) < 1.0 { 1.0 } else { 1.0 + HANDSHAKE_WEIGHT * self.s.handshake_price };
        let slow = e.slow.or(1.0).max(0.5) * self.distance(e) * new;
        let sure = (1.0 - e.errors).powi(ERROR_POWERS[usize::from(c.effect == Effect::Unsafe)]);
        let w =
            capacity * home * self.spared(q.class, e) / (LOAD_FLOOR + load).powi(DRAW_POWER) / slow * sure;
        if self.healthy(e) { w } else { w * UNHEALTHY }
    }

    /// Engines that no rule forbids and health allows, those not yet tried first.
    fn fit(&self, q: &Query) -> Vec<usize> {
        let allowed: Vec<usize> = (0..self.engines.len()).filter(|&i| self.permitted(q, i)).collect();
        let cores = |v: &[usize]| v.iter().map(|&i| self.engines[i].cores).sum::<f64>();
        let mut fit = allowed.clone();
        // What can't be tried again is no trial.
        let trial = self.s.classes[q.class].effect != Effect::Unsafe;
        let healthy = |e: &Engine| self.healthy(e) && (trial || e.ejected_until.is_none());
        fit.retain(|&i| healthy(&self.engines[i]));
        if cores(&fit) < LEAST_USABLE * cores(&allowed) {
            fit = allowed;
        }
        let fresh = |i: &usize| q.attempts.iter().all(|a| a.engine != *i);
        if fit.iter().any(fresh) {
            fit.retain(fresh);
        }
        fit
    }

    /// Draws one by weight.
    fn pick(&mut self, id: QueryId, among: &[usize]) -> Option<usize> {
        let q = &self.queries[&id];
        let weights: Vec<f64> = among.iter().map(|&i| self.weight(q, &self.engines[i])).collect();
        weighted(&weights, self.chance()).map(|n| among[n])
    }

    /// Draws an engine among those lately heard of. With `ask`, too few of them make it probe others first.
    fn draw(&mut self, id: QueryId, ask: bool) -> Option<usize> {
        // A probe is worth its price only where reports tell of load.
        let tells = self.s.reports != Reports::Off && self.tells_load != Some(false);
        let asks = tells && self.s.probes && self.engines.len() > 1;
        // Cold engines go by lots, which no probe changes.
        let fit = self.fit(&self.queries[&id]).into_iter();
        let (cold, fit): (Vec<usize>, Vec<usize>) =
            fit.partition(|&i| self.cold_rate(&self.engines[i]).is_some());
        let (mut known, mut unknown): (Vec<usize>, Vec<usize>) =
            fit.into_iter().partition(|&i| !asks || self.now < self.engines[i].report_at + KNOWN_FOR);
        let q = &self.queries[&id];
        let asked = |e: &Engine| e.probe_sent.is_some_and(|t| self.now < t + SECOND);
        let seeks = !self.s.classes[q.class].yields_to_loads;
        let wants = |e: &Engine| seeks && q.homes.contains(&e.entry.engine) || asked(e);
        let mut wanted: Vec<usize>;
        (wanted, unknown) = unknown.into_iter().partition(|&i| wants(&self.engines[i]));
        // Homes without room are no choice: else a few hot groups would never leave theirs.
        let home = |i: usize| q.homes.contains(&self.engines[i].entry.engine);
        let full = known.iter().filter(|&&i| home(i) && self.load(&self.engines[i]) > ROOM).count();
        let choice = known.len() - full;
        while ask && wanted.len() + choice < CANDIDATES {
            let Some(i) = self.pick(id, &unknown) else { break };
            unknown.retain(|&u| u != i);
            wanted.push(i);
        }
        let dear = self.queries[&id].cost > self.overall.value;
        let kept = if dear { 0.0 } else { (PURSE / 2.0 - PROBE_SPEND / self.s.probe_price).max(0.0) };
        let mut waits = false;
        for &i in wanted.iter().filter(|_| ask) {
            let e = &mut self.engines[i];
            if e.probe_sent.is_none_or(|t| self.now >= t + SECOND) {
                if self.purse < kept + 1.0 {
                    continue;
                }
                (self.purse, e.probe_sent, e.met) = (self.purse - 1.0, Some(self.now), true);
                self.actions.push(Action::Probe { engine: e.entry.engine });
            }
            waits = true;
        }
        if waits {
            let until = self.now + ASK_WAIT;
            self.query(id).asked_until.get_or_insert(until);
            return None;
        }
        // With little known all are drawn from, the unknown as loaded as their pool; last those that a probe
        // is out to.
        if choice < CANDIDATES {
            let silent = |i: &usize| self.engines[*i].probe_sent.is_some();
            let (asked, rest): (Vec<usize>, Vec<usize>) = unknown.into_iter().chain(wanted).partition(silent);
            known.extend(rest);
            if known.is_empty() {
                known = asked;
            }
        }
        known.extend(cold);
        loop {
            let i = self.pick(id, &known)?;
            if self.wins(id, i) {
                return Some(i);
            }
            known.retain(|&k| k != i);
        }
    }

    // ---- The engine list, reports and health -------------------------------------------------------

    fn list(&mut self, kind: ListKind, entries: Vec<Entry>) {
        if kind == ListKind::Unavailable {
            return self.actions.push(Action::Watch);
        }
        let first = !std::mem::replace(&mut self.loaded, true);
        if kind != ListKind::Update {
            self.only_present(&entries);
        }
        for entry in entries {
            let known = self.index.get(&entry.engine).map(|&i| &self.engines[i]);
            // An engine that appears or comes back without a time of start is cold from now.
            let fresh = known.map_or(!first, |e| !e.present || e.entry.readiness == Readiness::Left);
            let changed = fresh || known.is_some_and(|e| e.entry.started != entry.started);
            let started = entry.started.filter(|t| self.now.saturating_sub(*t) < self.s.cold.ramp);
            let cold = started.or(fresh.then_some(self.now));
            let i = self.enter(entry, cold.filter(|_| changed));
            self.engines[i].pool = self.pool_of(&self.engines[i]);
        }
    }

    /// Closed, or half-open with no trial out.
    fn healthy(&self, e: &Engine) -> bool {
        let trial = |until: Micros| self.now >= until && e.out.is_empty();
        e.full_until <= self.now && e.ejected_until.is_none_or(trial)
    }

    fn eject(&mut self, i: usize, why: &str) {
        let e = &mut self.engines[i];
        if e.ejected_until.is_some_and(|t| t > self.now) {
            return;
        }
        let span = (EJECT[0] << e.ejections.min(5)).min(EJECT[1]);
        e.ejected_until = Some(self.now + span);
        e.ejections += 1;
        self.actions.push(Action::Log(format!("engine {} ejected: {why}", e.entry.engine)));
    }

    /// Health from an outcome. A cancel or moot says nothing; a time-out only if nothing else was heard.
    fn judge(&mut self, i: usize, outcome: Outcome) {
        let (now, e) = (self.now, &mut self.engines[i]);
        match outcome {
            Outcome::Ok => {
                e.hear(now, GAP_WEIGHT);
                e.errors *= 1.0 - ERROR_WEIGHTS[1];
                if e.ejected_until.is_some() {
                    // One answer does not clear an engine that fails every second time.
                    (e.ejected_until, e.silent) = (None, false);
                    (e.ejections, e.errors) = (e.ejections.saturating_sub(1), e.errors / 2.0);
                    self.actions.push(Action::Log(format!("engine {} is back", e.entry.engine)));
                }
            }
            // Only the list says that an engine is cold: taking each reset for a start shut most of a fleet.
            Outcome::Error | Outcome::Reset => {
                e.hear(now, GAP_WEIGHT);
                e.errors += (1.0 - e.errors) * ERROR_WEIGHTS[usize::from(outcome == Outcome::Reset)];
                if e.errors > EJECT_ERRORS || e.ejected_until.is_some() {
                    self.eject(i, if outcome == Outcome::Reset { "resets" } else { "errors" });
                }
            }
            Outcome::ConnectFailed => self.eject(i, "no connection"),
            Outcome::Full => e.full_until = now + 3 * TICK,
            Outcome::Timeout | Outcome::Cancelled | Outcome::Moot => {}
        }
    }

    /// A query was served: its errors elsewhere were those engines' own, not its statement's.
    fn blame(&mut self, id: QueryId) {
        let failed = |a: &&Attempt| a.outcome == Some(Outcome::Error);
        for i in Vec::from_iter(self.queries[&id].attempts.iter().filter(failed).map(|a| a.engine)) {
            let e = &mut self.engines[i];
            e.errors += (1.0 - e.errors) * BLAME;
        }
    }

    fn probed(&mut self, engine: EngineId, outcome: Outcome, report: Option<Report>) {
        self.reported(engine, report);
        let Some(&i) = self.index.get(&engine) else { return };
        self.engines[i].probe_sent = None;
        match outcome {
            Outcome::Ok => self.go_on(),
            Outcome::Full | Outcome::Moot | Outcome::Error | Outcome::Cancelled => {}
            _ => self.eject(i, "no answer to a probe"),
        }
    }

    /// Silence: attempts are out for longer than it takes to hear of them, and nothing was heard.
    fn silent(&self, e: &Engine) -> bool {
        let gap = (e.gap.value.min(SILENT_GAP_MOST) * SILENT_GAPS * 1e6) as Micros;
        let overdue = |(id, n): &(QueryId, u32)| {
            let q = &self.queries[id];
            let expected = (self.expected(q) * 1e6) as Micros;
            let word = self.s.progress.map_or(expected, |p| expected.min(p)) as f64 * SILENT_FACTOR;
            let since = e.heard.max(q.attempts[*n as usize].sent);
            self.now > since + (word as Micros).max(SILENT_LEAST).max(gap)
        };
        e.present && !e.silent && e.out.iter().any(overdue)
    }

    fn check_health(&mut self) {
        for i in 0..self.engines.len() {
            if self.silent(&self.engines[i]) {
                self.engines[i].silent = true;
                self.eject(i, "silent");
                for (id, n) in Vec::from_iter(self.engines[i].out.iter().copied()) {
                    self.resend(id, n, !self.s.second_copies);
                }
            }
        }
    }

    // ---- Pressure, share and the tick --------------------------------------------------------------

    fn tick(&mut self) {
        self.actions.push(Action::Wake { token: 0, after: TICK });
        let dt = TICK as f64 / 1e6;
        self.models.iter_mut().for_each(|m| m.count(dt, RATE_SPAN_S));
        self.tenants.iter_mut().for_each(|t| *t *= 1.0 - dt / TENANT_SPAN_S);
        self.budget_allows(); // forgets what has left the window
        self.measure();
        self.set_rates();
        if self.now > self.stalled {
            self.check_health();
            self.check_attempts();
        }
        self.check_lines();
        self.engines.iter_mut().for_each(|e| e.threads_before = e.threads);
    }

    /// Pressure from occupancy and lateness, by the engines a class may use; this gateway's share of it.
    fn measure(&mut self) {
        let (mut saturated, mut told, mut fleet, mut own, mut all) = (false, false, 0.0, 0.0, 0.0);
        let mute = self.tells_load == Some(false);
        self.tally(LEARN);
        let mut pools: BTreeMap<u64, Pool> = BTreeMap::new();
        // A gateway hears of few engines at a time: what is known of those stands for all, by age.
        for e in self.engines.iter().filter(|e| listed(e) && e.ejected_until.is_none()) {
            fleet += e.cores;
            own += e.threads;
            let Some(r) = self.held(e) else { continue };
            let (now, sure) = (e.threads + (r - e.threads_then).max(0.0), self.confidence(e, PRESSURE_AGE_S));
            let memory = e.report.memory.unwrap_or(self.memory_use(e, now));
            let held = if mute { e.pace.unwrap_or(0.0) * e.cores } else { now };
            pools.entry(e.pool).or_default().add(e, sure, held, memory);
            all += e.cores * sure;
            told |= e.report.inflight.is_some();
            saturated |= e.report.inflight.is_none() && r > 0.85 * e.cores && sure > 0.3;
        }
        // Little heard of late stands for one thread a core, no more.
        let of_pace = |p: &mut Pool| p.held = (p.held / (p.cores + PACE_PRIOR * fleet)).exp() * p.cores;
        pools.values_mut().filter(|_| mute).for_each(of_pace);
        let listed_now = self.engines.iter().filter(|e| listed(e)).count().max(1) as f64;
        let unheard = UNHEARD * fleet / listed_now * (1.0 - all / fleet.max(1.0));
        pools.values_mut().filter(|_| !mute).for_each(|p| p.cores += unheard);
        self.occupancy = pools.values().map(|p| p.held).sum::<f64>() / all.max(1.0);
        if self.occupancy > 0.05 && !saturated && self.tells_load == Some(true) {
            let part = (own / (self.occupancy * fleet)).min(1.0);
            self.share += (part - self.share) * SHARE_WEIGHT;
        }
        let over = |x: f64, [from, to]: [f64; 2]| (x - from) / (to - from);
        let line = if self.s.shortage == Shortage::Queue { MEMORY_LINE } else { MEMORY_OCCUPANCY };
        let ease = if self.occupancy < ROOM { 4.0 } else { 1.0 } * LATE_TARGET * TICK as f64 / 1e6;
        for p in pools.values_mut() {
            let short = if self.s.grants && !mute { over(p.part(p.memory), line) } else { 0.0 };
            let crowded = over(p.part(p.held), if mute { PACE_OCCUPANCY } else { OCCUPANCY });
            p.crowded = crowded.max(short).max(over(p.part(p.disks), DISKS));
        }
        self.pools = pools;
        self.models.iter_mut().for_each(|m| m.late = (m.late - ease).max(0.0));
        let before = self.pressure;
        for class in 0..self.models.len() {
            let c = &self.s.classes[class];
            let alike = |d: &Class| d.only_kinds == c.only_kinds && d.only_zones == c.only_zones;
            let late = self.s.classes.iter().zip(&self.models).filter(|(d, _)| alike(d)).map(|(_, m)| m.late);
            let late = late.fold(0.0, f64::max) * if told { LATE_MOST } else { 1.0 };
            let open = self.pools.iter().filter(|(pool, _)| **pool >> class & 1 == 1);
            let crowded = open.map(|(_, p)| p.crowded).reduce(f64::min).unwrap_or(0.0);
            self.models[class].pressure = crowded.max(late).clamp(0.0, PRESSURE_MOST);
        }
        self.pressure = self.models.iter().map(|m| m.pressure).fold(0.0, f64::max);
        if (before > 0.5) != (self.pressure > 0.5) {
            let (p, s, o) = (self.pressure, self.share, self.occupancy);
            let late = self.models.iter().map(|m| m.late).fold(0.0, f64::max);
            self.log(format!("pressure {p:.1}: {o:.1} threads a core, late {late:.2}, share {s:.4}"));
        }
    }

    /// Engines open to the same classes are a pool: a class has room where one of its pools has.
    fn pool_of(&self, e: &Engine) -> u64 {
        (0..self.s.classes.len()).filter(|&c| self.placed(c, e)).map(|c| 1 << c).sum()
    }

    fn count_late(&mut self, class: ClassId) {
        let (m, own) = (&mut self.models[class], self.now == self.stalled); // late by its own standing still
        m.late = (m.late + if own { 0.0 } else { 1.0 / (m.rate + LATE_PRIOR) }).min(1.0);
    }

    // ---- Attempts and time-outs --------------------------------------------------------------------

    /// Priority by predicted cost against the mean of all queries, raised as the aim comes near.
    fn priority(&self, q: &Query) -> u8 {
        if self.now > q.aim {
            return 0;
        }
        // One that others of its key wait behind is urgent for them all.
        let behind = q.key.and_then(|k| self.keys.get(&k)).map_or(1, |line| line.waiting.len().max(1));
        let multiple = q.cost / behind as f64 / self.overall.or(q.cost).max(1e-9);
        let base = [4.0, 1.5, 0.5].iter().filter(|t| multiple < **t).count() as u8;
        let urgent = (self.now - q.arrived) * 2 > q.aim - q.arrived;
        (base + u8::from(urgent)).min(3)
    }

    fn grant(&self, q: &Query, e: &Engine) -> f64 {
        let m = &self.models[q.class]; // where grants are not heeded, this does nothing
        let memory = self.s.kinds[e.entry.kind].memory_mb * self.s.most_grant;
        let need = q.memory_estimate.map_or(m.memory.or(0.0), |x| x * m.memory_bias.clamp(-1.5, 1.5).exp());
        need.min(if memory > 0.0 { memory } else { need })
    }

    /// A further attempt beside one that is silent, or in place of one with a bad plan.
    fn resend(&mut self, id: QueryId, n: u32, instead: bool) {
        let q = &self.queries[&id];
        let alone = q.live() == [n];
        let safe = self.s.classes[q.class].effect == Effect::Safe;
        if !alone || q.done || q.streaming || (instead && !(safe && self.s.cancel)) {
            return;
        }
        // Where copies are not allowed the next attempt goes out when the cancel is confirmed.
        if (self.send(id, false) || !self.s.second_copies) && instead {
            self.cancel(id, n);
        }
    }

    /// Bad plans, priorities and queries past their aim, for all that is out.
    fn check_attempts(&mut self) {
        let all: Vec<(QueryId, u32)> = self.engines.iter().flat_map(|e| e.out.iter().copied()).collect();
        for (id, n) in all {
            let Some(q) = self.queries.get(&id).filter(|q| !q.done && !q.streaming) else { continue };
            let (class, past) = (q.class, self.now > q.aim);
            if past && !q.late {
                self.query(id).late = true;
                self.count_late(class);
            }
            let harmless = self.s.classes[class].effect == Effect::Safe;
            if past && self.models[class].pressure > GIVE_UP_PRESSURE && harmless {
                self.end(id, SECOND);
                continue;
            }
            let (q, p) = (&self.queries[&id], self.priority(&self.queries[&id]));
            let (a, expected) = (&q.attempts[n as usize], self.expected(q).max(0.05));
            let seconds = |t: Micros| (t - a.sent) as f64 / 1e6;
            // What the whole attempt will take: by its notes, else what it took so far.
            let looks = match self.s.progress {
                Some(_) if a.progress < 0.5 => seconds(a.noted) / a.progress.max(0.01),
                Some(_) => 0.0,
                None => seconds(self.now),
            };
            let in_time = self.now + (expected * 1e6) as Micros <= q.deadline;
            let mute = a.mute(self.now, self.s.progress, SILENT_FACTOR, SILENT_LEAST);
            let again = in_time && (mute || looks > RUNAWAY * q.attempts.len() as f64 * expected);
            if self.s.priorities && p != q.priority {
                self.actions.push(Action::Terms { query: id, memory_mb: q.grant, priority: p });
                self.query(id).priority = p;
            }
            if again {
                self.resend(id, n, true);
            }
        }
    }

    fn noted(&mut self, id: QueryId, n: u32, note: Note) {
        let now = self.now;
        let Some(q) = self.queries.get_mut(&id) else { return };
        let Some(a) = Attempt::word(&mut q.attempts, n, now) else { return };
        self.engines[a.engine].hear(now, GAP_WEIGHT);
        match note {
            Note::Progress(p) if p.is_finite() => {
                let (i, seconds) = a.progressed(now, p.clamp(0.001, 1.0));
                let cost = q.cost.max(1e-6) / f64::from(self.s.classes[q.class].threads);
                self.paced(i, seconds / cost);
            }
            Note::Spill(missing) if !a.spilled && missing.is_finite() => {
                a.spilled = true;
                if let Some(e) = q.memory_estimate {
                    let m = &mut self.models[q.class];
                    let needed = ((a.grant + missing).max(1.0) / e.max(1.0)).ln();
                    m.memory_bias += SPILL_WEIGHT * (needed - m.memory_bias).max(0.0);
                }
            }
            Note::Progress(_) | Note::Spill(_) | Note::Waits => {}
        }
    }

    fn finished(&mut self, f: Finished) {
        let (id, n, outcome) = (f.query, f.attempt, f.outcome);
        self.reported(f.engine, f.report);
        let Some(i) = self.settle(id, n, outcome) else { return };
        let key = self.queries[&id].key;
        if let (Some(k), Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) = (key, outcome) {
            let rest = self.now + self.s.key_quiet.unwrap_or(0);
            let line = self.keys.entry(k).or_default();
            line.rest_until = line.rest_until.max(rest);
        }
        self.judge(i, outcome);
        if outcome == Outcome::Ok {
            self.learn(id, n as usize, f.latency, f.bill);
            self.blame(id);
            let q = &self.queries[&id];
            if self.now > q.aim && !q.late && !q.done {
                self.count_late(q.class);
            }
        }
        if f.done {
            return self.close(id);
        }
        let q = &self.queries[&id];
        let open = !q.done && !q.streaming && q.out() == 0;
        if open && !self.send(id, false) {
            self.end(id, SECOND);
        }
        self.forget(id);
    }

    /// The one place that sends attempts. Every guard of a rule is checked in `permitted` and here.
    fn send(&mut self, id: QueryId, ask: bool) -> bool {
        let q = &self.queries[&id];
        let further = !q.attempts.is_empty();
        let over = q.done || q.streaming || self.now >= q.deadline;
        let most = q.attempts.len() >= self.s.max_attempts as usize;
        let copy = q.out() > 0 && !self.s.second_copies;
        if over || most || copy || !self.has_turn(id) || (further && !self.budget_allows()) {
            return false;
        }
        let Some((i, q)) = self.draw(id, ask).map(|i| (i, &self.queries[&id])) else { return false };
        let (grant, priority) = (self.grant(q, &self.engines[i]), self.priority(q));
        let sent = self.now;
        let terms = Action::Terms { query: id, memory_mb: grant, priority };
        self.actions.extend((self.s.grants || self.s.priorities).then_some(terms));
        self.further.extend(further.then_some(sent));
        self.record(id, i, grant, priority);
        let engine = self.engines[i].entry.engine;
        self.actions.push(Action::Send { query: id, engine, timeout: None });
        true
    }

    /// The one place that ends a request: refused where that is harmless, else failed.
    fn end(&mut self, id: QueryId, wait: Micros) {
        let Some(q) = self.queries.get(&id).filter(|q| !q.done) else { return };
        let free =
            matches!(self.s.classes[q.class].effect, Effect::Safe | Effect::Keyed { group: Group::All, .. });
        let harmless = free || never_ran(q);
        let retry_after = self.s.max_retry_after.map(|most| wait.clamp(TICK, most.max(TICK)));
        let refuse = Action::Refuse { query: id, retry_after };
        self.actions.push(if harmless { refuse } else { Action::Fail { query: id } });
        self.close(id);
    }

    /// The request has its answer: call off what is out, let the next of its key go.
    fn close(&mut self, id: QueryId) {
        let Some(q) = self.queries.get_mut(&id) else { return };
        let effect = self.s.classes[q.class].effect;
        if !q.done {
            q.done = true;
            let stop = self.s.cancel && !q.streaming && effect != Effect::Unsafe;
            q.live().into_iter().filter(|_| stop).for_each(|n| self.cancel(id, n));
        }
        self.forget(id);
    }

    /// Drops a request once it is over and none of its attempts is out.
    fn forget(&mut self, id: QueryId) {
        let over = self.queries.get(&id).is_some_and(|q| q.done && q.out() == 0);
        if let Some(k) = over.then(|| self.queries.remove(&id)).flatten().and_then(|q| q.key) {
            self.keys.entry(k).or_default().waiting.retain(|w| *w != id);
            self.next_in_line(k);
        }
    }

    fn next_in_line(&mut self, key: u64) {
        let Some(line) = self.keys.get(&key) else { return };
        let (head, rested) = (line.waiting.front().copied(), self.now >= line.rest_until);
        match head {
            Some(id) if self.queries[&id].attempts.is_empty() => self.start(id),
            None if rested => drop(self.keys.remove(&key)),
            _ => {}
        }
    }

    /// Rested keys go on; queries held in line are given up before their clients leave.
    fn check_lines(&mut self) {
        for k in Vec::from_iter(self.keys.keys().copied()) {
            for id in Vec::from_iter(self.keys[&k].waiting.iter().copied()) {
                if self.queries.contains_key(&id) && self.hopeless(id) {
                    self.end(id, SECOND);
                }
            }
            self.next_in_line(k);
        }
    }

    // ---- Rule guards -------------------------------------------------------------------------------

    /// Placement: zone and kind, at every attempt.
    fn placed(&self, class: ClassId, e: &Engine) -> bool {
        let c = &self.s.classes[class];
        c.only_zones.as_ref().is_none_or(|z| z.contains(&e.entry.zone))
            && c.only_kinds.as_ref().is_none_or(|k| k.contains(&e.entry.kind))
    }

    /// Whether the rules let an attempt of the query go to the engine now.
    fn permitted(&self, q: &Query, i: usize) -> bool {
        let e = &self.engines[i];
        // Drains: nothing from the moment the list tells of it, well inside the grace.
        listed(e) && self.placed(q.class, e) && self.effect_allows(q, e) && self.cold_allows(q, e)
    }

    /// Effects: unsafe only after proven non-runs; keyed inside its group and window.
    fn effect_allows(&self, q: &Query, e: &Engine) -> bool {
        match self.s.classes[q.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => never_ran(q),
            Effect::Keyed { group, window } => {
                let ran = |a: &&Attempt| !a.outcome.is_some_and(Outcome::never_ran);
                q.attempts.iter().filter(ran).all(|a| {
                    self.now < a.sent + window && group.holds(&self.engines[a.engine].entry, &e.entry)
                })
            }
        }
    }

    /// What a query counts as at a cold engine: estimates are rough.
    fn cold_work(&self, q: &Query) -> f64 {
        q.cost.max(COLD_LEAST * self.class_mean(q.class))
    }

    /// Cold engines take no query that would be a large part of their budget alone.
    fn cold_allows(&self, q: &Query, e: &Engine) -> bool {
        let most = |(rate, _)| COLD_LARGEST * rate * self.s.cold.fall as f64 / 1e6;
        self.cold_rate(e).is_none_or(|rates| self.cold_work(q) <= most(rates))
    }

    /// Draws lots for a place at a cold engine: the chance is what this gateway's share of the least budget
    /// has come to since the last lots there, over the query's work. So all send what is meant in the mean,
    /// however many gateways there are and however few queries each has; what is staked is spent, won or not.
    /// Besides, one that sends many stays within its own share, and one that sends few waits between them.
    fn wins(&mut self, id: QueryId, i: usize) -> bool {
        let Some((_, own)) = self.cold_rate(&self.engines[i]) else { return true };
        let (work, window) = (self.cold_work(&self.queries[&id]), own * self.s.cold.fall as f64 / 1e6);
        let (now, most) = (self.now, self.overall.value.clamp(window, window * COLD_SAVED));
        // Its own share is that of the first moment, and a query counts as its class's mean: no luck there.
        let first = self.s.cold.from / self.warmth(&self.engines[i]).max(1e-9);
        let whole = work.max(self.class_mean(self.queries[&id].class));
        let e = &mut self.engines[i];
        (e.cold.rate, e.lots.rate) = (own * first, own);
        e.cold.refill(now, window * first);
        e.lots.refill(now, most);
        let staked = e.lots.level.min(work);
        e.lots.level -= staked;
        let room = e.cold.level >= whole.min(window * first);
        let won = self.chance() * work < staked && room;
        if won {
            let left = &mut self.engines[i].cold.level;
            *left = (*left - whole).max(0.0);
        }
        won
    }

    /// Work a second to a cold engine by all, and by this one: at most an equal part, shares are misjudged.
    fn cold_rate(&self, e: &Engine) -> Option<(f64, f64)> {
        let (c, most) = (&self.s.cold, 1.0 / f64::from(self.s.gateways));
        let cold = c.fall > 0 && e.cold_since.is_some_and(|t| self.now < t + c.ramp);
        let rate = COLD_SAFETY * c.multiple * self.warmth(e) * e.cores;
        cold.then_some((rate, rate * self.share.min(most)))
    }

    /// The attempt budget, counted as the rule does, with the present one included.
    fn budget_allows(&mut self) -> bool {
        let b = self.s.budget.unwrap_or(OWN_BUDGET);
        // Sends on the window's edge count, requests on it do not.
        self.further.retain(|t| t + b.span >= self.now);
        self.taken.retain(|t| t + b.span > self.now);
        (self.further.len() + 1) as f64 <= b.free + b.ratio * self.taken.len() as f64
    }

    /// Order: first in line for its key, which has rested.
    fn has_turn(&self, id: QueryId) -> bool {
        let Some(key) = self.queries[&id].key else { return true };
        let line = &self.keys[&key];
        let again = !self.queries[&id].attempts.is_empty();
        line.waiting.front() == Some(&id) && (again || self.now >= line.rest_until)
    }
}

/// In the list, and taking queries.
fn listed(e: &Engine) -> bool {
    e.present && e.entry.readiness == Readiness::Active
}

/// No attempt can have run.
fn never_ran(q: &Query) -> bool {
    q.attempts.iter().all(|a| a.outcome.is_some_and(Outcome::never_ran))
}
