//! Requests that their client delayed before sending, because the protocol requires it to space requests for
//! the same key: their time budgets have been running. Real processes on loopback sockets.

use standins::executor::Executor;
use standins::scripted::*;
use std::time::Duration;

/// Run time of a load, and the interval at which its client issues them: far more than can be run.
const RUN_TIME: Duration = Duration::from_millis(400);
const ISSUE_INTERVAL: Duration = Duration::from_millis(100);
const REQUESTS: u64 = 30;
/// Time budget of each request.
const BUDGET: Duration = Duration::from_secs(4);
/// Loads that can be run in sequence within the budget, except the first, which fills the queue, and the
/// last, which is cut off.
const MIN_SERVED: usize = 6;

fn load(rid: u64) -> String {
    let (budget, work) = (BUDGET.as_millis(), RUN_TIME.as_millis());
    format!(
        "/* method=load,rid={rid:016x},budget={budget},est={work}.0,obj=00000000000000ee */ SELECT a FROM sales_7.t"
    )
}

/// Sends a hot key's requests to a dispatcher with one executor.
fn send_hot_key_requests(spaces: bool) -> Vec<SpacedRequest> {
    let executor = Executor::new(|_| RUN_TIME).expect("an executor");
    let mut launch = Launch::new(env!("CARGO_BIN_EXE_ottercroft"), env!("CARGO_TARGET_TMPDIR"));
    let load_class = r#""effect":"non_idempotent""#;
    let settings = Quiet::default().json();
    assert!(settings.contains(load_class));
    launch.settings = settings.replace(load_class, &format!(r#"{load_class},"keepOrder":true"#));
    let (dispatcher, _coordinator) = launch.dispatcher(&[("e1", executor.address)]);
    let client = SpacedClient { dispatcher: dispatcher.address, budget: BUDGET, spaces };
    let rids: Vec<u64> = (0xa00..0xa00 + REQUESTS).collect();
    client.ask(ISSUE_INTERVAL, &rids, load)
}

fn assert_none_lost(requests: &[SpacedRequest]) {
    let lost: Vec<_> = requests.iter().filter(|r| r.ended == Ended::Lost).collect();
    assert!(lost.is_empty(), "{} of {} had no answer in time: {lost:#?}", lost.len(), requests.len());
    let served = requests.iter().filter(|r| matches!(r.ended, Ended::Answered(Got::Rows(_)))).count();
    assert!(served >= MIN_SERVED, "{served} served: {requests:#?}");
}

// Reproduces the operators' incident of 2026-12-02: the queue of a hot key is full, and its requests were
// issued seconds before they were written. The full budget used to be counted from the read, so that answers
// came after the clients had left.
#[test]
fn delayed_requests_are_answered_before_their_client_leaves() {
    assert_none_lost(&send_hot_key_requests(true));
}

// The same traffic, sent as soon as it is issued; the spacing is the only difference from the test above.
#[test]
fn undelayed_requests_are_answered_in_time() {
    assert_none_lost(&send_hot_key_requests(false));
}
