//! Negotiation in fixed scenarios and under random sequences of requests, windows and executors.

use super::*;
use crate::api::Micros;
use fleet::schema::{Command, Schema, Version};
use fleet::{Holder, StateMachine, incarnation};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const S: Micros = 1_000_000;
const TERMS: Terms = Terms { per_core_s: 1.0, burst_s: 1.0, spread: 2 * S, backoff: S / 2 };

fn holder() -> Holder {
    Holder { incarnation: incarnation(1, 1), term: 1 }
}

fn apply(s: &mut Schema, command: Command) -> bool {
    s.apply(command, &[holder()].into())
}

/// Four executors of 4 cores: the first `new` of them at 8, the rest at 7; the window opened.
fn opening(new: usize) -> Schema {
    let mut s = Schema::default();
    apply(&mut s, Command::Initialize(7, 2 * S));
    for n in 0..4 {
        let version = if n < new { 8 } else { 7 };
        assert!(apply(&mut s, Command::SetVersion(format!("m{n}"), version, 1)));
    }
    let step = s.step();
    assert!(apply(&mut s, Command::Open(8, step)));
    s
}

fn close(s: &mut Schema) {
    let step = s.step();
    assert!(apply(s, Command::Close(step)));
}

fn market(s: &Schema, words: &Words, room: bool) -> Market {
    let executor = |id| Executor { id, usable: true, room, warm: 4.0 };
    Market::new(s, None, words, ["m0", "m1", "m2", "m3"].map(executor), 1)
}

fn ask(n: &mut Negotiator, now: Micros, session: &mut Session, field: &str, m: &Market) -> String {
    match n.request(now, session, Some(field).filter(|f| !f.is_empty()), m) {
        Verdict::Run(v) => format!("run {v}"),
        Verdict::Wait(v) => format!("wait {v}"),
        Verdict::Free => "free".into(),
        Verdict::Refuse(r) => r.to_string().split("backoff").next().unwrap_or_default().trim_end().into(),
    }
}

// Guards against guessing at a malformed field: a query would run under a version that its client does not support.
#[test]
fn a_claim_is_read_strictly() {
    use claim::Fault::*;
    let read = |text| Claim::parse(text).map(|c| c.span());
    assert_eq!(
        [read("8"), read("7..8"), read("1..16"), read("9999")],
        [(8, 8), (7, 8), (1, 16), (9999, 9999)].map(Ok)
    );
    for text in ["", "..", "7..", "..8", "+7", "-1", "7...8", "7..8..9", "07", "7 ", "v8", "७", "7,8", "8.0"]
    {
        assert_eq!(read(text), Err(Form), "{text:?}");
    }
    assert_eq!([read("0"), read("0..3"), read("10000"), read("99999999999999999999")], [Err(Range); 4]);
    assert_eq!((read("8..7"), read("1..17")), (Err(Reversed), Err(Wide)));
}

// A client that claims an unknown version, an invalid range or a retiring version is told the available versions; a
// changed claim applies from the next request on.
#[test]
fn every_client_gets_an_answer_that_names_what_is_to_be_had() {
    let (mut n, mut s, words) = (Negotiator::new(TERMS, 1), opening(2), Words::default());
    let (mut a, mut b, mut c) = (Session::default(), Session::default(), Session::default());
    let m = market(&s, &words, true);
    assert_eq!(ask(&mut n, S, &mut a, "9", &m), "schema 9 is not spoken here: schema=7..8");
    assert_eq!(ask(&mut n, S, &mut a, "8..7", &m), "the field schema ends before it begins: schema=7..8");
    assert_eq!(ask(&mut n, S, &mut a, "7", &m), "run 7");
    assert_eq!(ask(&mut n, S, &mut a, "8", &m), "schema 8 is filled slowly: schema=7..8");
    assert_eq!(ask(&mut n, 2 * S, &mut a, "8", &m), "run 8");
    assert_eq!(ask(&mut n, 2 * S, &mut a, "", &m), "run 8", "the last claim stays valid");
    assert_eq!(ask(&mut n, 2 * S, &mut b, "", &m), "run 7", "without a claim the oldest version");
    assert_eq!(ask(&mut n, 2 * S, &mut c, "7", &market(&s, &words, false)), "wait 7");
    close(&mut s);
    let m = market(&s, &words, true);
    assert_eq!(ask(&mut n, 3 * S, &mut c, "7", &m), "schema 7 ends: schema=8");
    assert_eq!(ask(&mut n, 3 * S, &mut b, "", &m), "run 8", "the oldest that may begin");
    let cut_off = Market::new(&s, Some(9 * S), &words, [], 1);
    assert_eq!(ask(&mut n, 3 * S, &mut a, "8", &cut_off), "no word of the fleet on schemas:");
    let unset = Market::new(&Schema::default(), None, &words, [], 1);
    assert_eq!(ask(&mut n, 3 * S, &mut Session::default(), "", &unset), "free");
    assert_eq!(ask(&mut n, 3 * S, &mut a, "8", &unset), "no schema is agreed on here:");
}

