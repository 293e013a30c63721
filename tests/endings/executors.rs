//! Executor connections that are established late or never, close while idle, or lead to a replaced process.

use super::*;
use std::io::Write;

// A connection that is established late must carry its request exactly once; it used to lead to an abandoned
// dial or a request sent twice.
#[test]
fn a_late_connection_carries_its_request_once() {
    let executor = Executor::new();
    let filler = executor.narrows();
    let (d, _coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
    let mut clients = [1, 2, 3].map(|n| Client::asks(d.address, &long_request(CLASSES[n - 1], n as u64)));
    dialed(executor.address, 3);
    executor.widens(filler);
    let mut peers = answer_requests(&executor, 3);
    clients.iter_mut().for_each(|client| assert_served(client, ROW));
    assert!(peers.iter_mut().all(|peer| peer.came().is_empty()) && executor.came().is_empty());
}

// A request whose connection is never established has not run, whatever its effect: it is moved to another
// executor, or rejected (not failed) if there is none.
#[test]
fn a_request_without_a_connection_is_moved_or_rejected() {
    let [dead, other] = [0; 2].map(|_| Executor::new());
    let _filler = dead.narrows();
    let launch = launch(&Quiet { dial_timeout: 2.0, ..Quiet::default() });
    let feed = standins::feed::Feed::at("127.0.0.1:0", 1).unwrap();
    let targets = [target("e1", dead.address, "up"), target("e2", other.address, "draining")];
    let mut d = launch.serving(&launch.config_of(feed.address, &targets));
    let mut clients = [1, 2, 3].map(|n| Client::asks(d.address, &long_request(CLASSES[n - 1], n as u64)));
    dialed(dead.address, 3);
    feed.tell(false, &[target("e2", other.address, "up")]);
    d.logs("executor listed anew executor=\"e2\" state=Up");
    let _peers = answer_requests(&other, 3);
    clients.iter_mut().for_each(|client| assert_served(client, ROW));
    feed.tell(false, &[target("e2", other.address, "removed")]);
    d.logs("executor listed anew executor=\"e2\" state=Removed");
    for (n, client) in (11..).zip(&mut clients) {
        client.ask(&long_request(CLASSES[n as usize - 11], n));
    }
    clients.iter_mut().for_each(|client| assert_error(client, 1203));
    assert!(other.came().is_empty());
}

// An idle connection that the executor closed before a request arrives must not be used for it, whatever its
// effect. Both events are read in the same turn.
#[test]
fn a_connection_closed_before_the_request_is_not_used() {
    let executor = Executor::new();
    let (d, _coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
    for (n, class) in (1..).zip(CLASSES) {
        let mut client = Client::asks(d.address, &long_request("read", n));
        let mut peer = executor.accept();
        let pull = expect_pull(&mut peer, n);
        peer.page(&pull, "OK pages=1", ROW);
        assert_served(&mut client, ROW);
        d.stands_still();
        peer.closes();
        send_and_wait(&mut client, &long_request(class, n + 10));
        d.goes_on();
        let mut peer = executor.accept();
        let pull = expect_pull(&mut peer, n + 10);
        peer.page(&pull, "OK pages=1", ROW);
        assert_served(&mut client, ROW);
        peer.resets();
        assert!(executor.came().is_empty());
    }
}

// An idle connection is closed before a request is written to it: the request has not run and is sent on
// another connection, also if it must not run twice.
#[test]
fn a_connection_closed_before_the_write_causes_no_second_run() {
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
        peer.closes();
        d.goes_on();
        let mut peer = executor.accept();
        let pull = expect_pull(&mut peer, n + 10);
        peer.page(&pull, "OK pages=1", ROW);
        assert_served(&mut client, ROW);
        assert!(executor.came().is_empty());
    }
}

// An address is reassigned to a new process while answers of the old one are outstanding. Those answers are
// still valid; new requests go to the new process on separate connections.
#[test]
fn answers_of_the_old_process_still_count_under_a_new_uid() {
    let executor = Executor::new();
    let (mut d, coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
    let mut feed = accept_watch(&coordinator);
    let mut clients = [1, 2, 3].map(|n| Client::asks(d.address, &long_request(CLASSES[n - 1], n as u64)));
    let mut peers = [0; 3].map(|_| executor.accept());
    let pulls = [0, 1, 2].map(|n: usize| peers[n].command().unwrap());
    let news = [target("e2", executor.address, "up"), target("e1", executor.address, "removed")];
    writeln!(feed, "{}", event(2, false, &news)).unwrap();
    d.logs("executor listed anew executor=\"e1\" state=Removed");
    let mut next = Client::asks(d.address, &long_request("load", 9));
    let mut new = executor.accept();
    let pull = expect_pull(&mut new, 9);
    peers.iter_mut().zip(&pulls).for_each(|(peer, pull)| peer.page(&pull[1], "OK pages=1", ROW));
    clients.iter_mut().for_each(|client| assert_served(client, ROW));
    new.page(&pull, "OK pages=1", ROW);
    assert_served(&mut next, ROW);
    assert!(peers.iter_mut().all(|peer| peer.command().is_none()), "the old connections are closed");
    assert!(executor.came().is_empty());
}

// A process crashes while the list names its successor at the same address: idempotent requests go to the
// successor, an outstanding load does not.
#[test]
fn a_crash_together_with_the_listing_of_its_successor() {
    for crash_first in [true, false] {
        let executor = Executor::new();
        let (d, coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
        let mut feed = accept_watch(&coordinator);
        let mut clients = [1, 2, 3].map(|n| Client::asks(d.address, &long_request(CLASSES[n - 1], n as u64)));
        let mut peers = [0; 3].map(|_| executor.accept());
        peers.iter_mut().for_each(|peer| assert_eq!(peer.command().unwrap()[0], "PULL"));
        let news = [target("e1", executor.address, "removed"), target("e2", executor.address, "up")];
        let line = format!("{}\n", event(2, false, &news));
        d.stands_still();
        if !crash_first {
            feed.write_all(line.as_bytes()).unwrap();
            arrived(&feed);
        }
        peers.into_iter().for_each(Peer::resets);
        if crash_first {
            feed.write_all(line.as_bytes()).unwrap();
            arrived(&feed);
        }
        d.goes_on();
        let _peers = answer_requests(&executor, 2);
        assert_served(&mut clients[0], ROW);
        assert_error(&mut clients[1], 1105);
        assert_served(&mut clients[2], ROW);
        assert!(executor.came().is_empty());
    }
}

// A request expires, is killed, or its client leaves while its connection is being established. The request
// must not be written once the connection is up, and the connection serves the next one.
#[test]
fn an_abandoned_request_is_not_sent_once_connected() {
    check_abandoned_requests(["read", "read", "keyed"]);
    check_abandoned_requests(["load", "keyed", "read"]);
}

/// Classes of the request that expires, of the one that is killed, and of the one whose client leaves.
fn check_abandoned_requests(classes: [&str; 3]) {
    let executor = Executor::new();
    let filler = executor.narrows();
    let (mut d, _coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
    let mut over = Client::asks(d.address, &request(classes[0], 1, 500, 100));
    let mut killed = Client::asks(d.address, &long_request(classes[1], 2));
    let leaves = Client::asks(d.address, &long_request(classes[2], 3));
    dialed(executor.address, 3);
    assert!(matches!(over.got(), Got::Error(1203 | 1105, _)));
    let mut other = Client::asks(d.address, &format!("KILL QUERY {}", killed.id));
    assert_eq!(other.got(), Got::Ok);
    assert_error(&mut killed, 1317);
    drop(leaves);
    d.logs("client left request=0000000000000003");
    executor.widens(filler);
    let mut peers = [0; 3].map(|_| executor.accept());
    // Waiting requests are written when a connection is established, so all of them have arrived once a later
    // request is answered.
    let mut next = Client::asks(d.address, &long_request("load", 4));
    let mut came = Vec::new();
    awaited("the last pull", || {
        for peer in &mut peers {
            for command in peer.came() {
                peer.page(&command[1], "OK pages=1", ROW);
                came.push(command[1].clone());
            }
        }
        came.contains(&format!("{:016x}", 4))
    });
    assert_served(&mut next, ROW);
    assert_eq!(came, [format!("{:016x}", 4)], "abandoned requests are not sent");
    assert!(peers.iter_mut().all(|peer| peer.came().is_empty()) && executor.came().is_empty());
}

// The same for a load whose client has left or killed it: no answer is pending and nothing has run, so it
// must not be sent.
#[test]
fn an_abandoned_load_is_not_sent_once_connected() {
    check_abandoned_requests(["read", "load", "load"]);
}
