//! The retry budget, with a small ratio and a short time span.

use super::*;
use std::time::{Duration, Instant};

/// Sends requests one after another to an executor that fails each attempt, and returns the number of
/// attempts of each.
fn count_attempts(
    d: &Dispatcher,
    executor: &Executor,
    class: &str,
    rids: std::ops::Range<u64>,
) -> Vec<usize> {
    let (mut each, mut peers) = (Vec::new(), Vec::new());
    for rid in rids {
        let mut client = Client::asks(d.address, &long_request(class, rid));
        let mut came = 0;
        awaited("an answer", || {
            peers.extend(executor.accepts());
            for peer in &mut peers {
                for pull in peer.came() {
                    assert_eq!((pull[0].as_str(), &pull[1]), ("PULL", &format!("{rid:016x}")));
                    came += 1;
                    peer.page(&pull[1], "ERR -", "");
                }
            }
            client.stream.set_nonblocking(true).unwrap();
            let answered = client.stream.peek(&mut [0]).is_ok();
            client.stream.set_nonblocking(false).unwrap();
            answered
        });
        assert!(matches!(client.got(), Got::Error(..)));
        assert_no_further_answer(&mut client);
        each.push(came);
    }
    // Idle connections are not reused.
    peers.into_iter().for_each(Peer::resets);
    each
}

// Over a long span, attempts beyond each request's first must stay within the budget earned by the requests
// so far. A failed load is never sent again.
#[test]
fn further_attempts_stay_within_the_retry_budget() {
    let executor = Executor::new();
    let settings = Quiet { free_resends: 1.0, further_ratio: 0.25, ratio_span: 60.0, ..Quiet::default() };
    let (d, _coordinator) = launch(&settings).dispatcher(&[("e1", executor.address)]);
    let mut further = 0;
    let each = count_attempts(&d, &executor, "read", 1..13);
    for (n, attempts) in (1..).zip(&each) {
        further += attempts - 1;
        assert!(further as f64 <= 1.0 + 0.25 * f64::from(n), "{each:?}");
    }
    assert_eq!(further, 4, "the retry budget is used up: {each:?}");
    assert_eq!(count_attempts(&d, &executor, "load", 13..17), [1; 4]);
}

// Over a short span the budget is replenished, but no more than once per span. Each attempt is counted no
// later than it is read here, so the dispatcher's span is never longer than the one measured here.
#[test]
fn the_retry_budget_is_replenished_once_per_span() {
    let executor = Executor::new();
    let settings = Quiet { free_resends: 2.0, further_ratio: 0.0, ratio_span: 0.6, ..Quiet::default() };
    let (d, _coordinator) = launch(&settings).dispatcher(&[("e1", executor.address)]);
    for round in 0..3 {
        let round_start = Instant::now();
        let each = count_attempts(&d, &executor, "read", 1 + round * 4..5 + round * 4);
        let further: usize = each.iter().map(|n| n - 1).sum();
        assert!(further >= 2, "{each:?}");
        let spans = round_start.elapsed().as_secs_f64() / 0.6;
        assert!(further <= 2 * (1 + spans as usize), "{each:?} in {spans} spans");
        std::thread::sleep(Duration::from_millis(700));
    }
}

// An attempt that was never sent, because its connection failed or was refused, is not a run, but retries of
// it count against the budget too: the request must end instead of being retried forever.
#[test]
fn refused_connections_count_against_the_retry_budget() {
    let refusing = Refusing::new();
    let settings = Quiet { free_resends: 1.0, further_ratio: 0.0, ratio_span: 60.0, ..Quiet::default() };
    let (mut d, _coordinator) = launch(&settings).dispatcher(&[("e1", refusing.address)]);
    for (n, class) in (1..).zip(CLASSES) {
        let mut client = Client::asks(d.address, &long_request(class, n));
        assert_error(&mut client, 1203);
    }
    d.signal("TERM");
    let line = d.logs("counters taken=3");
    let number = |name: &str| {
        let after = line.split(&format!(" {name}=")).nth(1).unwrap();
        after.split_whitespace().next().unwrap().parse::<u64>().unwrap()
    };
    assert!((3..=4).contains(&number("attempts")), "{line}");
    assert_eq!(number("attempts"), number("never_sent"), "{line}");
}
