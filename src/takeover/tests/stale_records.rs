//! Requests under one ask after each other, while what became of the earlier one is not known everywhere.

use super::three::{LOAD, OTHER_READ, READ};
use super::*;

// Guards against a load that is sent before it is on record: the record of an earlier request under its ask, answered
// meanwhile, was taken for its own. If the dispatcher then died, a retry would run the load again.
#[test]
fn a_load_waits_for_its_own_record() {
    let mut three = Three::formed();
    assert_eq!(three.sends(1, 10, READ, false), Gate::Go);
    three.now += 10 * MS;
    let now = three.now;
    three.at(1).tick(now);
    // The read's record is proposed and not committed.
    three.answers(1, 10, rows());
    assert_eq!(three.sends(1, 20, LOAD, false), Gate::Hold);
    for _ in 0..6 {
        three.deliver();
    }
    assert_eq!(three.at(2).fleet.ledger().unwrap().record(5).map(|r| r.attempt_id), Some(10));
    assert!(three.at(1).actions.is_empty(), "{:?}", three.at(1).actions);
    three.pass(50);
    assert_eq!(three.peers_with_action(&TakeoverAction::Admit(20)), [1]);
    assert_eq!(three.at(2).fleet.ledger().unwrap().record(5).map(|r| r.attempt_id), Some(20));
}

// Guards against a retry that is answered with the rows of a later request under its ask: the owner had answered the
// first and begun the later one, while the retry's dispatcher was behind and still asked for the result.
#[test]
fn a_result_that_is_asked_for_is_not_that_of_a_later_request() {
    let mut three = Three::formed();
    three.sends(1, 10, READ, false);
    three.pass(100);
    assert_eq!(three.sends(2, 11, READ, true), Gate::Hold);
    three.pass(20);
    three.lost = |to, message| to == 2 && matches!(message, Message::Log(..) | Message::Result(..));
    three.answers(1, 10, rows());
    three.pass(50);
    assert_eq!(three.sends(1, 20, OTHER_READ, false), Gate::Go);
    assert!(three.at(1).is_tracked(20));
    three.lost = |to, message| to == 2 && matches!(message, Message::Log(..));
    three.pass(250);
    three.answers(1, 20, vec![b"other\n".to_vec()]);
    three.pass(50);
    assert_eq!(three.answered(2, 11), []);
    assert_eq!(three.at(2).fleet.ledger().unwrap().record(5).map(|r| r.attempt_id), Some(10), "it is behind");
    three.lost = |_, _| false;
    three.pass(500);
    assert_eq!(three.peers_with_action(&TakeoverAction::Admit(11)), [2], "nobody has its rows any more");
}

// Guards against requests between builds that find no result: an earlier release asks by the ask itself.
#[test]
fn a_peer_of_an_earlier_release_gets_the_result_under_the_ask() {
    let mut three = Three::formed();
    three.sends(1, 10, READ, false);
    three.pass(100);
    let now = three.now;
    three.at(1).handle_message(now, 2, Message::Fetch(5));
    three.answers(1, 10, rows());
    let sent = three.at(1).fleet.messages.clone();
    assert!(sent.contains(&(2, Message::Result(5, Some(rows())))), "{sent:?}");
}

// Guards against a load that runs twice: a retry that waited for it was given up, which was taken for the end of the
// load, and the next retry was sent to an executor while it ran.
#[test]
fn a_retry_that_is_given_up_ends_itself_alone() {
    for at in [1, 2] {
        let mut three = Three::formed();
        three.sends(1, 10, LOAD, false);
        three.pass(100);
        for rid in [11, 12] {
            assert_eq!(three.sends(at, rid, LOAD, true), Gate::Hold);
        }
        three.pass(100);
        let now = three.now;
        three.at(at).handle_abandoned_outcome(now, 12, AbandonedOutcome::NeverRan);
        three.at(at).handle_disconnect(now, 12);
        three.pass(500);
        assert!(three.peers_with_action(&TakeoverAction::Admit(11)).is_empty());
        three.answers(1, 10, rows());
        three.pass(300);
        assert_eq!(three.answered(at, 11), [Reply::Served(rows())]);
        assert!(three.all.values().all(|t| t.local.is_empty() && t.asks.is_empty()));
    }
}
