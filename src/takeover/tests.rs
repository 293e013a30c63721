use super::*;
use fleet::FleetConfig;
use fleet::ledger::{Limits, Record};

mod ask_conflicts;
mod stale_records;
mod three;

use three::Three;

const MS: Micros = 1_000;

fn rows() -> Pages {
    vec![b"a\tb\tc\n".to_vec()]
}

// A load is passed to the balancer only once its record is committed. After its owner dies, every other dispatcher
// answers a retry at once that the load may have run. Guards against passing it to a balancer a second time.
#[test]
fn a_load_of_a_dead_dispatcher_is_never_run_again() {
    let mut three = Three::formed();
    assert_eq!(three.asks(1, 10, 5, false, false), Gate::Hold);
    assert!(three.actions.is_empty());
    three.pass(50);
    assert_eq!(three.peers_with_action(&TakeoverAction::Admit(10)), [1]);
    three.all.remove(&1);
    // Its client retries before the loss is detected: it waits for the record.
    assert_eq!(three.asks(2, 11, 5, false, true), Gate::Hold);
    three.pass(2_000);
    assert_eq!(three.peers_with_action(&TakeoverAction::Answer(11, Reply::Failed)), [2]);
    assert_eq!(three.asks(3, 12, 5, false, true), Gate::Answer(Reply::Failed));
    assert!(
        three
            .actions
            .iter()
            .all(|(p, m)| *p == 1 || !matches!(m, TakeoverAction::Admit(_) | TakeoverAction::Adopt(_)))
    );
}

// A read of a dead dispatcher is taken over by exactly one other, which keeps the result for the client. The client
// may retry at any dispatcher.
#[test]
fn a_read_of_a_dead_dispatcher_is_answered_wherever_its_client_comes_back() {
    for back_at in [2, 3] {
        let mut three = Three::formed();
        assert_eq!(three.asks(1, 10, 5, true, false), Gate::Go, "idempotent requests do not wait");
        three.pass(100);
        three.all.remove(&1);
        three.pass(2_000);
        let adopted: Vec<Peer> = three
            .actions
            .iter()
            .filter(|(_, m)| matches!(m, TakeoverAction::Adopt(r) if r.attempt_id == 10))
            .map(|(p, _)| *p)
            .collect();
        assert_eq!(adopted.len(), 1, "exactly one takes it over");
        let (now, by) = (three.now, adopted[0]);
        assert!(three.at(by).keeps_result(10));
        three.at(by).handle_answer(now, 10, Reply::Served(rows()));
        match three.asks(back_at, 11, 5, true, true) {
            Gate::Answer(reply) => assert_eq!((reply, by), (Reply::Served(rows()), back_at)),
            gate => {
                assert_eq!(gate, Gate::Hold);
                three.pass(500);
                assert_eq!(
                    three.peers_with_action(&TakeoverAction::Answer(11, Reply::Served(rows()))),
                    [back_at]
                );
            }
        }
    }
}

// The client loses its connection while its dispatcher lives: the load continues, and its result is recorded for the
// next try at any dispatcher.
#[test]
fn a_load_whose_client_was_cut_off_is_answered_from_the_record() {
    let mut three = Three::formed();
    three.asks(1, 10, 5, false, false);
    three.pass(50);
    let now = three.now;
    three.at(1).handle_disconnect(now, 10);
    assert_eq!(three.asks(2, 11, 5, false, true), Gate::Hold);
    three.pass(300);
    assert!(
        three.peers_with_action(&TakeoverAction::Answer(11, Reply::Failed)).is_empty(),
        "the retry waits while the load runs"
    );
    let now = three.now;
    three.at(1).handle_abandoned_outcome(now, 10, AbandonedOutcome::Served(rows()));
    three.pass(300);
    assert_eq!(three.peers_with_action(&TakeoverAction::Answer(11, Reply::Served(rows()))), [2]);
    assert_eq!(three.asks(3, 12, 5, false, true), Gate::Answer(Reply::Served(rows())));
}

// A dispatcher that was stalled for longer than its lease must send no further attempts of its requests, and gives
// its reads up. Without a lease it accepts reads, which are idempotent, and refuses loads with a backoff.
#[test]
fn a_dispatcher_without_a_lease_lets_go() {
    let mut three = Three::formed();
    three.asks(1, 10, 5, true, false);
    three.asks(1, 20, 6, false, false);
    three.pass(100);
    let later = three.now + 1_500 * MS;
    let mut one = three.all.remove(&1).unwrap();
    one.tick(later);
    assert!(!one.may_send(later, 10) && !one.may_send(later, 20));
    assert_eq!(one.actions, [TakeoverAction::LetGo(10)]);
    three.all.insert(1, one);
    three.now = later;
    assert_eq!(three.asks(1, 30, 7, true, false), Gate::Go);
    assert_eq!(three.asks(1, 31, 8, false, false), Gate::Answer(Reply::Refused(1_000)));
}

// Two tries of one ask at one dispatcher: the second never runs concurrently and gets the same answer.
#[test]
fn a_second_try_waits_for_the_first() {
    let mut three = Three::formed();
    three.asks(1, 10, 5, true, false);
    assert_eq!(three.asks(1, 11, 5, true, true), Gate::Hold);
    let now = three.now;
    three.at(1).handle_answer(now, 10, Reply::Served(rows()));
    three.pass(20);
    assert_eq!(three.peers_with_action(&TakeoverAction::Answer(11, Reply::Served(rows()))), [1]);
    // The client of the first try disconnects: the second takes its place.
    three.asks(1, 20, 6, true, false);
    three.asks(1, 21, 6, true, true);
    let now = three.now;
    three.at(1).handle_disconnect(now, 20);
    three.pass(100);
    assert_eq!(three.peers_with_action(&TakeoverAction::Admit(21)), [1]);
}

// Guards against state that leaks after requests have finished.
#[test]
fn what_is_over_leaves_nothing() {
    let mut three = Three::formed();
    for n in 0..50 {
        let (rid, ask, at) = (100 + n, 1_000 + n, 1 + (n % 3) as Peer);
        three.asks(at, rid, ask, n % 2 == 0, n % 4 == 0);
        three.pass(30);
        let now = three.now;
        match n % 3 {
            0 => three.at(at).handle_answer(now, rid, Reply::Served(rows())),
            1 => three.at(at).handle_answer(now, rid, Reply::Refused(5)),
            _ => {
                three.at(at).handle_disconnect(now, rid);
                three.at(at).handle_abandoned_outcome(now, rid, AbandonedOutcome::NeverRan);
            }
        }
    }
    three.pass(45_000);
    for t in three.all.values() {
        assert!(t.local.is_empty() && t.asks.is_empty(), "{:?}", t.local);
        assert_eq!((t.fleet.ledger().unwrap().len(), t.adopted), (0, 0));
    }
}
