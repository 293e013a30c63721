//! Coordinator watches that go silent, break or move while executors drain or change addresses.

use super::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A dispatcher with two executors: e1 is up, and e2 is draining until an event changes that.
fn two_executors(launch: &Launch, coordinator: &Coordinator, at: &[Executor; 2]) -> Dispatcher {
    let targets = [target("e1", at[0].address, "up"), target("e2", at[1].address, "draining")];
    launch.serving(&launch.config_of(coordinator.address, &targets))
}

/// The event that swaps their states: e2 is up, e1 draining.
fn swap_event(index: u64, at: &[Executor; 2]) -> String {
    event(index, false, &[target("e2", at[1].address, "up"), target("e1", at[0].address, "draining")])
}

/// Asserts that requests of each effect go only to executor `to`.
fn assert_only_target(d: &Dispatcher, to: &Executor, other: &Executor, from: u64) {
    for (rid, class) in (from..).zip(CLASSES) {
        let mut client = Client::asks(d.address, &long_request(class, rid));
        let mut peer = to.accept();
        let pull = expect_pull(&mut peer, rid);
        peer.page(&pull, "OK pages=1", ROW);
        assert_served(&mut client, ROW);
        // Forces a new connection for the next request.
        peer.resets();
    }
    assert!(other.came().is_empty(), "no request goes to an executor that the list excludes");
}

// The watch goes silent without closing, and an executor starts to drain right after. The watch must be
// reopened from the last event, and no new request may go to that executor.
#[test]
fn a_silent_watch_is_reopened_and_the_drain_applied() {
    for heard in [true, false] {
        let at = [0; 2].map(|_| Executor::new());
        let coordinator = Coordinator::new();
        let mut d = two_executors(&launch(&Quiet::default()), &coordinator, &at);
        let (mut silent, line) = coordinator.accept();
        assert_eq!(line, "follow 1\n");
        if heard {
            writeln!(silent, "1").unwrap();
        }
        assert_only_target(&d, &at[0], &at[1], 1);
        let (mut feed, line) = coordinator.accept();
        assert_eq!(line, "follow 1\n");
        writeln!(feed, "{}", swap_event(2, &at)).unwrap();
        d.logs("executor listed anew executor=\"e1\" state=Draining");
        assert_eq!(silent.read(&mut [0; 9]).unwrap(), 0, "the silent watch is closed");
        assert_only_target(&d, &at[1], &at[0], 11);
    }
}

// A request waiting for a connection to an executor that starts to drain must be moved, not sent once the
// connection is up.
#[test]
fn a_request_waiting_for_a_draining_executor_is_moved() {
    let at = [0; 2].map(|_| Executor::new());
    let filler = at[0].narrows();
    let coordinator = Coordinator::new();
    let mut d = two_executors(&launch(&Quiet::default()), &coordinator, &at);
    let mut feed = accept_watch(&coordinator);
    let mut clients = [1, 2, 3].map(|n| Client::asks(d.address, &long_request(CLASSES[n - 1], n as u64)));
    dialed(at[0].address, 3);
    writeln!(feed, "{}", swap_event(2, &at)).unwrap();
    d.logs("executor listed anew executor=\"e1\" state=Draining");
    // Connections established from now on must carry nothing, even more than a second later.
    at[0].widens(filler);
    let _peers = answer_requests(&at[1], 3);
    clients.iter_mut().for_each(|client| assert_served(client, ROW));
    std::thread::sleep(Duration::from_millis(1200));
    assert!(at[0].came().is_empty());
}

// A connection is established and the drain announced at the same time. While nothing of the request has been
// written, it is taken back, and goes to one executor only.
#[test]
fn a_connection_established_as_its_executor_drains() {
    let at = [0; 2].map(|_| Executor::new());
    let filler = at[0].narrows();
    let coordinator = Coordinator::new();
    let d = two_executors(&launch(&Quiet::default()), &coordinator, &at);
    let mut feed = accept_watch(&coordinator);
    let mut client = Client::asks(d.address, &long_request("load", 1));
    dialed(at[0].address, 1);
    d.stands_still();
    feed.write_all(format!("{}\n", swap_event(2, &at)).as_bytes()).unwrap();
    arrived(&feed);
    at[0].widens(filler);
    // The kernel, not the process, completes the connection.
    let mut late = at[0].accept();
    d.goes_on();
    let (mut peer, pull) = next_pull(&at[1]);
    assert_eq!(pull[1], format!("{:016x}", 1));
    peer.page(&pull[1], "OK pages=1", ROW);
    assert_served(&mut client, ROW);
    assert!(late.came().is_empty());
}

// Discovery refuses connections for seconds, and announces a drain in its first line after returning.
#[test]
fn a_drain_announced_as_discovery_returns() {
    let at = [0; 2].map(|_| Executor::new());
    let (away, launch) = (Refusing::new(), launch(&Quiet::default()));
    let targets = [target("e1", at[0].address, "up"), target("e2", at[1].address, "draining")];
    let mut d = launch.serving(&launch.config_of(away.address, &targets));
    for _ in 0..4 {
        d.logs("feed: lost");
    }
    assert_only_target(&d, &at[0], &at[1], 1);
    let coordinator = away.coordinator();
    let (mut feed, line) = coordinator.accept();
    assert_eq!(line, "follow 1\n");
    writeln!(feed, "{}", swap_event(2, &at)).unwrap();
    d.logs("executor listed anew executor=\"e1\" state=Draining");
    assert_only_target(&d, &at[1], &at[0], 11);
}

