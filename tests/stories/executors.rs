//! Executors: pages, failed attempts, malformed and unexpected answers.

use super::*;

// A client may send everything before it reads, the result may have more packets than sequence ids, and no row may be
// sent before the last page has arrived.
#[test]
fn a_long_result_in_pages_is_served_whole() {
    let executor = Executor::new();
    let (d, _coordinator) = dispatcher(&[("e1", executor.address)]);
    let mut client = Client::asks(d.address, READ);
    let mut peer = executor.accept();
    let pull = peer.command().unwrap();
    assert_eq!((pull[0].as_str(), pull[1].as_str()), ("PULL", "00000000000000a1"));
    assert!(pull[2].starts_with("kind=read,ms=1"), "{}", pull[2]);
    assert_eq!(pull[3], "SELECT a FROM sales_7.t");
    let rows = "1\tx\ty\n".repeat(200);
    peer.page(&pull[1], "OK pages=3", &rows);
    for page in ["1", "2"] {
        assert_eq!(peer.command().unwrap(), ["SCROLL", "00000000000000a1", page]);
        peer.page(&pull[1], &format!("ROWS page={page}"), &rows);
    }
    assert_eq!(client.got(), Got::Rows(vec![row(["1", "x", "y"]); 600]));
}

// An executor lost between two pages is a failed attempt: the request is retried elsewhere, and the client sees nothing
// of the first result.
#[test]
fn an_executor_lost_between_pages_is_made_up_for() {
    let executors = [Executor::new(), Executor::new()];
    let (d, _coordinator) = dispatcher(&[("e1", executors[0].address), ("e2", executors[1].address)]);
    let mut client = Client::asks(d.address, READ);
    let (tell, told) = std::sync::mpsc::channel();
    for executor in executors {
        let tell = tell.clone();
        std::thread::spawn(move || {
            let mut peer = executor.accept();
            while let Some(command) = peer.command() {
                tell.send((command, peer)).unwrap();
                peer = executor.accept();
            }
        });
    }
    let (pull, mut first) = told.recv().unwrap();
    first.page(&pull[1], "OK pages=2", "lost\tx\ty\n");
    assert_eq!(first.command().unwrap()[0], "SCROLL");
    drop(first);
    let (pull, mut second) = told.recv().unwrap();
    second.page(&pull[1], "OK pages=1", "1\t\ty\n");
    assert_eq!(client.got(), Got::Rows(vec![row(["1", "", "y"])]));
}

// A non-idempotent request that may have run is failed and not rejected, as a rejection invites a retry.
#[test]
fn a_load_that_may_have_run_is_failed_and_one_that_never_ran_is_refused() {
    let executor = Executor::new();
    let (d, _coordinator) = dispatcher(&[("e1", executor.address)]);
    let mut client = Client::asks(d.address, LOAD);
    let mut peer = executor.accept();
    assert_eq!(peer.command().unwrap()[0], "PULL");
    drop(peer);
    assert!(matches!(client.got(), Got::Error(1105, _)));
    // A bound port without a listener refuses connections, which proves that nothing ran.
    let held = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    held.bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().unwrap().into()).unwrap();
    let (d, _coordinator) = dispatcher(&[("e1", held.local_addr().unwrap().as_socket().unwrap())]);
    let mut client = Client::asks(d.address, LOAD);
    let got = client.got();
    let Got::Error(1203, text) = &got else { panic!("{got:?}") };
    let backoff = text.split("backoff=").nth(1).and_then(|ms| ms.parse::<u64>().ok());
    assert!(backoff.is_some_and(|ms| ms <= 1000), "{text}");
}

// KILL QUERY arrives on another session and cancels the request; no answer is due any more. An id of another dispatcher
// or an earlier incarnation is unknown and must not affect any client.
#[test]
fn a_killed_request_stops_at_its_executor() {
    let executor = Executor::new();
    let (d, _coordinator) = dispatcher(&[("e1", executor.address)]);
    let mut client = Client::asks(d.address, READ);
    let mut peer = executor.accept();
    let pull = peer.command().unwrap();
    let mut other = Client::asks(d.address, &format!("KILL QUERY {}", client.id.wrapping_add(77)));
    assert!(matches!(other.got(), Got::Error(1094, _)));
    other.ask(&format!("KILL QUERY {}", client.id));
    assert_eq!(other.got(), Got::Ok);
    assert_eq!(peer.command().unwrap(), ["KILL", pull[1].as_str()]);
    assert!(matches!(client.got(), Got::Error(1317, _)));
    // A late answer to the cancelled id may arrive on the reused connection.
    client.ask(&READ.replace("a1", "a2"));
    let next = peer.command().unwrap();
    peer.page(&pull[1], "OK pages=1", "late\tx\ty\n");
    peer.page(&next[1], "OK pages=1", "new\tx\ty\n");
    assert_eq!(client.got(), Got::Rows(vec![row(["new", "x", "y"])]));
    // Every request has a new id: a reused id must not run again.
    client.ask(&READ.replace("sales_7", "sales_8"));
    assert!(matches!(client.got(), Got::Error(1105, _)));
}

