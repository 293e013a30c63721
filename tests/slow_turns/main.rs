//! Long event loop turns: what the program knew at the beginning of the turn is outdated at its end. Real
//! processes on loopback sockets. SIGHUP with a configuration that is read from a pipe blocks the turn, so
//! that events reliably happen in its middle.

mod deadlines;
mod departed;
mod long_turn;
mod shutdown;

use long_turn::LongTurn;
use standins::scripted::*;

/// A dispatcher that sends nothing that a test does not request; loads keep the order of their key.
fn dispatcher(key_quiet_s: f64, executors: &[&Executor]) -> (Dispatcher, Coordinator) {
    let mut launch = Launch::new(env!("CARGO_BIN_EXE_ottercroft"), env!("CARGO_TARGET_TMPDIR"));
    let load = r#""effect":"non_idempotent""#;
    let rules = r#""rules":{"#;
    let settings = Quiet::default().json();
    assert!(settings.contains(load) && settings.contains(rules));
    launch.settings = settings
        .replace(load, &format!(r#"{load},"keepOrder":true"#))
        .replace(rules, &format!(r#"{rules}"keyQuiet":{key_quiet_s},"#));
    let names: Vec<String> = (1..=executors.len()).map(|n| format!("e{n}")).collect();
    let listed: Vec<_> = names.iter().zip(executors).map(|(name, e)| (name.as_str(), e.address)).collect();
    launch.dispatcher(&listed)
}

/// A request of a class with a time budget of 15 s.
fn request(class: &str, rid: u64, more: &str) -> String {
    format!("/* method={class},rid={rid:016x},budget=15000,est=10.0{more} */ SELECT a FROM sales_7.t")
}

fn row() -> Got {
    Got::Rows(vec![["1", "x", "y"].map(String::from).to_vec()])
}

/// A logged-in client without an open request.
fn logged_in_client(dispatcher: &Dispatcher) -> Client {
    let mut client = Client::asks(dispatcher.address, "SET NAMES utf8mb4");
    assert_eq!(client.got(), Got::Ok);
    client
}

/// Answers a PULL.
fn answer(peer: &mut Peer, pull: &[String]) {
    peer.page(&pull[1], "OK pages=1", "1\tx\ty\n");
}

/// Serves a request, so that an idle connection to the executor exists.
fn with_idle_connection(dispatcher: &Dispatcher, executor: &Executor) -> Peer {
    let mut client = Client::asks(dispatcher.address, &request("read", 0xa0, ""));
    let mut peer = executor.accept();
    let pull = peer.command().expect("a pull");
    answer(&mut peer, &pull);
    assert_eq!(client.got(), row());
    peer
}
