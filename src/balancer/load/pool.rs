//! The load and saturation of a pool, which consists of the executors that are eligible for the same classes.

use crate::api::{ClassId, MemoryShortage, Settings};
use crate::state::{Balancer, Executor};

/// The range of a metric between the point where a resource becomes scarce and the point where it is
/// exhausted.
struct Range {
    start: f64,
    full: f64,
}

impl Range {
    /// Position of a value in the range: 0 where the resource becomes scarce, 1 where it is exhausted.
    fn position(&self, value: f64) -> f64 {
        (value - self.start) / (self.full - self.start)
    }
}

/// Threads per core. An executor's total throughput falls beyond one to two threads per core.
const THREADS: Range = Range { start: 1.8, full: 3.6 };
/// Latency ratio, used instead of threads per core: it rises with any resource that becomes scarce.
const LATENCY_RATIO: Range = Range { start: 1.0, full: 2.5 };
/// Fraction of memory in use, on executors where requests queue for memory.
const MEMORY_WITH_QUEUE: Range = Range { start: 0.8, full: 1.05 };
/// Fraction of memory in use, on executors where requests with too little memory spill to disk or swap.
const MEMORY_WITH_SPILL: Range = Range { start: 0.75, full: 1.35 };
/// Disk utilization. Total throughput falls when many requests wait for disks.
const DISKS: Range = Range { start: 0.65, full: 0.9 };

/// Sums over a pool's executors with a known load, each weighted by the confidence in its report.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PoolLoad {
    /// Threads in flight from all dispatchers.
    pub(crate) in_flight_threads: f64,
    /// Cores.
    pub(super) cores: f64,
    /// Fraction of memory in use, times cores.
    memory: f64,
    /// Disk utilization, times cores.
    disks: f64,
    /// 0 where the scarcest resource becomes scarce, 1 where it is exhausted; may lie outside this range.
    pub(super) saturation: f64,
}

/// The estimated load of one executor.
pub(super) struct ExecutorLoad {
    /// Confidence in the report, 0 to 1.
    pub(super) confidence: f64,
    /// Threads in flight; or, if latency ratios are used, the logarithm of the ratio times cores.
    pub(super) threads: f64,
    /// Fraction of memory in use.
    pub(super) memory: f64,
}

impl PoolLoad {
    /// Adds an executor.
    pub(super) fn add(&mut self, executor: &Executor, load: &ExecutorLoad) {
        let disks = executor.report.disks.unwrap_or(0.0);
        self.cores += executor.cores * load.confidence;
        self.in_flight_threads += load.threads * load.confidence;
        self.memory += load.memory * executor.cores * load.confidence;
        self.disks += disks * executor.cores * load.confidence;
    }

    /// A sum of the pool divided by its cores.
    pub(super) fn per_core(&self, sum: f64) -> f64 {
        sum / self.cores.max(1.0)
    }

    /// Computes the saturation of the pool's scarcest resource.
    pub(super) fn update_saturation(&mut self, settings: &Settings, uses_latency_ratios: bool) {
        let threads = if uses_latency_ratios { LATENCY_RATIO } else { THREADS };
        let memory = match settings.memory_shortage {
            MemoryShortage::Queue => MEMORY_WITH_QUEUE,
            MemoryShortage::Trim | MemoryShortage::Swap => MEMORY_WITH_SPILL,
        };
        let by_threads = threads.position(self.per_core(self.in_flight_threads));
        let counts_memory = settings.memory_grants && !uses_latency_ratios;
        let by_memory = if counts_memory { memory.position(self.per_core(self.memory)) } else { 0.0 };
        let by_disks = DISKS.position(self.per_core(self.disks));
        self.saturation = by_threads.max(by_memory).max(by_disks);
    }
}

/// Whether the executors of a pool are eligible for a class; a pool is a bit mask of classes.
pub(in crate::balancer) fn is_pool_eligible(pool: u64, class: ClassId) -> bool {
    pool >> class & 1 == 1
}

impl Balancer {
    /// The pool of an executor: a bit mask of the classes that its zone and kind are eligible for.
    pub(in crate::balancer) fn pool_of(&self, executor: &Executor) -> u64 {
        let classes = 0..self.settings.classes.len();
        classes.filter(|&class| self.placement_allows(class, executor)).map(|class| 1 << class).sum()
    }
}
