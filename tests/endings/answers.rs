//! Answers that are malformed, incomplete or late.

use super::*;
use std::time::Duration;

// An answer that hangs halfway closes its connection if the deadline is long. Every request on that
// connection must end exactly once, idempotent ones are served elsewhere, and other connections are
// unaffected.
#[test]
fn a_hanging_answer_ends_each_request_on_its_connection_once() {
    let executor = Executor::new();
    let mut launch = launch(&Quiet::default());
    // Few enough descriptors that only eight executor connections are opened and two requests share each.
    launch.sockets = 64;
    let (d, _coordinator) = launch.dispatcher(&[("e1", executor.address)]);
    let mut reads: Vec<_> = (1..=8).map(|n| Client::asks(d.address, &long_request("read", n))).collect();
    let mut peers: Vec<_> = reads.iter().map(|_| executor.accept()).collect();
    let read_ids: Vec<_> = peers.iter_mut().map(|peer| peer.command().unwrap()[1].clone()).collect();
    let mut loads: Vec<_> = (11..=18).map(|n| Client::asks(d.address, &long_request("load", n))).collect();
    let load_ids: Vec<_> = peers.iter_mut().map(|peer| peer.command().unwrap()[1].clone()).collect();
    let number = |id: &str| u64::from_str_radix(id, 16).unwrap() as usize;
    let (read, load) = (number(&read_ids[0]) - 1, number(&load_ids[0]) - 11);
    peers[0].say(&format!("{} OK pages=1 6\r\n1\t", read_ids[0]));
    assert_error(&mut loads[load], 1105);
    assert!(peers[0].command().is_none(), "its connection is closed");
    let mut again = executor.accept();
    let pull = expect_pull(&mut again, read as u64 + 1);
    again.page(&pull, "OK pages=1", ROW);
    assert_served(&mut reads[read], ROW);
    for (n, peer) in peers.iter_mut().enumerate().skip(1) {
        peer.page(&read_ids[n], "OK pages=1", ROW);
        peer.page(&load_ids[n], "OK pages=1", "2\tx\ty\n");
        assert_served(&mut reads[number(&read_ids[n]) - 1], ROW);
        assert_served(&mut loads[number(&load_ids[n]) - 11], "2\tx\ty\n");
    }
    assert!(executor.came().is_empty());
}

/// Malformed answers, without the leading id. A trailing `.` means that the executor closes the connection
/// right after it.
const MALFORMED: [&str; 9] = [
    "OK pages=1 6\r\n1\t.",
    "OK pages=1 6\r\n1\tx\ty\nZZ",
    "OK pages=1 3000000000\r\n1\tx\ty\n",
    "OK pages=1 -6\r\n1\tx\ty\n\r\n",
    "OK - 6\r\n1\tx\ty\n\r\n",
    "OK pages=1 4\r\n1\tx\n\r\n",
    "ROWS page=1 6\r\n1\tx\ty\n\r\n",
    "OK pages=2 6\r\n1\tx\ty\n\r\n.",
    "OK pages=1 0",
];

// A request with a malformed answer may have run: the answer is not forwarded, idempotent requests are sent
// again, and a load fails, once.
#[test]
fn a_malformed_answer_is_not_forwarded() {
    let runs: Vec<_> =
        CLASSES.map(|class| std::thread::spawn(move || check_malformed_answers(class))).into_iter().collect();
    runs.into_iter().for_each(|s| s.join().unwrap());
}

