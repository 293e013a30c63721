//! A day, drawn from its seed: a deployment, its traffic, and the troubles that strike it.

use super::troubles::{self, Kind};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// How long a day lasts, and when its last trouble begins.
const DAY: Duration = Duration::from_secs(20);
const LAST_TROUBLE: Duration = Duration::from_secs(15);
/// One day in so many has a larger fleet on little processor time.
const LARGE_EVERY: u64 = 5;
const LARGE_FLEET: usize = 24;
/// How many in a hundred of the time its dispatchers are stopped.
const LARGE_PAUSED_PERCENT: u32 = 70;
/// Descriptors of a dispatcher.
const SOCKETS: usize = 128;

/// A class, as the settings have it.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Its effect, in the settings' words.
    effect: &'static str,
    /// How long its clients wait.
    pub deadline: Duration,
    /// Whether it must not run twice.
    pub once: bool,
    /// The mean time that it takes.
    pub work: Duration,
}

/// A trouble and when it begins.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Strike {
    /// When.
    pub at: Duration,
    /// What.
    pub kind: Kind,
    /// For its own draws.
    pub seed: u64,
}

/// A day.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// Dispatchers.
    pub dispatchers: usize,
    /// Executors.
    pub executors: usize,
    /// Classes.
    pub classes: Vec<Class>,
    /// Requests a second in all.
    pub rate: f64,
    /// How long clients ask.
    pub span: Duration,
    /// How many in a hundred of the time dispatchers are stopped, all day long.
    pub paused_percent: u32,
    /// Descriptors of a dispatcher.
    pub sockets: usize,
    /// How long after a drain an executor may get new work.
    pub drain_grace: Duration,
    /// Troubles, in order.
    pub strikes: Vec<Strike>,
    probes: bool,
    cancel: bool,
    copies: bool,
}

impl Plan {
    /// The day of a seed.
    pub fn draw(seed: u64) -> Plan {
        let mut rng = StdRng::seed_from_u64(seed);
        let large = seed % LARGE_EVERY == 0;
        let dispatchers = if large { LARGE_FLEET } else { rng.random_range(1..=5) };
        let class = |name, effect, deadline_ms, once, work_ms| {
            let (deadline, work) = (Duration::from_millis(deadline_ms), Duration::from_millis(work_ms));
            Class { name, effect, deadline, once, work }
        };
        let classes = vec![
            class("read", "read_like", rng.random_range(300..4_000), false, rng.random_range(5..60)),
            class("load", "non_idempotent", rng.random_range(1_000..12_000), true, rng.random_range(50..600)),
            class("keyed", "idempotency_key", rng.random_range(600..6_000), false, rng.random_range(20..200)),
        ];
        let count = if large { rng.random_range(1..4) } else { rng.random_range(3..9) };
        let mut strikes: Vec<Strike> = (0..count)
            .map(|_| Strike {
                at: LAST_TROUBLE.mul_f64(rng.random_range(0.05..1.0)),
                kind: troubles::ALL[rng.random_range(0..troubles::ALL.len())],
                seed: rng.random(),
            })
            .collect();
        strikes.sort_by_key(|s| s.at);
        Plan {
            seed,
            dispatchers,
            executors: if large { rng.random_range(20..60) } else { rng.random_range(2..12) },
            classes,
            rate: rng.random_range(20.0..60.0),
            span: DAY,
            paused_percent: if large { LARGE_PAUSED_PERCENT } else { 0 },
            sockets: SOCKETS,
            drain_grace: Duration::from_secs(1),
            strikes,
            probes: rng.random(),
            cancel: rng.random_bool(0.7),
            copies: rng.random(),
        }
    }

    /// The longest deadline as the platform counts it for its kill.
    pub fn longest_deadline(&self) -> Duration {
        let longest = self.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        longest.min(Duration::from_secs(3))
    }

    /// The settings, as the configuration holds them.
    pub fn settings(&self) -> String {
        let class = |c: &Class| {
            let (deadline, promise) = (c.deadline.as_secs_f64(), c.deadline.as_secs_f64() / 3.0);
            let (name, effect, order) = (c.name, c.effect, c.once);
            format!(
                r#"{{"name":"{name}","promise":{promise},"hardLimit":{deadline},"effect":"{effect}","keepOrder":{order},"group":"all","dedupWindow":60}}"#
            )
        };
        let classes: Vec<String> = self.classes.iter().map(class).collect();
        let Plan { dispatchers, probes, cancel, copies, .. } = self;
        let (report, classes) = (if *probes { "on_probe" } else { "off" }, classes.join(","));
        let grace = self.drain_grace.as_secs_f64();
        format!(
            r#"{{"areas":["a"],"balancers":{dispatchers},"kinds":["k"],"zone":"a","domain":{{"kindCores":[8],"memoryByKindMb":[16384],"parallelism":[1,1,1],"grantCap":0.4,"memoryHeeded":true,"takesPriority":true}},"permissions":{{"cancel":{cancel},"maxAttempts":3,"mayDuplicate":{copies},"probes":{probes},"retryAfter":true,"maxRetryAfter":1.0,"dialTimeout":0.25}},"report":{{"how":"{report}"}},"requestClasses":[{classes}],"rules":{{"stopSendingWithin":{grace},"coldFrom":0.3,"rampTime":10,"fall":2,"fallMultiple":3}}}}"#
        )
    }
}
