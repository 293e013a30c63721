//! Each rule is told of a faulty record, and of none on one without a fault.

use super::*;
use crate::soak::records::{Answer, Attempt, BadClient, Drain, End, Exit, Incarnation, Request, Standstill};

const PROCESS: Process = Process { dispatcher: 0, incarnation: 0 };

fn ms(n: u64) -> Moment {
    Duration::from_millis(n)
}

fn request(rid: u64, written: u64, end: End) -> Request {
    Request {
        rid,
        once: true,
        key: Some(1),
        process: PROCESS,
        wanted: ms(written),
        written: ms(written),
        budget: ms(2_000),
        end,
        more: false,
        on_new_connection: false,
    }
}

fn served(at: u64) -> End {
    End::Answered(Answer::Rows { own: true }, ms(at))
}

fn attempt(rid: u64, at: u64, ended: u64) -> Attempt {
    Attempt { rid, executor: 0, at: ms(at), wait: ms(1_500), ended: Some(ms(ended)) }
}

fn incarnation() -> Incarnation {
    Incarnation {
        process: PROCESS,
        ready_after: ms(100),
        stopped: Some(ms(9_000)),
        ended: Some((ms(9_900), Exit::Itself { well: true })),
        descriptors: 20,
        memory_kb: 5_000,
    }
}

/// Two loads of a key, one after the other, and all else in order.
fn good() -> Records {
    Records {
        requests: vec![request(1, 1_000, served(1_300)), request(2, 1_100, served(1_600))],
        attempts: vec![attempt(1, 1_010, 1_290), attempt(2, 1_310, 1_590)],
        incarnations: vec![incarnation()],
        bad_clients: vec![BadClient { process: PROCESS, since: ms(500), ended: Some(ms(2_600)) }],
        drain_grace: ms(1_000),
        sockets: 128,
        ..Records::default()
    }
}

/// The rules that find something broken, and whether any leaves something undecided.
fn found(records: &Records) -> (Vec<&'static str>, bool) {
    let all: Vec<_> = ALL.iter().map(|(name, check)| (*name, check(records))).collect();
    let broken = all.iter().filter(|(_, f)| !f.broken.is_empty()).map(|(name, _)| *name).collect();
    (broken, all.iter().any(|(_, f)| f.undecided > 0))
}

/// What is found once a good record was made faulty.
fn found_in(fault: impl FnOnce(&mut Records)) -> Vec<&'static str> {
    let mut records = good();
    fault(&mut records);
    found(&records).0
}

#[test]
fn a_good_record_breaks_nothing() {
    assert_eq!(found(&good()), (vec![], false));
}

#[test]
fn answers_that_are_late_wrong_twice_or_missing_are_found() {
    let ends = [
        End::Answered(Answer::Failed, ms(3_700)),
        End::Answered(Answer::Rows { own: false }, ms(1_600)),
        End::Unanswered(ms(3_700)),
        End::Closed(ms(1_700)),
    ];
    for end in ends {
        assert_eq!(found_in(|r| r.requests[1].end = end), [answered::NAME], "{end:?}");
    }
    assert_eq!(found_in(|r| r.requests[1].more = true), [answered::NAME]);
}

#[test]
fn attempts_after_the_end_are_found() {
    assert_eq!(found_in(|r| r.requests[1].end = End::Left(ms(1_150))), [begun_late::NAME]);
    let safe = |r: &mut Records| {
        (r.requests[1].once, r.requests[1].key) = (false, None);
        r.attempts.push(attempt(2, 1_700, 1_800));
    };
    assert_eq!(found_in(safe), [begun_late::NAME]);
}

#[test]
fn a_time_passed_on_that_is_over_what_is_left_is_found() {
    assert_eq!(found_in(|r| r.attempts[1].wait = ms(2_000)), [passed_on::NAME]);
}

#[test]
fn what_runs_twice_is_found() {
    let twice = found_in(|r| r.attempts.insert(1, attempt(1, 1_295, 1_299)));
    assert_eq!(twice, [once::NAME]);
}

#[test]
fn a_key_out_of_order_is_found() {
    assert_eq!(found_in(|r| r.attempts[0].ended = Some(ms(1_400))), [in_order::NAME]);
    assert_eq!(found_in(|r| r.attempts[0].ended = None), [in_order::NAME]);
    assert_eq!(found_in(|r| r.requests[1].written = ms(900)), [in_order::NAME]);
}

#[test]
fn refusals_that_promise_too_much_or_tell_no_time_are_found() {
    let refused =
        |told| move |r: &mut Records| r.requests[1].end = End::Answered(Answer::Refused { told }, ms(1_600));
    assert_eq!(found_in(refused(true)), [refused_harmlessly::NAME], "it had reached an executor");
    let never_ran = |r: &mut Records| {
        refused(false)(r);
        r.attempts.truncate(1);
    };
    assert_eq!(found_in(never_ran), [refused_harmlessly::NAME], "no time to come back");
}

#[test]
fn work_for_an_executor_that_drains_is_found() {
    assert_eq!(found_in(|r| r.drains.push(Drain { executor: 0, at: ms(200) })), [drained::NAME]);
}

#[test]
fn a_bad_client_that_is_let_be_is_found() {
    assert_eq!(found_in(|r| r.bad_clients[0].ended = None), [bad_clients::NAME]);
    assert_eq!(found_in(|r| r.bad_clients[0].ended = Some(ms(3_600))), [bad_clients::NAME]);
}

#[test]
fn processes_that_end_badly_or_are_late_are_found() {
    let ends = [
        (Some(ms(9_000)), Exit::KilledAfterStop),
        (Some(ms(9_000)), Exit::Itself { well: false }),
        (None, Exit::Itself { well: true }),
    ];
    for (stopped, exit) in ends {
        let faulty = |r: &mut Records| {
            (r.incarnations[0].stopped, r.incarnations[0].ended) = (stopped, Some((ms(9_900), exit)));
        };
        assert_eq!(found_in(faulty), [ended_well::NAME], "{exit:?}");
    }
    assert_eq!(found_in(|r| r.incarnations[0].ready_after = ms(10_500)), [ended_well::NAME]);
}

#[test]
fn descriptors_and_memory_over_their_limits_are_found() {
    assert_eq!(found_in(|r| r.incarnations[0].descriptors = 129), [bounded::NAME]);
    assert_eq!(found_in(|r| r.incarnations[0].memory_kb = 200 * 1024), [bounded::NAME]);
}

// What a standstill could excuse is never passed, and never broken.
#[test]
fn a_standstill_leaves_undecided_what_it_could_excuse() {
    let mut records = good();
    records.requests[1].end = End::Answered(Answer::Failed, ms(3_700));
    records.standstills.push(Standstill { dispatcher: Some(0), from: ms(2_900), until: ms(3_650) });
    assert_eq!(found(&records), (vec![], true));
    records.standstills[0].until = ms(2_930);
    assert_eq!(found(&records).0, [answered::NAME], "it was too short");
}
