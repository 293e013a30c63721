//! Single faults and their effect on in-flight requests.

use crate::world::*;
use fleet::ledger::Outcome;
use fleet::wire::Message;
use fleet::{FleetEvent, Peer};

// Two dispatchers get the same request at the same moment: one owns it, the other is told that it has a record.
#[test]
fn the_first_to_open_a_request_owns_it() {
    let mut w = World::new(3, 1);
    w.assert_forms();
    assert!(open(&mut w, 1, 7, false) && open(&mut w, 2, 7, false));
    w.run(200 * MS, |w| w.assert_at_most_one_owner([7].into_iter()));
    let opened = (1..=3).filter(|p| w.has_seen(*p, |n| *n == FleetEvent::Opened(7))).count();
    let taken = (1..=3).filter(|p| w.has_seen(*p, |n| *n == FleetEvent::AlreadyRecorded(7))).count();
    assert_eq!((opened, taken), (1, 1));
}

// The owner is killed: a request that may run again goes to exactly one other peer, and one that must not run twice
// to none.
#[test]
fn requests_of_a_dead_peer_go_to_one_other_unless_they_must_not_run_twice() {
    for dead in 1..=3 {
        let mut w = World::new(3, 10 + u64::from(dead));
        w.assert_forms();
        assert!(open(&mut w, dead, 1, true) && open(&mut w, dead, 2, false));
        w.run(200 * MS, |_| ());
        w.fleets.remove(&dead);
        let killed = w.now;
        while !w.events.iter().any(|(_, n)| matches!(n, FleetEvent::Reassigned { .. })) {
            w.run(10 * MS, |w| w.assert_at_most_one_owner([1, 2].into_iter()));
            assert!(w.now < killed + 2_000 * MS, "not taken over within two seconds");
        }
        w.run(500 * MS, |w| w.assert_at_most_one_owner([1, 2].into_iter()));
        let mine = |n: &FleetEvent| matches!(n, FleetEvent::Reassigned { request_id: 1, mine: true, .. });
        assert_eq!((1..=3).filter(|p| w.has_seen(*p, mine)).count(), 1);
        for f in w.fleets.values() {
            assert_eq!(f.ledger().unwrap().outcome(2), Some(&Outcome::Unknown));
        }
        // It restarts as a new incarnation and becomes a voter again.
        w.restart(dead);
        w.run(4_000 * MS, |_| ());
        let now = w.now;
        assert!(w.fleets[&dead].holds(now).is_some());
        assert_eq!(w.fleets[&dead].ledger().unwrap().outcome(2), Some(&Outcome::Unknown));
    }
}

// A disconnected peer that still runs drops its lease by its own clock before any other peer may expire it, and
// returns under a new term.
#[test]
fn a_disconnected_peer_drops_its_lease_before_others_take_over() {
    let mut w = World::new(3, 5);
    w.assert_forms();
    assert!(open(&mut w, 2, 1, true));
    w.run(200 * MS, |_| ());
    let term = w.fleets[&2].holds(w.now).unwrap().term;
    w.cut_links = [(1, 2), (3, 2), (2, 1), (2, 3)].into();
    w.run(3_000 * MS, |w| w.assert_at_most_one_owner([1].into_iter()));
    let lost = w.events.iter().position(|(p, n)| *p == 2 && matches!(n, FleetEvent::LeaseLost(_))).unwrap();
    let claimed =
        w.events.iter().position(|(_, n)| matches!(n, FleetEvent::Reassigned { request_id: 1, .. })).unwrap();
    assert!(lost < claimed, "others took over before the owner dropped its lease");
    assert!(!open(&mut w, 2, 9, false), "a request was recorded without a lease");
    w.cut_links.clear();
    w.run(3_000 * MS, |w| w.assert_at_most_one_owner([1].into_iter()));
    assert!(w.fleets[&2].holds(w.now).unwrap().term > term);
}

