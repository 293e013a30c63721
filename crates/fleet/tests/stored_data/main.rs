//! What an earlier release wrote of the agreed state and of its messages is read by this one and written alike.
//!
//! Peers of a fleet are upgraded one by one: a new program joins by a snapshot that the old one encoded, applies
//! commands from its log and reads its frames. The fixtures are bytes in hex, as the earlier release wrote them.

use fleet::control_plane::messages::{
    FRAMING, FollowerId, FollowerMessage, MemberMessage, Rejection, Resume, VERSION, from_follower,
    from_member,
};
use fleet::extension::{decode_batch, encode_batch};
use fleet::ledger::{self, Limits, Outcome, Record, RequestDigest};
use fleet::state::{Command, Effect, ReplicatedState};
use fleet::wire::{self, Founding, Message};
use fleet::{Holder, incarnation, lend, plan, policy, schema};
use serde::Serialize;

const LIMITS: Limits = Limits { records: 100, retention: 1_000_000 };

/// The bytes of a fixture.
fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.trim().as_bytes();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

fn holder(peer: u8, term: u32) -> Holder {
    Holder { incarnation: incarnation(peer, 5), term }
}

fn record(attempt_id: u64, repeatable: bool) -> Record {
    Record {
        attempt_id,
        class: 1,
        tenant: Some(2),
        key: Some(7),
        group: 11,
        work_s: Some(0.5),
        memory_mb: Some(64.0),
        repeatable,
        statement: repeatable.then(|| "SELECT 1".into()),
        deadline: 9_000_000,
        executors_tried: vec![],
        policy: 3,
        digest: None,
    }
}

/// A batch with commands of every machine.
fn commands() -> Vec<Command> {
    let served = Outcome::Served(Some(vec![b"1\t2\n".to_vec()]));
    let proposal = policy::Command::Propose {
        text: "class {}".into(),
        digest: [7; 32],
        by: 1,
        at: 300,
        limits: [1_000, 2_000],
        min_number: 4,
    };
    let terms = lend::LeaseTerms { total: 8, term: 1_000, max_request_duration: 5_000 };
    vec![
        Command::Register(incarnation(1, 5), 100),
        Command::Register(incarnation(2, 5), 110),
        Command::Renew(holder(1, 1), 200),
        Command::Work(ledger::Command::Open(holder(1, 1), 21, record(31, true))),
        Command::Work(ledger::Command::Open(holder(2, 1), 22, record(32, false))),
        Command::Work(ledger::Command::AddAttempt(holder(1, 1), 21, 51)),
        Command::Work(ledger::Command::Close(holder(2, 1), 22, served)),
        Command::Plan(plan::Command::Add(vec!["s-1".into(), "s-2".into()])),
        Command::Policy(proposal),
        Command::Schema(schema::Command::Initialize(7, 500)),
        Command::Schema(schema::Command::SetVersion("s-1".into(), 7, 50)),
        Command::Slots(lend::Command::SetTerms(terms)),
        Command::Slots(lend::Command::Update {
            holder: holder(1, 1),
            sequence: 1,
            returned: 0,
            needed: 2,
            max_usable: 3,
        }),
    ]
}

/// The state that the batch comes to.
fn agreed() -> ReplicatedState {
    let mut agreed = ReplicatedState::new(LIMITS, 3);
    let mut effects: Vec<Effect> = Vec::new();
    assert!(agreed.apply(incarnation(1, 5), 1, commands(), &mut effects));
    agreed
}

#[test]
fn a_snapshot_of_an_earlier_release_is_read_and_written_alike() {
    let stored = bytes(include_str!("record-snapshot.hex"));
    assert_eq!(ReplicatedState::decode(&stored).unwrap(), agreed());
    assert_eq!(agreed().encode(), stored);
}

#[test]
fn commands_of_an_earlier_release_are_read_and_written_alike() {
    let stored = bytes(include_str!("record-commands.hex"));
    assert_eq!(postcard::from_bytes::<Vec<Command>>(&stored).unwrap(), commands());
    assert_eq!(postcard::to_stdvec(&commands()).unwrap(), stored);
}

/// The commands of the batch, with a digest in each record.
fn commands_with_digests() -> Vec<Command> {
    let mut commands = commands();
    for command in &mut commands {
        if let Command::Work(ledger::Command::Open(_, request_id, record)) = command {
            record.digest = Some(RequestDigest([*request_id as u8; 32]));
        }
    }
    commands
}

// Peers of an earlier release read batches as `(Incarnation, u64, Vec<Command>)` without digests, and ignore what
// follows. Guards against a batch that such a peer rejects while the others apply it.
#[test]
fn batches_are_read_beside_an_earlier_release() {
    let from = incarnation(1, 5);
    let earlier = postcard::to_stdvec(&(from, 1_u64, commands())).unwrap();
    assert_eq!(decode_batch(&earlier).unwrap(), (from, 1, commands()));
    assert_eq!(encode_batch(from, 1, &commands()).unwrap(), earlier, "without digests nothing is added");
    let batch = encode_batch(from, 1, &commands_with_digests()).unwrap();
    assert!(batch.len() > earlier.len() && batch.starts_with(&earlier));
    let read_by_earlier: (u64, u64, Vec<Command>) = postcard::from_bytes(&batch).unwrap();
    assert_eq!(read_by_earlier, (from, 1, commands()));
    assert_eq!(decode_batch(&batch).unwrap(), (from, 1, commands_with_digests()));
}

