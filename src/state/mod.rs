//! What a dispatcher remembers, and the arithmetic of its parts. It decides nothing: every decision and every
//! tuned value stands in `src/control/`.

mod chance;
mod executor;
mod executor_index;
mod figures;
mod learned;
mod request;
mod ring;
mod rule;
mod table;

pub(crate) use chance::*;
pub(crate) use executor::*;
pub(crate) use executor_index::*;
pub(crate) use learned::*;
pub(crate) use request::*;
pub(crate) use ring::*;
pub(crate) use rule::*;

use crate::api::*;
use crate::balancer::selection::ProbeBudget;
use crate::balancer::slow_start::{SlowStartAdmission, WarmingBuckets};
use lru::LruCache;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::num::NonZeroUsize;

/// One request dispatcher: what it was told, what it learned and what is open.
pub struct Balancer {
    pub(crate) s: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now: Micros,
    pub(crate) started: bool,
    pub(crate) rules: Vec<Rule>,
    pub(crate) cache: CostCache,
    pub(crate) models: Vec<ClassModel>,
    pub(crate) overall: Mean,
    pub(crate) tenants: Vec<f64>,
    pub(crate) probe_budget: ProbeBudget,
    pub(crate) slow_start: SlowStartAdmission,
    /// When executors that are gone were looked for last.
    pub(crate) last_sweep: Micros,
    pub(crate) executors: Vec<Executor>,
    pub(crate) executor_index: ExecutorIndex,
    /// Where its subset of the executors begins.
    pub(crate) ring_position: u64,
    /// Executors that decisions have looked at.
    pub(crate) examined: Cell<u64>,
    pub(crate) index: BTreeMap<ExecutorId, usize>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) keys: BTreeMap<u64, KeyLine>,
    /// When keys have rested, and the key whose line is looked at next.
    pub(crate) rests: BTreeSet<(Micros, u64)>,
    pub(crate) checked_from: u64,
    /// Attempts that ticks have looked at, where there are more than one looks at.
    pub(crate) attempts_checked: usize,
    pub(crate) taken: VecDeque<Micros>,
    pub(crate) further: VecDeque<Micros>,
    pub(crate) thread_mb: Mean,
    /// Own threads and requests in flight, running means.
    pub(crate) held_threads: f64,
    pub(crate) held_requests: f64,
    pub(crate) share: f64,
    pub(crate) pressure: f64,
    /// When it last woke from standing still.
    pub(crate) stalled: Micros,
    /// Threads a core that the executors hold, as far as they were heard.
    pub(crate) occupancy: f64,
    pub(crate) pools: BTreeMap<u64, Pool>,
    /// Whether reports tell of load, once one came.
    pub(crate) tells_load: Option<bool>,
    /// Requests that wait for probes.
    pub(crate) awaiting_probes: Vec<RequestId>,
    /// A key's line is moving on.
    pub(crate) moves_on: bool,
    pub(crate) loaded: bool,
    /// When it ends; far off while it does not. Whether that has changed since the lines were looked at.
    pub(crate) ends: Micros,
    pub(crate) ends_changed: bool,
    pub(crate) actions: Vec<Action>,
}

impl Balancer {
    /// One that has seen nothing: `seed` feeds its draws, `cache_size` is how many costs it remembers.
    pub(crate) fn empty(
        s: Settings,
        seed: u64,
        rules: Vec<Rule>,
        cache_size: NonZeroUsize,
        models: Vec<ClassModel>,
    ) -> Balancer {
        Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            started: false,
            rules,
            cache: LruCache::new(cache_size),
            models,
            overall: Mean::default(),
            tenants: vec![0.0; s.tenants.len()],
            probe_budget: ProbeBudget::default(),
            slow_start: SlowStartAdmission::default(),
            executors: Vec::new(),
            executor_index: ExecutorIndex::default(),
            ring_position: mixed(seed),
            examined: Cell::new(0),
            last_sweep: Micros::MAX,
            index: BTreeMap::new(),
            requests: BTreeMap::new(),
            keys: BTreeMap::new(),
            rests: BTreeSet::new(),
            checked_from: 0,
            attempts_checked: 0,
            taken: VecDeque::new(),
            further: VecDeque::new(),
            thread_mb: Mean::default(),
            held_threads: 0.0,
            held_requests: 0.0,
            share: 1.0 / f64::from(s.dispatchers),
            pressure: 0.0,
            stalled: 0,
            occupancy: 0.0,
            pools: BTreeMap::new(),
            tells_load: None,
            moves_on: false,
            awaiting_probes: Vec::new(),
            loaded: false,
            ends: Micros::MAX,
            ends_changed: false,
            actions: Vec::new(),
            s,
        }
    }

    pub(crate) fn seconds_since(&self, t: Micros) -> f64 {
        self.now.saturating_sub(t) as f64 / 1e6
    }

    pub(crate) fn request(&mut self, id: RequestId) -> &mut Request {
        self.requests.get_mut(&id).expect("an open query")
    }

    /// An answer has begun: the attempt belongs to the client.
    pub(crate) fn streams(&mut self, id: RequestId) {
        self.requests.get_mut(&id).into_iter().for_each(|q| q.streaming = true);
    }

    pub(crate) fn cancel(&mut self, id: RequestId, n: u32) {
        self.request(id).attempts[n as usize].cancelled = true;
        self.actions.push(Action::Cancel { request: id, attempt: n });
    }

    pub(crate) fn log(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }
}
