//! Policy changes between peers: in force at all of them or at none.

use crate::world::*;
use fleet::policy::{self, Action, Gate, Policies};
use fleet::state::Command;
use fleet::{Fleet, FleetEvent, Micros, Peer};
use std::collections::BTreeSet;
use std::hash::Hasher;

const LIMITS: [Micros; 2] = [3_000 * MS, 3_000 * MS];

fn propose(w: &mut World, p: Peer, text: &str) -> bool {
    let now = w.now;
    let mut digest = [0; 32];
    digest.iter_mut().zip(text.bytes()).for_each(|(d, b)| *d = b);
    let text = text.to_string();
    let command = policy::Command::Propose { text, digest, by: p, at: now, limits: LIMITS, min_number: 0 };
    w.fleets.get_mut(&p).is_some_and(|f| f.propose(now, Command::Policy(command)))
}

fn submit(w: &mut World, p: Peer, command: policy::Command) -> bool {
    let now = w.now;
    w.fleets.get_mut(&p).is_some_and(|f| f.propose(now, Command::Policy(command)))
}

fn policies(w: &World, p: Peer) -> Policies {
    w.fleets.get(&p).and_then(|f| f.state()).map(|a| a.policy().clone()).unwrap_or_default()
}

/// The policy numbers in force at the running peers.
fn numbers(w: &World) -> BTreeSet<u64> {
    w.participants.iter().filter(|(p, _)| w.fleets.contains_key(p)).map(|(_, part)| part.number()).collect()
}

// Without failures, a change is in force everywhere within a few round trips, and no request is refused.
#[test]
fn a_change_is_in_force_everywhere_and_refuses_nothing() {
    let mut w = World::new(3, 1);
    w.assert_forms();
    let refused = w.gate_counts[2];
    assert!(propose(&mut w, 2, "policy one"));
    w.run(400 * MS, |_| ());
    assert_eq!((numbers(&w), w.admitted), (BTreeSet::from([1]), 1));
    assert!(w.gate_counts[1] > 0, "requests are held while admission is closed");
    assert_eq!(w.gate_counts[2], refused, "nothing was refused");
    let now = w.now;
    assert!(submit(&mut w, 1, policy::Command::Back(1, now, LIMITS)));
    w.run(400 * MS, |_| ());
    assert_eq!(numbers(&w), BTreeSet::from([2]), "reverting is a change with a number of its own");
    assert_eq!(policies(&w, 3).current().text, "");
}

// If one peer cannot apply a policy, the change is given up everywhere, and every peer learns the faults.
#[test]
fn a_single_vote_against_gives_a_change_up_everywhere() {
    let mut w = World::new(3, 2);
    w.rejecting.insert(3);
    w.assert_forms();
    assert!(propose(&mut w, 1, "policy with an unknown class"));
    w.run(600 * MS, |_| ());
    assert_eq!(numbers(&w), BTreeSet::from([0]));
    let agreed = policies(&w, 2);
    let outcome = agreed.outcomes().next().unwrap();
    assert_eq!((outcome.number, &outcome.faults[..]), (1, &[(3, vec!["unknown class".to_string()])][..]));
    assert!(
        w.policy_actions.iter().filter(|(_, a)| matches!(a, Action::GivenUp(1, ..))).count() >= 3,
        "every peer reports it"
    );
    assert!(propose(&mut w, 1, "policy two"));
    w.run(600 * MS, |_| ());
    assert_eq!(numbers(&w), BTreeSet::from([2]), "a number is never assigned twice");
}

// If a peer is cut off during a change, the others wait until its lease has expired and it admits nothing
// after that. It must return under the new policy.
#[test]
fn a_peer_that_is_cut_off_delays_a_change_no_longer_than_its_lease() {
    let mut w = World::new(3, 3);
    w.assert_forms();
    w.cut_links = [(1, 2), (3, 2), (2, 1), (2, 3)].into();
    let follower = if w.fleets[&1].is_leader() { 3 } else { 1 };
    w.run(20 * MS, |_| ());
    let start = w.now;
    while !propose(&mut w, follower, "policy one") {
        w.run(50 * MS, |_| ());
    }
    while w.admitted == 0 {
        w.run(10 * MS, |_| ());
        assert!(w.now < start + 5_000 * MS, "the change came into force within two leases and an election");
    }
    assert_eq!(w.participants[&2].number(), 0);
    w.cut_links.clear();
    w.run(3_000 * MS, |_| ());
    assert_eq!(numbers(&w), BTreeSet::from([1]));
}

// Of two concurrent proposals one is accepted. A change can be aborted while votes are missing.
#[test]
fn of_two_concurrent_proposals_one_is_accepted() {
    let mut w = World::new(5, 4);
    w.assert_forms();
    assert!(propose(&mut w, 1, "policy a") && propose(&mut w, 4, "policy b"));
    w.run(600 * MS, |_| ());
    assert_eq!(numbers(&w), BTreeSet::from([1]));
    // One peer is paused, so that its vote is missing when the change is aborted.
    let slow = if w.fleets[&5].is_leader() { 4 } else { 5 };
    w.paused.insert(slow, w.now + 700 * MS);
    assert!(propose(&mut w, 1, "policy c"));
    w.run(200 * MS, |_| ());
    assert!(submit(&mut w, 2, policy::Command::Abort(2)));
    w.run(2_000 * MS, |_| ());
    assert_eq!(numbers(&w), BTreeSet::from([1]));
    assert!(policies(&w, 3).outcomes().next().unwrap().why.as_deref().unwrap().contains("called off"));
}

