use super::*;

#[test]
fn events_add_up_to_a_list_and_unknown_keys_are_skipped() {
    let target =
        |uid: &str, state: &str| format!(r#"{{"uid":"{uid}","endpoint":"10.1.0.9:1","state":"{state}"}}"#);
    let event = |n: u64, all: bool, targets: &str| {
        format!(r#"{{"index":{n},"endpoints":{{"rev":1,"all":{all},"targets":[{targets}]}},"x":1}}"#)
    };
    let whole = event(1, true, &format!("{},{}", target("a", "up"), target("b", "up")));
    let change = event(2, false, &target("a", "draining"));
    let parsed = |t: &str| match line(t.as_bytes()) {
        Ok(Line::Update(u)) => u,
        other => panic!("{other:?}"),
    };
    let known = Known { index: 2, updates: vec![parsed(&whole), parsed(&change)] };
    let list: Vec<_> = known.targets().into_iter().map(|t| (t.uid, t.state)).collect();
    assert_eq!(list, [("b".to_string(), State::Up), ("a".to_string(), State::Draining)]);
    assert_eq!(line(b"41"), Ok(Line::Last(41)));
    assert_eq!(parsed(r#"{"index":3,"shard":4}"#).endpoints, None);
    assert!(line(b"{").is_err() && line(b"\xff").is_err());
}
