use super::bans::{BanError, Bans, Unusable};
use super::metrics::{Disposition, Metrics};
use crate::codec::operator::*;
use proptest::prelude::*;

fn call() -> impl Strategy<Value = Call> {
    let id = "[A-Za-z0-9._:-]{1,40}";
    prop_oneof![
        Just(Call::Health),
        Just(Call::Dump),
        Just(Call::Leave),
        Just(Call::Join),
        id.prop_map(Call::Offline),
        id.prop_map(Call::Online),
        prop::collection::vec("[A-Za-z0-9._:-]{1,12}", 1..8).prop_map(Call::Plan),
        Just(Call::PlanStatus),
        Just(Call::PlanAbort),
        id.prop_map(Call::PlanMend),
        "/[a-z0-9./-]{1,60}".prop_map(|path| Call::Policy(policy::PolicyCall::Propose(path))),
        Just(Call::Policy(policy::PolicyCall::Status)),
        Just(Call::Policy(policy::PolicyCall::Abort)),
        Just(Call::Policy(policy::PolicyCall::Back)),
    ]
}

fn line(call: &Call) -> String {
    match call {
        Call::Health => "HEALTH".into(),
        Call::Dump => "DUMP".into(),
        Call::Leave => "LEAVE".into(),
        Call::Join => "JOIN".into(),
        Call::Offline(id) => format!("OFFLINE {id}"),
        Call::Online(id) => format!("ONLINE {id}"),
        Call::Plan(ids) => format!("DRAIN PLAN {}", ids.join(",")),
        Call::PlanStatus => "DRAIN STATUS".into(),
        Call::PlanAbort => "drain abort".into(),
        Call::PlanMend(id) => format!("DRAIN MEND {id}"),
        Call::Policy(policy::PolicyCall::Propose(path)) => format!("POLICY PROPOSE {path}"),
        Call::Policy(policy::PolicyCall::Status) => "policy status".into(),
        Call::Policy(policy::PolicyCall::Abort) => "POLICY ABORT".into(),
        Call::Policy(policy::PolicyCall::Back) => "POLICY BACK".into(),
    }
}

proptest! {
    // A call may arrive in fragments: the decoded call must not depend on where they are split.
    #[test]
    fn a_call_in_pieces_is_the_call(call in call(), cuts in prop::collection::vec(0usize..64, 0..8), crlf: bool) {
        let text = format!("{}{}", line(&call), if crlf { "\r\n" } else { "\n" });
        let bytes = text.as_bytes();
        let mut at: Vec<usize> = cuts.into_iter().map(|c| c % (bytes.len() + 1)).collect();
        at.sort_unstable();
        let mut decoder = Decoder::default();
        let mut got = None;
        let mut from = 0;
        for to in at.into_iter().chain([bytes.len()]) {
            if let Some(r) = decoder.feed(&bytes[from..to]) {
                prop_assert!(got.is_none(), "one answer a line");
                got = Some(r);
            }
            from = to;
        }
        prop_assert_eq!(got, Some(Ok(call)));
    }

    // For any input the decoder returns at most one result, never panics and buffers at most one line.
    #[test]
    fn any_bytes_end_in_one_answer_or_none(pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..120), 0..10)) {
        let mut decoder = Decoder::default();
        let answers = pieces.iter().filter_map(|p| decoder.feed(p)).count();
        prop_assert!(answers <= 1);
        prop_assert!(decoder.line.len() <= MAX_LINE_BYTES);
        let all: Vec<u8> = pieces.concat();
        if all.len() > MAX_LINE_BYTES && !all[..MAX_LINE_BYTES].contains(&b'\n') {
            prop_assert_eq!(answers, 1, "an over-long line is refused, not waited for");
        }
    }

    // Decoding a hand-over file restores the encoded bans, and any change of one byte is detected.
    #[test]
    fn bans_come_back_whole_or_not_at_all(ids in prop::collection::btree_set("[a-z0-9-]{1,20}", 0..20), flip in any::<prop::sample::Index>()) {
        let mut bans = Bans::default();
        ids.iter().for_each(|id| { bans.offline(id, true).unwrap(); });
        let text = bans.encode("d-1");
        prop_assert_eq!(Bans::decode(&text, "d-1"), Ok(bans.clone()));
        let mut torn = text.clone().into_bytes();
        let i = flip.index(torn.len());
        torn[i] = if torn[i] == b'x' { b'y' } else { b'x' };
        let torn = String::from_utf8_lossy(&torn).into_owned();
        if torn != text {
            prop_assert!(Bans::decode(&torn, "d-1").is_err());
        }
        let cut = &text[..text.len() - 1];
        if !ids.is_empty() {
            prop_assert!(Bans::decode(cut, "d-1").is_err(), "a file written in part is not taken");
        }
    }
}

