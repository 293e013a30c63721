use super::*;

// Homes of table groups are drawn by the executor's number: it has to be alike everywhere and for good.
#[test]
fn an_executors_number_comes_from_its_uid_alone() {
    assert_eq!(executor_id("s-00c41f7a"), 0x00c4_1f7a);
    assert_eq!(executor_id("toy-1"), executor_id("toy-1"));
    assert_ne!(executor_id("toy-1"), executor_id("toy-2"));
    assert_ne!(executor_id("s-00c41f7a9"), 0x00c4_1f7a);
}

// Executors of a list are told without a time of start: one that appears is cold from then on, one that only
// changes its weight or comes back in the middle of its drain is what it was.
#[test]
fn a_new_member_is_cold_and_a_changed_one_is_not() {
    let mut d = dispatch();
    let member = |executor, standing, weight| Member { weight, ..member(executor, standing) };
    for (at, standing, weight) in [
        (2_000, Standing::Up, Some(2.0)),
        (3_000, Standing::Draining, None),
        (4_000, Standing::Up, Some(0.5)),
    ] {
        d.members(at, News::Changes, &[member(5, standing, weight), member(6, Standing::Up, weight)]);
    }
    let cold: Vec<_> =
        d.dispatcher.executors.iter().map(|e| (e.endpoint.executor, e.warming_since)).collect();
    assert_eq!(cold, [(5, None), (6, Some(2_000))]);
}

// Executors are replaced all day. Those that went were counted for ever, which skewed the draw, and their table
// grew; an attempt that is still out on one keeps its place.
#[test]
fn executors_that_went_are_forgotten_once_nothing_is_out_on_them() {
    let mut d = dispatch();
    pick(&mut d, 2_000, 1);
    for n in 5..60 {
        let change = [member(n, Standing::Gone), member(n + 1, Standing::Up)];
        d.members(u64::from(n) * 1_000, News::Changes, &change);
    }
    let left: Vec<_> = d.dispatcher.executors.iter().map(|e| e.endpoint.executor).collect();
    assert_eq!(left, [5, 60]);
    let end = Report::Ended(Ticket { request: 1, attempt: 0 }, End::Served(()), None);
    assert_eq!(answers(&d.report(70_000, end)), [&Answer::Served(())]);
    d.members(80_000, News::Changes, &[member(61, Standing::Up)]);
    let left: Vec<_> = d.dispatcher.executors.iter().map(|e| e.endpoint.executor).collect();
    assert_eq!(left, [60, 61]);
}
