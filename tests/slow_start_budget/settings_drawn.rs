//! Checks the same bounds under random settings, with the rule derived from the settings.

use crate::common::*;
use crate::count::{Rule, WindowStats};
use crate::scene::Scenario;
use ottercroft::api::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn scenarios() -> impl Strategy<Value = Scenario> {
    let slow_start = (0.2..0.7, 8u64..12, 1.5..4.0, 500u64..2_000);
    let mix = (0.05..0.5, 0.05..0.3, 2.0..20.0);
    let fleet = (prop::sample::select(vec![3u32, 8, 20, 30, 60, 100]), 1u32..4, 3u32..8, 2.0..15.0);
    (slow_start, mix, fleet, prop::sample::select(vec![4.0, 8.0, 16.0]), prop::sample::select(vec![0, 3, 5]))
        .prop_map(
            |(
                (initial_fraction, ramp, overload_factor, window_ms),
                (expensive_fraction, cheap, cost_ratio),
                (dispatchers, warming_executors, warm_executors, rate),
                cores,
                quiet_windows,
            )| {
                let slow_start = SlowStart {
                    initial_fraction,
                    ramp: ramp * window_ms * MS,
                    overload_factor,
                    overload_window: window_ms * MS,
                };
                let work = [cheap, cheap * cost_ratio];
                let mean_work = work[0] + expensive_fraction * (work[1] - work[0]);
                Scenario {
                    rule: Rule { slow_start, cores, mean_work, warming_executors },
                    quiet_windows,
                    duration: (quiet_windows + 3) * slow_start.overload_window,
                    warm_executors,
                    rate,
                    expensive_fraction,
                    work,
                    ..Scenario::busy(dispatchers)
                }
            },
        )
}

/// Checks forty random settings from a fixed seed, so that the result is deterministic.
#[test]
fn random_settings_keep_the_bounds() {
    let config = Config { cases: 40, failure_persistence: None, max_shrink_iters: 0, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let idle = std::cell::Cell::new(0);
    let result = TestRunner::new_with_rng(config, rng).run(&scenarios(), |scenario| {
        let mut stats = WindowStats::default();
        stats.add(&scenario.rule, scenario.duration, &scenario.simulate(1));
        println!("{} N {:.1}", stats.row("drawn", scenario.dispatchers), scenario.rule.budget(0));
        idle.set(idle.get() + u32::from(stats.mean() < 0.01));
        prop_assert!(stats.excess <= 0.0, "{:.1} requests beyond the bound", stats.excess);
        Ok(())
    });
    result.unwrap();
    assert!(idle.get() <= 4, "{} random settings with hardly any work sent", idle.get());
}
