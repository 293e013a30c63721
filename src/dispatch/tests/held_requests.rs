use super::*;

/// Holds a request; its deadline.
fn hold(d: &mut Dispatch<()>, now: Micros, id: u64) -> Micros {
    assert!(d.hold(now, &request(id, BUDGET)).unwrap().is_empty());
    let due = d.pending[&id].deadline;
    assert!(now < due && due + 200_000 < now + BUDGET, "the end comes too near to the client's");
    due
}

// Agreement of the peers may never come. A request that waits for it has to be refused in time, as it never ran, and
// agreement that comes after that must neither run it nor answer it a second time.
#[test]
fn a_held_request_is_refused_once_at_its_deadline() {
    let mut d = dispatch();
    let due = hold(&mut d, 2_000, 1);
    assert!(answers(&d.tick(due - 1)).is_empty() && d.open_requests() == 1);
    assert_eq!(answers(&d.tick(due)), [&Answer::Refused(BACKOFF_MS)]);
    assert!(d.admit(due, 1).is_empty() && d.answer_held(due, 1, Answer::Served(())).is_empty());
    assert!(answers(&d.tick(due + BUDGET)).is_empty());
    let Counters { taken, refused, served, attempts, .. } = d.counters;
    assert_eq!((taken, refused, served, attempts), (1, 1, 0, 0));
    assert!(d.pending.is_empty() && d.held_requests.is_empty() && d.deadlines.is_empty());
}

// Agreement that comes at the deadline itself, ahead of the tick, must not start what is over in the same moment, nor
// take its answer away. Before that the request goes on as any other, once.
#[test]
fn a_request_admitted_at_its_deadline_is_refused_all_the_same() {
    let mut d = dispatch();
    let due = hold(&mut d, 2_000, 1);
    assert!(d.admit(due, 1).is_empty());
    assert_eq!(answers(&d.tick(due)), [&Answer::Refused(BACKOFF_MS)]);
    let due = hold(&mut d, due, 2);
    let commands = d.admit(due - 1, 2);
    assert!(matches!(commands[..], [Command::StartAttempt { terms, .. }] if terms.deadline <= due));
    assert!(d.admit(due - 1, 2).is_empty() && d.answer_held(due, 2, Answer::Failed).is_empty());
}
