//! The same bound under settings drawn at will: the rule follows from them, whatever they are.

use crate::common::*;
use crate::count::{Rule, Sum};
use crate::scene::Scene;
use ottercroft::api::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn scenes() -> impl Strategy<Value = Scene> {
    let cold = (0.2..0.7, 8u64..12, 1.5..4.0, 500u64..2_000);
    let mix = (0.05..0.5, 0.05..0.3, 2.0..20.0);
    let fleet = (prop::sample::select(vec![3u32, 8, 20, 30, 60, 100]), 1u32..4, 3u32..8, 2.0..15.0);
    (cold, mix, fleet, prop::sample::select(vec![4.0, 8.0, 16.0]), prop::sample::select(vec![0, 3, 5]))
        .prop_map(
            |(
                (initial_fraction, ramp, overload_factor, window_ms),
                (dear, cheap, times),
                (dispatchers, warming_executors, warm, rate),
                cores,
                quiet,
            )| {
                let slow_start = SlowStart {
                    initial_fraction,
                    ramp: ramp * window_ms * MS,
                    overload_factor,
                    overload_window: window_ms * MS,
                };
                let work = [cheap, cheap * times];
                let mean_work = work[0] + dear * (work[1] - work[0]);
                Scene {
                    rule: Rule { slow_start, cores, mean_work, warming_executors },
                    quiet,
                    played: (quiet + 3) * slow_start.overload_window,
                    warm_executors: warm,
                    rate,
                    dear,
                    work,
                    ..Scene::busy(dispatchers)
                }
            },
        )
}

/// Forty draws from a fixed seed, so that the verdict is the same each time.
#[test]
fn settings_drawn_at_will() {
    let config = Config { cases: 40, failure_persistence: None, max_shrink_iters: 0, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let idle = std::cell::Cell::new(0);
    let held = TestRunner::new_with_rng(config, rng).run(&scenes(), |scene| {
        let mut sum = Sum::default();
        sum.add(&scene.rule, scene.played, &scene.play(1));
        println!("{} N {:.1}", sum.row("drawn", scene.dispatchers), scene.rule.budget(0));
        idle.set(idle.get() + u32::from(sum.mean() < 0.01));
        prop_assert!(sum.excess <= 0.0, "{:.1} requests beyond the bound", sum.excess);
        Ok(())
    });
    held.unwrap();
    assert!(idle.get() <= 4, "{} draws in which next to nothing came", idle.get());
}