// When a majority restarts, the fleet's state is lost: the peer that still has it abandons the fleet, and all
// peers found a new one.
#[test]
fn a_fleet_that_lost_its_majority_is_founded_again() {
    let mut w = World::new(3, 6);
    w.assert_forms();
    w.restart(1);
    w.restart(2);
    w.run(20_000 * MS, |_| ());
    assert!(w.has_seen(3, |n| matches!(n, FleetEvent::FleetAbandoned(_))));
    let now = w.now;
    assert!(w.fleets.values().all(|f| f.holds(now).is_some()));
    assert!(
        w.fleets.values().all(|f| !f.has_full_history(now)),
        "a new fleet vouches for requests from before it was founded"
    );
    w.run(31_000 * MS, |_| ());
    let now = w.now;
    assert!(w.fleets.values().all(|f| f.has_full_history(now)));
}

// While one peer is disconnected, the others restart and found a fleet without it. When it reconnects, it has to
// abandon its old fleet, which has no other members, and join theirs; it used to stay in the old one for good.
#[test]
fn a_disconnected_peer_joins_the_fleet_that_was_founded_without_it() {
    let mut w = World::new(3, 9);
    w.assert_forms();
    w.cut_links = [(1, 2), (3, 2), (2, 1), (2, 3)].into();
    w.restart(1);
    w.restart(3);
    w.run(15_000 * MS, |_| ());
    let now = w.now;
    assert!(w.fleets[&1].holds(now).is_some() && w.fleets[&3].holds(now).is_some());
    w.cut_links.clear();
    w.run(15_000 * MS, |_| ());
    let now = w.now;
    assert!(w.has_seen(2, |n| matches!(n, FleetEvent::FleetAbandoned(_))));
    assert!(w.fleets.values().all(|f| f.holds(now).is_some()));
}

// Malformed messages, and messages of another fleet, are ignored.
#[test]
fn malformed_messages_change_nothing() {
    let mut w = World::new(3, 8);
    w.assert_forms();
    let now = w.now;
    for bytes in [vec![], vec![0xff; 40], b"\x08\x05\x10\x01\x18\x02".to_vec()] {
        for p in 1..=3 {
            w.fleets.get_mut(&p).unwrap().handle_message(now, 1 + p % 3, Message::Log(77, bytes.clone()));
            w.fleets.get_mut(&p).unwrap().handle_message(now, 200, Message::Result(9, None));
        }
    }
    w.assert_forms();
}

// When a lease was requested twice and the first grant arrived late, its holder counted it from the second request and
// used it for up to a lease duration after the others had expired it. Each grant carries the time of its request.
#[test]
fn a_lease_runs_from_the_request_that_granted_it() {
    for late in 0..12 {
        let mut w = World::new(3, 40 + late);
        w.run(500 * MS, |_| ());
        for _ in 0..60 {
            // The links to or from one peer are cut for about a lease's duration.
            let victim = 1 + w.draw(3) as Peer;
            let inbound = w.draw(2) == 0;
            let others: Vec<Peer> = (1..=3).filter(|p| *p != victim).collect();
            w.cut_links = others.iter().map(|p| if inbound { (*p, victim) } else { (victim, *p) }).collect();
            let span = (300 + w.draw(1_200)) * MS;
            w.run(span, |w| {
                for p in 1..=3 {
                    let agreed =
                        |q: Peer| w.fleets[&q].state().map(|a| a.alive().clone()).unwrap_or_default();
                    let holder = w.fleets[&p].holds(w.now);
                    // No peer acts under a lease whose end another peer has applied.
                    for q in (1..=3).filter(|q| *q != p) {
                        let over =
                            |h| w.events.iter().any(|(by, n)| *by == q && *n == FleetEvent::LeaseEnded(h));
                        assert!(
                            !holder.is_some_and(|h| over(h) && !agreed(q).contains(&h)),
                            "{p} by {holder:?}"
                        );
                    }
                }
            });
            w.cut_links.clear();
            let recovery = w.draw(700) * MS;
            w.run(recovery, |_| ());
        }
    }
}
