//! Checks the work that all dispatchers together send to an executor in slow start: in any window of the configured
//! length, at any time of the ramp, at most N + 2 x sqrt(N) + 2 requests of mean work. The budget N is the overload
//! factor x current capacity x window / mean work of a request, with the capacity at the beginning of the window.
//!
//! Each dispatcher has its own balancer with its own fixed seed; they do not communicate. Run with `--nocapture` for
//! the table in docs/large-fleet.md.

#[path = "../common/mod.rs"]
mod common;
mod count;
mod dispatcher;
mod scene;
mod settings_drawn;

use common::{MS, S};
use count::WindowStats;
use ottercroft::api::Micros;
use scene::Scenario;

/// Simulates a scenario with a number of seeds, prints its row of the table and checks the bounds. On average at least
/// the fraction `min_mean` of N has to be sent, as an upper bound proves nothing if nothing is sent.
fn assert_bounds(name: &str, scenario: &Scenario, seeds: u64, min_mean: f64) {
    let mut stats = WindowStats::default();
    (0..seeds).for_each(|seed| stats.add(&scenario.rule, scenario.duration, &scenario.simulate(seed)));
    println!("{}", stats.row(name, scenario.dispatchers));
    assert!(
        stats.mean() >= min_mean,
        "{name}: {} of N on average, the executor is nearly idle",
        stats.mean()
    );
    assert!(stats.excess <= 0.0, "{name}: {:.1} requests beyond N + 2 x sqrt(N) + 2", stats.excess);
    assert!(
        !stats.violated,
        "{name}: the executor fails, with two thirds of the work from notified dispatchers"
    );
}

/// Checks all scenarios for one fleet size, with the number of seeds and the duration of the busy scenarios.
fn check_fleet(dispatchers: u32, seeds: u64, duration: Micros) {
    let busy = Scenario { duration, ..Scenario::busy(dispatchers) };
    assert_bounds("busy", &busy, seeds, 0.1);
    // Restarted dispatchers learn of an executor in slow start from their first endpoint list.
    assert_bounds("started anew", &Scenario { restarted_fraction: 1.0, ..busy }, seeds, 0.1);
    assert_bounds("notified late", &Scenario::notified_late(dispatchers), seeds, 0.01);
    assert_bounds("woken", &Scenario::burst_after_quiet(dispatchers), seeds.min(4), 0.01);
}

const RAMP: Micros = 14 * S;

#[test]
fn one() {
    check_fleet(1, 12, RAMP);
}

#[test]
fn two() {
    check_fleet(2, 12, RAMP);
}

#[test]
fn three() {
    check_fleet(3, 12, RAMP);
}

#[test]
fn twenty() {
    check_fleet(20, 6, RAMP);
}

#[test]
fn thirty() {
    check_fleet(30, 4, RAMP);
}

#[test]
fn sixty() {
    check_fleet(60, 2, RAMP);
}

#[test]
fn three_hundred() {
    check_fleet(300, 1, RAMP / 2);
}

// In a long list, each dispatcher considers only a sample. The tokens that many dispatchers save up for an executor
// that they rarely sample must not be spent at the same time.
#[test]
fn three_hundred_with_a_long_list() {
    let busy = Scenario::busy(300);
    let rule = count::Rule { warming_executors: 200, ..busy.rule };
    let long_list = Scenario { rule, warm_executors: 200, duration: 4_500 * MS, rate: 50.0, ..busy };
    assert_bounds("long list", &long_list, 1, 0.05);
}

#[test]
fn a_thousand() {
    check_fleet(1000, 1, 4_500 * MS);
}
