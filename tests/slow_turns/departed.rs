//! Clients that leave during a long turn: no attempt may start for them more than 0.1 s later.

use super::*;
use std::time::Duration;

/// Longer than an attempt may start after its client has left.
const LONGER_THAN_ALLOWED: Duration = Duration::from_millis(250);

/// Asserts that the next request to reach the executor is another client's.
fn assert_nothing_started(dispatcher: &Dispatcher, peer: &mut Peer) {
    let mut next = Client::asks(dispatcher.address, &request("read", 0xaf, ""));
    let pull = peer.command().expect("a pull");
    assert_eq!(pull[1], format!("{:016x}", 0xaf), "began for a client that had left: {pull:?}");
    answer(peer, &pull);
    assert_eq!(next.got(), row());
}

// A turn reads two requests and then takes long. Meanwhile one client disconnects and the other is killed:
// neither request may start when the turn continues.
#[test]
fn after_the_request_was_read() {
    let executor = Executor::new();
    let (dispatcher, _coordinator) = dispatcher(0.1, &[&executor]);
    let mut peer = with_idle_connection(&dispatcher, &executor);
    let (mut closes, mut killed, mut killer) =
        (logged_in_client(&dispatcher), logged_in_client(&dispatcher), logged_in_client(&dispatcher));
    let turn = LongTurn::begin(&dispatcher, || {
        closes.ask(&request("load", 0xa1, ""));
        arrived(&closes.stream);
        killed.ask(&request("read", 0xa2, ""));
        arrived(&killed.stream);
    });
    drop(closes);
    killer.ask(&format!("KILL QUERY {}", killed.id));
    turn.end_after(LONGER_THAN_ALLOWED);
    assert_nothing_started(&dispatcher, &mut peer);
    assert!(matches!(killed.got(), Got::Error(1317, _)));
    assert_eq!(killer.got(), Got::Ok);
}

// A request is read in a long turn. Its KILL arrives on a connection in the backlog, behind a hundred others:
// that connection must be accepted and read before the request may start.
#[test]
fn killed_by_a_connection_in_the_backlog() {
    let executor = Executor::new();
    let (dispatcher, _coordinator) = dispatcher(0.1, &[&executor]);
    let mut peer = with_idle_connection(&dispatcher, &executor);
    let mut killed = logged_in_client(&dispatcher);
    let turn = LongTurn::begin(&dispatcher, || {
        killed.ask(&request("load", 0xa1, ""));
        arrived(&killed.stream);
    });
    let crowd: Vec<_> =
        (0..100).map(|_| std::net::TcpStream::connect(dispatcher.address).expect("a backlog")).collect();
    let _killer = Client::writes(dispatcher.address, &format!("KILL QUERY {}", killed.id));
    turn.end_after(LONGER_THAN_ALLOWED);
    assert_nothing_started(&dispatcher, &mut peer);
    assert!(matches!(killed.got(), Got::Error(1317, _)));
    drop(crowd);
}

// A load may have run, so the next one for its key waits for a quiet period. The period ends in a long turn
// in which the next load's client leaves: the timer must not start it.
#[test]
fn before_a_timer_starts_the_request() {
    let executor = Executor::new();
    let (dispatcher, _coordinator) = dispatcher(1.5, &[&executor]);
    let mut first = Client::asks(dispatcher.address, &request("load", 0xa1, ",obj=00000000000000ee"));
    let mut peer = executor.accept();
    assert_eq!(peer.command().expect("a pull")[1], format!("{:016x}", 0xa1));
    let mut second = logged_in_client(&dispatcher);
    second.ask(&request("load", 0xa2, ",obj=00000000000000ee"));
    arrived(&second.stream);
    peer.resets();
    assert!(matches!(first.got(), Got::Error(1105, _)));
    let mut peer = with_idle_connection(&dispatcher, &executor);
    let turn = LongTurn::begin(&dispatcher, || ());
    drop(second);
    turn.end_after(Duration::from_millis(2_000));
    assert_nothing_started(&dispatcher, &mut peer);
}

