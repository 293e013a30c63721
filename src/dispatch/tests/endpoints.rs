use super::*;

// Preferred executors of a table group are drawn by the executor's number: every dispatcher has to compute the same
// one, at any time.
#[test]
fn an_executors_number_comes_from_its_uid_alone() {
    assert_eq!(executor_id("s-00c41f7a"), 0x00c4_1f7a);
    assert_eq!(executor_id("toy-1"), executor_id("toy-1"));
    assert_ne!(executor_id("toy-1"), executor_id("toy-2"));
    assert_ne!(executor_id("s-00c41f7a9"), 0x00c4_1f7a);
}

// Listed executors may come without a time of start: one that appears warms up from then on, one that only changes
// its weight or comes back in the middle of its drain does not.
#[test]
fn a_new_executor_warms_up_and_a_changed_one_does_not() {
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
    let cold: Vec<_> = d.balancer.executors.iter().map(|e| (e.endpoint.executor, e.warming_since)).collect();
    assert_eq!(cold, [(5, None), (6, Some(2_000))]);
}

// Executors are replaced all day. Those that went were counted for ever, which skewed the draw, and their table
// grew; an attempt that is still outstanding on one keeps its place.
#[test]
fn executors_that_went_are_forgotten_once_nothing_is_out_on_them() {
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
