use super::*;

// A day was lost to one answer that came after its client had left: the end has to come well before the
// client's, and with it one answer, the right one, and the command to stop what is outstanding. What was begun may
// have run; what was not has not, and its client may retry.
#[test]
fn a_request_ends_once_and_well_before_its_client_leaves() {
    for (begun, answer) in [(true, Answer::Failed), (false, Answer::Refused(BACKOFF_MS))] {
        let mut d = dispatch();
        let attempt_id = AttemptId { request: 1, attempt: 0 };
        let commands = submit(&mut d, 2_000, 1);
        assert!(matches!(commands[..], [Command::StartAttempt { attempt_id: t, .. }] if t == attempt_id));
        if begun {
            assert!(d.handle(2_000, NetworkEvent::AttemptBegun(attempt_id)).is_empty());
        }
        let mut given = Vec::new();
        while d.open_requests() > 0 {
            let now = d.next_due().unwrap();
            assert!(now + 200_000 < 2_000 + BUDGET, "the end comes too near to the client's");
            given.extend(d.tick(now));
        }
        assert!(given.contains(&Command::StopAttempt(attempt_id)));
        assert_eq!(answers(&given), [&answer]);
        assert!(d.pending.is_empty() && d.deadlines.is_empty());
    }
}

// In the middle of a long turn only answers that are due are given; timers wait for the turn's end.
#[test]
fn what_is_due_is_answered_without_its_timers() {
    let mut d = dispatch();
    let mut keyed = request(1, BUDGET);
    keyed.key = Some(9);
    d.submit(2_000, &keyed).unwrap();
    let due = d.next_due().expect("a timer");
    let deadline = d.pending[&1].deadline;
    assert!(due < deadline && d.end_expired(deadline - 1).is_empty());
    let commands = d.end_expired(deadline);
    assert_eq!(answers(&commands), [&Answer::Refused(BACKOFF_MS)], "no byte of it was written");
    assert_eq!(d.next_due(), Some(due), "its timers still wait");
}