// An executor whose answer contradicts the log must get no further requests at once, not only after the commit.
#[test]
fn an_executor_in_doubt_is_left_alone_from_its_answer_on() {
    let (mut s, mut words) = (opening(1), Words::default());
    words.said(&s, "m0", 8, 1);
    words.said(&s, "mystery", 8, 1);
    assert_eq!((words.doubt(&s, "m0"), market(&s, &words, true).of(8).executors), (false, 1));
    words.said(&s, "m0", 7, 1);
    assert_eq!(market(&s, &words, true).of(8).executors, 0);
    let says = words.proposals(&s);
    assert_eq!(says, [Command::ReportVersion("m0".into(), 7, 1)]);
    says.into_iter().for_each(|c| assert!(apply(&mut s, c)));
    assert_eq!((words.proposals(&s), market(&s, &words, true).of(8).executors), (vec![], 0));
}

// All sessions could move when the window opens. They move spread over time, within the capacity of the new
// executors, and the same seed moves the same sessions.
#[test]
fn sessions_move_no_faster_than_new_executors_take_them() {
    let run = |seed| {
        let (mut n, words, mut moves) = (Negotiator::new(TERMS, seed), Words::default(), Vec::new());
        let mut sessions = vec![Session::default(); 100];
        let m = market(&opening(0), &words, true);
        sessions.iter_mut().for_each(|s| assert_eq!(ask(&mut n, 0, s, "7..8", &m), "run 7"));
        let m = market(&opening(1), &words, true);
        for tick in 1..400 {
            for (i, s) in sessions.iter_mut().enumerate() {
                let before = s.version();
                ask(&mut n, S + tick * S / 10, s, "", &m);
                if before != s.version() {
                    moves.push((tick, i));
                }
            }
        }
        moves
    };
    let moves = run(7);
    assert_eq!(moves, run(7));
    assert_ne!(moves, run(8));
    assert_eq!(moves.len(), 100, "all sessions moved");
    // Four cores accept four sessions a second, plus a burst of one second.
    for (i, (from, _)) in moves.iter().enumerate() {
        let within = moves[i..].iter().filter(|(t, _)| t - from < 10).count();
        assert!(within <= 8, "{within} in the second from {from}");
    }
}

