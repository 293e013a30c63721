//! The count: what was sent to one cold executor within windows, beside what the settings allow.

use crate::common::*;
use ottercroft::api::*;

/// Something that was sent to a cold executor.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    /// Since the executor's start.
    pub at: Micros,
    pub executor: ExecutorId,
    /// Thread-seconds.
    pub work: f64,
    /// By a dispatcher that had been notified of the start.
    pub notified: bool,
}

/// What the budget of an executor follows from.
#[derive(Debug, Clone, Copy)]
pub struct Rule {
    pub slow_start: SlowStart,
    pub cores: f64,
    pub mean_work: f64,
    pub warming_executors: u32,
}

impl Rule {
    /// N of the window that begins then, in requests of mean work.
    pub fn budget(&self, at: Micros) -> f64 {
        let ramped = (at as f64 / self.slow_start.ramp as f64).min(1.0);
        let capacity = self.cores
            * (self.slow_start.initial_fraction + (1.0 - self.slow_start.initial_fraction) * ramped);
        self.slow_start.overload_factor * capacity * self.slow_start.overload_window as f64
            / 1e6
            / self.mean_work
    }

    /// The most that may come in that window: chance counts for 2 x root of N + 2, also where N is under 30 and the term
    /// of the platform allows more.
    pub fn most(&self, at: Micros) -> f64 {
        let n = self.budget(at);
        n + 2.0 * n.sqrt() + 2.0
    }
}

/// All windows of some plays.
#[derive(Debug)]
pub struct Sum {
    /// What was sent as a share of N, for windows that begin every 100 ms.
    shares: Vec<f64>,
    pub windows: usize,
    /// The most, over windows that begin with any send, by which those notified passed the bound.
    pub excess: f64,
    /// All together passed it, and over two thirds of that came from those notified.
    pub broken: bool,
    /// The same as `excess` for all together.
    all_excess: f64,
}

impl Default for Sum {
    fn default() -> Sum {
        let least = f64::NEG_INFINITY;
        Sum { shares: vec![], windows: 0, excess: least, broken: false, all_excess: least }
    }
}

impl Sum {
    /// Counts a play of so long in: windows end within it.
    pub fn add(&mut self, rule: &Rule, played: Micros, sent: &[Sent]) {
        let last = played - rule.slow_start.overload_window;
        for executor in 1..=rule.warming_executors {
            let mut here: Vec<Sent> = sent.iter().filter(|s| s.executor == executor).copied().collect();
            here.sort_by_key(|s| s.at);
            let begin = |from: Micros| here.partition_point(|s| s.at < from);
            let within = |from: Micros| &here[begin(from)..begin(from + rule.slow_start.overload_window)];
            let work = |some: &[Sent], notified: bool| {
                some.iter().filter(|s| s.notified || !notified).map(|s| s.work).sum::<f64>() / rule.mean_work
            };
            for from in (0..=last).step_by(100 * MS as usize) {
                self.shares.push(work(within(from), false) / rule.budget(from));
            }
            for from in here.iter().map(|s| s.at).filter(|at| *at <= last) {
                let (all, notified) = (work(within(from), false), work(within(from), true));
                self.excess = self.excess.max(notified - rule.most(from));
                self.all_excess = self.all_excess.max(all - rule.most(from));
                self.broken |= all > rule.most(from) && notified > all * 2.0 / 3.0;
            }
        }
        self.windows = self.shares.len();
    }

    pub fn mean(&self) -> f64 {
        self.shares.iter().sum::<f64>() / self.shares.len() as f64
    }

    /// A row of the table: mean, 99.9th percentile and most as a share of N, then the largest excesses.
    pub fn row(&mut self, name: &str, dispatchers: u32) -> String {
        self.shares.sort_by(f64::total_cmp);
        let last = self.shares.len() - 1;
        let (high, most) = (self.shares[(last as f64 * 0.999).ceil() as usize], self.shares[last]);
        format!(
            "| {name} | {dispatchers} | {} | {:.2} | {high:.2} | {most:.2} | {:.1} | {:.1} |",
            self.windows,
            self.mean(),
            self.excess,
            self.all_excess
        )
    }
}