// The same for snapshots, by which a peer of either release joins.
#[test]
fn snapshots_are_read_beside_an_earlier_release() {
    let earlier = bytes(include_str!("record-snapshot.hex"));
    let mut state = ReplicatedState::new(LIMITS, 3);
    assert!(state.apply(incarnation(1, 5), 1, commands_with_digests(), &mut Vec::new()));
    let snapshot = state.encode();
    assert!(snapshot.len() > earlier.len() && snapshot.starts_with(&earlier));
    assert_eq!(
        postcard::from_bytes::<ReplicatedState>(&snapshot).map(|state| state.encode()),
        Ok(earlier.clone())
    );
    let restored = ReplicatedState::decode(&snapshot).unwrap();
    assert_eq!(restored, state);
    // Both the open request and the ended one keep their digest.
    for request_id in [21, 22] {
        let digest = |state: &ReplicatedState| state.work().record(request_id).unwrap().digest;
        assert_eq!(digest(&restored), Some(RequestDigest([request_id as u8; 32])));
        assert_eq!(digest(&ReplicatedState::decode(&earlier).unwrap()), None);
    }
}

// Guards against an extension that a later release made longer, or that is cut off: the batch itself counts.
#[test]
fn an_unreadable_extension_leaves_the_batch() {
    let from = incarnation(1, 5);
    let mut batch = postcard::to_stdvec(&(from, 1_u64, commands())).unwrap();
    batch.extend([200, 200, 200]);
    assert_eq!(decode_batch(&batch).unwrap(), (from, 1, commands()));
    let longer = [encode_batch(from, 1, &commands_with_digests()).unwrap(), vec![1, 2, 3]].concat();
    assert_eq!(decode_batch(&longer).unwrap(), (from, 1, commands_with_digests()));
}

#[test]
fn frames_of_a_peer_of_an_earlier_release_are_read_and_written_alike() {
    let voters = vec![incarnation(1, 5), incarnation(2, 0)];
    let founding = Founding { id: 9, voters, limits: LIMITS, at: 77, policy: 3 };
    let messages = [
        Message::Hello { from: 2, incarnation: 77, fleet: Some(founding), formed: true, policy: 4 },
        Message::Log(9, vec![1, 2, 3]),
        Message::Fetch(21),
        Message::Result(21, Some(vec![b"x".to_vec()])),
    ];
    let stored = bytes(include_str!("peer-frames.hex"));
    assert_eq!(messages.iter().flat_map(wire::encode_frame).collect::<Vec<u8>>(), stored);
    let mut rest = &stored[..];
    for message in messages {
        let (length, read) = wire::decode_frame(rest, 1 << 20).unwrap().unwrap();
        assert_eq!(read, message);
        rest = &rest[length..];
    }
    assert!(rest.is_empty());
}

fn frames(messages: &[impl Serialize]) -> Vec<u8> {
    messages.iter().flat_map(|message| FRAMING.encode(message)).collect()
}

#[test]
fn frames_of_a_follower_of_an_earlier_release_are_read_and_written_alike() {
    let resume = Resume { fleet: 9, revision: 4 };
    let messages = [
        FollowerMessage::Subscribe {
            version: VERSION,
            group: "control".into(),
            follower: FollowerId(8),
            name: "d1".into(),
            resume: Some(resume),
            policy: 4,
        },
        FollowerMessage::Renew { at: Some(resume), requested_at: 55 },
        FollowerMessage::Vote(5, vec!["no".into()]),
        FollowerMessage::Stopped(5),
        FollowerMessage::CannotApply(5, "why".into()),
        FollowerMessage::Restore { number: 5, text: "class {}".into(), digest: [7; 32] },
        FollowerMessage::Leave,
    ];
    let stored = bytes(include_str!("follower-frames.hex"));
    assert_eq!(frames(&messages), stored);
    let mut rest = &stored[..];
    for message in messages {
        let (length, read) = from_follower(rest).unwrap().unwrap();
        assert_eq!(read, message);
        rest = &rest[length..];
    }
    assert!(rest.is_empty());
}

#[test]
fn frames_of_a_member_of_an_earlier_release_are_read_and_written_alike() {
    let messages = [
        MemberMessage::Welcome { group: "control".into(), member: 2 },
        MemberMessage::Rejected(Rejection::Full(vec!["m2".into()])),
        MemberMessage::Snapshot { fleet: 9, policies: Box::new(agreed().policy().clone()) },
        MemberMessage::Keepalive { requested_at: 55, lease: Some(1_000), revision: 4 },
        MemberMessage::GoAway,
    ];
    let stored = bytes(include_str!("member-frames.hex"));
    assert_eq!(frames(&messages), stored);
    let mut rest = &stored[..];
    for message in messages {
        let (length, read) = from_member(rest).unwrap().unwrap();
        assert_eq!(read, message);
        rest = &rest[length..];
    }
    assert!(rest.is_empty());
}
