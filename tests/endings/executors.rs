//! Executor connections that are established late or never, close while idle, or lead to a replaced process.

use super::*;
use std::io::Write;

// A connection that is established late must carry its request exactly once; it used to lead to an abandoned
// dial or a request sent twice.
#[test]
fn a_connection_that_comes_up_late_carries_its_request_once() {
    let executor = Executor::new();
    let filler = executor.narrows();
    let (d, _coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
    let mut clients = [1, 2, 3].map(|n| Client::asks(d.address, &long(CLASSES[n - 1], n as u64)));
    dialed(executor.address, 3);
    executor.widens(filler);
    let mut peers = answered(&executor, 3);
    clients.iter_mut().for_each(|client| served(client, ROW));
    assert!(peers.iter_mut().all(|peer| peer.came().is_empty()) && executor.came().is_empty());
}

// A request whose connection is never established has not run, whatever its effect: it is moved to another
// executor, or rejected (not failed) if there is none.
#[test]
fn what_waits_for_a_connection_that_never_comes_up_is_moved_or_refused() {
    let [dead, other] = [0; 2].map(|_| Executor::new());
    let _filler = dead.narrows();
    let launch = launch(&Quiet { dial_timeout: 2.0, ..Quiet::default() });
    let feed = standins::feed::Feed::at("127.0.0.1:0", 1).unwrap();
    let targets = [target("e1", dead.address, "up"), target("e2", other.address, "draining")];
    let mut d = launch.serving(&launch.config_of(feed.address, &targets));
    let mut clients = [1, 2, 3].map(|n| Client::asks(d.address, &long(CLASSES[n - 1], n as u64)));
    dialed(dead.address, 3);
    feed.tell(false, &[target("e2", other.address, "up")]);
    d.logs("executor listed anew executor=\"e2\" state=Up");
    let _peers = answered(&other, 3);
    clients.iter_mut().for_each(|client| served(client, ROW));
    feed.tell(false, &[target("e2", other.address, "removed")]);
    d.logs("executor listed anew executor=\"e2\" state=Removed");
    for (n, client) in (11..).zip(&mut clients) {
        client.ask(&long(CLASSES[n as usize - 11], n));
    }
    clients.iter_mut().for_each(|client| ended(client, 1203));
    assert!(other.came().is_empty());
}

// An idle connection that the executor closed before a request arrives must not be used for it, whatever its
// effect. Both events are read in the same turn.
#[test]
fn a_connection_closed_before_the_request_came_is_not_used() {
    let executor = Executor::new();
    let (d, _coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
    for (n, class) in (1..).zip(CLASSES) {
        let mut client = Client::asks(d.address, &long("read", n));
        let mut peer = executor.accept();
        let pull = pulled(&mut peer, n);
        peer.page(&pull, "OK pages=1", ROW);
        served(&mut client, ROW);
        d.stands_still();
        peer.closes();
        asks(&mut client, &long(class, n + 10));
        d.goes_on();
        let mut peer = executor.accept();
        let pull = pulled(&mut peer, n + 10);
        peer.page(&pull, "OK pages=1", ROW);
        served(&mut client, ROW);
        peer.resets();
        assert!(executor.came().is_empty());
    }
}

// An idle connection is closed before a request is written to it: the request has not run and is sent on
// another connection, also if it must not run twice.
#[test]
fn a_connection_closed_under_a_request_costs_no_second_run() {
    for (n, class) in (1..).zip(CLASSES) {
        let executor = Executor::new();
        let (d, _coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
        let mut client = Client::asks(d.address, &long("read", n));
        let mut peer = executor.accept();
        let pull = pulled(&mut peer, n);
        peer.page(&pull, "OK pages=1", ROW);
        served(&mut client, ROW);
        d.stands_still();
        asks(&mut client, &long(class, n + 10));
        peer.closes();
        d.goes_on();
        let mut peer = executor.accept();
        let pull = pulled(&mut peer, n + 10);
        peer.page(&pull, "OK pages=1", ROW);
        served(&mut client, ROW);
        assert!(executor.came().is_empty());
    }
}

// An address is reassigned to a new process while answers of the old one are outstanding. Those answers are
// still valid; new requests go to the new process on separate connections.
#[test]
fn answers_of_the_old_process_still_count_under_a_new_uid() {
    let executor = Executor::new();
    let (mut d, coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
    let mut feed = watch(&coordinator);
    let mut clients = [1, 2, 3].map(|n| Client::asks(d.address, &long(CLASSES[n - 1], n as u64)));
    let mut peers = [0; 3].map(|_| executor.accept());
    let pulls = [0, 1, 2].map(|n: usize| peers[n].command().unwrap());
    let news = [target("e2", executor.address, "up"), target("e1", executor.address, "removed")];
    writeln!(feed, "{}", event(2, false, &news)).unwrap();
    d.logs("executor listed anew executor=\"e1\" state=Removed");
    let mut next = Client::asks(d.address, &long("load", 9));
    let mut new = executor.accept();
    let pull = pulled(&mut new, 9);
    peers.iter_mut().zip(&pulls).for_each(|(peer, pull)| peer.page(&pull[1], "OK pages=1", ROW));
    clients.iter_mut().for_each(|client| served(client, ROW));
    new.page(&pull, "OK pages=1", ROW);
    served(&mut next, ROW);
    assert!(peers.iter_mut().all(|peer| peer.command().is_none()), "the old connections are closed");
    assert!(executor.came().is_empty());
}

// A process crashes while the list names its successor at the same address: idempotent requests go to the
// successor, an outstanding load does not.
#[test]
fn a_crash_and_its_successor_in_one_moment() {
    for crash_first in [true, false] {
        let executor = Executor::new();
        let (d, coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
        let mut feed = watch(&coordinator);
        let mut clients = [1, 2, 3].map(|n| Client::asks(d.address, &long(CLASSES[n - 1], n as u64)));
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
        let _peers = answered(&executor, 2);
        served(&mut clients[0], ROW);
        ended(&mut clients[1], 1105);
        served(&mut clients[2], ROW);
        assert!(executor.came().is_empty());
    }
}

// A request expires, is killed, or its client leaves while its connection is being established. The request
// must not be written once the connection is up, and the connection serves the next one.
#[test]
fn what_was_given_up_is_not_sent_once_its_connection_is_up() {
    given_up(["read", "read", "keyed"]);
    given_up(["load", "keyed", "read"]);
}

/// Classes of the request that expires, of the one that is killed, and of the one whose client leaves.
fn given_up(classes: [&str; 3]) {
    let executor = Executor::new();
    let filler = executor.narrows();
    let (mut d, _coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
    let mut over = Client::asks(d.address, &request(classes[0], 1, 500, 100));
    let mut killed = Client::asks(d.address, &long(classes[1], 2));
    let leaves = Client::asks(d.address, &long(classes[2], 3));
    dialed(executor.address, 3);
    assert!(matches!(over.got(), Got::Error(1203 | 1105, _)));
    let mut other = Client::asks(d.address, &format!("KILL QUERY {}", killed.id));
    assert_eq!(other.got(), Got::Ok);
    ended(&mut killed, 1317);
    drop(leaves);
    d.logs("client left request=0000000000000003");
    executor.widens(filler);
    let mut peers = [0; 3].map(|_| executor.accept());
    // Waiting requests are written when a connection is established, so all of them have arrived once a later
    // request is answered.
    let mut next = Client::asks(d.address, &long("load", 4));
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
    served(&mut next, ROW);
    assert_eq!(came, [format!("{:016x}", 4)], "nothing of those given up");
    assert!(peers.iter_mut().all(|peer| peer.came().is_empty()) && executor.came().is_empty());
}

// The same for a load whose client has left or killed it: no answer is pending and nothing has run, so it
// must not be sent.
#[test]
fn a_load_whose_client_has_left_is_not_sent_once_its_connection_is_up() {
    given_up(["read", "load", "load"]);
}
