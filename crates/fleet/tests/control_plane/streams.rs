//! What followers are sent: changes by revision, snapshots within bounds, and refusals that say why.

use super::world::*;
use fleet::control_plane::member::MemberRecord;
use fleet::control_plane::messages::{FRAMING, FollowerMessage, MOST_FOLLOWER_FRAME, MemberMessage, VERSION};
use fleet::control_plane::{FollowerId, Resume};
use fleet::policy::{Change, Gate, Policies, Policy};
use proptest::prelude::*;

// One that comes back with a revision that is still kept gets the changes since, and no snapshot.
#[test]
fn a_follower_that_comes_back_resumes_by_its_revision() {
    let mut w = World::new(3, 8, 21);
    w.formed();
    let snapshots: u64 = w.members.values().map(|n| n.member.tally.snapshots).sum();
    assert_eq!(snapshots, 8, "one each at the start");
    w.silent.insert(3);
    for n in 1..=3 {
        w.propose_anywhere(&format!("policy {n}"));
        w.run(1_500 * MS, |_| ());
    }
    w.silent.clear();
    w.until(5_000 * MS, "it is back", |w| w.all_at(3));
    let after: u64 = w.members.values().map(|n| n.member.tally.snapshots).sum();
    assert_eq!(after, snapshots, "changes are enough");
    assert!(w.members.values().map(|n| n.member.tally.resumed).sum::<u64>() > 0);
}

// One that was away for longer than changes are kept gets a snapshot.
#[test]
fn a_follower_that_is_far_behind_gets_a_snapshot() {
    let mut w = World::new(3, 4, 22);
    w.formed();
    w.silent.insert(1);
    for n in 1..=60 {
        w.propose_anywhere(&format!("policy {n}"));
        w.run(400 * MS, |_| ());
    }
    w.silent.clear();
    w.until(10_000 * MS, "it is back", |w| w.all_at(60));
    assert_eq!(w.followers[&1].follower.tally.snapshots, 2);
}

// One that does not read holds nobody up, and nothing piles up for it: it is sent nothing while it is blocked.
#[test]
fn a_follower_that_does_not_read_is_sent_a_snapshot_later() {
    let mut w = World::new(3, 4, 23);
    w.formed();
    let (peer, session) = w.followers[&2].connection.unwrap();
    w.followers.get_mut(&2).unwrap().deaf = true;
    w.members.get_mut(&peer).unwrap().member.blocked(session, true);
    w.propose_anywhere("one");
    w.until(3_000 * MS, "in force at the others", |w| {
        w.followers.iter().all(|(i, f)| *i == 2 || f.gate(w.now) == Gate::Admit(1))
    });
    assert_eq!(w.followers[&2].gate(w.now), Gate::Refuse);
    w.followers.get_mut(&2).unwrap().deaf = false;
    w.until(5_000 * MS, "it is back", |w| w.all_at(1));
}

// A whole release brings as many snapshots at once as the bound allows, and all get theirs.
#[test]
fn snapshots_under_way_are_bounded() {
    let mut w = World::new(3, 60, 24);
    w.formed();
    w.snapshots_seen = 0;
    (0..60).for_each(|f| w.start_follower(f));
    w.until(10_000 * MS, "all are back", World::all_admit);
    assert!(w.snapshots_seen >= 1 && w.snapshots_seen <= w.most_snapshots, "{}", w.snapshots_seen);
}

fn subscribed(w: &mut World, session: u64, resume: Option<Resume>) {
    let now = w.now;
    let node = w.members.get_mut(&1).unwrap();
    node.member.connected(now, session);
    let view = node.fleet.view(now);
    let message = FollowerMessage::Subscribe {
        version: VERSION,
        group: GROUP.into(),
        follower: FollowerId(session),
        name: format!("x{session}"),
        resume,
        policy: 0,
    };
    node.member.hear(now, session, message, view).unwrap();
    node.member.look(now, &mut node.fleet, &mut |_| Vec::new());
}

