use super::super::executors::Begun;
use super::*;
use std::time::Instant;

const REQUEST: u64 = 0x1_0000_0001;

fn row() -> Vec<Vec<String>> {
    vec![vec![format!("{REQUEST:016x}"), "x".into(), "y".into()]]
}

/// A request asked at `at` that ended so, with an attempt that began so long after it.
fn counted(at: Instant, end: End, begun_after: Option<u64>, wait_ms: u64) -> Count {
    let begun = begun_after.map(|ms| at + Duration::from_millis(ms)).map(|at| Begun { at, wait_ms });
    let attempts = Attempts::from([(REQUEST, begun.into_iter().collect())]);
    count(&[Asked { request: REQUEST, at, end, twice: false }], &attempts)
}

#[test]
fn each_way_of_being_lost_is_counted() {
    let at = Instant::now();
    let after = |ms| at + Duration::from_millis(ms);
    let fine = counted(at, End::Served(row(), after(90)), Some(5), 3_900);
    assert_eq!((fine.lost(), fine.served), (0, 1));
    assert_eq!(counted(at, End::Closed, None, 0).unanswered, 1);
    assert_eq!(counted(at, End::Refused(after(4_600)), None, 0).answered_late, 1);
    assert_eq!(counted(at, End::Served(vec![], after(9)), Some(5), 3_900).answered_wrong, 1);
    assert_eq!(counted(at, End::Served(row(), after(9)), None, 0).answered_wrong, 1);
    assert_eq!(counted(at, End::Left(after(10)), Some(170), 3_000).begun_late, 1);
    assert_eq!(counted(at, End::Left(after(10)), Some(60), 3_000).lost(), 0);
    assert_eq!(counted(at, End::Served(row(), after(990)), Some(900), 3_500).deadline_over, 1);
}
