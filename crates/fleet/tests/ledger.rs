//! Properties of the ledger under arbitrary commands.

use fleet::ledger::{self, Limits, Outcome, Record, RequestDigest};
use fleet::state::{Command, Effect, ReplicatedState};
use fleet::{Holder, Incarnation, incarnation};
use proptest::prelude::*;
use std::collections::BTreeMap;

const LIMITS: Limits = Limits { records: 12, retention: 1_000 };

fn holder() -> impl Strategy<Value = Holder> {
    (1_u8..4, 1_u32..4).prop_map(|(p, term)| Holder { incarnation: incarnation(p, 1), term })
}

fn record() -> impl Strategy<Value = Record> {
    (any::<bool>(), 1_u64..9_000, proptest::option::of(any::<[u8; 32]>())).prop_map(
        |(repeatable, deadline, digest)| Record {
            attempt_id: deadline,
            class: 0,
            tenant: None,
            key: None,
            group: 1,
            work_s: Some(0.5),
            memory_mb: None,
            repeatable,
            statement: repeatable.then(|| "SELECT 1".into()),
            deadline,
            executors_tried: vec![],
            policy: 0,
            digest: digest.map(RequestDigest),
        },
    )
}

fn command() -> impl Strategy<Value = Command> {
    let end = prop_oneof![
        Just(Outcome::Removed),
        Just(Outcome::Failed),
        Just(Outcome::Served(Some(vec![b"1\t2\t3\n".to_vec()]))),
        Just(Outcome::Unknown)
    ];
    prop_oneof![
        2 => (1_u8..4).prop_map(|p| Command::Register(incarnation(p, 1), 5)),
        1 => holder().prop_map(|h| Command::Renew(h, 5)),
        1 => (holder(), 0_u64..3).prop_map(|(h, n)| Command::Expire(h, n)),
        1 => holder().prop_map(Command::Leave),
        6 => (holder(), 1_u64..20, record()).prop_map(|(h, request_id, r)| Command::Work(ledger::Command::Open(h, request_id, r))),
        2 => (holder(), 1_u64..20, 1_u32..5).prop_map(|(h, request_id, e)| Command::Work(ledger::Command::AddAttempt(h, request_id, e))),
        3 => (holder(), 1_u64..20, end).prop_map(|(h, request_id, e)| Command::Work(ledger::Command::Close(h, request_id, e))),
        1 => (1_u64..12_000).prop_map(Command::Sweep),
    ]
}

proptest! {
    // Each open request has one owner with a lease, the ledger stays within its limit, a request that must not run twice
    // never changes owner, and a copy made by snapshot applies commands with the same effects.
    #[test]
    fn the_ledger_stays_consistent_under_any_commands(commands in prop::collection::vec(command(), 1..120)) {
        let mut state = ReplicatedState::new(LIMITS, 0);
        let from: Incarnation = incarnation(1, 1);
        let mut loads: BTreeMap<u64, Holder> = BTreeMap::new();
        for (n, c) in commands.into_iter().enumerate() {
            let mut copy = ReplicatedState::decode(&state.encode()).unwrap();
            prop_assert_eq!(&copy, &state);
            let (mut effects, mut again) = (Vec::new(), Vec::new());
            prop_assert!(state.apply(from, n as u64 + 1, vec![c.clone()], &mut effects));
            prop_assert!(copy.apply(from, n as u64 + 1, vec![c.clone()], &mut again));
            prop_assert_eq!(&effects, &again);
            prop_assert!(!state.apply(from, n as u64 + 1, vec![c], &mut again), "a batch is applied once");
            prop_assert!(state.work().len() <= LIMITS.records as usize);
            for e in &effects {
                if let Effect::Work(ledger::Effect::Reassigned { request_id, from, by }) = e {
                    prop_assert!(state.work().open(*request_id).is_some_and(|(r, h)| r.repeatable && h == *by) && from != by);
                }
            }
            let alive: Vec<Holder> = state.alive().iter().copied().collect();
            for request_id in 1..20 {
                if let Some((r, h)) = state.work().open(request_id) {
                    prop_assert!(alive.contains(&h), "the owner of an open request has a lease");
                    prop_assert!(state.work().owned(h).any(|a| a == request_id));
                    if !r.repeatable {
                        prop_assert!(loads.insert(request_id, h).is_none_or(|was| was == h), "a request that must not run twice changed its owner");
                    }
                } else {
                    loads.remove(&request_id);
                }
            }
        }
    }
}

// Guards against results that are asked for by an id which their owner does not know: an earlier release may take a
// request over, and finds it by the request's own id alone.
#[test]
fn an_owner_is_asked_by_an_id_that_it_knows() {
    let mut state = ReplicatedState::new(LIMITS, 0);
    let first = Holder { incarnation: incarnation(1, 1), term: 1 };
    let record = |digest| Record {
        attempt_id: 1,
        class: 0,
        tenant: None,
        key: None,
        group: 1,
        work_s: None,
        memory_mb: None,
        repeatable: true,
        statement: Some("SELECT 1".into()),
        deadline: 9_000,
        executors_tried: vec![],
        policy: 0,
        digest,
    };
    let digest = RequestDigest([3; 32]);
    let commands = vec![
        Command::Register(incarnation(1, 1), 5),
        Command::Register(incarnation(2, 1), 5),
        Command::Work(ledger::Command::Open(first, 8, record(Some(digest)))),
        Command::Work(ledger::Command::Open(first, 9, record(None))),
    ];
    assert!(state.apply(incarnation(1, 1), 1, commands, &mut Vec::new()));
    let result_id = u64::from_le_bytes([3; 8]);
    for state in [&state, &ReplicatedState::decode(&state.encode()).unwrap()] {
        assert_eq!((state.work().result_id(8), state.work().result_id(9)), (result_id, 9));
        assert_eq!(state.work().find_result(first, result_id), Some(8));
    }
    assert!(state.apply(incarnation(1, 1), 2, vec![Command::Leave(first)], &mut Vec::new()));
    for state in [&state, &ReplicatedState::decode(&state.encode()).unwrap()] {
        assert_eq!((state.work().result_id(8), state.work().result_id(9)), (8, 9), "taken over");
        assert_eq!(state.work().record(8).unwrap().digest, Some(digest));
    }
}