// Two loads for a key: the second waits for the first. The first is answered in a long turn in which the
// second's client leaves: the second must not start.
#[test]
fn before_the_previous_request_of_the_key_ends() {
    let executor = Executor::new();
    let (dispatcher, _coordinator) = dispatcher(0.1, &[&executor]);
    let mut spare = with_idle_connection(&dispatcher, &executor);
    let mut first = Client::asks(dispatcher.address, &request("load", 0xa1, ",obj=00000000000000ee"));
    let pull = spare.command().expect("a pull");
    let mut second = logged_in_client(&dispatcher);
    second.ask(&request("load", 0xa2, ",obj=00000000000000ee"));
    arrived(&second.stream);
    let turn = LongTurn::begin(&dispatcher, || {
        answer(&mut spare, &pull);
        arrived(spare.stream());
    });
    drop(second);
    turn.end_after(LONGER_THAN_ALLOWED);
    assert_eq!(first.got(), row());
    assert_nothing_started(&dispatcher, &mut spare);
}

// A request waits for its connection, which is established in a long turn. Its client leaves in that turn:
// nothing may be written.
#[test]
fn while_waiting_for_a_connection() {
    let executor = Executor::new();
    let (dispatcher, _coordinator) = dispatcher(0.1, &[&executor]);
    let filler = executor.narrows();
    let client = Client::asks(dispatcher.address, &request("load", 0xa1, ""));
    dialed(executor.address, 1);
    let mut peer = None;
    let turn = LongTurn::begin(&dispatcher, || {
        executor.widens(filler);
        peer = Some(executor.accept());
    });
    drop(client);
    turn.end_after(LONGER_THAN_ALLOWED);
    assert_nothing_started(&dispatcher, &mut peer.expect("its connection"));
}

// A request's first attempt is lost in a long turn, and another executor could take a second one. Its client
// leaves in that turn: there must be no second attempt.
#[test]
fn before_a_second_attempt() {
    let executors = [Executor::new(), Executor::new()];
    let both = [&executors[0], &executors[1]];
    let (dispatcher, _coordinator) = dispatcher(0.1, &both);
    let mut peers = with_idle_connections(&dispatcher, &both);
    let client = Client::asks(dispatcher.address, &request("read", 0xa1, ""));
    let (at, pull) = next_pull(&mut peers);
    assert_eq!(pull[1], format!("{:016x}", 0xa1));
    let busy = peers.swap_remove(at);
    let turn = LongTurn::begin(&dispatcher, || busy.resets());
    drop(client);
    turn.end_after(LONGER_THAN_ALLOWED);
    let mut next = Client::asks(dispatcher.address, &request("read", 0xaf, ""));
    let (at, pull) = next_pull(&mut peers);
    assert_eq!(pull[1], format!("{:016x}", 0xaf), "began for a client that had left: {pull:?}");
    answer(&mut peers[at], &pull);
    assert_eq!(next.got(), row());
}

/// Establishes idle connections to all of these executors.
fn with_idle_connections(dispatcher: &Dispatcher, executors: &[&Executor]) -> Vec<Peer> {
    let (mut clients, mut peers) = (Vec::new(), Vec::new());
    let mut met = vec![false; executors.len()];
    for rid in 0xb00.. {
        if met.iter().all(|m| *m) {
            break;
        }
        // All requests stay open for now, so that each has its own connection.
        clients.push(Client::asks(dispatcher.address, &request("read", rid, "")));
        let (at, mut peer) = Executor::any(executors);
        met[at] = true;
        let pull = peer.command().expect("a pull");
        peers.push((peer, pull));
    }
    peers.iter_mut().for_each(|(peer, pull)| answer(peer, pull));
    clients.iter_mut().for_each(|client| assert_eq!(client.got(), row()));
    peers.into_iter().map(|(peer, _)| peer).collect()
}

/// Waits for the next PULL on any of these connections; returns the connection's index and the PULL.
fn next_pull(peers: &mut [Peer]) -> (usize, Vec<String>) {
    let mut found = None;
    awaited("a pull", || {
        found = peers.iter().position(has_something);
        found.is_some()
    });
    let at = found.expect("a connection");
    (at, peers[at].command().expect("a pull"))
}

/// Whether unread data is available.
fn has_something(peer: &Peer) -> bool {
    let stream = peer.stream();
    stream.set_nonblocking(true).expect("a socket");
    let something = stream.peek(&mut [0]).is_ok();
    stream.set_nonblocking(false).expect("a socket");
    something
}
