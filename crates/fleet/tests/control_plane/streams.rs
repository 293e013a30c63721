//! What followers receive: changes by revision, and a bounded number of snapshots.

use super::world::*;
use fleet::control_plane::member::MemberLog;
use fleet::control_plane::messages::{FRAMING, FollowerMessage, MAX_FOLLOWER_FRAME, MemberMessage, VERSION};
use fleet::control_plane::{FollowerId, Resume};
use fleet::policy::{Change, Gate, Policies, Policy};
use proptest::prelude::*;

// A follower that returns with a revision still kept in the history gets the changes since then, and no
// snapshot.
#[test]
fn a_returning_follower_resumes_from_its_revision() {
    let mut w = World::new(3, 8, 21);
    w.wait_until_formed();
    let snapshots: u64 = w.members.values().map(|n| n.member.counters.snapshots).sum();
    assert_eq!(snapshots, 8, "one each at the start");
    w.silent.insert(3);
    for n in 1..=3 {
        w.propose_anywhere(&format!("policy {n}"));
        w.run(1_500 * MS, |_| ());
    }
    w.silent.clear();
    w.run_until(5_000 * MS, "the follower is back", |w| w.all_at(3));
    let after: u64 = w.members.values().map(|n| n.member.counters.snapshots).sum();
    assert_eq!(after, snapshots, "no further snapshot is sent");
    assert!(w.members.values().map(|n| n.member.counters.resumed).sum::<u64>() > 0);
}

// A follower that was away for longer than changes are kept gets a snapshot.
#[test]
fn a_follower_that_is_far_behind_gets_a_snapshot() {
    let mut w = World::new(3, 4, 22);
    w.wait_until_formed();
    w.silent.insert(1);
    for n in 1..=60 {
        w.propose_anywhere(&format!("policy {n}"));
        w.run(400 * MS, |_| ());
    }
    w.silent.clear();
    w.run_until(10_000 * MS, "the follower is back", |w| w.all_at(60));
    assert_eq!(w.followers[&1].follower.counters.snapshots, 2);
}

// A follower that does not read must not delay the others; nothing is queued for it while it is blocked.
#[test]
fn a_follower_that_does_not_read_is_sent_a_snapshot_later() {
    let mut w = World::new(3, 4, 23);
    w.wait_until_formed();
    let (peer, session) = w.followers[&2].connection.unwrap();
    w.followers.get_mut(&2).unwrap().not_reading = true;
    w.members.get_mut(&peer).unwrap().member.blocked(session, true);
    w.propose_anywhere("one");
    w.run_until(3_000 * MS, "in force at the others", |w| {
        w.followers.iter().all(|(i, f)| *i == 2 || f.gate(w.now) == Gate::Admit(1))
    });
    assert_eq!(w.followers[&2].gate(w.now), Gate::Refuse);
    w.followers.get_mut(&2).unwrap().not_reading = false;
    w.run_until(5_000 * MS, "the follower is back", |w| w.all_at(1));
}

// When all followers restart at once, the number of concurrent snapshots stays within its limit and all
// followers get one.
#[test]
fn concurrent_snapshots_are_bounded() {
    let mut w = World::new(3, 60, 24);
    w.wait_until_formed();
    w.snapshots_seen = 0;
    (0..60).for_each(|f| w.start_follower(f));
    w.run_until(10_000 * MS, "all are back", World::all_admit);
    assert!(w.snapshots_seen >= 1 && w.snapshots_seen <= w.max_snapshots, "{}", w.snapshots_seen);
}

fn subscribe(w: &mut World, session: u64, resume: Option<Resume>) {
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
    node.member.handle_message(now, session, message, view).unwrap();
    node.member.poll(now, &mut node.fleet, &mut |_| Vec::new());
}

