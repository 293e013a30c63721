//! Counts the work sent to executors in slow start within windows, and compares it with the budget.

use crate::common::*;
use ottercroft::api::*;

/// A request or probe that was sent to an executor in slow start.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    /// Time since the executor's start.
    pub at: Micros,
    pub executor: ExecutorId,
    /// Work in thread-seconds.
    pub work: f64,
    /// Whether the sending dispatcher had been notified of the start.
    pub notified: bool,
}

/// The parameters of an executor's budget.
#[derive(Debug, Clone, Copy)]
pub struct Rule {
    pub slow_start: SlowStart,
    pub cores: f64,
    pub mean_work: f64,
    pub warming_executors: u32,
}

impl Rule {
    /// The budget N of the window that begins at `at`, in requests of mean work.
    pub fn budget(&self, at: Micros) -> f64 {
        let ramp_progress = (at as f64 / self.slow_start.ramp as f64).min(1.0);
        let capacity = self.cores
            * (self.slow_start.initial_fraction + (1.0 - self.slow_start.initial_fraction) * ramp_progress);
        self.slow_start.overload_factor * capacity * self.slow_start.overload_window as f64
            / 1e6
            / self.mean_work
    }

    /// The bound for that window: N plus a random deviation of 2 x sqrt(N) + 2. It also applies if N is below 30, where
    /// the platform's rule allows more.
    pub fn bound(&self, at: Micros) -> f64 {
        let n = self.budget(at);
        n + 2.0 * n.sqrt() + 2.0
    }
}

/// Statistics over all windows of a number of simulations.
#[derive(Debug)]
pub struct WindowStats {
    /// Work sent as a fraction of N, for windows that begin every 100 ms.
    fractions: Vec<f64>,
    pub windows: usize,
    /// Maximum excess over the bound by notified dispatchers, over the windows that begin with each send.
    pub excess: f64,
    /// Whether all dispatchers together exceeded the bound, with over two thirds of the work from notified ones.
    pub violated: bool,
    /// Like `excess`, for all dispatchers together.
    all_excess: f64,
}

impl Default for WindowStats {
    fn default() -> WindowStats {
        let none = f64::NEG_INFINITY;
        WindowStats { fractions: vec![], windows: 0, excess: none, violated: false, all_excess: none }
    }
}

impl WindowStats {
    /// Adds a simulation of the given duration; only windows that end within it count.
    pub fn add(&mut self, rule: &Rule, duration: Micros, sent: &[Sent]) {
        let last = duration - rule.slow_start.overload_window;
        for executor in 1..=rule.warming_executors {
            let mut here: Vec<Sent> = sent.iter().filter(|s| s.executor == executor).copied().collect();
            here.sort_by_key(|s| s.at);
            let begin = |from: Micros| here.partition_point(|s| s.at < from);
            let within = |from: Micros| &here[begin(from)..begin(from + rule.slow_start.overload_window)];
            let work = |some: &[Sent], notified: bool| {
                some.iter().filter(|s| s.notified || !notified).map(|s| s.work).sum::<f64>() / rule.mean_work
            };
            for from in (0..=last).step_by(100 * MS as usize) {
                self.fractions.push(work(within(from), false) / rule.budget(from));
            }
            for from in here.iter().map(|s| s.at).filter(|at| *at <= last) {
                let (all, notified) = (work(within(from), false), work(within(from), true));
                self.excess = self.excess.max(notified - rule.bound(from));
                self.all_excess = self.all_excess.max(all - rule.bound(from));
                self.violated |= all > rule.bound(from) && notified > all * 2.0 / 3.0;
            }
        }
        self.windows = self.fractions.len();
    }

    pub fn mean(&self) -> f64 {
        self.fractions.iter().sum::<f64>() / self.fractions.len() as f64
    }

    /// A row of the table: mean, 99.9th percentile and maximum as fractions of N, then the maximum excesses.
    pub fn row(&mut self, name: &str, dispatchers: u32) -> String {
        self.fractions.sort_by(f64::total_cmp);
        let last = self.fractions.len() - 1;
        let (p999, max) = (self.fractions[(last as f64 * 0.999).ceil() as usize], self.fractions[last]);
        format!(
            "| {name} | {dispatchers} | {} | {:.2} | {p999:.2} | {max:.2} | {:.1} | {:.1} |",
            self.windows,
            self.mean(),
            self.excess,
            self.all_excess
        )
    }
}
