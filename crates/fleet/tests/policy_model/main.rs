//! Model check of a policy change: every order of events at three dispatchers, within bounds. The agreed
//! state, the leases and each dispatcher's participant are the real ones; docs/policy-model.md lists what the
//! model leaves out.

mod dispatcher;
mod model;
mod properties;
mod view;
mod world;

use model::{Bounds, Checks, Defect};
use stateright::{Checker, HasDiscoveries, Model};
use std::collections::BTreeSet;
use std::time::Instant;

/// Bounds on proposals, aborts, sweeps, crashes, and leases that expire by their holder's clock.
const fn at_most([proposals, aborts, sweeps, crashes, lease_expiries]: [u8; 5]) -> Bounds {
    Bounds { proposals, aborts, sweeps, crashes, lease_expiries }
}

fn without_faults(bounds: Bounds) -> Checks {
    Checks {
        defect: Defect::None,
        bounds,
        first_affected: 2,
        faulty: None,
        reached: properties::reachable_without_faults(),
    }
}

fn with_a_fault(bounds: Bounds) -> Checks {
    Checks {
        first_affected: 1,
        faulty: Some((3, 1)),
        reached: properties::reachable_with_a_fault(),
        ..without_faults(bounds)
    }
}

/// Explores all states within each of the bounds and asserts that every required state is reached within some
/// of them.
fn check_all(all: &[Checks]) {
    let mut reached = BTreeSet::new();
    for checks in all {
        let (start, bounds) = (Instant::now(), checks.bounds);
        let threads = std::thread::available_parallelism().map_or(1, |n| n.get().min(4));
        let checker = checks.clone().checker().threads(threads).spawn_bfs().join();
        let case = if checks.faulty.is_some() { "one dispatcher finds a fault" } else { "no faults" };
        let (unique, steps, depth) =
            (checker.unique_state_count(), checker.state_count(), checker.max_depth());
        let seconds = start.elapsed().as_secs_f64();
        println!("{case}: {unique} states, {steps} steps, depth {depth}, {seconds:.1} s: {bounds:?}");
        assert!(checker.is_done(), "every state was checked");
        properties::always().iter().for_each(|p| checker.assert_no_discovery(p.name));
        reached.extend(checker.discoveries().into_keys());
    }
    let wanted = all.iter().flat_map(|c| &c.reached).map(|p| p.name);
    let missed: Vec<&str> = wanted.filter(|name| !reached.contains(name)).collect();
    assert!(missed.is_empty(), "never reached: {missed:?}");
}

/// Finds a shortest path to a violation of the property.
fn finds_violation(defect: Defect, property: &'static str, base: Checks) {
    let start = Instant::now();
    let checks = Checks { defect, reached: Vec::new(), ..base };
    let only = HasDiscoveries::AnyOf([property].into());
    let checker = checks.checker().finish_when(only).spawn_bfs().join();
    let path = checker.assert_any_discovery(property).into_actions();
    let (states, seconds) = (checker.unique_state_count(), start.elapsed().as_secs_f64());
    println!(
        "{defect:?}: {property}: violated after {} steps, {states} states, {seconds:.1} s: {path:?}",
        path.len()
    );
}

// Guards against a change that is in force at one dispatcher while another still admits under the old policy,
// in an order of votes, lease expiries and requests that no example test covers.
#[test]
fn a_change_is_in_force_everywhere_or_nowhere() {
    check_all(&[[1, 0, 0, 0, 1], [2, 1, 0, 0, 0], [2, 0, 1, 0, 0]].map(|b| without_faults(at_most(b))));
}

// The same with a crash of a dispatcher at any moment; its submitted commands are lost or arrive late.
#[test]
fn a_crash_at_any_moment_leaves_no_two_policies() {
    check_all(&[Checks { reached: Vec::new(), ..without_faults(at_most([1, 0, 0, 1, 0])) }]);
}

// The same where one dispatcher cannot apply the first proposal: the change must not come into force over its
// vote, nor stay in force there after it was given up.
#[test]
fn a_change_that_one_cannot_apply_is_in_force_only_without_it() {
    check_all(&[[1, 0, 0, 0, 1], [2, 1, 0, 0, 0], [2, 0, 1, 0, 0]].map(|b| with_a_fault(at_most(b))));
}

// Combinations of the above beyond the bounds of the other tests.
#[test]
fn combined_faults_leave_no_two_policies() {
    check_all(
        &[[2, 1, 1, 0, 0], [1, 1, 0, 0, 1], [1, 0, 1, 0, 1]]
            .map(|b| Checks { reached: Vec::new(), ..without_faults(at_most(b)) }),
    );
    check_all(&[Checks { reached: Vec::new(), ..with_a_fault(at_most([1, 0, 0, 1, 0])) }]);
}

// Guards against a model that finds no fault in a wrong protocol: each defective variant must violate its
// property.
#[test]
fn defective_protocols_are_detected() {
    use properties::{NO_FAULT_OVERRULED, NO_OLDER_POLICY, SAME_POLICY};
    let [no_expiry, one_expiry] = [0, 1].map(|n| at_most([1, 0, 0, 0, n]));
    finds_violation(Defect::AdmitsWhileClosing, SAME_POLICY, without_faults(no_expiry));
    finds_violation(Defect::AdmitsWhileClosing, NO_OLDER_POLICY, without_faults(no_expiry));
    finds_violation(Defect::ExpiresEarly, SAME_POLICY, without_faults(no_expiry));
    finds_violation(Defect::ExpiresEarly, NO_OLDER_POLICY, without_faults(no_expiry));
    finds_violation(
        Defect::CountsVoters,
        NO_FAULT_OVERRULED,
        Checks { first_affected: 2, ..with_a_fault(one_expiry) },
    );
    finds_violation(Defect::CountsHoldersAtProposal, SAME_POLICY, without_faults(one_expiry));
}
