use super::*;

const REASONS: [NeverSentReason; 6] = [
    NeverSentReason::ConnectFailed,
    NeverSentReason::RequestClosed,
    NeverSentReason::StartExpired,
    NeverSentReason::ExecutorChanged,
    NeverSentReason::ExecutorUnlisted,
    NeverSentReason::LeaseMissing,
];
const EXECUTORS: u32 = 8;
const LATER_REQUESTS: u64 = 400;

fn fleet() -> Dispatch<()> {
    let env: Env = serde_json::from_str(SETTINGS).unwrap();
    let mut d = Dispatch::new(env.settings().unwrap().0, 9, 7).unwrap();
    let list: Vec<ListedExecutor> =
        (1..=EXECUTORS).map(|executor| listed(executor, ExecutorState::Up)).collect();
    d.apply_watch_event(1_000, WatchEvent::Restored, &list);
    d
}

fn started(commands: &[Command<()>]) -> Option<(AttemptId, ExecutorId)> {
    commands.iter().find_map(|command| match command {
        Command::StartAttempt { attempt_id, executor, .. } => Some((*attempt_id, *executor)),
        _ => None,
    })
}

fn never_sent(id: AttemptId, reason: NeverSentReason) -> NetworkEvent<()> {
    NetworkEvent::AttemptEnded(id, AttemptEnd::NeverSent(reason), None)
}

/// How many of the later requests, each served within a millisecond, go to an executor.
fn share_of(d: &mut Dispatch<()>, executor: ExecutorId, from: Micros) -> u64 {
    let mut count = 0;
    for n in 1..=LATER_REQUESTS {
        let now = from + n * 1_000;
        let (id, chosen) = started(&submit(d, now, 1_000 + n)).expect("an attempt");
        count += u64::from(chosen == executor);
        d.handle(now, NetworkEvent::AttemptBegun(id));
        d.handle(now + 500, NetworkEvent::AttemptEnded(id, AttemptEnd::Served(()), None));
    }
    count
}

fn assert_keeps_its_share(d: &mut Dispatch<()>, executor: ExecutorId, from: Micros, why: &str) {
    let share = share_of(d, executor, from);
    let even = LATER_REQUESTS / u64::from(EXECUTORS);
    assert!(share >= even / 2, "{why}: {share} of {LATER_REQUESTS} requests");
}

// A client that left before the first byte of its attempt was written used to eject the executor, as did every other
// reason for which nothing was written. Only a failed connection says something about the executor.
#[test]
fn only_a_failed_connection_ejects_the_executor_of_an_unsent_attempt() {
    for reason in REASONS {
        let mut d = fleet();
        let (id, executor) = started(&submit(&mut d, 2_000, 1)).unwrap();
        d.handle(3_000, NetworkEvent::ClientDisconnected(1));
        d.handle(4_000, never_sent(id, reason));
        if reason == NeverSentReason::ConnectFailed {
            assert_eq!(share_of(&mut d, executor, 5_000), 0);
        } else {
            assert_keeps_its_share(&mut d, executor, 5_000, &format!("{reason:?}"));
        }
    }
}

// The same for a deadline that passes while the attempt waits to be written, for example on an established connection.
#[test]
fn a_deadline_does_not_eject_the_executor_of_an_unsent_attempt() {
    let mut d = fleet();
    let (id, executor) = started(&submit(&mut d, 2_000, 1)).unwrap();
    let deadline = d.pending[&1].deadline;
    let commands = d.end_expired(deadline);
    assert!(commands.contains(&Command::StopAttempt(id)));
    assert_eq!(answers(&commands), [&Answer::Rejected(BACKOFF_MS)]);
    assert_keeps_its_share(&mut d, executor, deadline, "deadline");
}

// If all clients leave before a connect fails, the executor has to be ejected all the same.
#[test]
fn a_failed_connection_without_attempts_ejects_the_executor() {
    let mut d = fleet();
    let (id, executor) = started(&submit(&mut d, 2_000, 1)).unwrap();
    d.handle(3_000, NetworkEvent::ClientDisconnected(1));
    d.handle(4_000, never_sent(id, NeverSentReason::RequestClosed));
    d.handle(5_000, NetworkEvent::ConnectFailed(executor));
    assert_eq!(share_of(&mut d, executor, 6_000), 0);
}

// Nothing ran, whatever the reason: the request moves to another executor though it must not run twice, and its key
// has no quiet period.
#[test]
fn an_unsent_attempt_is_retried_and_leaves_its_key_free() {
    for reason in REASONS {
        let mut d = fleet();
        let keyed = |id, budget| Request { key: Some(9), ..request(id, budget) };
        let (first, executor) = started(&d.submit(2_000, &keyed(1, BUDGET)).unwrap()).unwrap();
        let (second, other) = started(&d.handle(3_000, never_sent(first, reason))).expect("a retry");
        assert!(second.request == 1 && second.attempt == 1 && other != executor, "{reason:?}");
        d.handle(4_000, NetworkEvent::ClientDisconnected(1));
        assert!(d.submit(4_000, &keyed(2, 4 * BUDGET)).unwrap().is_empty(), "the second waits for its turn");
        let next = started(&d.handle(5_000, never_sent(second, reason))).expect("its turn");
        assert_eq!(next.0, AttemptId { request: 2, attempt: 0 }, "{reason:?}");
    }
}
