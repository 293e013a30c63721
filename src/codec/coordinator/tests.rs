use super::*;
use proptest::prelude::*;

fn target(uid: u8, boot_ms: u64) -> Target {
    let (uid, az, model) = (format!("e{uid}"), String::new(), String::new());
    Target {
        uid,
        endpoint: None,
        az,
        model,
        pod_group: 0,
        state: State::Up,
        capacity_hint: None,
        boot_ms,
        weight: None,
    }
}

proptest! {
    // Compares the indexed merge with a plain one. A linear search for every entry made the start with thousands of
    // entries too slow.
    #[test]
    fn the_list_of_the_start_is_that_of_event_after_event(
        events in proptest::collection::vec((any::<bool>(), proptest::collection::vec((0..12u8, 0..9u64), 0..9)), 0..9),
    ) {
        let mut plain: Vec<Target> = Vec::new();
        let mut updates = Vec::new();
        for (all, entries) in events {
            let targets: Vec<Target> = entries.into_iter().map(|(uid, boot)| target(uid, boot)).collect();
            if all {
                plain.clear();
            }
            for t in &targets {
                plain.retain(|p| p.uid != t.uid);
                plain.push(t.clone());
            }
            updates.push(Update { index: 1, endpoints: Some(Endpoints { all, targets }) });
        }
        prop_assert_eq!(Known { index: 1, updates }.targets(), plain);
    }
}

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