// Attempts used to be lost to valid answers followed by unexpected ones: duplicate answers and answers under unknown ids
// are dropped, and other attempts on the connection continue.
#[test]
fn what_nobody_asked_for_is_dropped_and_costs_nothing() {
    let executor = Executor::new();
    let (d, _coordinator) = dispatcher(&[("e1", executor.address)]);
    let mut client = Client::asks(d.address, READ);
    let mut peer = executor.accept();
    let pull = peer.command().unwrap();
    peer.page("feedfacefeedface", "OK -", "no rows at all");
    peer.page("pfeedface", "UP gauges=inflight:9", "");
    for _ in 0..2 {
        peer.page(&pull[1], "OK pages=2", "1\tx\ty\n");
    }
    assert_eq!(peer.command().unwrap()[0], "SCROLL");
    peer.page(&pull[1], "ROWS page=1", "2\tx\ty\n");
    assert_eq!(client.got(), Got::Rows(vec![row(["1", "x", "y"]), row(["2", "x", "y"])]));
    peer.page(&pull[1], "ROWS page=1", "2\tx\ty\n");
    client.ask(&READ.replace("a1", "a2"));
    let pull = peer.command().unwrap();
    peer.page(&pull[1], "OK pages=1", "3\tx\ty\n");
    assert_eq!(client.got(), Got::Rows(vec![row(["3", "x", "y"])]));
}

// A malformed answer closes its connection, on which a non-idempotent request would fail too: that one uses another
// connection. The read is retried after a malformed or truncated answer even if there is no other executor.
#[test]
fn a_spoilt_answer_takes_nothing_else_along() {
    let executor = Executor::new();
    let (d, _coordinator) = dispatcher(&[("e1", executor.address)]);
    let mut load = Client::asks(d.address, LOAD);
    let mut held = executor.accept();
    let load_pull = held.command().unwrap();
    let mut client = Client::asks(d.address, &READ.replace("est=10", "est=2000"));
    for spoilt in ["OK pages=1 3000000000\r\nx", "OK pages=1 6\r\n1\t"] {
        let mut peer = executor.accept();
        let pull = peer.command().unwrap();
        peer.say(&format!("{} {spoilt}", pull[1]));
        assert!(peer.command().is_none(), "{spoilt:?} ends its connection");
    }
    let mut peer = executor.accept();
    for (peer, pull) in [(&mut peer, None), (&mut held, Some(load_pull))] {
        let pull = pull.unwrap_or_else(|| peer.command().unwrap());
        peer.page(&pull[1], "OK pages=1", "1\tx\ty\n");
    }
    assert_eq!(client.got(), Got::Rows(vec![row(["1", "x", "y"])]));
    assert_eq!(load.got(), Got::Rows(vec![row(["1", "x", "y"])]));
}

// A connection that stayed open but silent used to hold its requests, and a load also the next request of its key, until
// their deadline. Its attempts are ended once the executor answers on other connections.
#[test]
fn a_mute_connection_is_given_up_when_its_executor_lives() {
    let executor = Executor::new();
    let (d, _coordinator) = dispatcher(&[("e1", executor.address)]);
    let mut client = Client::asks(d.address, LOAD);
    let mut mute = executor.accept();
    mute.command().unwrap();
    // Requests on all other connections are answered.
    std::thread::spawn(move || {
        loop {
            let mut peer = executor.accept();
            std::thread::spawn(move || {
                while let Some(command) = peer.command() {
                    peer.page(&command[1], "OK pages=1", "1\tx\ty\n");
                }
            });
        }
    });
    for n in 2..9 {
        let mut other = Client::asks(d.address, &READ.replace("a1", &format!("a{n}")));
        assert_eq!(other.got(), Got::Rows(vec![row(["1", "x", "y"])]));
        std::thread::sleep(std::time::Duration::from_millis(300));
    }
    client.stream.set_read_timeout(Some(std::time::Duration::from_secs(5))).unwrap();
    assert!(matches!(client.got(), Got::Error(1105, _)), "it may have run");
}

// A vanished machine sends nothing: the dispatcher's own timeout answers before the client's deadline.
#[test]
fn silence_ends_by_our_own_clock() {
    let executor = Executor::new();
    let (d, _coordinator) = dispatcher(&[("e1", executor.address)]);
    let from = std::time::Instant::now();
    let mut client = Client::asks(d.address, &READ.replace("15000", "3000"));
    assert!(matches!(client.got(), Got::Error(1203, _)));
    assert!(from.elapsed().as_millis() < 3000);
}
