//! What was learned: running means, the model of a class, costs by table group, pools of executors.

use super::*;

/// A mean over about 1/weight of the latest values; the plain mean until there are so many.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Mean {
    pub(crate) value: f64,
    pub(crate) count: u32,
}

impl Mean {
    pub(crate) fn add(&mut self, x: f64, weight: f64) {
        self.count += 1;
        self.value += (x - self.value) * weight.max(1.0 / f64::from(self.count));
    }
    pub(crate) fn value_or(&self, default: f64) -> f64 {
        if self.count > 0 { self.value } else { default }
    }
}

/// What was learned of a class.
#[derive(Debug, Clone, Default)]
pub(crate) struct ClassModel {
    /// Thread-seconds of its outcomes.
    pub(crate) cost: Mean,
    /// Attempts that are over, however they ended.
    pub(crate) finished_attempts: u32,
    /// Thread-seconds as estimated on arrival.
    pub(crate) estimate: Mean,
    /// Learned cost over estimate, same requests: estimates lie by class.
    pub(crate) observed_mean: Mean,
    pub(crate) estimate_mean: Mean,
    /// Latency times threads over predicted cost: the pace of the day.
    pub(crate) latency_ratio: Mean,
    /// ln of memory needed over estimated, at the grant's quantile; and MB needed where told.
    pub(crate) memory_bias: f64,
    pub(crate) memory_mb: Mean,
    /// Arrivals a second, and pressure from lateness.
    pub(crate) arrival_rate: f64,
    pub(crate) arrivals: f64,
    pub(crate) lateness: f64,
    /// How far its rules close: from lateness and from the executors it may use.
    pub(crate) pressure: f64,
}

impl ClassModel {
    /// Counts a told cost and the actual one; before the first, the told one counts as `trusted` outcomes.
    pub(crate) fn compare(&mut self, estimate: f64, observed: f64, trusted: u32, weight: f64) {
        if self.estimate_mean.count == 0 {
            let prior = Mean { value: estimate, count: trusted };
            (self.estimate_mean, self.observed_mean) = (prior, prior);
        }
        self.observed_mean.add(observed, weight);
        self.estimate_mean.add(estimate, weight);
    }

    /// Arrivals of the last `dt` seconds into their rate over a span.
    pub(crate) fn count(&mut self, dt: f64, span: f64) {
        self.arrival_rate += (self.arrivals / dt - self.arrival_rate) * dt / span;
        self.arrivals = 0.0;
    }
}

/// Fixed-size memory of costs by class and table group.
pub(crate) type CostCache = LruCache<(ClassId, u64), Mean>;

/// Executors open to the same classes: sums over those heard of, weighted by how much a report still tells.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Pool {
    pub(crate) in_flight_threads: f64,
    pub(crate) cores: f64,
    pub(crate) memory: f64,
    pub(crate) disks: f64,
    pub(crate) saturation: f64,
}

impl Pool {
    /// Counts an executor in.
    pub(crate) fn add(&mut self, e: &Executor, confidence: f64, in_flight_threads: f64, memory: f64) {
        self.cores += e.cores * confidence;
        self.in_flight_threads += in_flight_threads * confidence;
        self.memory += memory * e.cores * confidence;
        self.disks += e.report.disks.unwrap_or(0.0) * e.cores * confidence;
    }

    /// A sum, for each core.
    pub(crate) fn per_core(&self, sum: f64) -> f64 {
        sum / self.cores.max(1.0)
    }
}
