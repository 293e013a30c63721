use super::*;

// Guards against an answer after the client's timeout, which once failed a whole day of the simulation. A request has
// to end well before its client gives up, with exactly one answer and a command to stop its outstanding attempt. An
// attempt that has begun may have run, so the request fails; otherwise it is rejected, and the client may retry.
#[test]
fn a_request_is_answered_once_well_before_its_client_gives_up() {
    for (begun, answer) in [(true, Answer::Failed), (false, Answer::Rejected(BACKOFF_MS))] {
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
            assert!(now + 200_000 < 2_000 + BUDGET, "the request ends too close to the client's timeout");
            given.extend(d.tick(now));
        }
        assert!(given.contains(&Command::StopAttempt(attempt_id)));
        assert_eq!(answers(&given), [&answer]);
        assert!(d.pending.is_empty() && d.deadlines.is_empty());
    }
}

// During a long turn of the event loop, only expired requests are answered; timers wait for the end of the turn.
#[test]
fn expired_requests_are_answered_without_firing_timers() {
    let mut d = dispatch();
    let mut keyed = request(1, BUDGET);
    keyed.key = Some(9);
    d.submit(2_000, &keyed).unwrap();
    let due = d.next_due().expect("a timer");
    let deadline = d.pending[&1].deadline;
    assert!(due < deadline && d.end_expired(deadline - 1).is_empty());
    let commands = d.end_expired(deadline);
    assert_eq!(answers(&commands), [&Answer::Rejected(BACKOFF_MS)], "no byte of it was written");
    assert_eq!(d.next_due(), Some(due), "its timers still wait");
}
