//! What ends something, and what may arrive in that very moment: the program on loopback sockets against peers
//! that bring the bad order about every time. Each story asks what is still owed, and to whom.

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

/// A class of each effect.
const CLASSES: [&str; 3] = ["read", "load", "keyed"];
/// One page with one row.
const ROW: &str = "1\tx\ty\n";

fn launch(settings: &Quiet) -> Launch {
    let mut launch = Launch::new(env!("CARGO_BIN_EXE_ottercroft"), env!("CARGO_TARGET_TMPDIR"));
    launch.settings = settings.json();
    launch
}

/// A request of some seconds' work, so that nothing of it is sent again only because it is slow.
fn long(class: &str, rid: u64) -> String {
    request(class, rid, 15_000, 4_000)
}

fn request(class: &str, rid: u64, budget: u64, est: u64) -> String {
    format!("/* method={class},rid={rid:016x},budget={budget},est={est}.0 */ SELECT a FROM sales_7.t")
}

/// Asks, and waits until that has arrived.
fn asks(client: &mut Client, sql: &str) {
    client.ask(sql);
    arrived(&client.stream);
}

/// What the client gets is the rows, and it is its one answer.
fn served(client: &mut Client, rows: &str) {
    let rows = rows.lines().map(|r| r.split('\t').map(String::from).collect()).collect();
    assert_eq!(client.got(), Got::Rows(rows));
    alone(client);
}

/// What the client gets is an error with this number, and it is its one answer.
fn ended(client: &mut Client, number: u16) {
    let got = client.got();
    assert!(matches!(got, Got::Error(n, _) if n == number), "{got:?} instead of {number}");
    alone(client);
}

/// Nothing comes after the answer but the next one.
fn alone(client: &mut Client) {
    client.ask("SET NAMES utf8mb4");
    assert_eq!(client.got(), Got::Ok);
}

/// The next command is a pull of this request.
fn pulled(peer: &mut Peer, rid: u64) -> String {
    let pull = peer.command().expect("a pull");
    assert_eq!((pull[0].as_str(), &pull[1]), ("PULL", &format!("{rid:016x}")));
    pull[1].clone()
}

/// The watch of a dispatcher that holds event 1, kept alive by the number that is told every so often.
fn watch(coordinator: &Coordinator) -> TcpStream {
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

/// The next connection that brings anything, and what it brings first.
fn next_pull(executor: &Executor) -> (Peer, Vec<String>) {
    loop {
        let mut peer = executor.accept();
        if let Some(pull) = peer.command() {
            return (peer, pull);
        }
    }
}

/// Answers so many requests, each on a connection of its own, once all of them are out.
fn answered(executor: &Executor, requests: usize) -> Vec<Peer> {
    let mut out: Vec<_> = (0..requests).map(|_| next_pull(executor)).collect();
    for (peer, pull) in &mut out {
        assert_eq!(pull[0], "PULL");
        peer.page(&pull[1], "OK pages=1", ROW);
    }
    out.into_iter().map(|(peer, _)| peer).collect()
}