fn check_malformed_answers(class: &'static str) {
    let executor = Executor::new();
    let (d, _coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
    let mut client = Client::asks(d.address, "SET NAMES utf8mb4");
    assert_eq!(client.got(), Got::Ok);
    for (n, malformed) in (1..).zip(MALFORMED) {
        client.ask(&long_request(class, n));
        let mut peer = executor.accept();
        let pull = expect_pull(&mut peer, n);
        // An unterminated line is only rejected once it is too long.
        let tail = if malformed.contains('\r') { "" } else { &"9".repeat(1100) };
        peer.say(&format!("{pull} {}{tail}", malformed.trim_end_matches('.')));
        if !malformed.ends_with('.') {
            assert!(peer.command().is_none(), "{malformed:?} ends its connection");
        }
        drop(peer);
        if class == "load" {
            assert_error(&mut client, 1105);
        } else {
            let mut peer = executor.accept();
            let pull = expect_pull(&mut peer, n);
            peer.page(&pull, "OK pages=1", ROW);
            assert_served(&mut client, ROW);
            peer.resets();
        }
        assert!(executor.came().is_empty(), "{class} {malformed:?}");
    }
}

// An endless answer must not be buffered or waited for, and the client must get an error.
#[test]
fn an_answer_of_three_gigabytes_is_cut_off() {
    let executor = Executor::new();
    let (d, _coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
    let mut client = Client::asks(d.address, &long_request("load", 1));
    let mut peer = executor.accept();
    let pull = expect_pull(&mut peer, 1);
    peer.say(&format!("{pull} OK pages=1 3000000000\r\n"));
    // Sending fails because the dispatcher closes the connection, long before 3 GB are sent.
    let piece = "1\tx\ty\n".repeat(10_000);
    awaited("the end of its connection", || {
        use std::io::Write;
        peer.stream().write_all(piece.as_bytes()).is_err()
    });
    assert_error(&mut client, 1105);
}

// A duplicate answer arrives a few milliseconds later, while another request or none is outstanding on the
// connection. It must be ignored, whatever rows it contains.
#[test]
fn a_duplicate_answer_is_ignored() {
    let executor = Executor::new();
    let (d, _coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
    let mut client = Client::asks(d.address, &long_request("read", 1));
    let mut peer = executor.accept();
    for n in 1..=3 {
        let pull = expect_pull(&mut peer, n);
        if n > 1 {
            let old = format!("{:016x}", n - 1);
            peer.page(&old, "OK pages=1", "old\tx\ty\n");
            peer.page(&old, "ERR -", "");
            // An answer to a request that has not been sent yet must be ignored too.
            peer.page(&format!("{:016x}", n + 1), "OK pages=1", "ahead\tx\ty\n");
        }
        peer.page(&pull, "OK pages=1", ROW);
        assert_served(&mut client, ROW);
        peer.page(&pull, "OK pages=1", "old\tx\ty\n");
        client.ask(&long_request(CLASSES[n as usize - 1], n + 1));
    }
    let pull = expect_pull(&mut peer, 4);
    peer.page(&pull, "OK pages=1", ROW);
    assert_served(&mut client, ROW);
}

// A silent attempt is killed and its request sent again. The first attempt's answer, which arrives after
// KILL, is dropped, and the second one's is forwarded.
#[test]
fn an_answer_after_kill_is_dropped() {
    let executor = Executor::new();
    let (d, _coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
    let mut client = Client::asks(d.address, &request("read", 1, 15_000, 10));
    let mut first = executor.accept();
    let pull = expect_pull(&mut first, 1);
    assert_eq!(first.command().unwrap(), ["KILL", pull.as_str()]);
    let mut second = executor.accept();
    expect_pull(&mut second, 1);
    first.page(&pull, "OK pages=1", "late\tx\ty\n");
    // Once a later request is answered on this connection, the late answer has been read.
    let mut other = Client::asks(d.address, &long_request("load", 2));
    let next = expect_pull(&mut first, 2);
    first.page(&next, "OK pages=1", ROW);
    assert_served(&mut other, ROW);
    second.page(&pull, "OK pages=1", ROW);
    assert_served(&mut client, ROW);
}

// If pages stop arriving while the connection stays open, the request must end by the dispatcher's own
// deadline, before the client's: an idempotent request is rejected, a load fails.
#[test]
fn a_stalled_answer_ends_by_the_dispatchers_deadline() {
    let executor = Executor::new();
    let (d, _coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
    for (n, (class, number)) in (1..).zip([("read", 1203), ("load", 1105)]) {
        let mut client = Client::asks(d.address, &request(class, n, 1_500, 4_000));
        let mut peer = executor.accept();
        let pull = expect_pull(&mut peer, n);
        peer.page(&pull, "OK pages=3", ROW);
        assert_eq!(peer.command().unwrap(), ["SCROLL", pull.as_str(), "1"]);
        let from = std::time::Instant::now();
        assert_error(&mut client, number);
        assert!(from.elapsed() < Duration::from_secs(10), "answered before the client's deadline");
        let rest: Vec<_> = std::iter::from_fn(|| peer.command()).take(2).collect();
        assert!(rest.iter().all(|c| c[0] == "SCROLL" || c[0] == "DISCARD"), "{rest:?}");
        peer.resets();
    }
}

// A complete answer arrives, followed by a reset, while another request is written to the same connection
// because descriptors are scarce. The write fails, but the answer must still be delivered.
#[test]
fn a_complete_answer_is_delivered_although_a_write_fails() {
    let executor = Executor::new();
    let mut launch = launch(&Quiet::default());
    // Only eight executor connections are opened, so a ninth request shares the most recently active one.
    launch.sockets = 64;
    let (d, _coordinator) = launch.dispatcher(&[("e1", executor.address)]);
    let mut loads: Vec<_> = (1..=8).map(|n| Client::asks(d.address, &long_request("load", n))).collect();
    let mut peers: Vec<_> = loads.iter().map(|_| executor.accept()).collect();
    let ids: Vec<_> = peers.iter_mut().map(|peer| peer.command().unwrap()[1].clone()).collect();
    let mut ninth = Client::asks(d.address, "SET NAMES utf8mb4");
    assert_eq!(ninth.got(), Got::Ok);
    let (mut peer, id) = (peers.remove(0), &ids[0]);
    peer.say(&format!("{id} NOTE res=done,v=0.2 0\r\n\r\n"));
    arrived(peer.stream());
    d.stands_still();
    send_and_wait(&mut ninth, &long_request("load", 9));
    peer.page(id, "OK pages=1", ROW);
    arrived(peer.stream());
    peer.resets();
    d.goes_on();
    let mut again = executor.accept();
    let pull = expect_pull(&mut again, 9);
    again.page(&pull, "OK pages=1", ROW);
    assert_served(&mut ninth, ROW);
    assert_served(&mut loads[u64::from_str_radix(id, 16).unwrap() as usize - 1], ROW);
}
