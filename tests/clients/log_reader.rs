//! Whoever reads the log of the dispatcher, which is a pipe, must not be able to stop it.

use super::*;
use std::io::Read;
use std::thread;

/// More lines than the pipe and the buffer hold together.
const REQUESTS: u64 = 6_000;

fn text(id: u64) -> String {
    format!("/* method=read,rid={id:016x},budget=15000,est=0.1,space=9 */ SELECT a FROM t")
}

/// Serves requests of one client on one executor, while nobody reads the log.
fn serve_unread(dispatcher: &Dispatcher, executor: Executor) -> Client {
    thread::spawn(move || {
        let mut peer = executor.accept();
        while let Some(command) = peer.command() {
            peer.page(&command[1], "OK pages=1", "1\tx\ty\n");
        }
    });
    let text =
        |n: u64| format!("/* method=read,rid={n:016x},budget=15000,est=0.1,space=9 */ SELECT a FROM t");
    let mut client = Client::asks(dispatcher.address, &text(1));
    assert_eq!(client.got(), row());
    for n in 2..=REQUESTS {
        client.ask(&text(n));
        assert_eq!(client.got(), row(), "request {n}");
    }
    client
}

fn verbose() -> (Dispatcher, Coordinator, Executor) {
    let executor = Executor::new();
    let mut launch = launch();
    launch.settings = Quiet::default().json();
    launch.log = Some("trace".into());
    let (dispatcher, coordinator) = launch.dispatcher(&[("e1", executor.address)]);
    (dispatcher, coordinator, executor)
}

// The event loop wrote the log itself: once the pipe was full, it served nobody any more, and no signal ended it.
#[test]
fn a_log_that_nobody_reads_stops_neither_requests_nor_the_shutdown() {
    let (mut dispatcher, _coordinator, executor) = verbose();
    let client = serve_unread(&dispatcher, executor);
    dispatcher.signal("TERM");
    assert!(dispatcher.ends());
    drop(client);
}

// A reader that comes back gets the log again, how much of it was dropped, and its last lines before the exit.
#[test]
fn a_reader_that_comes_back_is_told_what_was_dropped() {
    let (mut dispatcher, _coordinator, executor) = verbose();
    let mut client = serve_unread(&dispatcher, executor);
    let line = dispatcher.logs("log lines dropped");
    let count = line.split("lines=").nth(1).and_then(|rest| rest.trim().parse::<u64>().ok());
    assert!(count.is_some_and(|count| count > 0), "{line}");
    client.ask(&text(REQUESTS + 1));
    assert_eq!(client.got(), row());
    dispatcher.logs(&format!("request served request={:016x}", REQUESTS + 1));
    drop(client);
    dispatcher.signal("TERM");
    let mut rest = String::new();
    dispatcher.take_log().unwrap().read_to_string(&mut rest).unwrap();
    assert!(dispatcher.child.wait().unwrap().success());
    let last = rest.lines().last().unwrap_or_default();
    assert!(rest.contains("SIGTERM") && last.contains("stopped"), "{last}");
}

// The reader goes away for good: the dispatcher serves on.
#[test]
fn a_log_whose_reader_has_gone_stops_nothing() {
    let (mut dispatcher, _coordinator, executor) = verbose();
    drop(dispatcher.take_log());
    let client = serve_unread(&dispatcher, executor);
    dispatcher.signal("TERM");
    assert!(dispatcher.ends());
    drop(client);
}
