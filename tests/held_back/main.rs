//! Requests that their client held back before it wrote them, as the protocol has it space those of one key: its time has run
//! meanwhile. Real processes on loopback sockets.

use standins::executor::Executor;
use standins::scripted::*;
use std::time::Duration;

/// How long an executor takes for a load, and how often its client wants one: far more than can be run.
const WORK: Duration = Duration::from_millis(400);
const PACE: Duration = Duration::from_millis(100);
const REQUESTS: u64 = 30;
/// How long the client waits.
const BUDGET: Duration = Duration::from_secs(4);
/// Loads that can be run within the budget, one after the other, less the first that fills a line and the last that is cut.
const SERVED_AT_LEAST: usize = 6;

fn load(rid: u64) -> String {
    let (budget, work) = (BUDGET.as_millis(), WORK.as_millis());
    format!(
        "/* method=load,rid={rid:016x},budget={budget},est={work}.0,obj=00000000000000ee */ SELECT a FROM sales_7.t"
    )
}

/// A hot key's requests, at a dispatcher with one executor.
fn hot_key(spaces: bool) -> Vec<SpacedRequest> {
    let executor = Executor::new(|_| WORK).expect("an executor");
    let mut launch = Launch::new(env!("CARGO_BIN_EXE_ottercroft"), env!("CARGO_TARGET_TMPDIR"));
    let load_class = r#""effect":"non_idempotent""#;
    let settings = Quiet::default().json();
    assert!(settings.contains(load_class));
    launch.settings = settings.replace(load_class, &format!(r#"{load_class},"keepOrder":true"#));
    let (dispatcher, _coordinator) = launch.dispatcher(&[("e1", executor.address)]);
    let client = SpacedClient { dispatcher: dispatcher.address, budget: BUDGET, spaces };
    let rids: Vec<u64> = (0xa00..0xa00 + REQUESTS).collect();
    client.ask(PACE, &rids, load)
}

fn none_is_lost(requests: &[SpacedRequest]) {
    let lost: Vec<_> = requests.iter().filter(|r| r.ended == Ended::Lost).collect();
    assert!(lost.is_empty(), "{} of {} had no answer in time: {lost:#?}", lost.len(), requests.len());
    let served = requests.iter().filter(|r| matches!(r.ended, Ended::Answered(Got::Rows(_)))).count();
    assert!(served >= SERVED_AT_LEAST, "{served} served: {requests:#?}");
}

// The operators' incident of 2026-12-02: the line of a hot key is full, and what is in it was wanted seconds before it was
// written. The whole budget was counted from the read, so that answers came when the clients had gone.
#[test]
fn have_their_answer_before_their_client_goes() {
    none_is_lost(&hot_key(true));
}

// The same traffic, written when it is wanted: what it tells from the one above is the spacing alone.
#[test]
fn are_answered_in_time_where_nothing_is_held_back() {
    none_is_lost(&hot_key(false));
}
