//! Generates the settings of a customer as the tests interpret them; `text` renders them as JSON.

use proptest::prelude::*;

/// The executors among which duplicates are detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    All,
    Zone,
    Cell,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    ReadLike,
    NonIdempotent,
    Key(Reach),
}

/// All durations are in microseconds.
#[derive(Debug, Clone)]
pub struct Class {
    pub idempotency: Idempotency,
    pub window: u64,
    pub keep_order: bool,
    pub zones: Option<Vec<usize>>,
    pub kinds: Option<Vec<usize>>,
    pub promise: u64,
    pub limit: u64,
    pub threads: u32,
    pub loads: bool,
    pub yields: bool,
    /// Priority weight, late priority weight and stretch of the latency objective; absent in some plans.
    pub priority_weight: Option<[f64; 3]>,
}

#[derive(Debug, Clone)]
pub struct RetryBudget {
    pub free: Option<f64>,
    pub ratio: Option<f64>,
    pub span: u64,
}

#[derive(Debug, Clone)]
pub struct Plan {
    pub classes: Vec<Class>,
    pub zones: usize,
    pub kinds: usize,
    pub tenants: usize,
    pub dispatchers: u32,
    pub cancel: Option<bool>,
    pub copies: Option<bool>,
    pub probes: Option<bool>,
    pub retry_after: Option<bool>,
    pub max_attempts: u32,
    pub budget: Option<RetryBudget>,
    pub drain: u64,
    pub key_quiet: Option<u64>,
    /// How long after the deadline an answer still counts.
    pub slack: u64,
    /// Index of the load report mode: inline, on_probe, off; 3 leaves the setting out.
    pub reports: u8,
    pub price: Option<f64>,
    pub notes: Option<u64>,
    pub domain: bool,
    /// Prefix of all names.
    pub word: String,
    /// Determines the order of keys and seeds the random numbers.
    pub seed: u64,
}

/// The idempotency of a class.
fn idempotency() -> impl Strategy<Value = Idempotency> {
    prop_oneof![
        3 => Just(Idempotency::ReadLike),
        3 => Just(Idempotency::NonIdempotent),
        1 => Just(Idempotency::Key(Reach::All)),
        2 => Just(Idempotency::Key(Reach::Zone)),
        2 => Just(Idempotency::Key(Reach::Cell)),
    ]
}

/// Some of the first `among` indices, or `None`.
fn only(among: usize) -> impl Strategy<Value = Option<Vec<usize>>> {
    prop::option::weighted(0.25, prop::sample::subsequence((0..among).collect::<Vec<_>>(), 1..=among))
}

fn class(zones: usize, kinds: usize, scale: u64) -> impl Strategy<Value = Class> {
    let spans = (1u64..=20, 1u64..=8, 1u64..=40);
    let flags = (any::<bool>(), prop::bool::weighted(0.2), prop::bool::weighted(0.3));
    // Zero weights are included.
    let priority_weight = prop::option::of((0u8..=3, 0u8..=2, 0u8..=3));
    (idempotency(), spans, flags, only(zones), only(kinds), 1u32..=8, priority_weight).prop_map(
        move |(
            idempotency,
            (promise, times, window),
            (keep_order, loads, yields),
            zones,
            kinds,
            threads,
            priority_weight,
        )| {
            let promise = (scale * promise / 10).max(1_000);
            let (limit, window) = (promise * times + 1_000, scale * window / 10);
            let priority_weight =
                priority_weight.map(|(w, late, more)| [f64::from(w), f64::from(late) / 2.0, f64::from(more)]);
            let keep_order = keep_order && idempotency != Idempotency::ReadLike;
            Class {
                idempotency,
                window,
                keep_order,
                zones,
                kinds,
                promise,
                limit,
                threads,
                loads,
                yields,
                priority_weight,
            }
        },
    )
}

fn budget() -> impl Strategy<Value = RetryBudget> {
    let free = prop::option::weighted(0.7, 0u8..=5).prop_map(|f| f.map(f64::from));
    let ratio = prop::option::weighted(0.7, prop_oneof![Just(0.0), 0.02..1.5f64]);
    (free, ratio, 100_000u64..20_000_000).prop_map(|(free, ratio, span)| RetryBudget { free, ratio, span })
}

/// Arbitrary settings: the number of classes and the time scale, from milliseconds to minutes, are drawn first.
pub fn plan() -> impl Strategy<Value = Plan> {
    let count = prop_oneof![2 => Just(1usize), 5 => 2usize..=6, 1 => Just(30usize)];
    let scale = prop_oneof![Just(5_000u64), Just(50_000), Just(500_000), Just(3_000_000), Just(60_000_000)];
    (count, scale, 1usize..=3, 1usize..=3).prop_flat_map(|(count, scale, zones, kinds)| {
        let maybe = || prop::option::of(any::<bool>());
        let places = (Just((zones, kinds)), 0usize..=3, 1u32..=40);
        let allowed = (maybe(), maybe(), maybe(), maybe(), 1u32..=8);
        let rules = (
            prop::option::weighted(0.6, budget()),
            prop_oneof![Just(0u64), 1_000u64..4_000_000],
            prop::option::of(prop_oneof![Just(0u64), Just(scale / 2), Just(2 * scale)]),
            1_000u64..50_000,
        );
        let price = prop::option::of(prop_oneof![Just(0.0), 0.001..0.1f64]);
        let notes = prop::option::of((scale / 5).max(1_000)..=scale);
        let rest = (0u8..=3, price, notes, any::<bool>(), "[a-zñéж][a-z0-9_ .-]{0,8}", any::<u64>());
        let classes = prop::collection::vec(class(zones, kinds, scale), count);
        (classes, places, allowed, rules, rest).prop_map(|(classes, places, allowed, rules, rest)| {
            let ((zones, kinds), tenants, dispatchers) = places;
            let (cancel, copies, probes, retry_after, max_attempts) = allowed;
            let (budget, drain, key_quiet, slack) = rules;
            let (reports, price, notes, domain, word, seed) = rest;
            Plan {
                classes,
                zones,
                kinds,
                tenants,
                dispatchers,
                cancel,
                copies,
                probes,
                retry_after,
                max_attempts,
                budget,
                drain,
                key_quiet,
                slack,
                reports,
                price,
                notes,
                domain,
                word,
                seed,
            }
        })
    })
}
