//! The state of a balancer and its arithmetic. This module contains no decisions: these, and all their constants,
//! are in `src/balancer/`.

mod executor;
mod executor_index;
mod executor_table;
mod fleet;
mod hash_ring;
mod mean;
mod random;
mod request;
mod token_bucket;

pub(crate) use executor::Executor;
pub(crate) use executor_index::ExecutorIndex;
pub(crate) use executor_table::ExecutorTable;
pub(crate) use hash_ring::{Part, splitmix64};
pub(crate) use mean::Mean;
pub(crate) use random::{draw_weighted, rendezvous_hash};
pub(crate) use request::{Attempt, Request};
pub(crate) use token_bucket::TokenBucket;

use crate::api::{Action, RequestId, Settings, TimestampUs};
use crate::balancer::selection::ProbeBudget;
use crate::balancer::slow_start::SlowStartAdmission;
use crate::balancer::{AdmissionRules, CostModel, KeyQueues, LoadModel, Pressure, RetryLimiter};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::Cell;
use std::collections::BTreeMap;

/// The load balancer of one dispatcher: its settings, learned statistics and open requests.
pub struct Balancer {
    /// The current settings.
    pub(crate) settings: Settings,
    /// Random number generator for draws.
    pub(crate) rng: Pcg64Mcg,
    /// Time of the event that is being handled.
    pub(crate) now: TimestampUs,
    /// Whether the first event has been handled.
    pub(crate) started: bool,
    pub(crate) admission: AdmissionRules,
    pub(crate) cost_model: CostModel,
    /// Estimated load of the executors.
    pub(crate) load: LoadModel,
    /// How far the admission rules close.
    pub(crate) pressure: Pressure,
    pub(crate) probe_budget: ProbeBudget,
    pub(crate) slow_start: SlowStartAdmission,
    pub(crate) executors: ExecutorTable,
    pub(crate) executor_index: ExecutorIndex,
    /// Position on the hash ring at which the dispatcher's subset of the executors begins.
    pub(crate) ring_position: u64,
    /// Number of executors that decisions have examined.
    pub(crate) examined: Cell<u64>,
    /// Open requests.
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Queues of requests with the same key, which run one at a time.
    pub(crate) key_queues: KeyQueues,
    /// Where the next tick continues among the attempts in flight, if one tick does not check them all.
    pub(crate) attempts_checked: usize,
    /// Counts retries against the retry budget.
    pub(crate) retry_limiter: RetryLimiter,
    /// When this process last resumed after a stall.
    pub(crate) resumed_at: TimestampUs,
    /// Requests that wait for probes.
    pub(crate) awaiting_probes: Vec<RequestId>,
    /// Whether an endpoint list has been received.
    pub(crate) endpoint_list_loaded: bool,
    /// When this dispatcher shuts down; the maximum value if no shutdown is scheduled.
    pub(crate) shutdown_deadline: TimestampUs,
    /// Whether the shutdown deadline has changed since all key queues were checked.
    pub(crate) shutdown_deadline_changed: bool,
    /// Actions of the event that is being handled.
    pub(crate) actions: Vec<Action>,
}

impl Balancer {
    /// A balancer without state, for valid settings; `seed` initializes its random number generator.
    pub(crate) fn empty(settings: Settings, seed: u64) -> Balancer {
        Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            started: false,
            admission: AdmissionRules::new(&settings),
            cost_model: CostModel::new(settings.classes.len()),
            load: LoadModel::new(settings.dispatchers),
            pressure: Pressure::new(settings.classes.len()),
            probe_budget: ProbeBudget::default(),
            slow_start: SlowStartAdmission::default(),
            executors: ExecutorTable::default(),
            executor_index: ExecutorIndex::default(),
            ring_position: splitmix64(seed),
            examined: Cell::new(0),
            requests: BTreeMap::new(),
            key_queues: KeyQueues::default(),
            attempts_checked: 0,
            retry_limiter: RetryLimiter::default(),
            resumed_at: 0,
            awaiting_probes: Vec::new(),
            endpoint_list_loaded: false,
            shutdown_deadline: TimestampUs::MAX,
            shutdown_deadline_changed: false,
            actions: Vec::new(),
            settings,
        }
    }

    pub(crate) fn request_mut(&mut self, id: RequestId) -> &mut Request {
        self.requests.get_mut(&id).expect("the request is open")
    }

    pub(crate) fn log(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }
}
