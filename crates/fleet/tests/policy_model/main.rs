//! Model check of a policy change: every order of events at three dispatchers, within bounds. The agreed
//! state, the leases and each dispatcher's participant are the real ones; docs/policy-model.md lists what the
//! model leaves out.

mod dispatcher;
mod model;
mod properties;
mod view;
mod world;

use model::{Bounds, Break, Checks};
use stateright::{Checker, HasDiscoveries, Model};
use std::collections::BTreeSet;
use std::time::Instant;

/// Bounds on proposals, aborts, sweeps, crashes, and leases that expire by their holder's clock.
const fn at_most([proposals, aborts, sweeps, crashes, ends]: [u8; 5]) -> Bounds {
    Bounds { proposals, aborts, sweeps, crashes, ends }
}

fn fit(bounds: Bounds) -> Checks {
    Checks {
        broken: Break::Nothing,
        bounds,
        befall: 2,
        faulty: None,
        reached: properties::reached_by_the_fit(),
    }
}

fn faulty(bounds: Bounds) -> Checks {
    Checks { befall: 1, faulty: Some((3, 1)), reached: properties::reached_by_the_faulty(), ..fit(bounds) }
}

/// Explores all states within each of the bounds and asserts that every required state is reached within some
/// of them.
fn hold(all: &[Checks]) {
    let mut reached = BTreeSet::new();
    for checks in all {
        let (begun, bounds) = (Instant::now(), checks.bounds);
        let threads = std::thread::available_parallelism().map_or(1, |n| n.get().min(4));
        let done = checks.clone().checker().threads(threads).spawn_bfs().join();
        let who = if checks.faulty.is_some() { "one has a fault to find" } else { "nobody has" };
        let (unique, steps, depth) = (done.unique_state_count(), done.state_count(), done.max_depth());
        let took = begun.elapsed().as_secs_f64();
        println!("{who}: {unique} states, {steps} steps, depth {depth}, {took:.1} s: {bounds:?}");
        assert!(done.is_done(), "every state was looked at");
        properties::always().iter().for_each(|p| done.assert_no_discovery(p.name));
        reached.extend(done.discoveries().into_keys());
    }
    let wanted = all.iter().flat_map(|c| &c.reached).map(|p| p.name);
    let missed: Vec<&str> = wanted.filter(|name| !reached.contains(name)).collect();
    assert!(missed.is_empty(), "never reached: {missed:?}");
}

/// Finds a shortest path to a violation of the property.
fn fails(broken: Break, property: &'static str, base: Checks) {
    let begun = Instant::now();
    let checks = Checks { broken, reached: Vec::new(), ..base };
    let only = HasDiscoveries::AnyOf([property].into());
    let done = checks.checker().finish_when(only).spawn_bfs().join();
    let way = done.assert_any_discovery(property).into_actions();
    let (states, took) = (done.unique_state_count(), begun.elapsed().as_secs_f64());
    println!(
        "{broken:?}: {property}: not so after {} steps, {states} states, {took:.1} s: {way:?}",
        way.len()
    );
}

// Guards against a change that is in force at one dispatcher while another still admits under the old policy,
// in an order of votes, lease expiries and requests that no example test covers.
#[test]
fn a_change_takes_hold_everywhere_or_nowhere() {
    hold(&[[1, 0, 0, 0, 1], [2, 1, 0, 0, 0], [2, 0, 1, 0, 0]].map(|b| fit(at_most(b))));
}

// The same with a crash of a dispatcher at any moment; its submitted commands are lost or arrive late.
#[test]
fn a_crash_at_any_moment_leaves_no_two_policies() {
    hold(&[Checks { reached: Vec::new(), ..fit(at_most([1, 0, 0, 1, 0])) }]);
}

// The same where one dispatcher cannot apply the first proposal: the change must not come into force over its
// vote, nor stay in force there after it was given up.
#[test]
fn a_change_that_one_cannot_do_takes_hold_only_without_it() {
    hold(&[[1, 0, 0, 0, 1], [2, 1, 0, 0, 0], [2, 0, 1, 0, 0]].map(|b| faulty(at_most(b))));
}

// Combinations of the above beyond the bounds of the other tests.
#[test]
fn combinations_of_what_may_go_wrong_leave_no_two_policies() {
    hold(
        &[[2, 1, 1, 0, 0], [1, 1, 0, 0, 1], [1, 0, 1, 0, 1]]
            .map(|b| Checks { reached: Vec::new(), ..fit(at_most(b)) }),
    );
    hold(&[Checks { reached: Vec::new(), ..faulty(at_most([1, 0, 0, 1, 0])) }]);
}

// Guards against a model that finds no fault in a wrong protocol: each broken variant must violate its
// property.
#[test]
fn wrong_protocols_are_found_out() {
    use properties::{ALL_ALIKE, ALL_FIT, NEVER_BACK};
    let [quiet, ends] = [0, 1].map(|n| at_most([1, 0, 0, 0, n]));
    fails(Break::AdmitsWhileClosing, ALL_ALIKE, fit(quiet));
    fails(Break::AdmitsWhileClosing, NEVER_BACK, fit(quiet));
    fails(Break::ExpiresEarly, ALL_ALIKE, fit(quiet));
    fails(Break::ExpiresEarly, NEVER_BACK, fit(quiet));
    fails(Break::CountsVoters, ALL_FIT, Checks { befall: 2, ..faulty(ends) });
    fails(Break::CountsThoseOfTheProposal, ALL_ALIKE, fit(ends));
}
