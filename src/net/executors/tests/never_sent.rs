//! The reasons for which no byte of an attempt is written.

use super::*;
use crate::dispatch::ProbeOutcome;
use socket2::SockRef;
use std::net::TcpStream;

/// An executor to which no connection comes up until [`Narrow::widen`] is called.
struct Narrow {
    listener: TcpListener,
    filler: TcpStream,
}

impl Narrow {
    fn new() -> Narrow {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        SockRef::from(&listener).listen(0).unwrap();
        let filler = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        Narrow { listener, filler }
    }
}

fn executors(max_connections: usize, pool: &Pool) -> Executors {
    Executors::new(TRANSPORT, max_connections, 7, pool, Clock::manual(Default::default()))
}

fn assert_never_sent(e: &mut Executors, id: AttemptId, reason: NeverSentReason) {
    let found = e.events.pop_front();
    assert!(
        matches!(found, Some(NetworkEvent::AttemptEnded(t, AttemptEnd::NeverSent(found), _)) if t == id && found == reason),
        "not {reason:?}"
    );
}

// A connect that is still in progress was reported as failed, which ejected the executor, if the request ended or
// its latest start passed. It is reported as failed once it fails, also if no attempt waits for it any more.
#[test]
fn a_withdrawn_attempt_says_nothing_about_its_executor() {
    let (poll, pool, narrow) = (Poll::new().unwrap(), Pool::new(0), Narrow::new());
    let mut e = executors(9, &pool);
    update_endpoint(&mut e, &narrow.listener, State::Up, 0, 1, &poll);
    let closed = start(&mut e, 7, 2, &poll);
    e.withdraw(closed, NeverSentReason::RequestClosed, 3, &poll);
    assert_never_sent(&mut e, closed, NeverSentReason::RequestClosed);
    let id = AttemptId { request: 8, attempt: 0 };
    let job = Job { class_name: "read".into(), statement: "SELECT 1".into(), token: None };
    let terms = AttemptTerms { memory_mb: 0.0, priority: 1, deadline: 9_000_000, begin_by: 50_000 };
    e.start(id, executor_id("e1"), job, terms, 4, &poll);
    e.tick(50_001, &poll);
    assert_never_sent(&mut e, id, NeverSentReason::StartExpired);
    assert!(e.events.is_empty());
    e.tick(4 + TRANSPORT.dial_timeout, &poll);
    let failed = e.events.pop_front();
    assert!(matches!(failed, Some(NetworkEvent::ConnectFailed(id)) if id == executor_id("e1")));
    drop(narrow.filler);
}

#[test]
fn a_refused_connect_is_a_failed_connection() {
    let (poll, pool) = (Poll::new().unwrap(), Pool::new(0));
    let closed = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut e = executors(9, &pool);
    update_endpoint(&mut e, &closed, State::Up, 0, 1, &poll);
    drop(closed);
    let id = start(&mut e, 7, 2, &poll);
    while e.events.is_empty() {
        let Some(key) = e.connections.keys().next().copied() else { break };
        e.ready(key, false, true, 3, &poll);
    }
    assert_never_sent(&mut e, id, NeverSentReason::ConnectFailed);
}

// A process that restarts while a connection to it is being established was ejected right after its start.
#[test]
fn a_restart_during_a_connect_is_no_failed_connection() {
    let (poll, pool, narrow) = (Poll::new().unwrap(), Pool::new(0), Narrow::new());
    let mut e = executors(9, &pool);
    update_endpoint(&mut e, &narrow.listener, State::Up, 0, 1, &poll);
    let id = start(&mut e, 7, 1_000, &poll);
    e.probe(executor_id("e1"), 1_001, &poll);
    update_endpoint(&mut e, &narrow.listener, State::Up, 5, 10_000, &poll);
    assert_never_sent(&mut e, id, NeverSentReason::ExecutorChanged);
    let probe = e.events.pop_front();
    assert!(matches!(probe, Some(NetworkEvent::ProbeFinished(_, ProbeOutcome::Unknown, _))));
    assert!(e.events.is_empty());
}

// The connect to an address that the executor has left may fail; that says nothing about the executor.
#[test]
fn a_connect_to_an_old_address_does_not_count() {
    let (poll, pool, narrow) = (Poll::new().unwrap(), Pool::new(0), Narrow::new());
    let new = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut e = executors(9, &pool);
    update_endpoint(&mut e, &narrow.listener, State::Up, 0, 1, &poll);
    let id = start(&mut e, 7, 2, &poll);
    update_endpoint(&mut e, &new, State::Up, 0, 3, &poll);
    assert_never_sent(&mut e, id, NeverSentReason::ExecutorChanged);
    e.tick(3 + TRANSPORT.dial_timeout, &poll);
    assert!(e.events.is_empty());
}

#[test]
fn an_unlisted_executor_is_told_apart() {
    let (poll, pool) = (Poll::new().unwrap(), Pool::new(0));
    let mut e = executors(9, &pool);
    let id = start(&mut e, 7, 2, &poll);
    assert_never_sent(&mut e, id, NeverSentReason::ExecutorUnlisted);
}
