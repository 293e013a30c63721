//! What happens to a fleet: its size, its traffic, its troubles, and the rule that it is held to.

use crate::common::*;
use crate::count::{Rule, Sent};
use crate::dispatcher;
use ottercroft::api::*;

/// How long the fleet serves before the executors start anew.
pub const BEFORE: Micros = 2 * S;

#[derive(Debug, Clone, Copy)]
pub struct Scene {
    pub dispatchers: u32,
    pub warm_executors: u32,
    pub rule: Rule,
    /// The part of the ramp that is played.
    pub played: Micros,
    /// Requests a second of a dispatcher, in the mean; one in ten sees four times as much, the rest two thirds.
    pub rate: f64,
    /// One in how many requests is dear, and the work of a cheap one and a dear one.
    pub dear: f64,
    pub work: [f64; 2],
    /// The part that is notified late, up to a second; that starts anew within the ramp; attempts that fail.
    pub late: f64,
    pub restarted: f64,
    pub failing: f64,
    /// For so many windows from the start no request comes; then four times as many as usual.
    pub quiet: u64,
}

impl Scene {
    /// Two of six executors cold, and more requests than all can do; a tenth of the dispatchers starts anew, one in
    /// ten attempts fails.
    pub fn busy(dispatchers: u32) -> Scene {
        let (dear, work) = (0.2, [0.1, 1.0]);
        let slow_start = settings().slow_start;
        Scene {
            dispatchers,
            warm_executors: 4,
            rule: Rule {
                slow_start,
                cores: 8.0,
                mean_work: work[0] + dear * (work[1] - work[0]),
                warming_executors: 2,
            },
            played: slow_start.ramp,
            rate: 10.0 + 300.0 / f64::from(dispatchers),
            dear,
            work,
            late: 0.0,
            restarted: 0.1,
            failing: 0.1,
            quiet: 0,
        }
    }

    /// Requests for six tenths of what the six can do, over all dispatchers, a tenth of which is notified up to a second
    /// late. What these send before counts too; the rule is broken only if two thirds are of those notified.
    pub fn late(dispatchers: u32) -> Scene {
        let s = Scene::busy(dispatchers);
        let all = 0.6 * 6.0 * s.rule.cores / s.rule.mean_work;
        Scene { rate: all / f64::from(dispatchers), late: 0.1, ..s }
    }

    /// Quiet for five windows after the start, then all dispatchers busy at once, for two: what each saved for a cold
    /// executor comes together.
    pub fn woken(dispatchers: u32) -> Scene {
        let s = Scene::busy(dispatchers);
        Scene { quiet: 5, played: 7 * s.rule.slow_start.overload_window, ..s }
    }

    pub fn settings(&self) -> Settings {
        let mut s = settings();
        (s.dispatchers, s.slow_start, s.reports, s.probe_price) =
            (self.dispatchers, self.rule.slow_start, Reports::OnProbe, 0.01);
        s.kinds[0].cores = self.rule.cores;
        s
    }

    /// All that the fleet sends to cold executors.
    pub fn play(&self, seed: u64) -> Vec<Sent> {
        (0..self.dispatchers).flat_map(|d| dispatcher::play(self, seed << 32 | u64::from(d))).collect()
    }
}
