//! What a dispatcher remembers, and the arithmetic of its parts. It decides nothing: every decision and every
//! constant stands in `src/balancer/`.

mod executor;
mod executor_index;
mod executor_table;
mod figures;
mod hash_ring;
mod learned;
mod random;
mod request;
mod rule;

pub(crate) use executor::Executor;
pub(crate) use executor_index::ExecutorIndex;
pub(crate) use executor_table::ExecutorTable;
pub(crate) use hash_ring::{Part, mix};
pub(crate) use learned::*;
pub(crate) use random::{draw_weighted, rendezvous_hash};
pub(crate) use request::*;
pub(crate) use rule::*;

use crate::api::*;
use crate::balancer::selection::ProbeBudget;
use crate::balancer::slow_start::SlowStartAdmission;
use crate::balancer::{KeyQueues, RetryLimiter};
use lru::LruCache;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::num::NonZeroUsize;

/// One request dispatcher: what it was told, what it learned and what is open.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now: Micros,
    pub(crate) started: bool,
    pub(crate) rules: Vec<Rule>,
    pub(crate) cache: CostCache,
    pub(crate) class_models: Vec<ClassModel>,
    pub(crate) mean_cost: Mean,
    pub(crate) tenant_arrivals: Vec<f64>,
    pub(crate) probe_budget: ProbeBudget,
    pub(crate) slow_start: SlowStartAdmission,
    pub(crate) executors: ExecutorTable,
    pub(crate) executor_index: ExecutorIndex,
    /// Where its subset of the executors begins.
    pub(crate) ring_position: u64,
    /// Executors that decisions have looked at.
    pub(crate) examined: Cell<u64>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Requests of a key, which run one at a time.
    pub(crate) key_queues: KeyQueues,
    /// Attempts that ticks have looked at, where there are more than one looks at.
    pub(crate) attempts_checked: usize,
    pub(crate) retry_limiter: RetryLimiter,
    pub(crate) mb_per_thread: Mean,
    /// Own threads and requests in flight, running means.
    pub(crate) mean_in_flight_threads: f64,
    pub(crate) mean_in_flight_requests: f64,
    pub(crate) traffic_share: f64,
    pub(crate) pressure: f64,
    /// When it last woke from standing still.
    pub(crate) resumed_at: Micros,
    /// Threads a core that the executors hold, as far as they were heard.
    pub(crate) mean_load: f64,
    pub(crate) pools: BTreeMap<u64, Pool>,
    /// Whether reports tell of load, once one came.
    pub(crate) reports_tell_load: Option<bool>,
    /// Requests that wait for probes.
    pub(crate) awaiting_probes: Vec<RequestId>,
    pub(crate) endpoint_list_loaded: bool,
    /// When it ends; far off while it does not. Whether that has changed since the lines were looked at.
    pub(crate) shutdown_deadline: Micros,
    pub(crate) shutdown_deadline_changed: bool,
    pub(crate) actions: Vec<Action>,
}

impl Balancer {
    /// One that has seen nothing: `seed` feeds its draws, `cache_size` is how many costs it remembers.
    pub(crate) fn empty(
        settings: Settings,
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
            class_models: models,
            mean_cost: Mean::default(),
            tenant_arrivals: vec![0.0; settings.tenants.len()],
            probe_budget: ProbeBudget::default(),
            slow_start: SlowStartAdmission::default(),
            executors: ExecutorTable::default(),
            executor_index: ExecutorIndex::default(),
            ring_position: mix(seed),
            examined: Cell::new(0),
            requests: BTreeMap::new(),
            key_queues: KeyQueues::default(),
            attempts_checked: 0,
            retry_limiter: RetryLimiter::default(),
            mb_per_thread: Mean::default(),
            mean_in_flight_threads: 0.0,
            mean_in_flight_requests: 0.0,
            traffic_share: 1.0 / f64::from(settings.dispatchers),
            pressure: 0.0,
            resumed_at: 0,
            mean_load: 0.0,
            pools: BTreeMap::new(),
            reports_tell_load: None,
            awaiting_probes: Vec::new(),
            endpoint_list_loaded: false,
            shutdown_deadline: Micros::MAX,
            shutdown_deadline_changed: false,
            actions: Vec::new(),
            settings,
        }
    }

    pub(crate) fn seconds_since(&self, t: Micros) -> f64 {
        self.now.saturating_sub(t) as f64 / 1e6
    }

    pub(crate) fn request_mut(&mut self, id: RequestId) -> &mut Request {
        self.requests.get_mut(&id).expect("an open request")
    }

    pub(crate) fn log(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }
}
