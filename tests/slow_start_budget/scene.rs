//! Scenarios: the size, traffic and faults of a fleet, and the slow-start rule that it has to keep.

use crate::common::*;
use crate::count::{Rule, Sent};
use crate::dispatcher;
use ottercroft::api::*;

/// Time that the fleet serves before the executors restart.
pub const BEFORE: Micros = 2 * S;

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub dispatchers: u32,
    pub warm_executors: u32,
    pub rule: Rule,
    /// Simulated time from the executors' restart.
    pub duration: Micros,
    /// Mean requests per second of a dispatcher. One in ten gets four times as many, the others two thirds.
    pub rate: f64,
    /// Fraction of expensive requests.
    pub expensive_fraction: f64,
    /// Mean work of a cheap and of an expensive request.
    pub work: [f64; 2],
    /// Fraction of dispatchers that are notified of the restart with a delay of up to a second.
    pub late_fraction: f64,
    /// Fraction of dispatchers that restart within the ramp.
    pub restarted_fraction: f64,
    /// Fraction of attempts that fail.
    pub failing_fraction: f64,
    /// Number of windows from the restart without arrivals, which are followed by four times the usual rate.
    pub quiet_windows: u64,
}

impl Scenario {
    /// Two of six executors in slow start, and more requests than the fleet can serve. A tenth of the dispatchers
    /// restart, and a tenth of the attempts fail.
    pub fn busy(dispatchers: u32) -> Scenario {
        let (expensive_fraction, work) = (0.2, [0.1, 1.0]);
        let slow_start = settings().slow_start;
        Scenario {
            dispatchers,
            warm_executors: 4,
            rule: Rule {
                slow_start,
                cores: 8.0,
                mean_work: work[0] + expensive_fraction * (work[1] - work[0]),
                warming_executors: 2,
            },
            duration: slow_start.ramp,
            rate: 10.0 + 300.0 / f64::from(dispatchers),
            expensive_fraction,
            work,
            late_fraction: 0.0,
            restarted_fraction: 0.1,
            failing_fraction: 0.1,
            quiet_windows: 0,
        }
    }

    /// Load of 60% of the capacity of the six executors; a tenth of the dispatchers are notified up to a second late.
    /// What these send before counts too, but the rule is violated only if two thirds are from notified dispatchers.
    pub fn notified_late(dispatchers: u32) -> Scenario {
        let busy = Scenario::busy(dispatchers);
        let total_rate = 0.6 * 6.0 * busy.rule.cores / busy.rule.mean_work;
        Scenario { rate: total_rate / f64::from(dispatchers), late_fraction: 0.1, ..busy }
    }

    /// Five windows without arrivals after the restart, then two with a burst at all dispatchers, which spend the
    /// tokens that they saved up for an executor in slow start at the same time.
    pub fn burst_after_quiet(dispatchers: u32) -> Scenario {
        let busy = Scenario::busy(dispatchers);
        Scenario { quiet_windows: 5, duration: 7 * busy.rule.slow_start.overload_window, ..busy }
    }

    pub fn settings(&self) -> Settings {
        let mut s = settings();
        (s.dispatchers, s.slow_start, s.reports, s.probe_price) =
            (self.dispatchers, self.rule.slow_start, Reports::OnProbe, 0.01);
        s.kinds[0].cores = self.rule.cores;
        s
    }

    /// Simulates the fleet and returns everything that it sends to executors in slow start.
    pub fn simulate(&self, seed: u64) -> Vec<Sent> {
        (0..self.dispatchers).flat_map(|d| dispatcher::simulate(self, seed << 32 | u64::from(d))).collect()
    }
}
