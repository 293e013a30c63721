//! What was learned: running means, the model of a class, costs by table group, pools of executors.

use super::*;

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
    /// Learned cost over estimate, same requests: estimates lie by class.
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
    /// How far its rules close: from lateness and from the executors it may use.
    pub(crate) pressure: f64,
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

/// Fixed-size memory of costs by class and table group.
pub(crate) type CostCache = LruCache<(ClassId, u64), Mean>;

/// Executors open to the same classes: sums over those heard of, weighted by how much a report still tells.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Pool {
    pub(crate) held: f64,
    pub(crate) cores: f64,
    pub(crate) memory: f64,
    pub(crate) disks: f64,
    pub(crate) crowded: f64,
}

impl Pool {
    /// Counts an executor in.
    pub(crate) fn add(&mut self, e: &Executor, sure: f64, held: f64, memory: f64) {
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
