//! No attempt starts for a client that has disconnected, whatever the state of its request.

use super::*;
use std::io::Write;
use std::net::Shutdown;

/// How a client abandons its request.
enum Goes {
    Kills,
    Closes,
    Resets,
    Shuts,
    Quits,
}

/// The client abandons a request that waits for an executor connection being established. Once the connection
/// is up, the first request sent on it must be the next client's.
fn goes_while_its_connection_comes_up(class: &str, how: &Goes, cancel: bool) {
    let executor = Executor::new();
    let mut launch = launch();
    launch.settings = Quiet::default().json().replace("\"cancel\":true", &format!("\"cancel\":{cancel}"));
    let (mut dispatcher, _coordinator) = launch.dispatcher(&[("e1", executor.address)]);
    let filler = executor.narrows();
    let mut client = Client::asks(dispatcher.address, &request(class, "c1"));
    dialed(executor.address, 1);
    match how {
        Goes::Kills => {
            let mut killer = Client::asks(dispatcher.address, &format!("KILL QUERY {}", client.id));
            assert_eq!(killer.got(), Got::Ok);
            assert!(matches!(client.got(), Got::Error(1317, _)));
        }
        Goes::Closes => drop(client),
        Goes::Resets => resets(client.stream),
        Goes::Shuts => client.stream.shutdown(Shutdown::Write).unwrap(),
        Goes::Quits => client.stream.write_all(&[1, 0, 0, 0, 1]).unwrap(),
    }
    dispatcher.logs("client left");
    executor.widens(filler);
    let mut peer = executor.accept();
    let mut next = Client::asks(dispatcher.address, &request("read", "c2"));
    let pull = peer.command().unwrap();
    assert_eq!(pull[1], "00000000000000c2", "{class}: {pull:?}");
    peer.page(&pull[1], "OK pages=1", "1\tx\ty\n");
    assert_eq!(next.got(), row());
}

// A non-idempotent request is not cancelled when its client leaves, because it may be running. One that was
// still waiting for its connection used to be sent once that was up, as late as the dial timeout after the
// client had left.
#[test]
fn what_may_not_run_twice_is_not_begun_for_a_client_that_has_gone() {
    for how in [Goes::Kills, Goes::Closes, Goes::Resets, Goes::Shuts, Goes::Quits] {
        goes_while_its_connection_comes_up("load", &how, true);
    }
}

// If the settings do not permit cancellation, nothing is cancelled, and even idempotent requests used to
// start.
#[test]
fn nothing_is_begun_for_a_client_that_has_gone_where_nothing_may_be_cancelled() {
    for class in ["read", "keyed", "load"] {
        goes_while_its_connection_comes_up(class, &Goes::Kills, false);
    }
}

// A request still waiting for its connection at shutdown used to be answered as failed, as if it might have
// run. It never ran, so the client must be told that a retry is safe.
#[test]
fn what_was_never_sent_is_refused_at_the_end() {
    let executor = Executor::new();
    let (mut dispatcher, _coordinator) = quiet(&[("e1", executor.address)]);
    let _filler = executor.narrows();
    let mut client = Client::asks(dispatcher.address, &request("load", "c1"));
    dialed(executor.address, 1);
    dispatcher.signal("TERM");
    match client.got() {
        Got::Error(1203, text) => assert!(text.contains("backoff="), "{text}"),
        got => panic!("{got:?}"),
    }
    assert!(dispatcher.child.wait().unwrap().success());
}
