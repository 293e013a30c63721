//! The window of schema versions: example upgrades, and a property test over random orders of commands,
//! leases and delays.

use fleet::plan::{self, Budget, Plan};
use fleet::schema::capacity::{Shortfall, Usage, can_leave};
use fleet::schema::executors::{HeldVersion, MAX_EXECUTORS};
use fleet::schema::window::Window;
use fleet::schema::{Command, Schema};
use fleet::{Holder, Micros, StateMachine, incarnation};
use std::collections::{BTreeMap, BTreeSet};

#[path = "schema/world.rs"]
mod world;

const S: Micros = 1_000_000;

fn holder(peer: u8) -> Holder {
    Holder { incarnation: incarnation(peer, 1), term: 1 }
}

fn set_version(id: &str, version: u16, started: Micros) -> Command {
    Command::SetVersion(id.into(), version, started)
}

/// A fleet at version 7 with four executors. If `open`, the window is open to 8 and two executors hold 8.
fn fleet(open: bool, alive: &BTreeSet<Holder>) -> Schema {
    let mut s = Schema::default();
    s.apply(Command::Initialize(7, S), alive);
    (0..4).for_each(|n| assert!(s.apply(set_version(&format!("m{n}"), 7, 1), alive)));
    if open {
        assert!(s.apply(Command::Open(8, s.step()), alive));
        (0..2).for_each(|n| assert!(s.apply(set_version(&format!("m{n}"), 8, 2), alive)));
    }
    s
}

fn wait_for_linger(s: &mut Schema) {
    (1..=3).for_each(|n| assert!(s.sweep(n * S)));
}

// Upgrade from 7 to 8 with every command repeated, as after a leader failure. A holder that joins meanwhile
// must confirm, too, and a dispatcher without a lease does not delay the end.
#[test]
fn a_version_ends_once_every_holder_has_confirmed_and_no_sooner() {
    let mut alive: BTreeSet<Holder> = [holder(1), holder(2)].into();
    let mut s = fleet(true, &alive);
    let refused = s.accepts(&Command::Open(9, s.step())).unwrap_err();
    assert_eq!(refused, "an upgrade from 7 to 8 is under way, on its way on: one at a time");
    let close = Command::Close(s.step());
    assert!(s.apply(close.clone(), &alive) && !s.apply(close, &alive));
    assert_eq!(
        (s.starts(None), s.window().ending_version(), s.window().versions()),
        (vec![8], Some(7), vec![7, 8])
    );
    wait_for_linger(&mut s);
    assert_eq!(s.pending_confirmation(holder(1), |v| v == 7), None, "it has work in progress under 7");
    let confirmation = s.pending_confirmation(holder(1), |_| false).unwrap();
    assert!(s.apply(confirmation.clone(), &alive) && !s.apply(confirmation, &alive));
    alive = [holder(1), holder(3)].into();
    assert!(s.on_lease_change(&alive) && s.window().ending().unwrap().unconfirmed().contains(&holder(3)));
    assert!(!s.apply(Command::Confirm(holder(2), 7, s.step()), &alive), "the holder has no lease");
    assert!(
        !s.on_lease_change(&alive) && s.status().contains("waits for 1 holders and 0 ms"),
        "{}",
        s.status()
    );
    assert!(s.apply(s.pending_confirmation(holder(3), |_| false).unwrap(), &alive));
    assert_eq!(s.window(), &Window::Closed(8));
    assert!(
        s.accepts(&Command::Open(8, s.step())).is_err() && s.accepts(&Command::RollBack(s.step())).is_err()
    );
}

// A confirmation for an earlier step must not count in a later one, where it would end a version that is in
// use again.
#[test]
fn a_confirmation_counts_only_for_its_step() {
    let alive: BTreeSet<Holder> = [holder(1)].into();
    let mut s = fleet(true, &alive);
    let (first_rollback, early) = (Command::RollBack(s.step()), Command::Close(s.step()));
    assert!(s.apply(first_rollback.clone(), &alive) && !s.apply(early, &alive));
    let late = s.pending_confirmation(holder(1), |_| false).unwrap();
    wait_for_linger(&mut s);
    assert!(s.apply(late.clone(), &alive));
    assert_eq!(s.window(), &Window::Closed(7));
    assert!(s.apply(Command::Open(8, s.step()), &alive) && !s.apply(first_rollback, &alive));
    assert!(s.apply(Command::RollBack(s.step()), &alive));
    wait_for_linger(&mut s);
    assert!(!s.apply(late, &alive));
    assert_eq!(s.window().ending_version(), Some(8));
}

// Half of the executors hold 8 when the operator rolls back while the window is closing: 8 must end, and
// executors that return with 7 serve again.
#[test]
fn a_rollback_while_closing_ends_at_the_old_version() {
    let alive: BTreeSet<Holder> = [holder(1), holder(2)].into();
    let mut s = fleet(true, &alive);
    assert!(s.apply(Command::Close(s.step()), &alive));
    assert!(s.apply(s.pending_confirmation(holder(1), |_| false).unwrap(), &alive));
    assert!(s.apply(Command::RollBack(s.step()), &alive));
    assert_eq!((s.starts(None), s.window().ending_version()), (vec![7], Some(8)));
    wait_for_linger(&mut s);
    assert!(s.apply(s.pending_confirmation(holder(1), |_| false).unwrap(), &alive));
    assert_eq!(s.window().ending_version(), Some(8), "a confirmation for 7 does not count for 8");
    assert!(s.apply(set_version("m0", 7, 3), &alive));
    assert!(s.apply(s.pending_confirmation(holder(2), |_| false).unwrap(), &alive));
    assert_eq!(s.window(), &Window::Closed(7));
    assert_eq!((s.executors().version("m0"), s.executors().version("m1")), (Some(7), Some(8)));
}

