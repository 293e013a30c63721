//! The time limit sent to an executor: at most the time the client still waits, plus 0.15 s of slack.

use super::*;
use std::time::{Duration, Instant};

/// Total time the client waits, and by how much the forwarded time limit may exceed what is left of it.
const BUDGET_MS: u128 = 15_000;
const SLACK_MS: u128 = 150;

/// Asserts that the time limit in a PULL is at most what is left of a request sent at `asked`.
fn assert_within_remaining_time(pull: &[String], asked: Instant) {
    let passed_on = pull[2].split(',').find_map(|f| f.strip_prefix("ms=")).expect("a time");
    let passed_on: u128 = passed_on.parse().expect("milliseconds");
    let left = BUDGET_MS - asked.elapsed().as_millis();
    assert!(passed_on <= left + SLACK_MS, "{passed_on} ms passed on, {left} ms left");
}

// A request is read at the beginning of a long turn and sent at its end. The forwarded time limit used to be
// too long by the duration of that turn.
#[test]
fn deducts_the_turn_that_read_the_request() {
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
    assert_within_remaining_time(&pull, asked.expect("asked"));
    answer(&mut peer, &pull);
    assert_eq!(client.got(), row());
}

// A client is not read for a while after errors. A request that it sends during the pause must have the pause
// deducted from its budget.
#[test]
fn deducts_the_pause_after_an_error() {
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
    assert_within_remaining_time(&pull, asked);
    answer(&mut peer, &pull);
    assert_eq!(client.got(), row());
}

// A request arrives during one turn, and the next turn spends a long time on other work before reading it:
// that time must be deducted too.
#[test]
fn deducts_work_done_before_the_read() {
    let executor = Executor::new();
    let (dispatcher, _coordinator) = dispatcher(0.1, &[&executor]);
    let mut peer = with_idle_connection(&dispatcher, &executor);
    let mut client = logged_in_client(&dispatcher);
    let turn = LongTurn::begin(&dispatcher, || ());
    let next = turn.block_next(&dispatcher);
    let asked = Instant::now();
    client.ask(&request("read", 0xa1, ""));
    arrived(&client.stream);
    turn.end_after(Duration::from_millis(50));
    next.end_after(Duration::from_millis(1_100));
    let pull = peer.command().expect("a pull");
    assert_within_remaining_time(&pull, asked);
    answer(&mut peer, &pull);
    assert_eq!(client.got(), row());
}

// The same on a connection that is not accepted yet, with its login ahead of the request.
#[test]
fn deducts_work_done_before_the_accept() {
    let executor = Executor::new();
    let (dispatcher, _coordinator) = dispatcher(0.1, &[&executor]);
    let mut peer = with_idle_connection(&dispatcher, &executor);
    let turn = LongTurn::begin(&dispatcher, || ());
    let next = turn.block_next(&dispatcher);
    let asked = Instant::now();
    let client = Client::writes(dispatcher.address, &request("read", 0xa1, ""));
    arrived(&client.stream);
    turn.end_after(Duration::from_millis(50));
    next.end_after(Duration::from_millis(1_100));
    let pull = peer.command().expect("a pull");
    assert_within_remaining_time(&pull, asked);
}
