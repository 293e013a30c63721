//! Subscriptions that a member rejects, and protocol violations that end a connection.

use super::world::*;
use fleet::control_plane::member::{MemberLog, Violation};
use fleet::control_plane::messages::{FollowerMessage, MemberMessage, VERSION};
use fleet::control_plane::{FollowerId, Rejection, Resume};

// A full member names the other members when it rejects a follower, and rejected followers find room there.
#[test]
fn a_full_member_names_the_other_members() {
    let mut w = World::new(3, 0, 25);
    w.max_followers = 4;
    (1..=3).for_each(|p| w.start_member(p));
    (0..12).for_each(|f| w.start_follower(f));
    w.run_until(60_000 * MS, "all have found room", World::all_admit);
    assert!(w.members.values().all(|n| n.member.followers() == 4));
    let rejection = subscribe(&mut w, 1, |_| ()).unwrap_err();
    assert_eq!(rejection, Violation::Rejected(Rejection::Full(vec!["m2".into(), "m3".into()])));
}

fn subscribe(w: &mut World, peer: u8, change: impl FnOnce(&mut FollowerMessage)) -> Result<(), Violation> {
    let (now, session) = (w.now, 999_999);
    let node = w.members.get_mut(&peer).unwrap();
    node.member.connected(now, session);
    let mut message = FollowerMessage::Subscribe {
        version: VERSION,
        group: GROUP.into(),
        follower: FollowerId(77),
        name: "x".into(),
        resume: None,
        policy: 0,
    };
    change(&mut message);
    let view = node.fleet.view(now);
    let result = node.member.handle_message(now, session, message, view);
    node.member.disconnected(session);
    result
}

// A follower with another group or protocol version is rejected with the reason.
#[test]
fn another_group_or_version_is_rejected_with_the_reason() {
    let mut w = World::new(3, 1, 26);
    w.wait_until_formed();
    let version = |m: &mut FollowerMessage| {
        let FollowerMessage::Subscribe { version, .. } = m else { return };
        *version += 1;
    };
    let result = subscribe(&mut w, 1, version);
    assert_eq!(result, Err(Violation::Rejected(Rejection::Version(VERSION))));
    let group = |m: &mut FollowerMessage| {
        let FollowerMessage::Subscribe { group, .. } = m else { return };
        *group = "another".into();
    };
    let result = subscribe(&mut w, 1, group);
    assert_eq!(result, Err(Violation::Rejected(Rejection::Group(GROUP.into()))));
    let out = &w.members[&1].member.outgoing;
    assert!(out.iter().any(|(_, m)| matches!(m, MemberMessage::Rejected(Rejection::Version(VERSION)))));
}

// An impossibly high policy number would become the minimum for all followers, so a member must reject it.
#[test]
fn an_impossible_policy_number_is_rejected() {
    let mut w = World::new(3, 2, 30);
    w.wait_until_formed();
    let claim = |m: &mut FollowerMessage| {
        let FollowerMessage::Subscribe { policy, .. } = m else { return };
        *policy = u64::MAX;
    };
    assert_eq!(subscribe(&mut w, 1, claim), Err(Violation::Policy(u64::MAX)));
    assert!(w.propose(1, "one"));
    w.run_until(1_000 * MS, "the change has the next number", |w| w.all_at(1));
}

// Messages before the subscription, and claims of revisions that were not sent, end the connection.
#[test]
fn violations_end_the_connection() {
    let mut w = World::new(3, 1, 27);
    w.wait_until_formed();
    let now = w.now;
    let node = w.members.get_mut(&1).unwrap();
    node.member.connected(now, 5_000);
    let early = FollowerMessage::Renew { at: None, requested_at: 1 };
    let view = node.fleet.view(now);
    assert_eq!(node.member.handle_message(now, 5_000, early, view), Err(Violation::NotSubscribed));
    let fleet = node.fleet.fleet_id().unwrap();
    let (peer, session) = w.followers[&0].connection.unwrap();
    let node = w.members.get_mut(&peer).unwrap();
    let ahead = FollowerMessage::Renew { at: Some(Resume { fleet, revision: 1_000 }), requested_at: 1 };
    let view = node.fleet.view(now);
    assert_eq!(node.member.handle_message(now, session, ahead, view), Err(Violation::Revision(1_000)));
}
