//! Many clients and few descriptors: idle connections must not block the coordinator watch or other requests.

use super::*;
use std::io::Write;
use std::net::TcpStream;

// Idle clients used to take all descriptors while discovery was down. Once it is back, the dispatcher must
// follow the list again and serve a request on an executor that only the new list names.
#[test]
fn idle_clients_block_neither_discovery_nor_requests() {
    let executor = Executor::new();
    for limit in [64, 40] {
        // With fewer descriptors than the shares need, the newest idle client is closed for the coordinator
        // watch.
        let program = env!("CARGO_BIN_EXE_ottercroft");
        let mut launch = Launch::new("sh", env!("CARGO_TARGET_TMPDIR"))
            .with(&["-c", &format!("ulimit -n {limit} && exec {program}")]);
        (launch.settings, launch.sockets) = (Quiet::default().json(), limit.max(64));
        let refusing = Refusing::new();
        let old = Executor::new();
        let mut dispatcher = launch.serving(&launch.config(refusing.address, &[("e0", old.address)]));
        dispatcher.logs("feed: lost");
        let mut crowd: Vec<Client> =
            (0..70).map(|_| Client::says(dispatcher.address, "SET NAMES utf8mb4")).collect();
        let silent: Vec<TcpStream> =
            (0..70).filter_map(|_| TcpStream::connect(dispatcher.address).ok()).collect();
        let within =
            crowd.iter_mut().filter_map(|c| (c.got() == Got::Ok && c.got() == Got::Ok).then_some(())).count();
        assert!(within > 8, "{within} clients accepted");
        let coordinator = refusing.coordinator();
        let (mut feed, line) = coordinator.accept();
        assert_eq!(line, "follow 1\n");
        let list = [target("e0", old.address, "draining"), target("e1", executor.address, "up")];
        writeln!(feed, "{}", event(2, false, &list)).unwrap();
        dispatcher.logs("executor listed anew");
        let mut client = Client::asks(dispatcher.address, &request("read", "d1"));
        let mut peer = executor.accept();
        let pull = peer.command().unwrap();
        peer.page(&pull[1], "OK pages=1", "1\tx\ty\n");
        assert_eq!(client.got(), row());
        drop((crowd, silent));
    }
}

// A silent connection used to be probed even if the settings do not permit probes. The command after the PULL
// of an unanswered request must be its KILL, sent at the dispatcher's own deadline.
#[test]
fn no_probes_are_sent_where_not_permitted() {
    let executor = Executor::new();
    let (dispatcher, _coordinator) = quiet(&[("e1", executor.address)]);
    let mut client =
        Client::asks(dispatcher.address, &request("load", "d2").replace("budget=15000", "budget=4000"));
    let mut peer = executor.accept();
    assert_eq!(peer.command().unwrap()[0], "PULL");
    assert_eq!(peer.line(), "KILL 00000000000000d2");
    assert!(matches!(client.got(), Got::Error(1105, _)), "it may have run");
}

// All client slots are taken by running requests, and more clients connect than may linger, each with its
// request already written. A request that was read must be answered, also on a new connection.
#[test]
fn a_request_beyond_the_client_limit_gets_a_rejection() {
    let executor = Executor::new();
    let mut launch = launch();
    launch.settings = Quiet::default().json();
    launch.sockets = 64;
    let (dispatcher, _coordinator) = launch.dispatcher(&[("e1", executor.address)]);
    // The client limit of a dispatcher with this many descriptors.
    let mut busy: Vec<Client> =
        (0x10..0x2c).map(|n| Client::asks(dispatcher.address, &request("read", &format!("{n:x}")))).collect();
    dispatcher.stands_still();
    let mut more: Vec<Client> = (0x30..0x44)
        .map(|n| Client::writes(dispatcher.address, &request("read", &format!("{n:x}"))))
        .collect();
    more.iter().for_each(|client| arrived(&client.stream));
    dispatcher.goes_on();
    for client in &mut more {
        // The greeting comes first, followed by the rejection.
        let mut all = Vec::new();
        let ended = std::io::Read::read_to_end(&mut client.stream, &mut all);
        assert!(all.windows(8).any(|w| w == b"backoff="), "{ended:?} after {} bytes", all.len());
    }
    assert_eq!(busy.len(), 28);
    drop(busy.pop());
}
