use super::*;

// Preferred executors of a table group depend on executor ids, so every dispatcher has to derive the same id at any
// time.
#[test]
fn an_executor_id_depends_on_the_uid_only() {
    assert_eq!(executor_id("s-00c41f7a"), 0x00c4_1f7a);
    assert_eq!(executor_id("toy-1"), executor_id("toy-1"));
    assert_ne!(executor_id("toy-1"), executor_id("toy-2"));
    assert_ne!(executor_id("s-00c41f7a9"), 0x00c4_1f7a);
}

// Entries may lack a start time. An executor that appears begins its slow start then; one that only changes its weight
// or returns from draining does not.
#[test]
fn a_new_executor_begins_a_slow_start_and_a_changed_one_does_not() {
    let mut d = dispatch();
    let with_weight = |executor, state, weight| ListedExecutor { weight, ..listed(executor, state) };
    for (at, state, weight) in [
        (2_000, ExecutorState::Up, Some(2.0)),
        (3_000, ExecutorState::Draining, None),
        (4_000, ExecutorState::Up, Some(0.5)),
    ] {
        d.apply_watch_event(
            at,
            WatchEvent::Changed,
            &[with_weight(5, state, weight), with_weight(6, ExecutorState::Up, weight)],
        );
    }
    let warming: Vec<_> =
        d.balancer.executors.iter().map(|e| (e.endpoint.executor, e.warming_since)).collect();
    assert_eq!(warming, [(5, None), (6, Some(2_000))]);
}

// Executors are replaced continuously. Removed executors were once kept forever, which skewed the draw and grew the
// table. They are removed from the table, except while an attempt is still outstanding on them.
#[test]
fn removed_executors_are_dropped_once_no_attempt_is_outstanding_on_them() {
    let mut d = dispatch();
    submit(&mut d, 2_000, 1);
    for n in 5..60 {
        let change = [listed(n, ExecutorState::Removed), listed(n + 1, ExecutorState::Up)];
        d.apply_watch_event(u64::from(n) * 1_000, WatchEvent::Changed, &change);
    }
    let left: Vec<_> = d.balancer.executors.iter().map(|e| e.endpoint.executor).collect();
    assert_eq!(left, [5, 60]);
    let end = NetworkEvent::AttemptEnded(AttemptId { request: 1, attempt: 0 }, AttemptEnd::Served(()), None);
    assert_eq!(answers(&d.handle(70_000, end)), [&Answer::Served(())]);
    d.apply_watch_event(80_000, WatchEvent::Changed, &[listed(61, ExecutorState::Up)]);
    let left: Vec<_> = d.balancer.executors.iter().map(|e| e.endpoint.executor).collect();
    assert_eq!(left, [60, 61]);
}
