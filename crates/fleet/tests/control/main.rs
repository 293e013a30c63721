//! Followers of a control group: what holds of changes, leases and moves, in virtual time.

mod faults;
mod storm;
mod streams;
mod world;

use fleet::policy::{Act, Gate};
use world::*;

// Nobody is down: all followers admit by the change soon, and no request is refused for it.
#[test]
fn a_change_is_in_force_at_all_followers_and_refuses_nothing() {
    let mut w = World::new(3, 20, 1);
    w.formed();
    let refused = w.gates[2];
    assert!(w.propose(2, "one"));
    w.until(600 * MS, "in force at all", |w| w.all_at(1));
    assert!(w.gates[1] > 0, "while all stop, what arrives waits");
    assert_eq!(w.gates[2], refused, "nothing was refused");
    let entries: usize = w.members.values().map(|n| n.fleet.agreed().unwrap().alive().len()).sum();
    assert_eq!(entries, 9, "three members have leases in the log, and no follower");
}

// One follower that can't do a policy is enough for it to take hold nowhere, and its name and reason are told.
#[test]
fn a_policy_that_one_follower_cannot_do_takes_hold_nowhere() {
    let mut w = World::new(3, 12, 2);
    w.followers.get_mut(&7).unwrap().faulty = true;
    w.formed();
    assert!(w.propose(1, "an unknown class"));
    w.until(2_000 * MS, "given up", |w| {
        let given_up = |a: &Act| matches!(a, Act::GivenUp(1, ..));
        w.followers.values().all(|f| f.acts.iter().any(given_up))
    });
    assert!(w.all_at(0));
    let agreed = w.members[&1].fleet.agreed().unwrap();
    let ended = agreed.policy().ended().next().unwrap();
    assert!(ended.faults.iter().any(|(_, f)| f[0] == "d7: unknown class"), "{ended:?}");
    assert!(w.propose(1, "two"));
    w.until(1_000 * MS, "the next is in force", |w| w.all_at(2));
}

// Changes that come while one is under way take hold one after the other, in their order.
#[test]
fn changes_wait_for_each_other_in_order() {
    let mut w = World::new(3, 6, 3);
    w.formed();
    for n in 1..=20 {
        assert!(w.propose(1, &format!("policy {n}")));
        w.step();
    }
    let mut seen = Vec::new();
    w.until(20_000 * MS, "all are in force", |w| w.all_at(20));
    for f in w.followers.values() {
        let numbers: Vec<u64> = f
            .acts
            .iter()
            .filter_map(|a| if let Act::InForce(p) = a { Some(p.number) } else { None })
            .collect();
        assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]), "{numbers:?}");
        seen.push(numbers.len());
    }
    assert!(seen.iter().any(|n| *n >= 10), "they were in force one after the other: {seen:?}");
}

// The queue has a bound: what is beyond it is turned away and told so, and nothing that was taken is lost.
#[test]
fn the_queue_of_changes_is_bounded() {
    let mut w = World::new(3, 1, 4);
    w.formed();
    for n in 0..200 {
        w.propose(1, &format!("policy {n}"));
    }
    w.run(100 * MS, |_| ());
    let agreed = w.members[&2].fleet.agreed().unwrap();
    let waiting = agreed.policy().waiting().count();
    assert!(waiting <= fleet::policy::MOST_WAITING, "{waiting}");
    assert!(agreed.policy().queues("more").is_err() || waiting < fleet::policy::MOST_WAITING);
    let last = agreed.policy().waiting().map(|q| q.policy.number).max().unwrap();
    w.until(120_000 * MS, "all that were taken", |w| w.all_at(last));
}

// Who has no lease refuses, and is not waited for once its lease is over.
#[test]
fn a_follower_that_is_cut_off_refuses_before_the_others_go_on() {
    let mut w = World::new(3, 9, 5);
    w.formed();
    w.silent.insert(4);
    assert!(w.propose(1, "one"));
    let lease = w.timing.follower_lease + w.timing.margin;
    w.until(lease + 1_000 * MS, "in force at the others", |w| {
        w.followers.iter().all(|(i, f)| *i == 4 || f.gate(w.now) == Gate::Admit(1))
    });
    assert_eq!(w.followers[&4].gate(w.now), Gate::Refuse);
    w.silent.clear();
    w.until(5_000 * MS, "it is back by the new one", |w| w.all_at(1));
}