/// What a renewal by this revision brings.
fn renewed(w: &mut World, session: u64, at: Option<Resume>) -> Option<u64> {
    let now = w.now;
    let node = w.members.get_mut(&1).unwrap();
    node.member.outgoing.clear();
    let view = node.fleet.view(now);
    node.member.hear(now, session, FollowerMessage::Renew { at, asked: now }, view).unwrap();
    let answer = node.member.outgoing.iter().find_map(|(s, m)| match m {
        MemberMessage::Keepalive { lease, .. } if *s == session => Some(*lease),
        _ => None,
    });
    answer.expect("a renewal is answered")
}

// One that waits for its snapshot while others have theirs on the way knows nothing of a change that was closed since:
// a lease for it would have it admit by the old policy beside the new one.
#[test]
fn who_waits_for_a_snapshot_gets_no_lease() {
    let mut w = World::new(3, 0, 28);
    w.run(3_000 * MS, |_| ());
    let fleet = w.members[&1].fleet.fleet_id().unwrap();
    let known = |w: &World| w.members[&1].fleet.state().unwrap().policy().revision();
    for n in 1..=50 {
        w.propose_anywhere(&format!("policy {n}"));
        w.run(300 * MS, |_| ());
    }
    let bound = w.most_snapshots as u64;
    (0..bound).for_each(|n| subscribed(&mut w, 900 + n, None));
    assert_eq!(w.members[&1].member.snapshots_under_way(), w.most_snapshots);
    let behind = Resume { fleet, revision: 3 };
    subscribed(&mut w, 950, Some(behind));
    assert_eq!(renewed(&mut w, 950, Some(behind)), None);
    let newest = Resume { fleet, revision: known(&w) };
    assert!(renewed(&mut w, 900, Some(newest)).is_some(), "one that heeds its snapshot gets one");
}

// Revisions of a group that was founded anew count from the start: what a follower says of the one before, while its
// snapshot is on the way, is no word on the new one.
#[test]
fn a_revision_of_another_founding_counts_for_nothing() {
    let mut w = World::new(3, 0, 29);
    w.run(3_000 * MS, |_| ());
    w.propose_anywhere("one");
    w.run(600 * MS, |_| ());
    let fleet = w.members[&1].fleet.fleet_id().unwrap();
    let before = Resume { fleet: fleet ^ 1, revision: 3 };
    subscribed(&mut w, 900, Some(before));
    assert_eq!(renewed(&mut w, 900, Some(before)), None);
    assert_eq!(w.members[&1].member.snapshots_under_way(), 1, "it is on its way still");
    let here = Resume { fleet, revision: 3 };
    assert!(renewed(&mut w, 900, Some(here)).is_some());
}

proptest! {
    // Whatever comes, it is a message, a fault, or not whole yet.
    #[test]
    fn any_bytes_are_read_without_fail(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = FRAMING.decode::<FollowerMessage>(&bytes, MOST_FOLLOWER_FRAME);
        let _ = FRAMING.decode::<MemberMessage>(&bytes, MOST_FOLLOWER_FRAME);
    }

    // A message of peers is none of a follower's, and the other way round.
    #[test]
    fn protocols_are_told_apart(asked in any::<u64>()) {
        let ours = FRAMING.encode(&FollowerMessage::Renew { at: None, asked });
        prop_assert!(fleet::wire::decode_frame(&ours, 1 << 20).is_err());
        let read = FRAMING.decode::<FollowerMessage>(&ours, MOST_FOLLOWER_FRAME).unwrap().unwrap();
        prop_assert_eq!(read.1, FollowerMessage::Renew { at: None, asked });
    }

    // A change that does not follow on what is known changes nothing.
    #[test]
    fn revisions_follow_on_each_other(revision in 0_u64..10) {
        let mut policies = Policies::default();
        policies.follow(1, Change::Proposed(Policy { number: 1, ..Policy::default() })).unwrap();
        let before = policies.clone();
        let took = policies.follow(revision, Change::InForce(1));
        prop_assert_eq!(took.is_ok(), revision == 2);
        prop_assert_eq!(policies == before, revision != 2);
    }
}
