//! SIGTERM during long turns: every request that was read is answered before the exit.

use super::*;
use std::time::{Duration, Instant};

// Requests are read in a turn that lasts past the dispatcher's own time limit. They never started, and only
// their clients' sessions knew of them.
#[test]
fn unstarted_requests_are_rejected_at_shutdown() {
    let executor = Executor::new();
    let (mut dispatcher, _coordinator) = dispatcher(0.1, &[&executor]);
    let mut clients: Vec<Client> = (0..40).map(|_| logged_in_client(&dispatcher)).collect();
    let turn = LongTurn::begin(&dispatcher, || {
        dispatcher.signal("TERM");
        for (rid, client) in (0xa1..).zip(&mut clients) {
            client.ask(&request("load", rid, ""));
            arrived(&client.stream);
        }
    });
    // The longest deadline counts as 3 s: 0.4 s after it the dispatcher's time limit has passed.
    turn.end_after(Duration::from_millis(3_500));
    for client in &mut clients {
        match client.got() {
            Got::Error(1203, text) => assert!(text.contains("backoff="), "{text}"),
            got => panic!("expected a rejection, got {got:?}"),
        }
    }
    assert!(dispatcher.ends());
}

/// The platform kills the process no sooner than this after SIGTERM: the longest deadline counts as 3 s, plus
/// 0.7 s.
const PLATFORM_KILL_DELAY: Duration = Duration::from_millis(3_700);

// The platform counts from the arrival of the signal, however late it is processed.
#[test]
fn the_shutdown_starts_when_the_signal_arrived() {
    let executor = Executor::new();
    let (mut dispatcher, _coordinator) = dispatcher(0.1, &[&executor]);
    let mut client = logged_in_client(&dispatcher);
    client.ask(&request("load", 0xa1, ""));
    let mut hangs = executor.accept();
    assert_eq!(hangs.command().expect("a pull")[1], format!("{:016x}", 0xa1));
    let turn = LongTurn::begin(&dispatcher, || ());
    let signalled = Instant::now();
    dispatcher.signal("TERM");
    turn.end_after(Duration::from_millis(800));
    assert!(matches!(client.got(), Got::Error(1105, _)));
    assert!(signalled.elapsed() < PLATFORM_KILL_DELAY, "answered {:?} after the signal", signalled.elapsed());
    assert!(dispatcher.ends());
}

// While new requests are accepted, each is answered, however late the signal is processed.
#[test]
fn requests_after_a_late_signal_are_answered() {
    let executor = Executor::new();
    let (mut dispatcher, _coordinator) = dispatcher(0.1, &[&executor]);
    let mut early = logged_in_client(&dispatcher);
    let turn = LongTurn::begin(&dispatcher, || ());
    dispatcher.signal("TERM");
    // Longer than a started request would be given to complete.
    turn.end_after(Duration::from_millis(3_300));
    early.ask(&request("load", 0xa1, ""));
    let mut late = Client::asks(dispatcher.address, &request("load", 0xa2, ""));
    for client in [&mut early, &mut late] {
        assert!(matches!(client.got(), Got::Error(1203, _)), "rejected, as it never ran");
    }
    assert!(dispatcher.ends());
}
