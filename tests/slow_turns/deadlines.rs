//! The time that is passed on to an executor: no more than the client still waits, with 0.15 s of slack.

use super::*;
use std::time::{Duration, Instant};

/// What the client waits in all, and by how much more may be passed on than it has left.
const BUDGET_MS: u128 = 15_000;
const SLACK_MS: u128 = 150;

/// The time passed on with a pull is no more than is left of a request that was asked then.
fn within_what_is_left(pull: &[String], asked: Instant) {
    let passed_on = pull[2].split(',').find_map(|f| f.strip_prefix("ms=")).expect("a time");
    let passed_on: u128 = passed_on.parse().expect("milliseconds");
    let left = BUDGET_MS - asked.elapsed().as_millis();
    assert!(passed_on <= left + SLACK_MS, "{passed_on} ms passed on, {left} ms left");
}

// A request was read at the beginning of a turn that took long, and goes out at its end: the budget that is passed on was
// too long by that turn.
#[test]
fn counts_the_turn_that_it_was_read_in() {
    let executor = Executor::new();
    let (dispatcher, _coordinator) = dispatcher(0.1, &[&executor]);
    let mut peer = with_idle_connection(&dispatcher, &executor);
    let mut client = logged_in_client(&dispatcher);
    let mut asked = None;
    let turn = LongTurn::begin(&dispatcher, || {
        asked = Some(Instant::now());
        client.ask(&request("read", 0xa1, ""));
        arrived(&client.stream);
    });
    turn.end_after(Duration::from_millis(900));
    let pull = peer.command().expect("a pull");
    within_what_is_left(&pull, asked.expect("asked"));
    answer(&mut peer, &pull);
    assert_eq!(client.got(), row());
}

// A client is not read for a while after mistakes of its own. What it asked meanwhile has waited for that pause, and its
// budget has run.
#[test]
fn counts_the_pause_after_a_mistake() {
    let executor = Executor::new();
    let (dispatcher, _coordinator) = dispatcher(0.1, &[&executor]);
    let mut peer = with_idle_connection(&dispatcher, &executor);
    let mut client = logged_in_client(&dispatcher);
    for _ in 0..6 {
        client.ask("SELECT a FROM t");
        assert!(matches!(client.got(), Got::Error(1064, _)));
    }
    let asked = Instant::now();
    client.ask(&request("read", 0xa1, ""));
    let pull = peer.command().expect("a pull");
    within_what_is_left(&pull, asked);
    answer(&mut peer, &pull);
    assert_eq!(client.got(), row());
}

// A request came during one turn. The next turn did something else that took long before it read the request: that time
// counts as well.
#[test]
fn counts_what_the_turn_did_before_it_was_read() {
    let executor = Executor::new();
    let (dispatcher, _coordinator) = dispatcher(0.1, &[&executor]);
    let mut peer = with_idle_connection(&dispatcher, &executor);
    let mut client = logged_in_client(&dispatcher);
    let turn = LongTurn::begin(&dispatcher, || ());
    let next = turn.holds_up_the_next(&dispatcher);
    let asked = Instant::now();
    client.ask(&request("read", 0xa1, ""));
    arrived(&client.stream);
    turn.end_after(Duration::from_millis(50));
    next.end_after(Duration::from_millis(1_100));
    let pull = peer.command().expect("a pull");
    within_what_is_left(&pull, asked);
    answer(&mut peer, &pull);
    assert_eq!(client.got(), row());
}

// The same on a connection that nobody has accepted yet, with its login ahead of it.
#[test]
fn counts_what_the_turn_did_before_it_was_accepted() {
    let executor = Executor::new();
    let (dispatcher, _coordinator) = dispatcher(0.1, &[&executor]);
    let mut peer = with_idle_connection(&dispatcher, &executor);
    let turn = LongTurn::begin(&dispatcher, || ());
    let next = turn.holds_up_the_next(&dispatcher);
    let asked = Instant::now();
    let client = Client::writes(dispatcher.address, &request("read", 0xa1, ""));
    arrived(&client.stream);
    turn.end_after(Duration::from_millis(50));
    next.end_after(Duration::from_millis(1_100));
    let pull = peer.command().expect("a pull");
    within_what_is_left(&pull, asked);
}
