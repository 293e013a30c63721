//! SIGTERM at each stage of a request: every accepted request gets one complete answer, and the program exits
//! by itself.

use super::*;
use std::io::{Read, Write};
use std::time::Duration;

/// Time after SIGTERM by which accepting has ended.
pub(super) const ACCEPTING_ENDED: Duration = Duration::from_millis(900);

fn short_request(class: &str, rid: u64) -> String {
    request(class, rid, 15_000, 10)
}

/// A request as a packet on the wire.
pub(super) fn packet(sql: &str) -> Vec<u8> {
    let length = (sql.len() as u32 + 1).to_le_bytes();
    [&length[..3], &[0, 3], sql.as_bytes()].concat()
}

fn start() -> (Executor, Dispatcher, Coordinator) {
    start_with(&Quiet::default())
}

fn start_with(settings: &Quiet) -> (Executor, Dispatcher, Coordinator) {
    let executor = Executor::new();
    let (dispatcher, coordinator) = launch(settings).dispatcher(&[("e1", executor.address)]);
    (executor, dispatcher, coordinator)
}

/// The only answer of a client whose dispatcher shuts down; its connection must be closed after it.
fn final_answer(client: &mut Client) -> Got {
    let got = client.got();
    assert_ne!(got, Got::Closed, "no answer");
    let rest = client.stream.read(&mut [0; 64]);
    assert!(matches!(rest, Ok(0)), "an orderly close after {got:?}, not {rest:?}");
    got
}

fn assert_final_rows(client: &mut Client) {
    assert_eq!(final_answer(client), Got::Rows(vec![["1", "x", "y"].map(String::from).to_vec()]));
}

fn assert_final_error(client: &mut Client, number: u16) {
    let got = final_answer(client);
    assert!(matches!(got, Got::Error(n, _) if n == number), "{got:?} instead of {number}");
}

// The second half of a request arrives together with SIGTERM, or after it but before accepting ends, while
// the process is suspended beyond that time: the request arrived in time in both cases.
#[test]
fn a_request_completed_with_or_after_sigterm() {
    for after in [false, true] {
        let (executor, mut dispatcher, _coordinator) = start();
        let mut clients = CLASSES.map(|_| Client::asks(dispatcher.address, "SET NAMES utf8mb4"));
        clients.iter_mut().for_each(|client| assert_eq!(client.got(), Got::Ok));
        let requests = [1, 2, 3].map(|n| packet(&short_request(CLASSES[n - 1], n as u64)));
        for (client, request) in clients.iter_mut().zip(&requests) {
            client.stream.write_all(&request[..40]).unwrap();
        }
        if after {
            dispatcher.signal("TERM");
            dispatcher.logs("SIGTERM");
        }
        dispatcher.stands_still();
        for (client, request) in clients.iter_mut().zip(&requests) {
            client.stream.write_all(&request[40..]).unwrap();
            arrived(&client.stream);
        }
        if after {
            std::thread::sleep(ACCEPTING_ENDED);
        } else {
            dispatcher.signal("TERM");
        }
        dispatcher.goes_on();
        let _peers = answer_requests(&executor, 3);
        clients.iter_mut().for_each(assert_final_rows);
        assert!(dispatcher.ends());
    }
}

// A partially received request is not accepted: its connection is closed, and the shutdown does not wait for
// it.
#[test]
fn a_partial_request_does_not_delay_the_shutdown() {
    let (_executor, mut dispatcher, _coordinator) = start();
    let mut client = Client::asks(dispatcher.address, "SET NAMES utf8mb4");
    assert_eq!(client.got(), Got::Ok);
    client.stream.write_all(&packet(&short_request("load", 1))[..40]).unwrap();
    dispatcher.signal("TERM");
    assert!(dispatcher.ends());
}

// A request waiting for a connection at SIGTERM is sent once the connection is up, and rejected if it never
// is.
#[test]
fn sigterm_while_requests_wait_for_a_connection() {
    for comes_up in [true, false] {
        let (executor, mut dispatcher, _coordinator) = start();
        let filler = executor.narrows();
        let mut clients =
            [1, 2, 3].map(|n| Client::asks(dispatcher.address, &long_request(CLASSES[n - 1], n as u64)));
        dialed(executor.address, 3);
        dispatcher.signal("TERM");
        dispatcher.logs("SIGTERM");
        if comes_up {
            executor.widens(filler);
            let _peers = answer_requests(&executor, 3);
            clients.iter_mut().for_each(assert_final_rows);
        } else {
            for client in &mut clients {
                let got = final_answer(client);
                assert!(matches!(got, Got::Error(1203 | 1105, _)), "{got:?}");
            }
        }
        assert!(dispatcher.ends());
        assert!(executor.came().is_empty());
    }
}

