//! The process or its machine is suspended while several events arrive. Disconnects and cancellations must be
//! processed before any request starts, whatever their order of arrival.

use super::*;
use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;

/// Longer than an attempt may start after its client has left.
const SUSPENSION: Duration = Duration::from_millis(400);

/// Suspends the process, runs `what`, and resumes the process after [`SUSPENSION`].
fn while_suspended(dispatcher: &Dispatcher, what: impl FnOnce()) {
    dispatcher.stands_still();
    what();
    std::thread::sleep(SUSPENSION);
    dispatcher.goes_on();
}

/// A dispatcher with an established idle connection to an executor, so that a started attempt is written
/// immediately.
fn with_idle_connection(executor: &Executor) -> (Dispatcher, Coordinator, Peer) {
    let (dispatcher, coordinator) = quiet(&[("e1", executor.address)]);
    let mut client = Client::asks(dispatcher.address, &request("read", "a0"));
    let mut peer = executor.accept();
    let pull = peer.command().unwrap();
    peer.page(&pull[1], "OK pages=1", "1\tx\ty\n");
    assert_eq!(client.got(), row());
    (dispatcher, coordinator, peer)
}

fn logged_in_client(dispatcher: &Dispatcher) -> Client {
    let mut client = Client::asks(dispatcher.address, "SET NAMES utf8mb4");
    assert_eq!(client.got(), Got::Ok);
    client
}

/// Sends another request and asserts that it is the first one to reach the executor.
fn assert_next_request_is_first(dispatcher: &Dispatcher, peer: &mut Peer) {
    let mut next = Client::asks(dispatcher.address, &request("read", "af"));
    let pull = peer.command().unwrap();
    assert_eq!(pull[1], "00000000000000af", "{pull:?}");
    peer.page(&pull[1], "OK pages=1", "1\tx\ty\n");
    assert_eq!(next.got(), row());
}

// A request and the client's end of stream were both pending in a socket. Only the request used to be read,
// and it started for a client that had left.
#[test]
fn a_request_followed_by_a_disconnect_does_not_start() {
    let executor = Executor::new();
    let (dispatcher, _coordinator, mut peer) = with_idle_connection(&executor);
    let (mut closes, mut shuts, mut quits) =
        (logged_in_client(&dispatcher), logged_in_client(&dispatcher), logged_in_client(&dispatcher));
    while_suspended(&dispatcher, || {
        closes.ask(&request("load", "a1"));
        drop(closes);
        shuts.ask(&request("read", "a2"));
        shuts.stream.shutdown(Shutdown::Write).unwrap();
        quits.ask(&request("load", "a3"));
        quits.stream.write_all(&[1, 0, 0, 0, 1]).unwrap();
        quits.stream.shutdown(Shutdown::Write).unwrap();
    });
    assert_next_request_is_first(&dispatcher, &mut peer);
}

// A KILL arrives on its own connection, which may not even be accepted when the killed request is read. The
// request used to start and to be cancelled immediately afterwards.
#[test]
fn a_request_killed_before_it_was_read_does_not_start() {
    let executor = Executor::new();
    let (dispatcher, _coordinator, mut peer) = with_idle_connection(&executor);
    let mut client = logged_in_client(&dispatcher);
    // More connections than one batch accepts are queued before the one that sends KILL.
    let mut waits = Vec::new();
    let id = client.id;
    let mut killer = None;
    while_suspended(&dispatcher, || {
        client.ask(&request("load", "a1"));
        waits.extend((0..100).map(|_| std::net::TcpStream::connect(dispatcher.address).unwrap()));
        killer = Some(Client::writes(dispatcher.address, &format!("KILL QUERY {id}")));
    });
    assert!(matches!(client.got(), Got::Error(1317, _)));
    assert_next_request_is_first(&dispatcher, &mut peer);
    drop((waits, killer));
}

// An executor closed its connection while the process was suspended. A load used to be written to it anyway
// and failed, as it might have run. The close must be processed first, and the load sent on an open
// connection.
#[test]
fn nothing_is_written_to_a_connection_with_a_pending_close() {
    let executor = Executor::new();
    let (dispatcher, _coordinator, peer) = with_idle_connection(&executor);
    let mut client = logged_in_client(&dispatcher);
    while_suspended(&dispatcher, || {
        client.ask(&request("load", "a1"));
        drop(peer);
    });
    let mut other = executor.accept();
    let pull = other.command().unwrap();
    assert_eq!(pull[1], "00000000000000a1");
    other.page(&pull[1], "OK pages=1", "1\tx\ty\n");
    assert_eq!(client.got(), row());
}

