//! Events that end a request, an attempt or a connection, and other events arriving at the same time. The
//! program runs on loopback sockets against peers that force the critical order; each test checks which
//! answers are still due, and to whom.

mod answers;
mod backlog;
mod executors;
mod late;
mod lists;
mod moves;
mod ration;
mod resets;
mod shutdown;
mod start;

use standins::scripted::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// One class per effect.
const CLASSES: [&str; 3] = ["read", "load", "keyed"];
/// One page with one row.
const ROW: &str = "1\tx\ty\n";

fn launch(settings: &Quiet) -> Launch {
    let mut launch = Launch::new(env!("CARGO_BIN_EXE_ottercroft"), env!("CARGO_TARGET_TMPDIR"));
    launch.settings = settings.json();
    launch
}

/// A request with an estimate of several seconds, so that it is not retried merely because it is slow.
fn long_request(class: &str, rid: u64) -> String {
    request(class, rid, 15_000, 4_000)
}

fn request(class: &str, rid: u64, budget: u64, est: u64) -> String {
    format!("/* method={class},rid={rid:016x},budget={budget},est={est}.0 */ SELECT a FROM sales_7.t")
}

/// Sends a statement and waits until it has arrived.
fn send_and_wait(client: &mut Client, sql: &str) {
    client.ask(sql);
    arrived(&client.stream);
}

/// Asserts that the client gets these rows as its only answer.
fn assert_served(client: &mut Client, rows: &str) {
    let rows = rows.lines().map(|r| r.split('\t').map(String::from).collect()).collect();
    assert_eq!(client.got(), Got::Rows(rows));
    assert_no_further_answer(client);
}

/// Asserts that the client gets an error with this number as its only answer.
fn assert_error(client: &mut Client, number: u16) {
    let got = client.got();
    assert!(matches!(got, Got::Error(n, _) if n == number), "{got:?} instead of {number}");
    assert_no_further_answer(client);
}

/// Asserts that no second answer arrives: the next packet answers the next statement.
fn assert_no_further_answer(client: &mut Client) {
    client.ask("SET NAMES utf8mb4");
    assert_eq!(client.got(), Got::Ok);
}

/// Asserts that the next command is a PULL of this request, and returns its id.
fn expect_pull(peer: &mut Peer, rid: u64) -> String {
    let pull = peer.command().expect("a pull");
    assert_eq!((pull[0].as_str(), &pull[1]), ("PULL", &format!("{rid:016x}")));
    pull[1].clone()
}

/// Accepts the watch of a dispatcher that has event 1, and keeps it alive by repeating that number.
fn accept_watch(coordinator: &Coordinator) -> TcpStream {
    let (stream, line) = coordinator.accept();
    assert_eq!(line, "follow 1\n");
    let mut beat = stream.try_clone().unwrap();
    std::thread::spawn(move || {
        while beat.write_all(b"1\n").is_ok() {
            std::thread::sleep(Duration::from_millis(500));
        }
    });
    stream
}

/// The next connection that sends a command, and that command.
fn next_pull(executor: &Executor) -> (Peer, Vec<String>) {
    loop {
        let mut peer = executor.accept();
        if let Some(pull) = peer.command() {
            return (peer, pull);
        }
    }
}

/// Waits for this many requests, each on its own connection, and then answers all of them.
fn answer_requests(executor: &Executor, requests: usize) -> Vec<Peer> {
    let mut out: Vec<_> = (0..requests).map(|_| next_pull(executor)).collect();
    for (peer, pull) in &mut out {
        assert_eq!(pull[0], "PULL");
        peer.page(&pull[1], "OK pages=1", ROW);
    }
    out.into_iter().map(|(peer, _)| peer).collect()
}
