//! A client that has gone starts no attempt, wherever its request stands.

use super::late::Late;
use super::*;
use std::io::{BufRead, BufReader, Write};
use std::net::Shutdown;

/// No dial is given up while the order of things is forced, no probe goes between, and what may be is not cancelled.
const PATIENT: [(&str, &str); 2] =
    [(r#""dialTimeout":0.25"#, r#""dialTimeout":9"#), (r#""probes":true"#, r#""probes":false"#)];

/// How a client goes.
enum Goes {
    Kills,
    Closes,
    Shuts,
    Quits,
}

/// A request waits for a connection that is still coming up while its client goes; then the connection comes up, and
/// the first that is sent on it has to be the next client's.
fn goes_while_its_connection_comes_up(class: &str, how: &Goes, changes: &[(&str, &str)]) {
    let late = Late::new();
    let changes = [&PATIENT[..], changes].concat();
    let (mut d, _coordinator) = dispatcher(&changes, &[("e1", late.address)]);
    let mut client = Client::asks(d.address, &request(class, "c1"));
    late.is_dialed();
    match how {
        Goes::Kills => {
            let mut killer = Client::asks(d.address, &format!("KILL QUERY {}", client.id));
            assert_eq!(killer.got(), Got::Ok);
            assert!(matches!(client.got(), Got::Error(1317, _)));
        }
        Goes::Closes => drop(client),
        Goes::Shuts => client.stream.shutdown(Shutdown::Write).unwrap(),
        Goes::Quits => client.stream.write_all(&[1, 0, 0, 0, 1]).unwrap(),
    }
    d.logs("client left");
    let (mut executor, _) = late.lets_in().accept().unwrap();
    executor.set_read_timeout(Some(std::time::Duration::from_secs(20))).unwrap();
    let mut next = Client::asks(d.address, &request("read", "c2"));
    let mut line = String::new();
    BufReader::new(&executor).read_line(&mut line).unwrap();
    assert!(line.starts_with("PULL 00000000000000c2 "), "{class}: {line}");
    executor.write_all(b"00000000000000c2 OK pages=1 6\r\n1\tx\ty\n\r\n").unwrap();
    assert_eq!(next.got(), row());
}

// What must not run twice is not called off when its client goes, as it may be running: so one that still waited for
// its connection was sent once that came up, up to the dial's time-out after the client had gone.
#[test]
fn what_may_not_run_twice_is_not_begun_for_a_client_that_has_gone() {
    for how in [Goes::Kills, Goes::Closes, Goes::Shuts, Goes::Quits] {
        goes_while_its_connection_comes_up("load", &how, &[]);
    }
}

// Where the settings permit no cancel, nothing is called off, and what could run again was begun too.
#[test]
fn nothing_is_begun_for_a_client_that_has_gone_where_nothing_may_be_cancelled() {
    let none = [(r#""cancel":true"#, r#""cancel":false"#)];
    goes_while_its_connection_comes_up("read", &Goes::Kills, &none);
    goes_while_its_connection_comes_up("load", &Goes::Closes, &none);
}

// A request that waits for a connection while the dispatcher ends was answered as failed, as if it might have run. It
// never did, and its client is told that to come again is harmless.
#[test]
fn what_was_never_sent_is_refused_at_the_end() {
    let late = Late::new();
    let (mut d, _coordinator) = dispatcher(&PATIENT, &[("e1", late.address)]);
    let mut client = Client::asks(d.address, &request("load", "c1"));
    late.is_dialed();
    d.signal("TERM");
    match client.got() {
        Got::Error(1203, text) => assert!(text.contains("backoff="), "{text}"),
        got => panic!("{got:?}"),
    }
    assert!(d.child.wait().unwrap().success());
}
