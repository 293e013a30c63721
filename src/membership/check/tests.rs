use super::super::list::ListFile;
use super::*;

pub(crate) fn catalog() -> Catalog {
    let zones = ["a", "b"].map(String::from).into();
    Catalog { zones, kinds: [("k".to_string(), 8.0)].into() }
}

fn faults_of(text: &str) -> Vec<String> {
    let (file, faults) = ListFile::parse("f", "f", text);
    assert_eq!(faults, []);
    let list = List::new(vec![file.unwrap()]);
    let terms =
        Terms { sealed: false, networks: Some(vec!["10.0.0.0/8".parse().unwrap()]), ..Terms::default() };
    let all = check(&list, &terms, Some(&catalog()), &|_| "f".into());
    all.iter().map(Fault::to_string).collect()
}

fn executor(zone: &str, uid: &str, address: &str, rest: &str) -> String {
    format!("room \"{zone}\" {{\n motor \"{uid}\" {{\n address = \"{address}\"\n{rest}\n}}\n}}\n")
}

// Whoever edits a list should see all of its faults at once, each with its position.
#[test]
fn all_faults_are_reported_at_once() {
    let k = "kind = \"k\"";
    let text = [
        executor("a", "e1", "10.0.0.1:1", k),
        executor("a", "e1", "10.0.0.2:1", k),
        executor("a", "e3", "[::ffff:10.0.0.1]:1", k),
        executor("c", "e4", "10.0.0.4:1", "kind = \"q\""),
        executor("b", "e5", "10.0.0.5:1", &format!("{k}\nweight = 0")),
        executor("a", "e6", "192.168.0.1:1", &format!("{k}\nweight = 101")),
        executor("a", "e7", "127.0.0.1:1", k),
        executor("a", "e8", "224.0.0.1:1", k),
        executor("a", "e9", "10.0.0.9:0", k),
        executor("a", "e\\n10", "10.0.0.10:1", k),
    ]
    .concat();
    let all = faults_of(&text);
    for t in [
        "f:8:2: room.a.motor.e1: a second motor of this uid, the first is at f:2",
        "f:14:2: room.a.motor.e3.address: 10.0.0.1:1 is also the address of \"e1\" at f:2",
        "f:20:2: room.c.motor.e4: unknown room \"c\"; known: a, b",
        "f:20:2: room.c.motor.e4.kind: unknown kind \"q\"; known: k",
        "f:26:2: room.b: total weight 0",
        "f:33:2: room.a.motor.e6.weight: 101; 0 to 100 are allowed",
        "f:33:2: room.a.motor.e6.address: 192.168.0.1:1: outside the allowed networks 10.0.0.0/8",
        "f:40:2: room.a.motor.e7.address: 127.0.0.1:1: a loopback",
        "f:46:2: room.a.motor.e8.address: 224.0.0.1:1: an unspecified, multicast",
        "f:52:2: room.a.motor.e9.address: 10.0.0.9:0: port 0",
        "f:58:2: room.a.motor.e\\n10: a name with control characters",
    ] {
        assert!(all.iter().any(|a| a.starts_with(t)), "{t}\nin {all:#?}");
    }
    assert_eq!(all.len(), 11, "{all:#?}");
}

// An empty list, or one in which all executors drain, would leave the dispatcher without executors.
#[test]
fn a_list_without_an_executor_that_accepts_requests_is_rejected() {
    assert!(faults_of("")[0].contains("no motor of 0 takes queries"));
    let drains = executor("a", "e1", "10.0.0.1:1", "kind = \"k\"\nstate = \"draining\"");
    assert!(faults_of(&drains)[0].contains("no motor of 1 takes queries"));
    assert_eq!(faults_of(&format!("{drains}{}", executor("b", "e2", "10.0.0.2:1", "kind = \"k\""))), [""; 0]);
}
