//! Injected system call failures, as documented by Linux: each accepted request gets exactly one complete
//! answer.

use super::*;
use crate::net::sockets::dial;
use crate::net::sockets::system_calls::Call;
use crate::net::sockets::system_calls::tests::{FaultPlan, install};
use std::io;
use std::net::TcpListener;

/// Sends six requests and returns their answers; asserts that each gets exactly one answer.
fn send_requests(dispatcher: &RunningDispatcher, client: u64, without_descriptors: bool) -> Vec<(u64, Got)> {
    let mut all = Vec::new();
    for n in 0..6 {
        let rid = 0x1000 * (client + 1) + n;
        let class = CLASSES[(n % 3) as usize];
        // Each request uses a new connection, because accept is one of the failing calls.
        let mut c = Client::says(dispatcher.address, &request(class, rid, 10_000));
        assert_eq!(c.got(), Got::Ok, "logged in");
        all.push((rid, c.got()));
        let next = c.try_ask("SET NAMES utf8mb4").map_or(Got::Closed, |()| c.got());
        // An idle connection may be closed to free its descriptor.
        let closed = without_descriptors && next == Got::Closed;
        assert!(closed || next == Got::Ok, "one answer to {rid:x}, and the next, not {next:?}");
    }
    all
}

/// Runs clients against a dispatcher in which one in `one_in` calls of a kind fails.
fn each_request_has_one_answer(call: Call, error: Option<i32>, one_in: u32) {
    let plan = FaultPlan { call, error, one_in };
    let mut dispatcher =
        RunningDispatcher::start(Duration::from_millis(10), &Quiet::default(), move || install(plan));
    let answers: Vec<(u64, Got)> = std::thread::scope(|scope| {
        let dispatcher = &dispatcher;
        let without_descriptors = matches!(error, Some(libc::EMFILE | libc::ENFILE));
        let asks = move |c| scope.spawn(move || send_requests(dispatcher, c, without_descriptors));
        let clients: Vec<_> = (0..4).map(asks).collect();
        clients.into_iter().flat_map(|c| c.join().unwrap()).collect()
    });
    dispatcher.terminate();
    let failed = dispatcher.join();
    assert!(failed > 0, "{plan:?} caused no failure");
    for (rid, got) in answers {
        let refused = matches!(&got, Got::Error(1203, text) if text.contains("backoff="));
        assert!(!refused || error != Some(libc::EINTR), "{plan:?}: {rid:x} refused for an interrupted call");
        assert!(is_result(&got, rid) || refused, "{plan:?}: {rid:x} got {got:?}");
        let runs = dispatcher.run_count(rid);
        let class = CLASSES[(rid % 0x1000 % 3) as usize];
        assert!(class != "load" || runs <= 1, "{plan:?}: load {rid:x} ran {runs} times");
        assert!(!refused || class != "load" || runs == 0, "{plan:?}: {rid:x} ran and was refused");
    }
}

#[test]
fn accept() {
    let passing = [
        libc::EINTR,
        libc::ECONNABORTED,
        libc::EPROTO,
        libc::ENETDOWN,
        libc::ENETUNREACH,
        libc::EHOSTUNREACH,
        libc::ENFILE,
        libc::EMFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EAGAIN,
    ];
    passing.into_iter().for_each(|error| each_request_has_one_answer(Call::Accept, Some(error), 3));
}

#[test]
fn socket_and_connect() {
    for error in [libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::ENOMEM] {
        each_request_has_one_answer(Call::Socket, Some(error), 2);
    }
    for error in [libc::EINTR, libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS, libc::EAGAIN] {
        each_request_has_one_answer(Call::Connect, Some(error), 2);
    }
}

#[test]
fn reads() {
    for error in [libc::EINTR, libc::EAGAIN, libc::ENOMEM, libc::ENOBUFS] {
        each_request_has_one_answer(Call::Read, Some(error), 3);
        each_request_has_one_answer(Call::Read, Some(error), 2);
    }
    each_request_has_one_answer(Call::Read, None, 2);
    each_request_has_one_answer(Call::Read, None, 1);
}

#[test]
fn writes() {
    for error in [libc::EINTR, libc::EAGAIN, libc::ENOMEM, libc::ENOBUFS] {
        each_request_has_one_answer(Call::Write, Some(error), 2);
    }
    each_request_has_one_answer(Call::Write, None, 2);
    each_request_has_one_answer(Call::Write, None, 1);
}

#[test]
fn watching_sockets() {
    for error in [libc::ENOMEM, libc::ENOSPC] {
        each_request_has_one_answer(Call::Watch, Some(error), 2);
        each_request_has_one_answer(Call::Rewatch, Some(error), 2);
    }
}

// A connect that failed locally used to be attributed to the executor, which was then taken out of service.
#[test]
fn local_connect_failures_are_not_attributed_to_the_executor() {
    for error in [libc::EADDRNOTAVAIL, libc::ENOBUFS, libc::ENETUNREACH, libc::EAGAIN, libc::ENOMEM] {
        assert!(system_calls::is_local_failure(&io::Error::from_raw_os_error(error)), "{error}");
    }
    for error in [libc::ECONNREFUSED, libc::EHOSTUNREACH, libc::ETIMEDOUT] {
        assert!(!system_calls::is_local_failure(&io::Error::from_raw_os_error(error)), "{error}");
    }
}

// A broken executor connection can report any of these errors: idempotent requests are retried, others fail.
#[test]
fn broken_executor_connections() {
    for error in [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET] {
        let plan = FaultPlan { call: Call::Read, error: Some(error), one_in: 7 };
        let mut dispatcher =
            RunningDispatcher::start(Duration::from_millis(10), &Quiet::default(), move || install(plan));
        for rid in 1..20 {
            let class = CLASSES[(rid % 3) as usize];
            let mut c = Client::says(dispatcher.address, &request(class, rid, 10_000));
            let answers = [c.got(), c.got()];
            // A client whose own connection broke gets no answer; a load runs at most once in any case.
            let answered = answers.iter().filter(|a| matches!(a, Got::Rows(_) | Got::Error(..))).count();
            assert!(answered <= 1, "{error}: {answers:?}");
            assert!(class != "load" || dispatcher.run_count(rid) <= 1);
        }
        dispatcher.terminate();
        assert!(dispatcher.join() > 0);
    }
}

// An interrupted connect continues in the background. It used to be treated as failed: the request went to
// another executor, and the failure was attributed to this one.
#[test]
fn an_interrupted_connect_continues() {
    install(FaultPlan { call: Call::Connect, error: Some(libc::EINTR), one_in: 1 });
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = dial::connect(listener.local_addr().unwrap()).expect("a connection that is coming up");
    let (accepted, _) = listener.accept().unwrap();
    assert_eq!(accepted.peer_addr().unwrap(), stream.local_addr().unwrap());
}
