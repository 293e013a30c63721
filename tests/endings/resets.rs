//! Connection resets before, while and after a request is read, for each effect; deduplication groups and
//! windows.

use super::*;
use std::time::Duration;

/// When the connection of a request is reset.
#[derive(Debug, Clone, Copy)]
enum ResetPoint {
    Unread,
    HalfRead,
    Read,
    /// After an intermediate NOTE and more than a second.
    LongAfter,
}

fn reset_connection(mut peer: Peer, at: ResetPoint, rid: u64) {
    match at {
        ResetPoint::Unread => peer.unread(),
        ResetPoint::HalfRead => {
            peer.unread();
            peer.bytes(9);
        }
        ResetPoint::Read => drop(expect_pull(&mut peer, rid)),
        ResetPoint::LongAfter => {
            let id = expect_pull(&mut peer, rid);
            peer.say(&format!("{id} NOTE res=done,v=0.2 0\r\n\r\n"));
            std::thread::sleep(Duration::from_millis(1300));
        }
    }
    peer.resets();
}

// A request that was written may have run, whenever its connection is reset: idempotent requests are sent
// again, a load never is, and each client gets one answer.
#[test]
fn a_reset_at_any_point_causes_no_second_run() {
    let runs: Vec<_> = [ResetPoint::Unread, ResetPoint::HalfRead, ResetPoint::Read, ResetPoint::LongAfter]
        .map(|at| std::thread::spawn(move || reset_at(at)))
        .into();
    runs.into_iter().for_each(|s| s.join().unwrap());
}