/// The lease granted for a renewal at this revision.
fn renew(w: &mut World, session: u64, at: Option<Resume>) -> Option<u64> {
    let now = w.now;
    let node = w.members.get_mut(&1).unwrap();
    node.member.outgoing.clear();
    let view = node.fleet.view(now);
    node.member.handle_message(now, session, FollowerMessage::Renew { at, requested_at: now }, view).unwrap();
    let answer = node.member.outgoing.iter().find_map(|(s, m)| match m {
        MemberMessage::Keepalive { lease, .. } if *s == session => Some(*lease),
        _ => None,
    });
    answer.expect("a renewal is answered")
}

// A follower that waits for a snapshot slot may not know of a change that has closed since. With a lease it
// would admit under the old policy while others admit under the new one.
#[test]
fn a_follower_that_waits_for_a_snapshot_gets_no_lease() {
    let mut w = World::new(3, 0, 28);
    w.run(3_000 * MS, |_| ());
    let fleet = w.members[&1].fleet.fleet_id().unwrap();
    let known = |w: &World| w.members[&1].fleet.state().unwrap().policy().revision();
    for n in 1..=50 {
        w.propose_anywhere(&format!("policy {n}"));
        w.run(300 * MS, |_| ());
    }
    let limit = w.max_snapshots as u64;
    (0..limit).for_each(|n| subscribe(&mut w, 900 + n, None));
    assert_eq!(w.members[&1].member.unacknowledged_snapshots(), w.max_snapshots);
    let behind = Resume { fleet, revision: 3 };
    subscribe(&mut w, 950, Some(behind));
    assert_eq!(renew(&mut w, 950, Some(behind)), None);
    let newest = Resume { fleet, revision: known(&w) };
    assert!(
        renew(&mut w, 900, Some(newest)).is_some(),
        "a follower that has applied its snapshot gets a lease"
    );
}

// Revisions of a newly founded group start from the beginning, so a revision that a follower reports from the
// previous log must not count while its snapshot is in transit.
#[test]
fn a_revision_of_another_log_does_not_count() {
    let mut w = World::new(3, 0, 29);
    w.run(3_000 * MS, |_| ());
    w.propose_anywhere("one");
    w.run(600 * MS, |_| ());
    let fleet = w.members[&1].fleet.fleet_id().unwrap();
    let before = Resume { fleet: fleet ^ 1, revision: 3 };
    subscribe(&mut w, 900, Some(before));
    assert_eq!(renew(&mut w, 900, Some(before)), None);
    assert_eq!(w.members[&1].member.unacknowledged_snapshots(), 1, "the snapshot is still in transit");
    let here = Resume { fleet, revision: 3 };
    assert!(renew(&mut w, 900, Some(here)).is_some());
}

proptest! {
    // Any input must decode to a message, a framing error, or an incomplete frame, without a panic.
    #[test]
    fn any_bytes_decode_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = FRAMING.decode::<FollowerMessage>(&bytes, MAX_FOLLOWER_FRAME);
        let _ = FRAMING.decode::<MemberMessage>(&bytes, MAX_FOLLOWER_FRAME);
    }

    // Frames of the follower protocol must not decode as frames of the peer protocol.
    #[test]
    fn follower_and_peer_frames_are_distinguished(requested_at in any::<u64>()) {
        let ours = FRAMING.encode(&FollowerMessage::Renew { at: None, requested_at });
        prop_assert!(fleet::wire::decode_frame(&ours, 1 << 20).is_err());
        let read = FRAMING.decode::<FollowerMessage>(&ours, MAX_FOLLOWER_FRAME).unwrap().unwrap();
        prop_assert_eq!(read.1, FollowerMessage::Renew { at: None, requested_at });
    }

    // A change that does not directly follow the known revision must leave the state unchanged.
    #[test]
    fn only_the_next_revision_is_applied(revision in 0_u64..10) {
        let mut policies = Policies::default();
        policies.apply_change(1, Change::Proposed(Policy { number: 1, ..Policy::default() })).unwrap();
        let before = policies.clone();
        let result = policies.apply_change(revision, Change::InForce(1));
        prop_assert_eq!(result.is_ok(), revision == 2);
        prop_assert_eq!(policies == before, revision != 2);
    }
}
