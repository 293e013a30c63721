//! Loss of members, leaders, the whole group, or a follower's connection.

use super::world::*;
use fleet::Peer;
use fleet::policy::Gate;

// When a member dies, its followers must fail over within their lease time and a change must still complete.
#[test]
fn followers_of_a_lost_member_fail_over() {
    let mut w = World::new(5, 30, 11);
    w.wait_until_formed();
    let lost = (1..=5).find(|p| Some(*p) != w.leader()).unwrap();
    let moved: Vec<usize> = (0..30).filter(|i| w.member_of(*i) == Some(lost)).collect();
    assert!(!moved.is_empty());
    w.kill_member(lost);
    w.propose_anywhere("one");
    let elapsed = w.run_until(3_000 * MS, "in force at all followers", |w| w.all_at(1));
    assert!(elapsed > 0);
    assert!(moved.iter().all(|i| w.member_of(*i).is_some_and(|p| p != lost)));
}

// When the leader dies during a change, the next leader must bring the change to one outcome on all
// dispatchers.
#[test]
fn the_next_leader_finishes_a_change() {
    for after in [0, 10, 20, 30, 40, 60, 80] {
        let mut w = World::new(3, 12, 12 + after);
        w.wait_until_formed();
        let leader = w.leader().unwrap();
        assert!(w.propose(leader, "one"));
        w.run(after * MS, |_| ());
        w.kill_member(leader);
        w.run(3_000 * MS, |_| ());
        w.start_member(leader);
        w.run_until(20_000 * MS, "all admit under the same policy", |w| w.all_at(1) || w.all_at(0));
        w.propose_anywhere("two");
        w.run_until(3_000 * MS, "the next one is in force", |w| {
            let numbers: std::collections::BTreeSet<u64> =
                w.followers.values().map(|f| f.part.number()).collect();
            numbers.len() == 1 && !numbers.contains(&0) && w.all_admit()
        });
    }
}

// A follower that fails over during a change gets a lease only once it has applied the change. Otherwise it
// could admit under the old policy after another follower admits under the new one, which the world asserts
// at each step.
#[test]
fn a_follower_that_fails_over_in_a_change_admits_nothing_old() {
    for seed in 0..40 {
        let mut w = World::new(3, 6, 100 + seed);
        w.wait_until_formed();
        let peer: Peer = 1 + (seed % 3) as Peer;
        w.propose(peer, "one");
        let steps = w.random(30);
        for _ in 0..steps {
            w.step();
        }
        // The member closes all its connections and keeps running; the leases it granted remain valid.
        let leader = w.leader().unwrap();
        w.members.get_mut(&leader).unwrap().member.leave();
        w.run_until(10_000 * MS, "in force at all followers", |w| w.all_at(1));
    }
}

// Restarting all members one by one must preserve the agreed state and keep all followers admitting.
#[test]
fn members_restart_one_by_one() {
    let mut w = World::new(3, 15, 13);
    w.wait_until_formed();
    w.propose_anywhere("one");
    w.run_until(2_000 * MS, "in force", |w| w.all_at(1));
    for peer in 1..=3 {
        w.members.get_mut(&peer).unwrap().member.leave();
        w.run(w.timing.follower_lease + w.timing.margin, |_| ());
        w.kill_member(peer);
        w.run(500 * MS, |_| ());
        w.start_member(peer);
        w.run_until(10_000 * MS, "the member votes and all followers admit", move |w| {
            w.members[&peer].fleet.holds(w.now).is_some() && w.all_at(1)
        });
    }
    w.propose_anywhere("two");
    w.run_until(3_000 * MS, "the next is in force", |w| w.all_at(2));
}

// All members are lost at once, and the agreed state with them. Followers know the policy number that was in
// force: they must admit under nothing older and propose that policy again.
#[test]
fn a_group_that_has_lost_its_state_gets_the_policy_back_from_followers() {
    let mut w = World::new(3, 10, 14);
    w.wait_until_formed();
    w.propose_anywhere("one");
    w.run_until(2_000 * MS, "in force", |w| w.all_at(1));
    (1..=3).for_each(|p| w.kill_member(p));
    w.run(2_000 * MS, |_| ());
    assert!(w.followers.values().all(|f| f.gate(w.now) == Gate::Refuse), "no lease, no admission");
    (1..=3).for_each(|p| w.start_member(p));
    w.run_until(30_000 * MS, "the policy is back", |w| {
        w.all_admit() && w.followers.values().all(|f| f.part.number() >= 1)
    });
    let policies = w.members[&1].fleet.state().unwrap().policy();
    assert_eq!(policies.current().text, "one");
}

// A member without a majority cannot grant leases; its followers must fail over to other members.
#[test]
fn a_member_without_a_majority_loses_its_followers() {
    let mut w = World::new(3, 12, 15);
    w.wait_until_formed();
    let lost: Peer = (1..=3).find(|p| Some(*p) != w.leader()).unwrap();
    for other in (1..=3).filter(|p| *p != lost) {
        w.cut.insert((lost, other));
        w.cut.insert((other, lost));
    }
    w.propose_anywhere("one");
    w.run_until(10_000 * MS, "all follow other members", |w| {
        w.all_at(1) && (0..12).all(|i| w.member_of(i).is_some_and(|p| p != lost))
    });
}

// With regions tens of milliseconds apart, timeouts derived from the round trip must not trigger elections,
// and a change must complete in under 2.5 s.
#[test]
fn timeouts_fit_links_between_regions() {
    let mut w = World::new(5, 20, 16);
    let round_trip = 150 * MS;
    w.timing = fleet::control_plane::Timing::from_round_trip(round_trip);
    w.delay = round_trip / 2;
    (1..=5).for_each(|p| w.start_member(p));
    (0..20).for_each(|f| w.start_follower(f));
    w.wait_until_formed();
    let leader = w.leader();
    w.run(10_000 * MS, |_| ());
    assert_eq!(w.leader(), leader, "no election while the leader is up");
    w.propose_anywhere("one");
    w.run_until(2_500 * MS, "in force at all followers", |w| w.all_at(1));
}
