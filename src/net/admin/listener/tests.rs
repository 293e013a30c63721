use super::*;
use crate::net::sockets::system_calls::Call as SystemCall;
use crate::net::sockets::system_calls::tests::{FaultPlan, install};
use std::time::Duration;

/// Number of events that are ready now.
fn ready_events(poll: &Poll) -> usize {
    let mut events = polling::Events::new();
    poll.wait(&mut events, Duration::ZERO).unwrap();
    events.iter().count()
}

// Without descriptors a caller stays in the backlog and the listener readable: the event loop asked it again at once, for as
// long as that lasted. It pauses instead, and the caller is accepted afterwards.
#[test]
fn accepting_pauses_while_descriptors_are_out() {
    let (poll, pool) = (Poll::new().unwrap(), Pool::new(0));
    let mut listener = AdminListener::bind("127.0.0.1:0".parse().unwrap(), 4, &poll, &pool).unwrap();
    let _caller = TcpStream::connect(listener.address().unwrap()).unwrap();
    let at = 1_000;
    assert_eq!(ready_events(&poll), 1);
    install(FaultPlan { call: SystemCall::Accept, error: Some(libc::EMFILE), one_in: 1 });
    assert!(listener.ready(listener.key, at, &poll).is_empty());
    assert_eq!(ready_events(&poll), 0, "not asked again at once");
    let due = listener.next_due().expect("a time to go on");
    assert!(due > at && due <= at + ACCEPT_PAUSE);
    listener.tick(due, &poll);
    assert_eq!((ready_events(&poll), listener.callers.len()), (0, 0), "still without descriptors");
    install(FaultPlan { call: SystemCall::Accept, error: Some(libc::EMFILE), one_in: u32::MAX });
    let due = listener.next_due().expect("a time to go on");
    listener.tick(due, &poll);
    assert_eq!((listener.callers.len(), listener.next_due()), (1, Some(due + CALLER_TIMEOUT)));
}
