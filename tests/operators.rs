//! The operators' address on loopback: one test per use case.

use standins::asks::call;
use standins::scripted::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

const READ: &str =
    "/* method=read,rid=00000000000000a1,budget=15000,est=10.0,space=9 */ SELECT a FROM sales_7.t";

fn launch() -> Launch {
    Launch::new(env!("CARGO_BIN_EXE_ottercroft"), env!("CARGO_TARGET_TMPDIR"))
}

/// A configuration with an operators' address and a unique name, so that hand-over files don't collide.
fn config(coordinator: SocketAddr, executors: &[(&str, SocketAddr)], listen: &str) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("ops-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    launch()
        .config(coordinator, executors)
        .replace(r#""name":"t""#, &format!(r#""name":"{name}""#))
        .replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{listen}""#))
        .replace(r#""more":0"#, r#""operator":"127.0.0.1:0","more":0"#)
}

/// Starts a dispatcher; returns it with its operators' address.
fn serving(config: &str) -> (Dispatcher, SocketAddr) {
    let mut d = launch().serving(config);
    let operators = d.operators_address();
    (d, operators)
}

// During an upgrade the platform starts a second process on the same client port: it must share the port with the
// first one, not exit because the address is in use.
#[test]
fn a_second_process_shares_the_client_port() {
    let executor = Executor::new();
    let coordinator = Coordinator::new();
    let (first, first_ops) =
        serving(&config(coordinator.address, &[("e1", executor.address)], "127.0.0.1:0"));
    let port = first.address.to_string();
    let (mut second, second_ops) = serving(&config(coordinator.address, &[("e1", executor.address)], &port));
    assert_eq!(second.address, first.address);
    assert!(second.child.try_wait().unwrap().is_none(), "the second process runs");
    assert_eq!(call(first_ops, "HEALTH"), "+OK ready\n");
    assert_eq!(call(second_ops, "HEALTH"), "+OK ready\n");
    // The old process is stopped: HEALTH still succeeds at the new one, and fails at the old one until it exits.
    first.signal("TERM");
    assert!(call(first_ops, "HEALTH").starts_with("-ERR"));
    assert_eq!(call(second_ops, "HEALTH"), "+OK ready\n");
    let _ = second.take_log();
}

// After LEAVE, HEALTH fails and idle clients are closed; after JOIN, HEALTH succeeds again.
#[test]
fn leave_closes_idle_clients_and_join_accepts_them_again() {
    let executor = Executor::new();
    let coordinator = Coordinator::new();
    let (d, ops) = serving(&config(coordinator.address, &[("e1", executor.address)], "127.0.0.1:0"));
    let mut idle = Client::asks(d.address, "SELECT 1");
    let _ = idle.got();
    assert_eq!(call(ops, "LEAVE"), "+OK leaving\n");
    assert_eq!(call(ops, "HEALTH"), "-ERR leaving: not ready\n");
    idle.stream.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
    assert_eq!(idle.stream.read(&mut [0; 64]).unwrap(), 0, "an idle client is closed after LEAVE");
    // The load balancer also probes the client port, where the connection has to be refused.
    assert!(TcpStream::connect(d.address).is_err(), "the client port is closed while leaving");
    assert_eq!(call(ops, "JOIN"), "+OK joined\n");
    assert_eq!(call(ops, "HEALTH"), "+OK ready\n");
    let mut back = Client::asks(d.address, "SELECT 1");
    assert_ne!(back.got(), Got::Closed, "after JOIN clients are served again");
}

// An executor that is OFFLINE gets no new work, whatever the endpoint list says; unknown ids are rejected.
#[test]
fn an_offline_executor_gets_no_work_until_online() {
    let (e1, e2) = (Executor::new(), Executor::new());
    let coordinator = Coordinator::new();
    let listed = [("e1", e1.address), ("e2", e2.address)];
    let (d, ops) = serving(&config(coordinator.address, &listed, "127.0.0.1:0"));
    assert_eq!(call(ops, "OFFLINE e1"), "+OK offline e1\n");
    assert_eq!(call(ops, "OFFLINE e1"), "+OK offline e1\n");
    assert!(call(ops, "OFFLINE nobody").starts_with("-ERR no executor nobody"));
    let mut client = Client::asks(d.address, READ);
    let mut peer = e2.accept();
    let pull = peer.command().unwrap();
    assert_eq!(pull[0], "PULL", "the request went to e2, which is not offline");
    peer.page(&pull[1], "OK pages=1", "1\tx\ty\n");
    assert!(matches!(client.got(), Got::Rows(_)));
    let dump = call(ops, "DUMP");
    assert!(dump.contains("dispatcher_ejected 1\n"), "{dump}");
    assert!(dump.contains("dispatcher_discovered 2\n"), "{dump}");
    assert!(dump.contains(r#"dispatcher_results{disposition="succeeded",service="read"} 1"#), "{dump}");
    assert!(dump.contains("dispatcher_forwards 1\n"), "{dump}");
    assert!(dump.starts_with("+OK") && dump.ends_with("\n.\n"), "{dump}");
    // One ONLINE lifts the ban even after two OFFLINE calls.
    assert_eq!(call(ops, "ONLINE e1"), "+OK online e1\n");
    assert!(call(ops, "DUMP").contains("dispatcher_ejected 0\n"));
}

// A caller that sends nothing or a partial line does not delay others; malformed lines get an error.
#[test]
fn silent_and_malformed_callers_do_not_delay_others() {
    let executor = Executor::new();
    let coordinator = Coordinator::new();
    let (_d, ops) = serving(&config(coordinator.address, &[("e1", executor.address)], "127.0.0.1:0"));
    let silent: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(ops).unwrap()).collect();
    let mut half = TcpStream::connect(ops).unwrap();
    half.write_all(b"HEAL").unwrap();
    assert_eq!(call(ops, "HEALTH"), "+OK ready\n");
    assert!(call(ops, "FROB").starts_with("-ERR unknown call"));
    assert!(call(ops, "ONLINE").starts_with("-ERR ONLINE takes an executor id"));
    assert!(call(ops, &"X".repeat(400)).starts_with("-ERR line longer"));
    // Silent callers are closed after the timeout.
    half.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert_eq!(half.read(&mut [0; 8]).unwrap_or(0), 0);
    let mut lines = BufReader::new(silent.into_iter().last().unwrap()).lines();
    assert!(lines.next().is_none_or(|l| l.is_err()));
}

// The metrics of SIGHUP and open requests have to match what happened: one rejected file, one applied file, and one
// request that is outstanding at the executor.
#[test]
fn metrics_of_sighup_and_open_requests_are_correct() {
    let executor = Executor::new();
    let (old, new) = (Coordinator::new(), Coordinator::new());
    let (mut d, ops) = serving(&config(old.address, &[("e1", executor.address)], "127.0.0.1:0"));
    let mut client = Client::asks(d.address, READ);
    let mut peer = executor.accept();
    let pull = peer.command().unwrap();
    let dump = call(ops, "DUMP");
    assert!(dump.contains("dispatcher_outstanding 1\n"), "{dump}");
    let moved = d.config.replace(&format!("\"{}\"", old.address), &format!("\"{}\"", new.address));
    for (text, message) in
        [(&moved[..99], "configuration reload rejected"), (&moved[..], "configuration reloaded")]
    {
        std::fs::write(&d.file, text).unwrap();
        d.signal("HUP");
        d.logs(message);
    }
    let dump = call(ops, "DUMP");
    assert!(dump.contains("dispatcher_sighup_rejected 1\n"), "{dump}");
    assert!(dump.contains("dispatcher_sighup_applied 1\n"), "{dump}");
    peer.page(&pull[1], "OK pages=1", "1\tx\ty\n");
    assert!(matches!(client.got(), Got::Rows(_)));
    let dump = call(ops, "DUMP");
    assert!(dump.contains("dispatcher_outstanding 0\n"), "{dump}");
    assert!(dump.contains(r#"dispatcher_results{disposition="succeeded",service="read"} 1"#), "{dump}");
}