// A majority restarts and the fleet's state is lost. The new fleet learns the policy number that was in force
// and admits nothing until that policy is back. The peer that knows it proposes it again; if that peer has
// died, an operator has to propose one.
#[test]
fn a_policy_survives_the_loss_of_the_fleets_state() {
    for survives in [true, false] {
        let mut w = World::new(3, 6);
        w.assert_forms();
        assert!(propose(&mut w, 1, "policy one"));
        w.run(400 * MS, |_| ());
        w.restart(1);
        w.restart(2);
        if !survives {
            // The peer has sent its policy number to the others, and dies before it can propose the policy
            // again.
            while w.fleets[&1].state().is_none_or(|a| a.policy().caught_up()) {
                w.run(5 * MS, |_| ());
            }
            w.fleets.remove(&3);
            let lost = w.now;
            while w.fleets[&1].holds(w.now).is_none() {
                w.run(100 * MS, |_| ());
                assert!(w.now < lost + 30_000 * MS, "the two remaining peers form a fleet");
            }
            let holder = w.fleets[&1].holds(w.now);
            assert_eq!(w.participants[&1].gate(holder), Gate::Refuse);
            assert!(propose(&mut w, 1, "policy two"));
        }
        w.run(if survives { 18_000 } else { 5_000 } * MS, |_| ());
        let text = if survives { "policy one" } else { "policy two" };
        assert_eq!(policies(&w, 2).current().text, text);
        assert!(w.admitted > 1 && numbers(&w) == BTreeSet::from([w.admitted]));
    }
}

// One peer is paused while the others restart, found a new fleet and agree on a policy of the same number.
// With fleet ids derived from the same seed the paused peer took the new fleet for its own and kept its old
// policy.
#[test]
fn a_paused_peer_adopts_the_policy_of_a_fleet_founded_meanwhile() {
    let mut w = World::new(3, 12);
    w.assert_forms();
    let id = |w: &World| {
        w.events.iter().rev().find_map(|(p, n)| match n {
            FleetEvent::FleetJoined(id) if *p == 1 => Some(*id),
            _ => None,
        })
    };
    let first = id(&w);
    assert!(propose(&mut w, 1, "policy one"));
    w.run(400 * MS, |_| ());
    w.paused.insert(3, w.now + 20_000 * MS);
    for p in [1, 2] {
        w.fleets.insert(p, Fleet::new(fleet_config(p, 3), u64::from(p), w.now));
        w.participants.insert(p, Default::default());
    }
    w.admitted = 0;
    w.run(6_000 * MS, |_| ());
    assert!(id(&w) != first && propose(&mut w, 1, "policy another"));
    w.run(25_000 * MS, |_| ());
    let texts: BTreeSet<String> = (1..=3).map(|p| policies(&w, p).current().text.clone()).collect();
    assert_eq!((texts.len(), numbers(&w).len()), (1, 1), "{texts:?}");
    let actions: Vec<&Action> = w.policy_actions.iter().filter(|(p, _)| *p == 3).map(|(_, a)| a).collect();
    assert!(
        actions.iter().any(|a| matches!(a, Action::InForce(p) if p.text == "policy another")),
        "{actions:?}"
    );
}

/// Proposes changes under random faults, then heals all. Returns the hash of the trace.
fn random_changes(n: u8, seed: u64) -> u64 {
    let mut w = World::new(n, seed);
    w.assert_forms();
    for round in 0..40_u64 {
        let p = 1 + w.draw(u64::from(n)) as Peer;
        let now = w.now;
        match w.draw(8) {
            0 => drop(submit(&mut w, p, policy::Command::Back(p, now, LIMITS))),
            1 => {
                let number = policies(&w, p).pending().map_or(0, |x| x.policy.number);
                submit(&mut w, p, policy::Command::Abort(number));
            }
            _ => drop(propose(&mut w, p, &format!("policy {round}"))),
        }
        let before = w.draw(60) * MS;
        w.run(before, |_| ());
        w.inject_fault();
        w.run(300 * MS, |_| ());
        w.end_outages();
    }
    w.end_all_outages();
    w.run(10_000 * MS, |_| ());
    let all: Vec<Policies> = (1..=n).map(|p| policies(&w, p)).collect();
    assert!(all.iter().all(|p| *p == all[0]), "seed {seed}: all peers end with the same state");
    assert_eq!(all[0].pending(), None, "seed {seed}: no change stays pending");
    assert_eq!(numbers(&w), BTreeSet::from([all[0].current().number]), "seed {seed}");
    assert!(all[0].current().number > 3, "seed {seed}: changes came into force");
    w.trace.finish()
}

// Under any faults no request is admitted under an older policy than an earlier request (asserted by the
// world at each step), and all peers end with the same policy.
#[test]
fn random_faults_leave_one_policy_and_never_two_at_once() {
    for seed in 0..14 {
        random_changes(3, 1_000 + seed);
    }
    for seed in 0..7 {
        random_changes(5, 2_000 + seed);
    }
    assert_eq!(random_changes(3, 77), random_changes(3, 77));
}