fn reset_at(at: ResetPoint) {
    for (n, class) in (1..).zip(CLASSES) {
        let executor = Executor::new();
        let (d, _coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
        let mut client = Client::asks(d.address, &long_request(class, n));
        reset_connection(executor.accept(), at, n);
        if class == "load" {
            assert_error(&mut client, 1105);
        } else {
            // Two resets in a row, which the attempt limit allows.
            reset_connection(executor.accept(), at, n);
            let mut peer = executor.accept();
            let pull = expect_pull(&mut peer, n);
            peer.page(&pull, "OK pages=1", ROW);
            assert_served(&mut client, ROW);
        }
        assert!(executor.came().is_empty(), "{class} {at:?}");
    }
}

// An idle connection is reset, not closed, before a request that was just read is written: no byte was sent,
// so even a load is sent again.
#[test]
fn an_unwritten_request_is_sent_again() {
    for (n, class) in (1..).zip(CLASSES) {
        let executor = Executor::new();
        let (d, _coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
        let mut client = Client::asks(d.address, &long_request("read", n));
        let mut peer = executor.accept();
        let pull = expect_pull(&mut peer, n);
        peer.page(&pull, "OK pages=1", ROW);
        assert_served(&mut client, ROW);
        d.stands_still();
        send_and_wait(&mut client, &long_request(class, n + 10));
        peer.resets();
        d.goes_on();
        let mut peer = executor.accept();
        let pull = expect_pull(&mut peer, n + 10);
        peer.page(&pull, "OK pages=1", ROW);
        assert_served(&mut client, ROW);
        assert!(executor.came().is_empty());
    }
}

// Executors of another cell do not drop repeats of a keyed request: once it may have run, it must stay in its
// cell.
#[test]
fn a_keyed_request_stays_in_its_group() {
    let executors = [0; 2].map(|_| Executor::new());
    let launch = launch(&Quiet { group: "cell", ..Quiet::default() });
    let coordinator = Coordinator::new();
    let targets = [0, 1].map(|n: usize| {
        let entry = target(&format!("e{n}"), executors[n].address, "up");
        entry.replace("\"pod_group\":0", &format!("\"pod_group\":{n}"))
    });
    let d = launch.serving(&launch.config_of(coordinator.address, &targets));
    for rid in 1..=6 {
        let mut client = Client::asks(d.address, &long_request("keyed", rid));
        let (first, mut peer) = Executor::any(&[&executors[0], &executors[1]]);
        expect_pull(&mut peer, rid);
        peer.resets();
        let (second, mut peer) = Executor::any(&[&executors[0], &executors[1]]);
        assert_eq!(second, first, "the other cell would run it again");
        let pull = expect_pull(&mut peer, rid);
        peer.page(&pull, "OK pages=1", ROW);
        assert_served(&mut client, ROW);
        // The next request must not reuse this idle connection.
        peer.resets();
    }
}

// Repeats are dropped only within the deduplication window: after it, a keyed request that may have run must
// not be sent again.
#[test]
fn a_keyed_request_is_not_repeated_after_its_window() {
    let executor = Executor::new();
    let settings = Quiet { dedup_window: 0.4, ..Quiet::default() };
    let (d, _coordinator) = launch(&settings).dispatcher(&[("e1", executor.address)]);
    let mut client = Client::asks(d.address, &long_request("keyed", 1));
    let mut peer = executor.accept();
    expect_pull(&mut peer, 1);
    std::thread::sleep(Duration::from_millis(500));
    peer.resets();
    assert!(matches!(client.got(), Got::Error(..)));
    assert_no_further_answer(&mut client);
    assert!(executor.came().is_empty());
}

// A connection is reset or closed as soon as it is established, before a byte is written: nothing has run,
// whatever the effect, and the request is sent on another connection.
#[test]
fn a_connection_that_closes_as_it_is_established() {
    for reset in [true, false] {
        let executor = Executor::new();
        let filler = executor.narrows();
        let (d, _coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
        let mut clients = [1, 2, 3].map(|n| Client::asks(d.address, &long_request(CLASSES[n - 1], n as u64)));
        dialed(executor.address, 3);
        d.stands_still();
        executor.widens(filler);
        let peers = [0; 3].map(|_| executor.accept());
        peers.into_iter().for_each(|peer| if reset { peer.resets() } else { peer.closes() });
        d.goes_on();
        let _peers = answer_requests(&executor, 3);
        clients.iter_mut().for_each(|client| assert_served(client, ROW));
        assert!(executor.came().is_empty());
    }
}

// A complete answer counts even if its connection is reset right after it.
#[test]
fn a_complete_answer_before_a_reset_is_delivered() {
    let executor = Executor::new();
    let (d, _coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
    for (n, class) in (1..).zip(CLASSES) {
        let mut client = Client::asks(d.address, &long_request(class, n));
        let mut peer = executor.accept();
        let pull = expect_pull(&mut peer, n);
        d.stands_still();
        peer.page(&pull, "OK pages=1", ROW);
        arrived(peer.stream());
        peer.resets();
        d.goes_on();
        assert_served(&mut client, ROW);
        assert!(executor.came().is_empty());
    }
}

// A class whose repeats are dropped only within a cell cannot be safely retried by the client. A keyed
// request of such a class that may have run must be failed, not rejected, whether its attempts are lost,
// hang, or SIGTERM arrives.
#[test]
fn a_keyed_request_that_may_have_run_in_its_group_fails() {
    for ends_by in ["resets", "its deadline", "SIGTERM"] {
        let executor = Executor::new();
        let launch = launch(&Quiet { group: "cell", ..Quiet::default() });
        let (mut d, _coordinator) = launch.dispatcher(&[("e1", executor.address)]);
        let budget = if ends_by == "its deadline" { 1_000 } else { 15_000 };
        let mut client = Client::asks(d.address, &request("keyed", 1, budget, 4_000));
        let mut peers = vec![executor.accept()];
        expect_pull(&mut peers[0], 1);
        match ends_by {
            "resets" => {
                for _ in 0..2 {
                    peers.pop().unwrap().resets();
                    peers.push(executor.accept());
                    expect_pull(&mut peers[0], 1);
                }
                peers.pop().unwrap().resets();
            }
            "SIGTERM" => d.signal("TERM"),
            _ => {}
        }
        let got = client.got();
        assert!(matches!(got, Got::Error(1105, _)), "{got:?} by {ends_by}");
        assert!(ends_by != "SIGTERM" || d.ends());
        assert!(executor.came().is_empty());
    }
}

// The entry of a removed executor may contain nothing but its uid and state. The cell in which its requests
// may have run is the one it was last listed in, and repeats must stay there.
#[test]
fn a_removed_executor_keeps_its_last_group() {
    let executors = [0; 2].map(|_| Executor::new());
    let launch = launch(&Quiet { group: "cell", ..Quiet::default() });
    let coordinator = Coordinator::new();
    let in_cell = |n: usize, state: &str| {
        let entry = target(&format!("e{n}"), executors[n].address, state);
        entry.replace("\"pod_group\":0", &format!("\"pod_group\":{n}"))
    };
    let config = launch.config_of(coordinator.address, &[in_cell(0, "draining"), in_cell(1, "up")]);
    let mut d = launch.serving(&config);
    let mut feed = accept_watch(&coordinator);
    let mut client = Client::asks(d.address, &request("keyed", 1, 3_000, 1_000));
    let mut peer = executors[1].accept();
    expect_pull(&mut peer, 1);
    let gone = String::from(r#"{"uid":"e1","state":"removed"}"#);
    writeln!(feed, "{}", event(2, false, &[in_cell(0, "up"), gone])).unwrap();
    d.logs("executor listed anew executor=\"e1\" state=Removed");
    peer.resets();
    let got = client.got();
    assert!(matches!(got, Got::Error(1105, _)), "{got:?}");
    assert!(executors[0].came().is_empty(), "the other cell would run it again");
}
