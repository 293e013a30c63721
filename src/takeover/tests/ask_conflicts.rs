//! Requests that use the ask id of another request.

use super::three::{LOAD, OTHER_LOAD, OTHER_READ, READ, REFUSED, attempt};
use super::*;

// Guards against a load that is answered with the rows of another client's load and never runs: it used the ask of a
// load that was being recorded, in hand or done, at the same or another dispatcher.
#[test]
fn a_load_with_the_ask_of_another_load_is_refused_and_the_other_is_not_disturbed() {
    let mut three = Three::formed();
    assert_eq!(three.sends(1, 10, LOAD, false), Gate::Hold);
    assert_eq!(three.sends(1, 20, OTHER_LOAD, false), Gate::Answer(REFUSED), "while it is being recorded");
    assert_eq!(three.sends(2, 21, OTHER_LOAD, false), Gate::Hold, "the first is not known there yet");
    three.pass(100);
    assert_eq!(three.answered(2, 21), [REFUSED]);
    for at in [1, 2, 3] {
        assert_eq!(three.sends(at, 30 + u64::from(at), OTHER_LOAD, true), Gate::Answer(REFUSED), "in hand");
        assert_eq!(three.sends(at, 40 + u64::from(at), LOAD, true), Gate::Hold, "its own tries wait");
    }
    three.pass(100);
    three.answers(1, 10, rows());
    three.pass(300);
    for at in [1, 2, 3] {
        assert_eq!(three.answered(at, 40 + u64::from(at)), [Reply::Served(rows())]);
        assert_eq!(three.sends(at, 50 + u64::from(at), OTHER_LOAD, true), Gate::Answer(REFUSED), "done");
        assert_eq!(three.sends(at, 60 + u64::from(at), LOAD, true), Gate::Answer(Reply::Served(rows())));
    }
    assert!(three.all.values().all(|t| t.local.is_empty() && t.asks.is_empty()));
}

// Guards against a read that waits for, or is answered with, the result of another request under its ask.
#[test]
fn a_read_with_the_ask_of_another_request_is_served_without_a_record() {
    for first in [LOAD, READ] {
        let mut three = Three::formed();
        three.sends(1, 10, first, false);
        three.pass(100);
        for at in [1, 2, 3] {
            let rid = 20 + u64::from(at);
            assert_eq!(three.sends(at, rid, OTHER_READ, at == 3), Gate::Go);
            assert!(!three.at(at).is_tracked(rid));
        }
        assert_eq!(three.sends(2, 11, first, true), Gate::Hold);
        three.pass(300);
        three.answers(1, 10, rows());
        three.pass(300);
        assert_eq!(three.answered(2, 11), [Reply::Served(rows())]);
    }
}

// Guards against two reads under one ask, sent before either is recorded: the second must not take the first one's
// place for later tries, nor its own tries wait for the first.
#[test]
fn reads_that_use_one_ask_at_once_stay_apart() {
    let mut three = Three::formed();
    assert_eq!(three.sends(1, 10, READ, false), Gate::Go);
    three.pass(5);
    assert!(three.at(2).fleet.ledger().unwrap().is_empty());
    assert_eq!(three.sends(2, 20, OTHER_READ, false), Gate::Go);
    assert_eq!(three.sends(2, 21, OTHER_READ, true), Gate::Hold);
    three.pass(100);
    assert!(!three.at(2).is_tracked(20), "the first on record keeps the ask");
    assert_eq!(three.peers_with_action(&TakeoverAction::Admit(21)), [2]);
    assert_eq!(three.sends(2, 11, READ, true), Gate::Hold);
    three.answers(2, 20, vec![b"other\n".to_vec()]);
    three.pass(300);
    three.answers(1, 10, rows());
    three.pass(300);
    assert_eq!(three.answered(2, 11), [Reply::Served(rows())]);
}

