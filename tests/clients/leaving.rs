//! No attempt starts for a client that has disconnected, whatever the state of its request.

use super::*;
use std::io::Write;
use std::net::Shutdown;

/// How a client abandons its request.
enum Departure {
    Kill,
    Close,
    Reset,
    ShutdownWrite,
    Quit,
}

/// The client abandons a request that waits for an executor connection being established. Once the connection
/// is up, the first request sent on it must be the next client's.
fn client_leaves_during_connect(class: &str, how: &Departure, cancel: bool) {
    let executor = Executor::new();
    let mut launch = launch();
    launch.settings = Quiet::default().json().replace("\"cancel\":true", &format!("\"cancel\":{cancel}"));
    let (mut dispatcher, _coordinator) = launch.dispatcher(&[("e1", executor.address)]);
    let filler = executor.narrows();
    let mut client = Client::asks(dispatcher.address, &request(class, "c1"));
    dialed(executor.address, 1);
    match how {
        Departure::Kill => {
            let mut killer = Client::asks(dispatcher.address, &format!("KILL QUERY {}", client.id));
            assert_eq!(killer.got(), Got::Ok);
            assert!(matches!(client.got(), Got::Error(1317, _)));
        }
        Departure::Close => drop(client),
        Departure::Reset => resets(client.stream),
        Departure::ShutdownWrite => client.stream.shutdown(Shutdown::Write).unwrap(),
        Departure::Quit => client.stream.write_all(&[1, 0, 0, 0, 1]).unwrap(),
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
fn a_non_idempotent_request_does_not_start_after_its_client_left() {
    for how in
        [Departure::Kill, Departure::Close, Departure::Reset, Departure::ShutdownWrite, Departure::Quit]
    {
        client_leaves_during_connect("load", &how, true);
    }
}

// If the settings do not permit cancellation, nothing is cancelled, and even idempotent requests used to
// start.
#[test]
fn no_request_starts_after_its_client_left_without_cancellation() {
    for class in ["read", "keyed", "load"] {
        client_leaves_during_connect(class, &Departure::Kill, false);
    }
}

// A request still waiting for its connection at shutdown used to be answered as failed, as if it might have
// run. It never ran, so the client must be told that a retry is safe.
#[test]
fn an_unsent_request_is_rejected_at_shutdown() {
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
