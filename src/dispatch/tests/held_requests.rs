use super::*;

/// Holds a request and returns its deadline.
fn hold(d: &mut Dispatch<()>, now: Micros, id: u64) -> Micros {
    assert!(d.hold(now, &request(id, BUDGET)).unwrap().is_empty());
    let due = d.pending[&id].deadline;
    assert!(now < due && due + 200_000 < now + BUDGET, "the request ends too close to the client's timeout");
    due
}

// The peers may never agree. A request that waits for them has to be rejected in time, as it never ran. A later
// agreement must neither run it nor answer it again.
#[test]
fn a_held_request_is_rejected_once_at_its_deadline() {
    let mut d = dispatch();
    let due = hold(&mut d, 2_000, 1);
    assert!(answers(&d.tick(due - 1)).is_empty() && d.open_requests() == 1);
    assert_eq!(answers(&d.tick(due)), [&Answer::Rejected(BACKOFF_MS)]);
    assert!(d.admit(due, 1).is_empty() && d.answer_held(due, 1, Answer::Served(())).is_empty());
    assert!(answers(&d.tick(due + BUDGET)).is_empty());
    let Counters { taken, refused, served, attempts, .. } = d.counters;
    assert_eq!((taken, refused, served, attempts), (1, 1, 0, 0));
    assert!(d.pending.is_empty() && d.held_requests.is_empty() && d.deadlines.is_empty());
}

// Agreement exactly at the deadline, before the tick, must not start the expired request nor prevent its answer. Before
// the deadline, the request is admitted exactly once.
#[test]
fn a_request_admitted_at_its_deadline_is_still_rejected() {
    let mut d = dispatch();
    let due = hold(&mut d, 2_000, 1);
    assert!(d.admit(due, 1).is_empty());
    assert_eq!(answers(&d.tick(due)), [&Answer::Rejected(BACKOFF_MS)]);
    let due = hold(&mut d, due, 2);
    let commands = d.admit(due - 1, 2);
    assert!(matches!(commands[..], [Command::StartAttempt { terms, .. }] if terms.deadline <= due));
    assert!(d.admit(due - 1, 2).is_empty() && d.answer_held(due, 2, Answer::Failed).is_empty());
}