// A request that was sent or partially answered at SIGTERM is answered in full. If its executor hangs, an
// idempotent request is rejected and others fail.
#[test]
fn sigterm_while_requests_are_out() {
    for hangs in [false, true] {
        let (executor, mut dispatcher, _coordinator) = start();
        let mut clients =
            [1, 2, 3].map(|n| Client::asks(dispatcher.address, &long_request(CLASSES[n - 1], n as u64)));
        let mut peers: Vec<_> = (0..3).map(|_| executor.accept()).collect();
        let ids: Vec<_> = peers.iter_mut().map(|peer| peer.command().unwrap()[1].clone()).collect();
        // The first has one page, the second half a page, the third nothing.
        peers[0].page(&ids[0], "OK pages=2", ROW);
        assert_eq!(peers[0].command().unwrap()[0], "SCROLL");
        if !hangs {
            peers[1].say(&format!("{} OK pages=1 6\r\n1\t", ids[1]));
        }
        dispatcher.stands_still();
        dispatcher.signal("TERM");
        if hangs {
            dispatcher.goes_on();
            dispatcher.logs("SIGTERM");
            for (client, number) in clients.iter_mut().zip([1203, 1105, 1203]) {
                assert_final_error(client, number);
            }
        } else {
            peers[0].page(&ids[0], "ROWS page=1", "2\tx\ty\n");
            peers[1].say("x\ty\n\r\n");
            peers[..2].iter().for_each(|peer| arrived(peer.stream()));
            dispatcher.goes_on();
            dispatcher.logs("SIGTERM");
            peers[2].page(&ids[2], "OK pages=1", ROW);
            assert!(matches!(final_answer(&mut clients[0]), Got::Rows(rows) if rows.len() == 2));
            clients[1..].iter_mut().for_each(assert_final_rows);
        }
        assert!(dispatcher.ends());
        assert!(executor.came().is_empty());
    }
}

// The first attempt is lost together with SIGTERM: idempotent requests are retried during the shutdown and
// served, a load fails.
#[test]
fn sigterm_while_requests_are_repeated() {
    let (executor, mut dispatcher, _coordinator) = start();
    let mut clients =
        [1, 2, 3].map(|n| Client::asks(dispatcher.address, &short_request(CLASSES[n - 1], n as u64)));
    let mut peers: Vec<_> = (0..3).map(|_| executor.accept()).collect();
    peers.iter_mut().for_each(|peer| assert_eq!(peer.command().unwrap()[0], "PULL"));
    dispatcher.stands_still();
    dispatcher.signal("TERM");
    peers.into_iter().for_each(Peer::resets);
    dispatcher.goes_on();
    let _peers = answer_requests(&executor, 2);
    assert_final_rows(&mut clients[0]);
    assert_final_error(&mut clients[1], 1105);
    assert_final_rows(&mut clients[2]);
    assert!(dispatcher.ends());
    assert!(executor.came().is_empty());
}

// During the shutdown, a second SIGTERM and SIGHUP with a valid and with an invalid file have no effect on
// it.
#[test]
fn more_signals_during_the_shutdown() {
    let (executor, mut dispatcher, _coordinator) = start();
    let mut client = Client::asks(dispatcher.address, &short_request("load", 1));
    let mut peer = executor.accept();
    let pull = expect_pull(&mut peer, 1);
    dispatcher.signal("TERM");
    dispatcher.logs("SIGTERM");
    dispatcher.signal("TERM");
    dispatcher.signal("HUP");
    dispatcher.logs("configuration reloaded");
    std::fs::write(&dispatcher.file, "{").unwrap();
    dispatcher.stands_still();
    dispatcher.signal("HUP");
    dispatcher.signal("TERM");
    dispatcher.goes_on();
    dispatcher.logs("configuration reload rejected");
    peer.page(&pull, "OK pages=1", ROW);
    assert_final_rows(&mut client);
    assert!(dispatcher.ends());
}

// SIGTERM as soon as the address accepts connections, and both signals at once: an orderly exit, and an
// answer to every request that arrived in time.
#[test]
fn sigterm_right_after_the_start() {
    for both in [false, true] {
        let (executor, mut dispatcher, _coordinator) = start();
        dispatcher.signal("TERM");
        if both {
            dispatcher.signal("HUP");
        }
        dispatcher.logs("SIGTERM");
        let mut client = Client::asks(dispatcher.address, &short_request("load", 1));
        let _peers = answer_requests(&executor, 1);
        assert_final_rows(&mut client);
        assert!(dispatcher.ends());
    }
}