proptest! {
    // For any window, executors, room and clients: the chosen version is supported by the client, may begin, and is
    // available at a usable executor; a session that could keep its version never goes back; the same seed gives the
    // same verdicts.
    #[test]
    fn a_choice_is_spoken_may_begin_and_is_held(
        versions in prop::collection::vec((6u16..10, any::<bool>(), any::<bool>()), 4),
        steps in prop::collection::vec((0u8..6, 0usize..4, 5u16..10, 0u16..4, any::<bool>()), 1..80),
        seed in any::<u64>(),
    ) {
        let run = || {
            let (mut s, mut n) = (Schema::default(), Negotiator::new(TERMS, seed));
            let (mut words, mut verdicts) = (Words::default(), Vec::new());
            let mut sessions = [(); 4].map(|()| (Session::default(), None::<(Version, Version)>));
            apply(&mut s, Command::Initialize(7, S));
            versions.iter().enumerate().for_each(|(i, v)| {
                apply(&mut s, Command::SetVersion(format!("m{i}"), v.0, 1));
            });
            for (i, &(op, who, from, more, field)) in steps.iter().enumerate() {
                let (now, step) = (i as u64 * S / 4, s.step());
                match op {
                    0 => {
                        let calls = [Command::Open(8, step), Command::Close(step), Command::RollBack(step)];
                        calls.into_iter().nth(who).map(|c| apply(&mut s, c));
                        s.sweep(now);
                        s.pending_confirmation(holder(), |_| false).map(|c| apply(&mut s, c));
                    }
                    1 => words.said(&s, &format!("m{who}"), from, 1 + u64::from(more)),
                    _ => {}
                }
                let ids: Vec<String> = (0..4).map(|i| format!("m{i}")).collect();
                let executor = |i: usize| Executor { id: &ids[i], usable: versions[i].1, room: versions[i].2, warm: 4.0 };
                let m = Market::new(&s, None, &words, (0..4).map(executor), 2);
                let (session, speaks) = &mut sessions[who];
                let (before, claim) = (session.version(), format!("{from}..{}", from + more));
                let verdict = n.request(now, session, Some(claim.as_str()).filter(|_| field), &m);
                if field {
                    *speaks = Some((from, from + more));
                }
                if let Verdict::Run(v) | Verdict::Wait(v) = verdict {
                    let (oldest, newest) = speaks.unwrap_or((v, v));
                    assert!((oldest..=newest).contains(&v) && s.starts(None).contains(&v), "{v} {m:?}");
                    let holds = |i: usize| versions[i].1 && s.executors().version(&ids[i]) == Some(v);
                    assert!((0..4).any(|i| holds(i) && !words.doubt(&s, &ids[i])), "{v} {m:?}");
                    let back = before.is_some_and(|b| b > v && m.of(b).executors > 0);
                    assert!(!back || !m.starts.contains(&before.unwrap()) || before.unwrap() > newest);
                }
                verdicts.push(verdict);
            }
            verdicts
        };
        prop_assert_eq!(run(), run());
    }

    // Loads of one key: never two versions at once, none overtakes one that waits, none is left waiting, and no more are
    // tracked than the limit.
    #[test]
    fn loads_keep_the_order_of_their_key(
        steps in prop::collection::vec((any::<bool>(), 0u64..3, 7u16..9, any::<prop::sample::Index>()), 1..120),
    ) {
        let mut keys = Keys::new(16);
        let (mut known, mut going) = (BTreeMap::new(), BTreeSet::new());
        for (ticket, (comes, key, version, which)) in steps.into_iter().enumerate() {
            let ticket = ticket as u64;
            if comes {
                match keys.ask(ticket, key, version) {
                    Gate::Full => prop_assert_eq!(known.len(), 16),
                    gate => {
                        known.insert(ticket, (key, version));
                        prop_assert_eq!(keys.ask(ticket, key, version), gate);
                        going.extend((gate == Gate::Go).then_some(ticket));
                    }
                }
            } else if !known.is_empty() {
                let gone = *known.keys().nth(which.index(known.len())).unwrap();
                known.remove(&gone);
                going.remove(&gone);
                going.extend(keys.over(gone));
            }
            prop_assert_eq!(keys.len(), known.len());
            for (t, (key, version)) in &known {
                let others = || known.iter().filter(|(_, (k, _))| k == key);
                let other = others().any(|(o, (_, v))| v != version && going.contains(o));
                prop_assert!(!(going.contains(t) && other), "two versions of one key at once");
                let passed = others().any(|(o, _)| o > t && going.contains(o));
                prop_assert!(going.contains(t) || !passed, "overtaken by a later load");
                prop_assert!(others().any(|(o, _)| going.contains(o)), "no load of the key runs");
            }
        }
    }
}
