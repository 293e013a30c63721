//! Followers of a control group: policy changes, leases and failover in virtual time.

mod faults;
mod follower_node;
mod helpers;
mod random_faults;
mod refusals;
mod steps;
mod streams;
mod transit;
mod world;

use fleet::policy::{Action, Gate};
use world::*;

// Without failures, all followers admit under a change soon after it is proposed, and no request is refused.
#[test]
fn a_change_is_in_force_at_all_followers_and_refuses_nothing() {
    let mut w = World::new(3, 20, 1);
    w.wait_until_formed();
    let refused = w.decisions[2];
    assert!(w.propose(2, "one"));
    w.run_until(600 * MS, "in force at all followers", |w| w.all_at(1));
    assert!(w.decisions[1] > 0, "requests are held while admission is closed");
    assert_eq!(w.decisions[2], refused, "nothing was refused");
    let leases: usize = w.members.values().map(|n| n.fleet.state().unwrap().alive().len()).sum();
    assert_eq!(leases, 9, "three members have leases in the log, and no follower");
}

// If one follower cannot apply a policy, the change must be given up everywhere, and the outcome names the
// follower and its fault.
#[test]
fn a_policy_that_one_follower_cannot_apply_is_in_force_nowhere() {
    let mut w = World::new(3, 12, 2);
    w.followers.get_mut(&7).unwrap().faulty = true;
    w.wait_until_formed();
    assert!(w.propose(1, "an unknown class"));
    w.run_until(2_000 * MS, "given up", |w| {
        let given_up = |a: &Action| matches!(a, Action::GivenUp(1, ..));
        w.followers.values().all(|f| f.actions.iter().any(given_up))
    });
    assert!(w.all_at(0));
    let agreed = w.members[&1].fleet.state().unwrap();
    let outcome = agreed.policy().outcomes().next().unwrap();
    assert!(outcome.faults.iter().any(|(_, f)| f[0] == "d7: unknown class"), "{outcome:?}");
    assert!(w.propose(1, "two"));
    w.run_until(1_000 * MS, "the next is in force", |w| w.all_at(2));
}

// Of the queued changes the latest is started next, so that any proposed policy is in force or superseded
// within the duration of two changes.
#[test]
fn the_latest_queued_change_is_started_next() {
    let mut w = World::new(3, 6, 3);
    w.wait_until_formed();
    for n in 1..=20 {
        assert!(w.propose(1, &format!("policy {n}")));
    }
    w.run_until(1_500 * MS, "the last is in force", |w| w.all_at(20));
    for f in w.followers.values() {
        let in_force = |a: &Action| if let Action::InForce(p) = a { Some(p.number) } else { None };
        let numbers: Vec<u64> = f.actions.iter().filter_map(in_force).collect();
        assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]), "{numbers:?}");
        assert!(numbers.len() <= 4, "most were superseded: {numbers:?}");
    }
    let agreed = w.members[&2].fleet.state().unwrap();
    let outcomes: Vec<_> = agreed.policy().outcomes().take(2).map(|e| (e.number, e.why.clone())).collect();
    assert_eq!(outcomes, [(20, None), (19, Some("superseded by 20".to_string()))]);
}

// If the latest queued change is given up, the one before it must be started instead of being lost.
#[test]
fn a_queued_change_is_not_lost_with_a_later_one() {
    let mut w = World::new(3, 6, 6);
    w.followers.get_mut(&2).unwrap().faulty = true;
    w.wait_until_formed();
    for text in ["one", "two", "three", "with an unknown class"] {
        assert!(w.propose(1, text));
    }
    w.run_until(2_000 * MS, "the last applicable policy is in force", |w| w.all_at(3));
    let agreed = w.members[&2].fleet.state().unwrap();
    assert_eq!(agreed.policy().queued().count(), 0);
    assert!(agreed.policy().outcomes().any(|e| e.number == 4 && e.why.is_some()));
}

// The queue is bounded: proposals beyond the limit are rejected, and no accepted one is lost.
#[test]
fn the_queue_of_changes_is_bounded() {
    let mut w = World::new(3, 1, 4);
    w.wait_until_formed();
    for n in 0..200 {
        w.propose(1, &format!("policy {n}"));
    }
    w.run(100 * MS, |_| ());
    let agreed = w.members[&2].fleet.state().unwrap();
    let waiting = agreed.policy().queued().count();
    assert!(waiting <= fleet::policy::MAX_QUEUED, "{waiting}");
    assert!(agreed.policy().can_queue("more").is_err() || waiting < fleet::policy::MAX_QUEUED);
    let policy = agreed.policy();
    let numbers = policy.queued().map(|q| q.policy.number).chain(policy.pending().map(|p| p.policy.number));
    let last = numbers.max().unwrap();
    assert!(last > 100, "as many were accepted as the limit allows: {last}");
    w.run_until(3_000 * MS, "the last accepted policy is in force", |w| w.all_at(last));
}

// A follower without a lease refuses requests, and changes stop waiting for it once its lease has expired.
#[test]
fn a_follower_that_is_cut_off_refuses_before_the_others_proceed() {
    let mut w = World::new(3, 9, 5);
    w.wait_until_formed();
    w.silent.insert(4);
    assert!(w.propose(1, "one"));
    let lease = w.timing.follower_lease + w.timing.margin;
    w.run_until(lease + 1_000 * MS, "in force at the others", |w| {
        w.followers.iter().all(|(i, f)| *i == 4 || f.gate(w.now) == Gate::Admit(1))
    });
    assert_eq!(w.followers[&4].gate(w.now), Gate::Refuse);
    w.silent.clear();
    w.run_until(5_000 * MS, "it is back under the new policy", |w| w.all_at(1));
}
