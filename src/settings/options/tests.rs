use super::*;

#[test]
fn lists_have_defaults_and_one_source_is_enough() {
    let o = Options::parse("o", "motor_lists {\n source \"salas\" { path = \"/x/motores\" }\n}").unwrap();
    let l = o.lists.unwrap();
    assert_eq!(l.precedence, ["salas", "feed"]);
    assert_eq!(l.sources[0].accept, Path::new("/x/motores.accepted"));
    assert!(l.terms.sealed && l.without.is_empty() && !l.terms.loopback);
}

const PEERS: &str = "peers {\n  me = \"b\"\n  listen = \"10.0.0.2:7100\"\n  peer \"c\" { address = \"10.0.0.3:7100\" }\n  \
                     peer \"a\" { address = \"10.0.0.1:7100\" }\n  peer \"b\" { address = \"10.0.0.2:7100\" }\n}\n";

// Peer indices follow from the names: files that list the peers in another order give the same indices.
#[test]
fn peers_are_in_the_order_of_their_names() {
    let p = Options::parse("o", PEERS).unwrap().peers.unwrap();
    let names: Vec<&str> = p.peers.iter().map(|(n, _)| n.as_str()).collect();
    assert_eq!((names, p.me.as_str(), p.lease), (vec!["a", "b", "c"], "b", MS(1_000)));
    assert_eq!(Options::parse("o", "").unwrap().peers, None, "off unless the block is there");
}

// A lease that ends during an election would end for all peers, and a fleet of two tolerates no loss: both are rejected.
#[test]
fn a_fleet_that_could_not_work_is_refused_with_the_reason() {
    let all = |text: &str| -> String {
        Options::parse("o", text).unwrap_err().iter().map(|f| f.to_string() + "\n").collect()
    };
    let short = PEERS.replacen('{', "{\n  lease = \"500ms\"\n  tick = \"30ms\"", 1);
    assert!(all(&short).contains("peers.lease: shorter than 25 ticks"), "{}", all(&short));
    let two = PEERS.replace("  peer \"c\" { address = \"10.0.0.3:7100\" }\n", "");
    assert!(all(&two).contains("2 peer blocks; 3 to 9 are allowed"), "{}", all(&two));
    assert!(all(&PEERS.replace("me = \"b\"", "me = \"x\"")).contains("no peer block has this name"));
    assert!(all(&PEERS.replace("10.0.0.3", "10.0.0.1")).contains("another peer has this address"));
}

// A misspelled key or a wrong unit is a fault with its position and is not silently ignored.
#[test]
fn a_wrong_key_unit_or_name_is_told_with_its_place() {
    let text = "motor_lists {\n  setle = \"1s\"\n  poll = \"0.5\"\n  precedence = [\"a\", \"b\"]\n  \
                source \"a\" { path = \"p\" }\n  source \"feed\" { path = \"q\" }\n}\nlgo {}\n";
    let all: Vec<String> = Options::parse("o.hcl", text).unwrap_err().iter().map(Fault::to_string).collect();
    for t in [
        "o.hcl:2:3: motor_lists.setle: unknown key",
        "o.hcl:3:10: motor_lists.poll: expected a time with its unit from \"20ms\" to \"1m\", found \"0.5\"",
        "o.hcl:4:16: motor_lists.precedence: unknown source \"b\"",
        "o.hcl:6:3: motor_lists.source.feed: 1 to 64",
        "o.hcl:8:1: lgo: unknown block; allowed: log, motor_lists, retry_storms, peers",
    ] {
        assert!(all.iter().any(|a| a.starts_with(t)), "{t}\nin {all:#?}");
    }
}

const CONTROL: &str = include_str!("../../../deploy/control.hcl");

fn faults(text: &str) -> String {
    Options::parse("o", text).unwrap_err().iter().map(|f| f.to_string() + "\n").collect()
}

// The sample files are valid, and member indices follow from the names.
#[test]
fn the_control_files_that_we_give_are_in_order() {
    let control = Options::parse("o", CONTROL).unwrap().control.unwrap();
    let names: Vec<&str> = control.members.iter().map(|m| m.name.as_str()).collect();
    assert_eq!((names, control.role), (vec!["este-1", "norte-1", "sur-1"], Role::Member));
    assert_eq!(control.timing.tick, 40_000, "half of the stated round trip");
    assert_eq!((control.timing.lease, control.timing.follower_lease), (1_000_000, 500_000));
    for text in [
        include_str!("../../../examples/control/m1.hcl"),
        include_str!("../../../examples/control/m2.hcl"),
        include_str!("../../../examples/control/m3.hcl"),
        include_str!("../../../examples/control/follower.hcl"),
    ] {
        assert_eq!(Options::parse("o", text).unwrap().control.unwrap().group, "example");
    }
    assert_eq!(Options::parse("o", "").unwrap().control, None, "off unless the block is there");
}

// A lease too short for the round trip time would end at every election; the fault names both keys, as either may be
// wrong.
#[test]
fn a_lease_too_short_for_the_links_names_both_keys() {
    let short = CONTROL.replace("round_trip = \"80ms\"", "round_trip = \"150ms\"\n  lease = \"1s\"");
    let told = faults(&short);
    assert!(
        told.contains("control.lease: lease is too short for round_trip 150ms: at least 1875ms"),
        "{told}"
    );
    let long = CONTROL.replace("round_trip = \"80ms\"", "round_trip = \"150ms\"\n  lease = \"2s\"");
    let control = Options::parse("o", &long).unwrap().control.unwrap();
    assert_eq!((control.timing.tick, control.timing.lease), (75_000, 2_000_000));
}

// An unworkable control group and a follower with member settings are rejected before start.
#[test]
fn a_control_group_that_could_not_work_is_refused_with_the_reason() {
    let wrong = |from: &str, to: &str| faults(&CONTROL.replace(from, to));
    assert!(wrong("me        = \"sur-1\"", "me = \"x\"").contains("no member block has this name"));
    assert!(wrong("10.1.0.1:7200", "10.0.0.1:7200").contains("another member has this address"));
    assert!(wrong("\"member\"", "\"leader\"").contains("control.role"));
    assert!(wrong("\"member\"", "\"follower\"").contains("control.me: only allowed for a member"));
    let two = "control {\n role = \"follower\"\n member \"a\" {\n address = \"10.0.0.1:1\"\n followers = \"10.0.0.1:2\"\n }\n}\n";
    assert!(faults(two).contains("1 member blocks; 3 to 7 are allowed"));
    let peers = PEERS.replacen('{', "{\n  policy {}", 1);
    let both = faults(&format!("{peers}{CONTROL}"));
    assert!(both.contains("control: peers.policy already configures the agreement"), "{both}");
    assert!(Options::parse("o", &format!("{PEERS}{CONTROL}")).is_ok(), "a cell beside a group is allowed");
}
