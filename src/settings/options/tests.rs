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

// Places in the fleet come from the names: files that list the peers in another order must not differ.
#[test]
fn peers_are_in_the_order_of_their_names() {
    let p = Options::parse("o", PEERS).unwrap().peers.unwrap();
    let names: Vec<&str> = p.peers.iter().map(|(n, _)| n.as_str()).collect();
    assert_eq!((names, p.me.as_str(), p.lease), (vec!["a", "b", "c"], "b", MS(1_000)));
    assert_eq!(Options::parse("o", "").unwrap().peers, None, "off unless the block is there");
}

// A lease that ends while a leader is elected takes everybody's with it; a fleet of two survives nobody.
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

// A setting that is wrong by a letter or a unit must not be a setting that silently is not there.
#[test]
fn a_wrong_key_unit_or_name_is_told_with_its_place() {
    let text = "motor_lists {\n  setle = \"1s\"\n  poll = \"0.5\"\n  precedence = [\"a\", \"b\"]\n  \
                source \"a\" { path = \"p\" }\n  source \"feed\" { path = \"q\" }\n}\nlgo {}\n";
    let all: Vec<String> = Options::parse("o.hcl", text).unwrap_err().iter().map(Fault::to_string).collect();
    for t in [
        "o.hcl:2:3: motor_lists.setle: unknown key",
        "o.hcl:3:10: motor_lists.poll: \"0.5\" where a time",
        "o.hcl:4:16: motor_lists.precedence: unknown source \"b\"",
        "o.hcl:6:3: motor_lists.source.feed: 1 to 64",
        "o.hcl:8:1: lgo: unknown block; allowed: log, motor_lists, retry_storms, peers",
    ] {
        assert!(all.iter().any(|a| a.starts_with(t)), "{t}\nin {all:#?}");
    }
}
