use super::*;
use crate::clock::Clock;
use crate::codec::coordinator::Target;
use crate::dispatch::{AttemptEnd, AttemptTerms, LoadReport, NeverSentReason};
use crate::net::event_loop::event_source::EventSource;
use crate::net::event_loop::poll::Poll;
use std::net::TcpListener;

mod never_sent;

const TRANSPORT: Transport = Transport {
    max_open_requests: 9,
    streams_per_conn: 1,
    conn_idle: 30_000_000,
    dial_timeout: 250_000,
    probes: true,
    progress: Some(1_000_000),
};

fn update_endpoint(
    e: &mut Executors,
    at: &TcpListener,
    state: State,
    boot_ms: u64,
    now: Micros,
    poll: &Poll,
) {
    let endpoint = at.local_addr().ok();
    let (uid, az, model) = ("e1".to_string(), String::new(), String::new());
    let target =
        Target { uid, endpoint, az, model, pod_group: 0, state, capacity_hint: None, boot_ms, weight: None };
    e.apply_endpoints(&[target], false, now, poll);
}

fn start(e: &mut Executors, request: u64, now: Micros, poll: &Poll) -> AttemptId {
    let attempt_id = AttemptId { request, attempt: 0 };
    let job = Job { class_name: "read".into(), statement: "SELECT 1".into(), token: None };
    let deadline = now + 9_000_000;
    let terms = AttemptTerms { memory_mb: 0.0, priority: 1, deadline, begin_by: deadline };
    e.start(attempt_id, executor_id("e1"), job, terms, now, poll);
    attempt_id
}

// A pull that waits for its connection must not be sent seconds after the executor started to drain: it is withdrawn
// while that still proves that it never ran.
#[test]
fn a_queued_pull_is_withdrawn_when_its_executor_drains() {
    let (poll, pool) = (Poll::new().unwrap(), Pool::new(0));
    let at = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut e = Executors::new(TRANSPORT, 9, 7, &pool, Clock::manual(Default::default()));
    update_endpoint(&mut e, &at, State::Up, 0, 1, &poll);
    let attempt_id = start(&mut e, 7, 2, &poll);
    assert!(e.events.is_empty());
    update_endpoint(&mut e, &at, State::Draining, 0, 3, &poll);
    assert!(
        matches!(e.events.pop_front(), Some(NetworkEvent::AttemptEnded(t, AttemptEnd::NeverSent(NeverSentReason::ExecutorChanged), _)) if t == attempt_id)
    );
    let key = *e.connections.keys().next().unwrap();
    e.ready(key, false, true, 4, &poll);
    assert!(e.connections[&key].queue.is_empty() && e.connections[&key].outbox.is_empty());
}

// The same for a changed address: a pull that waits for a connection to the old address would reach another process.
#[test]
fn a_queued_pull_is_withdrawn_when_its_executor_moves() {
    let (poll, pool) = (Poll::new().unwrap(), Pool::new(0));
    let [old, new] = [0; 2].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let mut e = Executors::new(TRANSPORT, 9, 7, &pool, Clock::manual(Default::default()));
    update_endpoint(&mut e, &old, State::Up, 0, 1, &poll);
    let attempt_id = start(&mut e, 7, 2, &poll);
    update_endpoint(&mut e, &new, State::Up, 0, 3, &poll);
    assert!(
        matches!(e.events.pop_front(), Some(NetworkEvent::AttemptEnded(t, AttemptEnd::NeverSent(NeverSentReason::ExecutorChanged), _)) if t == attempt_id)
    );
}

// A restarted process knows nothing of the attempts on connections from before its start, only of those since. A full
// connection accepts no further attempt, and a connect that never completes proves that nothing ran.
#[test]
fn a_restart_ends_older_connections_only() {
    let (poll, pool) = (Poll::new().unwrap(), Pool::new(0));
    let at = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut e = Executors::new(TRANSPORT, 2, 7, &pool, Clock::manual(Default::default()));
    update_endpoint(&mut e, &at, State::Up, 0, 1, &poll);
    let old = start(&mut e, 7, 1_000, &poll);
    let old_key = *e.connections.keys().next().unwrap();
    while !e.connections[&old_key].connected {
        e.ready(old_key, false, true, 1_001, &poll);
    }
    assert!(matches!(e.events.pop_front(), Some(NetworkEvent::AttemptBegun(t)) if t == old));
    let new = start(&mut e, 8, 9_000, &poll);
    let rejected = start(&mut e, 9, 9_000, &poll);
    // All connections are in use. That is no fault of the executor, which must not be avoided for it.
    assert!(
        matches!(e.events.pop_front(), Some(NetworkEvent::AttemptEnded(t, AttemptEnd::NotRun, _)) if t == rejected)
    );
    update_endpoint(&mut e, &at, State::Up, 5, 10_000, &poll);
    assert!(
        matches!(e.events.pop_front(), Some(NetworkEvent::AttemptEnded(t, AttemptEnd::ConnectionLost, _)) if t == old)
    );
    assert!(e.events.is_empty() && e.attempt_connections.contains_key(&new));
    e.tick(9_000 + TRANSPORT.dial_timeout, &poll);
    assert!(
        matches!(e.events.pop_front(), Some(NetworkEvent::AttemptEnded(t, AttemptEnd::NeverSent(NeverSentReason::ConnectFailed), _)) if t == new)
    );
}

// Where executors report their load in every answer and are never probed, the dispatch module got no load at all when
// gauges were read from probes only. The load report of an answer must be passed on.
#[test]
fn the_load_report_of_an_answer_is_passed_on() {
    use std::io::{Read, Write};
    let (poll, pool) = (Poll::new().unwrap(), Pool::new(0));
    let at = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut e = Executors::new(TRANSPORT, 9, 7, &pool, Clock::manual(Default::default()));
    update_endpoint(&mut e, &at, State::Up, 0, 1, &poll);
    let attempt_id = start(&mut e, 0x2a, 2, &poll);
    let key = *e.connections.keys().next().unwrap();
    let (mut executor, _) = at.accept().unwrap();
    let mut seen = Vec::new();
    while !seen.windows(4).any(|w| w == b"PULL") {
        e.ready(key, false, true, 3, &poll);
        let mut chunk = [0u8; 512];
        executor.set_read_timeout(Some(std::time::Duration::from_millis(50))).unwrap();
        if let Ok(n) = executor.read(&mut chunk) {
            seen.extend_from_slice(&chunk[..n]);
        }
    }
    assert!(matches!(e.events.pop_front(), Some(NetworkEvent::AttemptBegun(t)) if t == attempt_id));
    executor.write_all(b"2a BUSY gauges=inflight:7;util:0.61 0\r\n\r\n").unwrap();
    while e.events.is_empty() {
        e.ready(key, true, false, 4, &poll);
    }
    let load = LoadReport { inflight: Some(7.0), util: Some(0.61), ..LoadReport::default() };
    let found = e.events.pop_front();
    assert!(
        matches!(found, Some(NetworkEvent::AttemptEnded(t, AttemptEnd::Rejected, Some(l))) if t == attempt_id && l == load)
    );
}