// An event that an executor drains is pending while requests are read: none of them may go to that executor.
// This also held before the order of processing within a turn was fixed, because unwritten requests were
// taken back.
#[test]
fn pending_drains_are_processed_before_requests_start() {
    let (executor, other, old) = (Executor::new(), Executor::new(), Executor::new());
    let (mut dispatcher, coordinator) = quiet(&[("e0", old.address)]);
    let (mut feed, _) = coordinator.accept();
    let list = [target("e0", old.address, "draining"), target("e1", executor.address, "up")];
    writeln!(feed, "{}", event(2, false, &list)).unwrap();
    dispatcher.logs("executor listed anew");
    let mut first = Client::asks(dispatcher.address, &request("read", "b9"));
    let mut peer = executor.accept();
    let pull = peer.command().unwrap();
    peer.page(&pull[1], "OK pages=1", "1\tx\ty\n");
    assert_eq!(first.got(), row());
    let list = [target("e0", old.address, "removed"), target("e2", other.address, "up")];
    writeln!(feed, "{}", event(3, false, &list)).unwrap();
    dispatcher.logs("executor listed anew");
    let mut clients: Vec<Client> = (0..8).map(|_| logged_in_client(&dispatcher)).collect();
    let drains = event(4, false, &[target("e1", executor.address, "draining")]);
    while_suspended(&dispatcher, || {
        for (n, client) in clients.iter_mut().enumerate() {
            client.ask(&request("read", &format!("b{n}")).replace("sales_7", &format!("sales_{n}")));
        }
        writeln!(feed, "{drains}").unwrap();
    });
    std::thread::spawn(move || {
        loop {
            let mut peer = other.accept();
            std::thread::spawn(move || {
                while let Some(pull) = peer.command() {
                    peer.page(&pull[1], "OK pages=1", "1\tx\ty\n");
                }
            });
        }
    });
    assert!(clients.iter_mut().all(|c| c.got() == row()), "no request goes to the draining executor");
}

// A client is not read for a while after errors. Its next request and its end of stream were both pending in
// the socket, and only the request used to be read after the pause, long after the client had left.
#[test]
fn a_request_whose_client_closed_during_a_pause_does_not_start() {
    let executor = Executor::new();
    let (dispatcher, _coordinator, mut peer) = with_idle_connection(&executor);
    let mut client = logged_in_client(&dispatcher);
    for _ in 0..6 {
        client.ask("SELECT a FROM t");
        assert!(matches!(client.got(), Got::Error(1064, _)));
    }
    client.ask(&request("load", "a1"));
    drop(client);
    // Longer than the pause after the sixth error.
    std::thread::sleep(3 * SUSPENSION);
    assert_next_request_is_first(&dispatcher, &mut peer);
}

// Found by the soak (seed 39): a load on an idle connection is followed by one with the same key on a new
// connection, while the process is suspended and another connection waits to be accepted. Accepting used to
// read all pending connections, and with them the later load before the earlier one.
#[test]
fn key_order_holds_across_idle_and_new_connections() {
    let executor = Executor::new();
    let keeps_order = (r#""effect":"non_idempotent""#, r#""effect":"non_idempotent","keepOrder":true"#);
    let mut launch = launch();
    launch.settings = Quiet::default().json().replace(keeps_order.0, keeps_order.1);
    assert!(launch.settings.contains(keeps_order.1));
    let (dispatcher, _coordinator) = launch.dispatcher(&[("e1", executor.address)]);
    let load = |digits| request("load", digits).replace("est=", "obj=00000000000000ee,est=");
    let mut resting = Client::asks(dispatcher.address, "SET NAMES utf8mb4");
    assert_eq!(resting.got(), Got::Ok);
    dispatcher.stands_still();
    let _waits = std::net::TcpStream::connect(dispatcher.address).expect("a backlog");
    resting.ask(&load("f1"));
    arrived(&resting.stream);
    let new = Client::writes(dispatcher.address, &load("f2"));
    arrived(&new.stream);
    dispatcher.goes_on();
    let mut peer = executor.accept();
    assert!(peer.command().expect("a pull")[1].ends_with("f1"), "the earlier one runs first");
}