// Every invalid line is answered with its reason rather than a silently closed connection.
#[test]
fn wrong_lines_are_told_why() {
    assert_eq!(parse(b"FROB\n"), Err(Fault::Unknown("FROB".into())));
    assert_eq!(parse(b"OFFLINE\n"), Err(Fault::Missing("OFFLINE")));
    assert_eq!(parse(b"ONLINE a b\n"), Err(Fault::Extra("ONLINE")));
    assert_eq!(parse(b"HEALTH now\n"), Err(Fault::Extra("HEALTH")));
    assert_eq!(parse(b"HEALTH\xff\n"), Err(Fault::NotText));
    assert_eq!(parse(b"  \n"), Err(Fault::Empty));
    assert_eq!(parse(b"health\r\n"), Ok(Call::Health));
    let mut d = Decoder::default();
    assert_eq!(d.feed(&[b'A'; MAX_LINE_BYTES + 1]), Some(Err(Fault::TooLong)));
    assert!(refusal(&Fault::TooLong).starts_with("-ERR "));
    assert!(Readiness::Ready.answer().starts_with("+OK"));
    assert!(Readiness::Leaving.answer().starts_with("-ERR"));
}

// Two `OFFLINE` calls are lifted by one `ONLINE`, and unknown ids are rejected.
#[test]
fn bans_are_marks_not_counts() {
    let mut bans = Bans::default();
    assert_eq!(bans.offline("e1", true), Ok(true));
    assert_eq!(bans.offline("e1", true), Ok(false));
    assert!(bans.banned("e1"));
    assert_eq!(bans.online("e1", true), Ok(true));
    assert!(!bans.banned("e1"));
    assert_eq!(bans.offline("ghost", false), Err(BanError::Unknown("ghost".into())));
    assert_eq!(bans.online("ghost", false), Err(BanError::Unknown("ghost".into())));
    // The ban of an executor that left the list can still be lifted.
    bans.offline("e2", true).unwrap();
    assert_eq!(bans.online("e2", false), Ok(true));
}

// A hand-over file of another dispatcher or of an unknown format is rejected.
#[test]
fn foreign_hand_over_files_are_refused() {
    let mut bans = Bans::default();
    bans.offline("e1", true).unwrap();
    let text = bans.encode("a");
    assert_eq!(Bans::decode(&text, "b"), Err(Unusable::OtherDispatcher("a".into())));
    assert_eq!(Bans::decode("hello\n", "a"), Err(Unusable::UnknownFormat));
    assert_eq!(Bans::decode("", "a"), Err(Unusable::UnknownFormat));
}

// The exposed names and format are those that the operators' scraper reads.
#[test]
fn figures_use_the_names_of_the_page() {
    let f = Metrics::new();
    f.class("short");
    f.ended("short", Disposition::Succeeded);
    f.ended("short", Disposition::Succeeded);
    f.forwards.inc();
    f.outstanding.set(4);
    let text = f.text();
    assert!(text.contains("dispatcher_results{disposition=\"succeeded\",service=\"short\"} 2"), "{text}");
    assert!(text.contains("dispatcher_results{disposition=\"declined\",service=\"short\"} 0"));
    for name in
        ["forwards 1", "outstanding 4", "discovered 0", "ejected 0", "sighup_applied 0", "sighup_rejected 0"]
    {
        assert!(text.contains(&format!("dispatcher_{name}\n")), "{name}: {text}");
    }
    assert!(
        !text.lines().any(|l| l == "."),
        "the end line is added by the codec and must not be part of the metrics"
    );
}
