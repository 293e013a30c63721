//! Property tests over arbitrary settings: generated classes, windows, permissions and prices are passed in as JSON,
//! and the platform's rules must hold during a simulation of the balancer and of the dispatch facade. The random
//! numbers are the same in every run.

mod decisions;
mod facade;
mod plan;
mod referee;
mod seen;
mod text;
mod world;

use plan::Plan;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use seen::Seen;
use std::cell::RefCell;

const CASES: u32 = 320;
const STEPS: u32 = 400;
/// How often each case must occur over all simulations.
const MIN_OCCURRENCES: u32 = 30;

/// Runs all simulations and returns how often each case occurred.
fn play(life: fn(Plan, u32) -> Seen) -> Seen {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let all = RefCell::new(Seen::default());
    let played = runner.run(&plan::plan(), |plan| {
        all.borrow_mut().add(&life(plan, STEPS));
        Ok(())
    });
    played.unwrap_or_else(|e| panic!("{e}"));
    all.into_inner()
}

#[test]
fn rules_hold_for_the_decisions_under_any_settings() {
    let seen = play(decisions::life);
    assert!(seen.overdue > MIN_OCCURRENCES, "timeouts at the deadline: {seen:?}");
    seen.reaches(MIN_OCCURRENCES);
}

#[test]
fn rules_hold_for_the_facade_under_any_settings() {
    let seen = play(facade::life);
    assert_eq!(seen.overdue, 0, "answered at or after the deadline: {seen:?}");
    seen.reaches(MIN_OCCURRENCES);
}