// A connection that breaks in the middle of an event, also by a reset, leaves a partial line. It must be
// ignored, and the complete event applied once from the next watch, although it and its predecessor arrive
// twice.
#[test]
fn partial_and_duplicate_events_are_ignored() {
    for reset in [false, true] {
        let at = [0; 2].map(|_| Executor::new());
        let coordinator = Coordinator::new();
        let mut d = two_executors(&launch(&Quiet::default()), &coordinator, &at);
        let (mut broken, _) = coordinator.accept();
        let (first, second) =
            (swap_event(2, &at), event(3, false, &[target("e1", at[0].address, "removed")]));
        let half = &second[..second.len() / 2];
        broken.write_all(format!("{first}\n{half}").as_bytes()).unwrap();
        d.logs("executor listed anew executor=\"e1\" state=Draining");
        if reset {
            resets(broken);
        } else {
            drop(broken);
        }
        let (mut feed, line) = coordinator.accept();
        assert_eq!(line, "follow 2\n");
        // Applying event 2 after event 3 would restore e1.
        feed.write_all(format!("{second}\n{second}\n{first}\n3\n").as_bytes()).unwrap();
        d.logs("executor listed anew executor=\"e1\" state=Removed");
        assert_only_target(&d, &at[1], &at[0], 1);
        feed.write_all(
            format!("{}\n", event(4, false, &[target("e2", at[1].address, "draining")])).as_bytes(),
        )
        .unwrap();
        assert!(d.logs("executor listed anew").contains("e2"), "the duplicate events changed nothing");
    }
}

fn change_coordinator(d: &Dispatcher, from: &Coordinator, to: &Coordinator) {
    let config = d.config.replace(&format!("\"{}\"", from.address), &format!("\"{}\"", to.address));
    std::fs::write(&d.file, config).unwrap();
    d.signal("HUP");
}

// SIGHUP changes the coordinator while the old watch has delivered half a line, and the other half arrives
// together with the signal. The new watch must continue from the last complete event, without joining the
// halves.
#[test]
fn sighup_during_a_partial_line() {
    for (whole, held) in [(false, 1), (true, 2)] {
        let at = [0; 2].map(|_| Executor::new());
        let [old, new] = [0; 2].map(|_| Coordinator::new());
        let mut d = two_executors(&launch(&Quiet::default()), &old, &at);
        let (mut watch, _) = old.accept();
        let line = format!("{}\n", swap_event(2, &at));
        let (half, rest) = line.split_at(line.len() / 2);
        watch.write_all(half.as_bytes()).unwrap();
        arrived(&watch);
        d.stands_still();
        if whole {
            watch.write_all(rest.as_bytes()).unwrap();
            arrived(&watch);
        }
        change_coordinator(&d, &old, &new);
        d.goes_on();
        let (mut feed, asked): (TcpStream, String) = new.accept();
        // The signal may be read before the other half: then the event is requested again.
        assert!(asked == format!("follow {held}\n") || asked == "follow 1\n", "{asked}");
        feed.write_all(line.as_bytes()).unwrap();
        d.logs("executor listed anew executor=\"e1\" state=Draining");
        assert_only_target(&d, &at[1], &at[0], 1);
    }
}

// An address is reassigned to a new executor while an answer of the old one arrives. A request still waiting
// for a connection to the old one must be moved to the new one, not lost.
#[test]
fn an_address_is_reassigned_while_an_answer_arrives() {
    let executor = Executor::new();
    let (d, coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
    let mut feed = accept_watch(&coordinator);
    let mut answered = Client::asks(d.address, &long_request("load", 1));
    let mut old = executor.accept();
    let pull = expect_pull(&mut old, 1);
    let filler = executor.narrows();
    let mut waits = Client::asks(d.address, &long_request("load", 2));
    dialed(executor.address, 1);
    d.stands_still();
    old.page(&pull, "OK pages=1", ROW);
    arrived(old.stream());
    let news = [target("e2", executor.address, "up"), target("e1", executor.address, "removed")];
    feed.write_all(format!("{}\n", event(2, false, &news)).as_bytes()).unwrap();
    arrived(&feed);
    d.goes_on();
    assert_served(&mut answered, ROW);
    executor.widens(filler);
    let (mut peer, pull) = next_pull(&executor);
    assert_eq!(pull[1], format!("{:016x}", 2));
    peer.page(&pull[1], "OK pages=1", ROW);
    assert_served(&mut waits, ROW);
    assert!(executor.came().is_empty());
}

// A full list omits an executor while a request arrives: requests waiting for that executor are moved, the
// new request goes elsewhere, and outstanding requests are still answered.
#[test]
fn a_full_list_that_omits_an_executor() {
    let at = [0; 2].map(|_| Executor::new());
    let coordinator = Coordinator::new();
    let d = two_executors(&launch(&Quiet::default()), &coordinator, &at);
    let mut feed = accept_watch(&coordinator);
    let mut out = Client::asks(d.address, &long_request("load", 1));
    let mut old = at[0].accept();
    let pull = expect_pull(&mut old, 1);
    let filler = at[0].narrows();
    let mut waits = Client::asks(d.address, &long_request("load", 2));
    let mut next = Client::asks(d.address, "SET NAMES utf8mb4");
    assert_eq!(next.got(), Got::Ok);
    dialed(at[0].address, 1);
    d.stands_still();
    feed.write_all(format!("{}\n", event(2, true, &[target("e2", at[1].address, "up")])).as_bytes()).unwrap();
    arrived(&feed);
    send_and_wait(&mut next, &long_request("load", 3));
    d.goes_on();
    let _peers = answer_requests(&at[1], 2);
    assert_served(&mut waits, ROW);
    assert_served(&mut next, ROW);
    old.page(&pull, "OK pages=1", ROW);
    assert_served(&mut out, ROW);
    assert!(old.command().is_none(), "its connection is closed once nothing is outstanding");
    at[0].widens(filler);
    assert!(at[0].came().is_empty() && at[1].came().is_empty());
}