// Guards against a kept result of a lost dispatcher's read that is given to another request under its ask.
#[test]
fn a_kept_result_is_given_to_its_own_client_alone() {
    let mut three = Three::formed();
    three.sends(1, 10, READ, false);
    three.pass(100);
    three.all.remove(&1);
    three.pass(2_000);
    let adopter = three.actions.iter().find(|(_, a)| matches!(a, TakeoverAction::Adopt(_))).map(|(p, _)| *p);
    let by = adopter.unwrap();
    let other = if by == 2 { 3 } else { 2 };
    assert_eq!(three.sends(by, 20, OTHER_READ, true), Gate::Go);
    three.answers(by, 10, rows());
    for at in [by, other] {
        assert_eq!(three.sends(at, 30 + u64::from(at), OTHER_READ, true), Gate::Go);
        assert_eq!(three.sends(at, 40 + u64::from(at), LOAD, true), Gate::Answer(REFUSED));
    }
    assert_eq!(three.sends(other, 11, READ, true), Gate::Hold);
    three.pass(500);
    assert_eq!(three.answered(other, 11), [Reply::Served(rows())]);
}

// Guards against a request without an ask that is joined to one whose ask, or own id, is the same number.
#[test]
fn a_request_without_an_ask_is_never_a_try_of_another() {
    let mut three = Three::formed();
    let deadline = three.now + 8_000 * MS;
    let nameless = || Try { ask: None, ..attempt(5, LOAD, deadline) };
    let now = three.now;
    assert_eq!(three.at(1).handle_request(now, nameless()), Gate::Hold);
    three.pass(100);
    let now = three.now;
    assert_eq!(three.at(2).handle_request(now, nameless()), Gate::Answer(REFUSED), "on record");
    let mut three = Three::formed();
    let now = three.now;
    assert_eq!(three.at(1).handle_request(now, nameless()), Gate::Hold);
    assert_eq!(three.at(2).handle_request(now, nameless()), Gate::Hold);
    three.pass(100);
    assert_eq!(three.peers_with_action(&TakeoverAction::Admit(5)).len(), 1, "one of them runs");
    assert_eq!(three.peers_with_action(&TakeoverAction::Answer(5, REFUSED)).len(), 1);
}

// Guards against retries that are run again, or refused, because an earlier release recorded their request without a
// digest; what it did record still tells requests apart.
#[test]
fn a_record_of_an_earlier_release_is_compared_by_what_it_has() {
    let mut three = Three::formed();
    let (now, deadline) = (three.now, three.now + 8_000 * MS);
    let mut earlier = attempt(10, LOAD, deadline);
    earlier.record.digest = None;
    assert_eq!(three.at(1).handle_request(now, earlier), Gate::Hold);
    three.pass(100);
    assert_eq!(three.sends(2, 11, LOAD, true), Gate::Hold);
    let changes: [fn(&mut Record); 4] =
        [|r| r.key = Some(9), |r| r.class = 1, |r| r.tenant = Some(3), |r| r.group = 2];
    for change in changes {
        let mut other = attempt(20, OTHER_LOAD, deadline);
        change(&mut other.record);
        let now = three.now;
        assert_eq!(three.at(2).handle_request(now, other), Gate::Answer(REFUSED));
    }
}

// Guards against a digest that two different requests share, or that changes between two tries of one.
#[test]
fn the_digest_covers_all_that_a_request_asks_for() {
    let content = RequestContent {
        id: RecordId::Ask(5),
        class: "carga",
        tenant: Some("a"),
        key: Some(7),
        token: None,
        statement: LOAD,
    };
    let all = [
        content,
        RequestContent { id: RecordId::Ask(6), ..content },
        RequestContent { id: RecordId::Try(5), ..content },
        RequestContent { class: "cargaa", tenant: Some(""), ..content },
        RequestContent { tenant: None, ..content },
        RequestContent { tenant: Some(""), ..content },
        RequestContent { key: None, ..content },
        RequestContent { key: Some(8), ..content },
        RequestContent { token: Some("a"), ..content },
        RequestContent { statement: OTHER_LOAD, ..content },
    ];
    let digests: BTreeSet<[u8; 32]> = all.iter().map(|c| c.digest().0).collect();
    assert_eq!(digests.len(), all.len());
    assert_eq!(RequestContent { ..content }.digest(), content.digest());
}