// A dispatcher that is cut off must start nothing under a version that may have ended: never under the ending
// version, and with an open window under none once the fleet could have ended either. A jump of a leader's
// clock must not shorten the wait.
#[test]
fn a_dispatcher_that_is_cut_off_stops_before_a_version_can_end() {
    let alive: BTreeSet<Holder> = [holder(1)].into();
    let mut s = fleet(true, &alive);
    assert_eq!((s.starts(Some(S / 2 - 1)), s.starts(Some(S / 2))), (vec![7, 8], vec![]));
    s.apply(Command::Close(s.step()), &alive);
    assert_eq!((s.starts(Some(0)), s.starts(Some(S))), (vec![8], vec![]));
    assert!(s.apply(s.pending_confirmation(holder(1), |_| false).unwrap(), &alive));
    assert!(
        [50, 0, 90, 91].map(|at| s.sweep(at * S / 2)) == [true; 4] && s.window().ending_version() == Some(7)
    );
    assert!(s.sweep(46 * S) && s.window() == &Window::Closed(8));
    assert_eq!(s.starts(Some(900 * S)), [8]);
}

// An executor that comes back with the wrong version must not serve until the dispute is resolved, and a late
// report about a former process must change nothing.
#[test]
fn contradicting_versions_of_an_executor_are_disputed_until_resolved() {
    let alive = BTreeSet::new();
    let mut s = fleet(true, &alive);
    let reports = |v, at| Command::ReportVersion("m0".into(), v, at);
    assert!(
        !s.apply(reports(8, 2), &alive) && !s.apply(reports(7, 1), &alive) && s.apply(reports(7, 2), &alive)
    );
    assert_eq!(s.executors().held("m0"), Some(HeldVersion::Disputed { configured: 8, reported: 7 }));
    assert_eq!((s.executors().version("m0"), s.apply(reports(8, 2), &alive)), (None, false));
    assert!(s.status().contains("1 disputed: m0 (told 8, says 7)"), "{}", s.status());
    assert!(!s.apply(Command::ResolveDispute("m0".into(), 7, 1), &alive));
    assert!(s.apply(Command::ResolveDispute("m0".into(), 7, 2), &alive));
    assert_eq!(s.executors().version("m0"), Some(7));
    assert!(
        s.apply(reports(9, 5), &alive) && s.apply(set_version("m0", 8, 6), &alive),
        "a new process resolves the dispute"
    );
    assert_eq!(s.executors().version("m0"), Some(8));
    assert!(s.apply(set_version("m0", 7, 6), &alive), "two lists disagree about one process");
    assert_eq!(s.executors().version("m0"), None);
    assert!(
        !s.apply(Command::Remove("m0".into(), 5), &alive) && s.apply(Command::Remove("m0".into(), 6), &alive)
    );
}

// The state is part of every snapshot, so an endless list of executors must not make it grow without bound.
#[test]
fn the_number_of_known_executors_is_bounded() {
    let (mut s, alive) = (fleet(false, &BTreeSet::new()), BTreeSet::new());
    let accepted =
        (0..MAX_EXECUTORS).filter(|n| s.apply(set_version(&format!("x{n}"), 7, 1), &alive)).count();
    assert_eq!((accepted, s.executors().len()), (MAX_EXECUTORS - 4, MAX_EXECUTORS));
    assert!(
        s.apply(Command::Remove("x0".into(), 1), &alive)
            && !s.apply(set_version(&"y".repeat(200), 7, 1), &alive)
    );
}

// Taking out the next executor too early would leave clients that support only one version short of capacity.
#[test]
fn an_executor_stays_while_a_version_would_be_short_without_it() {
    let alive = BTreeSet::new();
    let s = fleet(true, &alive);
    let executor = |_| plan::ExecutorInfo { zone: 0, cores: 8.0, up: true, started: 0 };
    let executors: BTreeMap<String, _> = (0..4).map(|n| (format!("m{n}"), executor(n))).collect();
    let budget =
        Budget { min_executors: 1, headroom: 1.25, at_once: 1, drain_limit: S, out_limit: S, ramp: S };
    let both = ((7, 8), Usage { busy: 12.0, sessions: 9 });
    let check = |id: &str, plan: &Plan, old: f64, more: Usage| {
        let demand = [((1, 7), Usage { busy: old, sessions: 1 }), ((8, 8), more), both].into();
        can_leave(id, &s, plan, &executors, &demand, &budget)
    };
    let (none, mut plan) = (Usage::default(), Plan::default());
    assert_eq!(check("m3", &plan, 6.4, none), Ok(()));
    let short = check("m3", &plan, 6.5, none).unwrap_err();
    assert_eq!(short.to_string(), "m3: schema 7 would be left 8.0 of the 8.1 cores needed");
    let all = Shortfall::Cores { id: "m0".into(), range: (7, 8), left: 24.0, needed: 26.25 };
    assert_eq!(check("m0", &plan, 5.0, Usage { busy: 4.0, sessions: 1 }), Err(all));
    plan.apply(plan::Command::Add(vec!["m0".into()]), &BTreeSet::new());
    plan.apply(plan::Command::StartDrain("m0".into(), 1, 1), &BTreeSet::new());
    let idle = Usage { busy: 0.0, sessions: 3 };
    assert_eq!(
        check("m1", &plan, 0.0, idle),
        Err(Shortfall::NoExecutor { id: "m1".into(), range: (8, 8), sessions: 3 })
    );
}
