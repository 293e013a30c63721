//! Readiness after a restart, whichever component is unavailable.

use super::*;
use std::time::{Duration, Instant};

/// Connects, logs in and sends COM_PING, within the timeout of a front end.
fn ready(dispatcher: &Dispatcher) -> Client {
    use std::io::Write;
    let from = Instant::now();
    let mut client = Client::asks(dispatcher.address, "SET NAMES utf8mb4");
    assert_eq!(client.got(), Got::Ok);
    client.stream.write_all(&[1, 0, 0, 0, 0x0e]).unwrap();
    assert_eq!(client.got(), Got::Ok);
    assert!(from.elapsed() < Duration::from_secs(10), "ready late");
    client
}

fn without_known(config: &str) -> String {
    let (from, to) = (config.find("\"known\":").unwrap(), config.find("\"settings\":").unwrap());
    format!("{}\"known\":{{\"index\":0}},{}", &config[..from], &config[to..])
}

// A restart while discovery refuses connections, or accepts them but sends nothing, and no executors are
// known: logins are answered, and requests are rejected instead of kept waiting.
#[test]
fn ready_without_discovery_and_known_executors() {
    let launch = launch(&Quiet::default());
    let (refusing, silent) = (Refusing::new(), Coordinator::new());
    for coordinator in [refusing.address, silent.address] {
        let dispatcher = launch.serving(&without_known(&launch.config(coordinator, &[])));
        let mut client = ready(&dispatcher);
        for (n, class) in (1..).zip(CLASSES) {
            client.ask(&long_request(class, n));
            assert_error(&mut client, 1203);
        }
        // It also shuts down.
        let mut dispatcher = dispatcher;
        dispatcher.signal("TERM");
        assert!(dispatcher.ends());
    }
}

// A dispatcher without known executors gets the full list by the first event once discovery returns.
#[test]
fn the_first_event_without_known_executors() {
    let (launch, away, executor) = (launch(&Quiet::default()), Refusing::new(), Executor::new());
    let mut dispatcher = launch.serving(&without_known(&launch.config(away.address, &[])));
    dispatcher.logs("feed: lost");
    let mut client = ready(&dispatcher);
    let coordinator = away.coordinator();
    let (mut feed, line) = coordinator.accept();
    assert_eq!(line, "follow 0\n");
    use std::io::Write;
    writeln!(feed, "{}", event(1, true, &[target("e1", executor.address, "up")])).unwrap();
    writeln!(feed, "{}", event(2, false, &[target("e9", executor.address, "removed")])).unwrap();
    // The first listing is not logged, so requests with new ids are sent until the executor is used.
    let (mut rid, mut found) = (1, None);
    awaited("an executor", || {
        client.ask(&long_request("load", rid));
        awaited("an answer or a pull", || {
            found = executor.accepts();
            client.stream.set_nonblocking(true).unwrap();
            let answered = client.stream.peek(&mut [0]).is_ok();
            client.stream.set_nonblocking(false).unwrap();
            found.is_some() || answered
        });
        if found.is_none() {
            assert_error(&mut client, 1203);
            rid += 1;
        }
        found.is_some()
    });
    let mut peer = found.unwrap();
    let pull = expect_pull(&mut peer, rid);
    peer.page(&pull, "OK pages=1", ROW);
    assert_served(&mut client, ROW);
}

// All executors hang at startup: connections are not established, or carry nothing. Logins are answered at
// once, and requests by the dispatcher's own deadline.
#[test]
fn ready_while_all_executors_hang() {
    let [narrow, mute] = [0; 2].map(|_| Executor::new());
    let _filler = narrow.narrows();
    for executor in [&narrow, &mute] {
        let (dispatcher, _coordinator) = launch(&Quiet::default()).dispatcher(&[("e1", executor.address)]);
        let mut clients = [1, 2, 3]
            .map(|n| Client::asks(dispatcher.address, &request(CLASSES[n - 1], n as u64, 1_500, 100)));
        ready(&dispatcher);
        for client in &mut clients {
            assert!(matches!(client.got(), Got::Error(1203 | 1105, _)));
        }
        ready(&dispatcher);
    }
}
