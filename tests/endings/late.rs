//! Attempts that are no longer allowed once their connection is established.

use super::*;
use std::time::Instant;

/// Whether the executor receives a PULL before the client has its answer.
fn receives_pull(executor: &Executor, client: &Client) -> bool {
    let (mut peers, mut came) = (Vec::new(), false);
    awaited("an answer or a pull", || {
        peers.extend(executor.accepts());
        came = peers.iter_mut().any(|peer| peer.came().iter().any(|c| c[0] == "PULL"));
        client.stream.set_nonblocking(true).unwrap();
        let answered = client.stream.peek(&mut [0]).is_ok();
        client.stream.set_nonblocking(false).unwrap();
        came || answered
    });
    came
}

// A keyed request is repeated within its deduplication window, but its connection is established only
// afterwards. By then executors no longer drop repeats, so sending it would run it twice.
#[test]
fn a_retry_is_not_sent_after_the_deduplication_window() {
    let executor = Executor::new();
    let settings = Quiet { dedup_window: 0.9, ..Quiet::default() };
    let (dispatcher, _coordinator) = launch(&settings).dispatcher(&[("e1", executor.address)]);
    let mut client = Client::asks(dispatcher.address, &long_request("keyed", 1));
    let mut peer = executor.accept();
    expect_pull(&mut peer, 1);
    let read = Instant::now();
    let filler = executor.narrows();
    peer.resets();
    dialed(executor.address, 1);
    executor.widens(filler);
    // The kernel retransmits SYN after one second at the earliest.
    let came = receives_pull(&executor, &client);
    assert!(!came, "sent again {:?} after it was read, in a window of 0.9 s", read.elapsed());
    assert!(matches!(client.got(), Got::Error(..)));
}

// A further attempt was within the retry budget when it was decided, because of a request that has left the
// budget's time span by the time the connection is established. Sending it then would exceed the budget.
#[test]
fn a_retry_is_not_sent_beyond_the_retry_budget() {
    let executor = Executor::new();
    let settings = Quiet { free_resends: 0.0, further_ratio: 1.0, ratio_span: 0.9, ..Quiet::default() };
    let (dispatcher, _coordinator) = launch(&settings).dispatcher(&[("e1", executor.address)]);
    let mut client = Client::asks(dispatcher.address, &long_request("read", 1));
    let mut peer = executor.accept();
    let pull = expect_pull(&mut peer, 1);
    let read = Instant::now();
    let filler = executor.narrows();
    peer.page(&pull, "ERR -", "");
    dialed(executor.address, 1);
    executor.widens(filler);
    let came = receives_pull(&executor, &client);
    assert!(!came, "sent again {:?} after the only request, in a span of 0.9 s", read.elapsed());
    assert!(matches!(client.got(), Got::Error(..)));
}

// A load whose connection is not established before its deadline was never written: the client must be told
// that a retry is safe, not that the load may have run. The same applies at shutdown.
#[test]
fn an_unwritten_load_is_rejected_not_failed() {
    for sigterm in [false, true] {
        let executor = Executor::new();
        let _filler = executor.narrows();
        let (mut dispatcher, _coordinator) =
            launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
        let budget = if sigterm { 15_000 } else { 1_500 };
        let mut client = Client::asks(dispatcher.address, &request("load", 1, budget, 1_000));
        dialed(executor.address, 1);
        if sigterm {
            dispatcher.signal("TERM");
        }
        let got = client.got();
        assert!(matches!(got, Got::Error(1203, _)), "{got:?} with SIGTERM {sigterm}");
        assert!(!sigterm || dispatcher.ends());
    }
}
