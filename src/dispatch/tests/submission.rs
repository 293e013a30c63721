use super::*;

// Guards against accepting more requests than fit into memory: beyond the limit they are rejected without consulting
// the balancer. The id of a pending request must not be accepted again.
#[test]
fn requests_beyond_the_limit_are_rejected_without_a_decision() {
    let mut d = dispatch();
    submit(&mut d, 2_000, 1);
    submit(&mut d, 2_000, 2);
    assert_eq!(answers(&submit(&mut d, 2_000, 3)), [&Answer::Rejected(BACKOFF_MS)]);
    let again = request(1, 1);
    assert!(d.submit(2_000, &again).is_err());
    // A client that disconnected gets no answer, even if a result arrives later.
    assert!(answers(&d.handle(3_000, NetworkEvent::ClientDisconnected(1))).is_empty());
    let end = NetworkEvent::AttemptEnded(AttemptId { request: 1, attempt: 0 }, AttemptEnd::Served(()), None);
    assert!(answers(&d.handle(4_000, end)).is_empty() && !d.pending.contains_key(&1));
    // A connection may be lost while the command to stop its attempt is carried out: the second end is ignored.
    assert!(
        d.handle(
            4_000,
            NetworkEvent::AttemptEnded(
                AttemptId { request: 1, attempt: 0 },
                AttemptEnd::ConnectionLost,
                None
            )
        )
        .is_empty()
    );
    // An attempt that has begun may have run; any other never ran.
    assert!(d.handle(4_500, NetworkEvent::AttemptBegun(AttemptId { request: 2, attempt: 0 })).is_empty());
    assert_eq!(answers(&d.end_all(5_000)), [&Answer::Failed]);
    submit(&mut d, 6_000, 4);
    let given = d.end_all(7_000);
    let withdrawn = |o: &Command<()>| matches!(o, Command::WithdrawAttempt(t) if t.request == 4);
    assert!(given.iter().any(withdrawn) && answers(&given) == [&Answer::Rejected(BACKOFF_MS)]);
}

// Two loads with the same key must not run concurrently: the second waits until the KILL of the first has had time to
// arrive.
#[test]
fn a_key_has_a_quiet_period_after_a_lost_attempt() {
    let mut d = dispatch();
    let keyed = |id, budget| Request { key: Some(9), ..request(id, budget) };
    assert_eq!(d.submit(2_000, &keyed(1, BUDGET)).unwrap().len(), 1);
    assert!(d.submit(3_000, &keyed(2, 4 * BUDGET)).unwrap().is_empty(), "the second waits for its turn");
    let ended =
        NetworkEvent::AttemptEnded(AttemptId { request: 1, attempt: 0 }, AttemptEnd::ConnectionLost, None);
    let commands = d.handle(4_000, ended);
    assert_eq!(answers(&commands), [&Answer::Failed]);
    let starts =
        |commands: &[Command<()>]| commands.iter().any(|o| matches!(o, Command::StartAttempt { .. }));
    assert!(!starts(&commands) && !starts(&d.tick(4_000 + KEY_QUIET_TIME - 1)));
    let later: Vec<_> = (1..9).flat_map(|n| d.tick(4_000 + KEY_QUIET_TIME + n * 100_000)).collect();
    assert!(starts(&later));
}
