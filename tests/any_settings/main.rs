//! Settings of customers that nobody here has seen: classes, windows, permissions and prices of every kind go
//! in as JSON text, and the platform's rules have to hold through a short life, of the decisions and of the
//! facade over them. The draws are the same at every run.

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
/// How often each case has to come up in all.
const LEAST: u32 = 30;

/// Plays lives; what they met in all.
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
    assert!(seen.overdue > LEAST, "time-outs at the deadline: {seen:?}");
    seen.reaches(LEAST);
}

#[test]
fn rules_hold_for_the_facade_under_any_settings() {
    let seen = play(facade::life);
    assert_eq!(seen.overdue, 0, "answered when the client is about to leave: {seen:?}");
    seen.reaches(LEAST);
}
