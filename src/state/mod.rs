//! What a dispatcher remembers, and the arithmetic of its parts. It decides nothing: every decision and every
//! constant stands in `src/balancer/`.

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
pub(crate) use hash_ring::{Part, mix};
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

/// The decisions of one dispatcher: its settings, what it has learned and what is open.
pub struct Balancer {
    /// What the dispatcher is configured with.
    pub(crate) settings: Settings,
    /// Source of its random draws.
    pub(crate) rng: Pcg64Mcg,
    /// Time of the event that is being handled.
    pub(crate) now: TimestampUs,
    /// It has had its first event.
    pub(crate) started: bool,
    /// Which requests are admitted.
    pub(crate) admission: AdmissionRules,
    /// What requests cost.
    pub(crate) cost_model: CostModel,
    /// How loaded the executors are.
    pub(crate) load: LoadModel,
    /// How far the rules of admission close.
    pub(crate) pressure: Pressure,
    pub(crate) probe_budget: ProbeBudget,
    pub(crate) slow_start: SlowStartAdmission,
    pub(crate) executors: ExecutorTable,
    pub(crate) executor_index: ExecutorIndex,
    /// Where its subset of the executors begins.
    pub(crate) ring_position: u64,
    /// Executors that decisions have looked at.
    pub(crate) examined: Cell<u64>,
    /// Open requests.
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Requests of a key, which run one at a time.
    pub(crate) key_queues: KeyQueues,
    /// Where the next tick goes on among the attempts in flight, if one tick doesn't check them all.
    pub(crate) attempts_checked: usize,
    /// Counts retries against the retry budget.
    pub(crate) retry_limiter: RetryLimiter,
    /// When this process last resumed after a stall.
    pub(crate) resumed_at: TimestampUs,
    /// Requests that wait for probes.
    pub(crate) awaiting_probes: Vec<RequestId>,
    /// An endpoint list has come.
    pub(crate) endpoint_list_loaded: bool,
    /// When this dispatcher shuts down; the greatest value while it doesn't.
    pub(crate) shutdown_deadline: TimestampUs,
    /// The time of the shutdown has changed since key queues were checked.
    pub(crate) shutdown_deadline_changed: bool,
    /// Actions of the event that is being handled.
    pub(crate) actions: Vec<Action>,
}

impl Balancer {
    /// One that has seen nothing; `seed` feeds its draws.
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
            ring_position: mix(seed),
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
        self.requests.get_mut(&id).expect("an open request")
    }

    pub(crate) fn log(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }
}
