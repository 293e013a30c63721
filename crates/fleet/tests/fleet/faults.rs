//! One fault each, and what becomes of what was in hand.

use crate::world::*;
use fleet::ledger::End;
use fleet::wire::Message;
use fleet::{FleetEvent, Peer};

// Two dispatchers that get the same request at the same moment: one owns it, the other is told.
#[test]
fn a_request_is_owned_by_whoever_was_first() {
    let mut w = World::new(3, 1);
    w.formed();
    assert!(open(&mut w, 1, 7, false) && open(&mut w, 2, 7, false));
    w.run(200 * MS, |w| w.one_owner([7].into_iter()));
    let opened = (1..=3).filter(|p| w.told(*p, |n| *n == FleetEvent::Opened(7))).count();
    let taken = (1..=3).filter(|p| w.told(*p, |n| *n == FleetEvent::Taken(7))).count();
    assert_eq!((opened, taken), (1, 1));
}

// The owner dies: what may repeat goes to exactly one other, and what must not run twice goes to nobody.
#[test]
fn what_a_dead_peer_owned_goes_to_one_other_and_a_load_to_none() {
    for dead in 1..=3 {
        let mut w = World::new(3, 10 + u64::from(dead));
        w.formed();
        assert!(open(&mut w, dead, 1, true) && open(&mut w, dead, 2, false));
        w.run(200 * MS, |_| ());
        w.fleets.remove(&dead);
        let killed = w.now;
        while !w.events.iter().any(|(_, n)| matches!(n, FleetEvent::Claimed { .. })) {
            w.run(10 * MS, |w| w.one_owner([1, 2].into_iter()));
            assert!(w.now < killed + 2_000 * MS, "taken over within two seconds");
        }
        w.run(500 * MS, |w| w.one_owner([1, 2].into_iter()));
        let mine = |n: &FleetEvent| matches!(n, FleetEvent::Claimed { ask: 1, mine: true, .. });
        assert_eq!((1..=3).filter(|p| w.told(*p, mine)).count(), 1);
        for f in w.fleets.values() {
            assert_eq!(f.ledger().unwrap().ended(2), Some(&End::Unknown));
        }
        // It starts anew, as another incarnation, and takes part again with a vote.
        w.restart(dead);
        w.run(4_000 * MS, |_| ());
        let now = w.now;
        assert!(w.fleets[&dead].holds(now).is_some());
        assert_eq!(w.fleets[&dead].ledger().unwrap().ended(2), Some(&End::Unknown));
    }
}

// A peer that was only cut off learns by its own clock that its lease is over, before anybody else may say so,
// and comes back under a new term.
#[test]
fn a_peer_that_was_cut_off_lets_go_before_others_take_over() {
    let mut w = World::new(3, 5);
    w.formed();
    assert!(open(&mut w, 2, 1, true));
    w.run(200 * MS, |_| ());
    let term = w.fleets[&2].holds(w.now).unwrap().term;
    w.cut = [(1, 2), (3, 2), (2, 1), (2, 3)].into();
    w.run(3_000 * MS, |w| w.one_owner([1].into_iter()));
    let lost = w.events.iter().position(|(p, n)| *p == 2 && matches!(n, FleetEvent::Lost(_))).unwrap();
    let claimed = w.events.iter().position(|(_, n)| matches!(n, FleetEvent::Claimed { ask: 1, .. })).unwrap();
    assert!(lost < claimed, "the owner knows first");
    assert!(!open(&mut w, 2, 9, false), "without a lease nothing is put on record");
    w.cut.clear();
    w.run(3_000 * MS, |w| w.one_owner([1].into_iter()));
    assert!(w.fleets[&2].holds(w.now).unwrap().term > term);
}

// A majority that starts anew has lost the record: the last one that had it gives it up, and all found another.
#[test]
fn a_fleet_that_lost_its_majority_is_founded_anew() {
    let mut w = World::new(3, 6);
    w.formed();
    w.restart(1);
    w.restart(2);
    w.run(20_000 * MS, |_| ());
    assert!(w.told(3, |n| matches!(n, FleetEvent::GivenUp(_))));
    let now = w.now;
    assert!(w.fleets.values().all(|f| f.holds(now).is_some()));
    assert!(w.fleets.values().all(|f| !f.vouches(now)), "what it never knew it does not vouch for");
    w.run(31_000 * MS, |_| ());
    let now = w.now;
    assert!(w.fleets.values().all(|f| f.vouches(now)));
}

// The rest starts anew while one is cut off, and founds a fleet without it: when it is back it gives its own up,
// which nobody else has part in, and joins. It was stuck in the old one for good.
#[test]
fn one_that_was_cut_off_joins_the_fleet_that_was_founded_without_it() {
    let mut w = World::new(3, 9);
    w.formed();
    w.cut = [(1, 2), (3, 2), (2, 1), (2, 3)].into();
    w.restart(1);
    w.restart(3);
    w.run(15_000 * MS, |_| ());
    let now = w.now;
    assert!(w.fleets[&1].holds(now).is_some() && w.fleets[&3].holds(now).is_some());
    w.cut.clear();
    w.run(15_000 * MS, |_| ());
    let now = w.now;
    assert!(w.told(2, |n| matches!(n, FleetEvent::GivenUp(_))));
    assert!(w.fleets.values().all(|f| f.holds(now).is_some()));
}

// A peer that says nonsense, or speaks of another fleet, is not followed.
#[test]
fn nonsense_changes_nothing() {
    let mut w = World::new(3, 8);
    w.formed();
    let now = w.now;
    for bytes in [vec![], vec![0xff; 40], b"\x08\x05\x10\x01\x18\x02".to_vec()] {
        for p in 1..=3 {
            w.fleets.get_mut(&p).unwrap().hear(now, 1 + p % 3, Message::Log(77, bytes.clone()));
            w.fleets.get_mut(&p).unwrap().hear(now, 200, Message::Result(9, None));
        }
    }
    w.formed();
}

// A lease that was asked for twice was counted from the later time when the answer to the first came late: its holder
// went on by it for a lease longer than the others knew of. Each answer tells now what it answers.
#[test]
fn a_lease_counts_from_when_what_gave_it_was_asked_for() {
    for late in 0..12 {
        let mut w = World::new(3, 40 + late);
        w.run(500 * MS, |_| ());
        for _ in 0..60 {
            // One hears nothing and is heard, or the other way round, for about a lease.
            let victim = 1 + w.draw(3) as Peer;
            let deaf = w.draw(2) == 0;
            let others: Vec<Peer> = (1..=3).filter(|p| *p != victim).collect();
            w.cut = others.iter().map(|p| if deaf { (*p, victim) } else { (victim, *p) }).collect();
            let span = (300 + w.draw(1_200)) * MS;
            w.run(span, |w| {
                for p in 1..=3 {
                    let agreed =
                        |q: Peer| w.fleets[&q].agreed().map(|a| a.alive().clone()).unwrap_or_default();
                    let holder = w.fleets[&p].holds(w.now);
                    // Nobody acts by a lease that another has seen to be over.
                    for q in (1..=3).filter(|q| *q != p) {
                        let over = |h| w.events.iter().any(|(by, n)| *by == q && *n == FleetEvent::Ended(h));
                        assert!(
                            !holder.is_some_and(|h| over(h) && !agreed(q).contains(&h)),
                            "{p} by {holder:?}"
                        );
                    }
                }
            });
            w.cut.clear();
            let calm = w.draw(700) * MS;
            w.run(calm, |_| ());
        }
    }
}
