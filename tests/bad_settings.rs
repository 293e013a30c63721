//! Runs the program on configurations with one fault each, at start and at SIGHUP.

use serde_json::{Value, json};
use standins::scripted::*;
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

const READ: &str =
    "/* method=read,rid=00000000000000a1,budget=15000,est=10.0,space=9 */ SELECT a FROM sales_7.t";

/// Path of the fault, the invalid value (`None`: the key is removed), and the key that the error line must name.
fn faults() -> Vec<(&'static str, Option<Value>, &'static str)> {
    let class = |name: &str| json!({"name": name, "promise": 1, "hardLimit": 2, "effect": "read_like"});
    let many: Vec<Value> = (0..65).map(|i| class(&format!("c{i}"))).collect();
    let some = |path, value, key| (path, Some(value), key);
    vec![
        // Top-level keys.
        some("/listen", json!("nowhere"), "listen"),
        some("/listen", json!(8443), "listen"),
        ("/coordinator", None, "coordinator"),
        some("/coordinator", json!("here:port"), "coordinator"),
        some("/name", json!(7), "name"),
        some("/seed", json!(7), "seed"),
        some("/operator", json!("nowhere"), "operator"),
        some("/operator", json!([1]), "operator"),
        some("/limits", json!("all"), "limits"),
        some("/limits/sockets", json!(-1), "limits.sockets"),
        some("/limits/sockets", json!("many"), "limits.sockets"),
        some("/limits/memory_mb", json!(-192), "limits.memory_mb"),
        some("/limits/memory_mb", json!("NaN"), "limits.memory_mb"),
        some("/known", json!([]), "known"),
        some("/known/index", json!("last"), "known.index"),
        ("/settings", None, "settings"),
        some("/settings", json!(null), "settings"),
        // Counts and lists.
        ("/settings/balancers", None, "balancers"),
        some("/settings/balancers", json!(0), "balancers"),
        some("/settings/balancers", json!(-3), "balancers"),
        some("/settings/balancers", json!(1.5), "balancers"),
        some("/settings/balancers", json!("two"), "balancers"),
        ("/settings/requestClasses", None, "requestClasses"),
        some("/settings/requestClasses", json!([]), "requestClasses"),
        some("/settings/requestClasses", json!(many), "requestClasses"),
        some("/settings/requestClasses", json!({"read": 1}), "requestClasses"),
        some("/settings/requestClasses", json!([class("a"), class("a")]), "requestClasses"),
        some("/settings/areas", json!(["a", "a"]), "areas"),
        some("/settings/areas", json!("a"), "areas"),
        some("/settings/kinds", json!(["k", "l", "k"]), "kinds"),
        some("/settings/kinds", json!([1]), "kinds[0]"),
        some("/settings/parties", json!([{"name": "t"}, {"name": "t"}]), "parties"),
        some("/settings/parties", json!([{"quotaPerS": 1}]), "name"),
        some("/settings/parties", json!([{"name": "t", "quotaPerS": -1}]), "parties[0].quotaPerS"),
        some("/settings/zone", json!("nowhere"), "zone"),
        some("/settings/discovery", json!("rumour"), "discovery"),
        some("/settings/report", json!({"how": "loudly"}), "report.how"),
        some("/settings/report", json!("inline"), "report"),
        some("/settings/step", json!(-0.1), "step"),
        some("/settings/overShareWorth", json!(-0.1), "overShareWorth"),
        // Request classes.
        ("/settings/requestClasses/0/name", None, "name"),
        some("/settings/requestClasses/0/name", json!(3), "requestClasses[0].name"),
        some("/settings/requestClasses/0/name", json!("two words"), "requestClasses[0].name"),
        some("/settings/requestClasses/0/name", json!("a,ms=1"), "requestClasses[0].name"),
        some("/settings/requestClasses/0/name", json!("a\r\nKILL"), "requestClasses[0].name"),
        ("/settings/requestClasses/0/effect", None, "effect"),
        some("/settings/requestClasses/0/effect", json!("harmless"), "requestClasses[0].effect"),
        some("/settings/requestClasses/0/group", json!("rack"), "requestClasses[0].group"),
        some("/settings/requestClasses/0/dedupWindow", json!(-1), "requestClasses[0].dedupWindow"),
        some("/settings/requestClasses/0/keepOrder", json!("yes"), "requestClasses[0].keepOrder"),
        ("/settings/requestClasses/0/promise", None, "promise"),
        some("/settings/requestClasses/0/promise", json!(-1), "requestClasses[0].promise"),
        some("/settings/requestClasses/0/promise", json!("NaN"), "requestClasses[0].promise"),
        ("/settings/requestClasses/1/hardLimit", None, "hardLimit"),
        some("/settings/requestClasses/1/hardLimit", json!(0), "requestClasses[1].hardLimit"),
        some("/settings/requestClasses/1/hardLimit", json!(1e300), "requestClasses[1].hardLimit"),
        some("/settings/requestClasses/0/credit", json!(-1), "requestClasses[0].credit"),
        some("/settings/requestClasses/0/lateWorth", json!(-0.5), "requestClasses[0].lateWorth"),
        some("/settings/requestClasses/0/aimStretch", json!(-2), "requestClasses[0].aimStretch"),
        some("/settings/requestClasses/0/aimStretch", json!(1e300), "requestClasses[0].aimStretch"),
        some("/settings/requestClasses/0/areasOnly", json!(["b"]), "requestClasses[0].areasOnly"),
        some("/settings/requestClasses/0/boundTo", json!(["big"]), "requestClasses[0].boundTo"),
        some("/settings/requestClasses/0/boundTo", json!("k"), "requestClasses[0].boundTo"),
        // Properties of the service.
        some("/settings/domain/parallelism", json!([0]), "domain.parallelism[0]"),
        some("/settings/domain/parallelism", json!([-1]), "domain.parallelism[0]"),
        some("/settings/domain/kindCores", json!([0]), "domain.kindCores[0]"),
        some("/settings/domain/kindCores", json!([-8]), "domain.kindCores[0]"),
        some("/settings/domain/memoryByKindMb", json!([-1]), "domain.memoryByKindMb[0]"),
        some("/settings/domain/grantCap", json!(-0.1), "domain.grantCap"),
        some("/settings/domain/onShortage", json!("panic"), "domain.onShortage"),
        some("/settings/domain/progressPace", json!(-1), "domain.progressPace"),
        some("/settings/domain/classLoad", json!([1]), "domain.classLoad[0]"),
        // Prices, permissions and rules.
        some("/settings/costs", json!({"probe": -1}), "costs.probe"),
        some("/settings/costs", json!({"crossZone": "dear"}), "costs.crossZone"),
        some("/settings/costs", json!({"handshake": 1e300}), "costs.handshake"),
        some("/settings/permissions/cancel", json!("no"), "permissions.cancel"),
        some("/settings/permissions/maxAttempts", json!(-1), "permissions.maxAttempts"),
        some("/settings/permissions/maxRetryAfter", json!(-1), "permissions.maxRetryAfter"),
        some("/settings/permissions/connIdle", json!(-30), "permissions.connIdle"),
        some("/settings/permissions/dialTimeout", json!(-0.25), "permissions.dialTimeout"),
        some("/settings/permissions/mostHeld", json!(-1), "permissions.mostHeld"),
        ("/settings/rules", None, "rules"),
        ("/settings/rules/coldFrom", None, "coldFrom"),
        some("/settings/rules/coldFrom", json!(-0.3), "rules.coldFrom"),
        some("/settings/rules/stopSendingWithin", json!(-2), "rules.stopSendingWithin"),
        some("/settings/rules/rampTime", json!("long"), "rules.rampTime"),
        some("/settings/rules/fall", json!(-1), "rules.fall"),
        some("/settings/rules/fallMultiple", json!(-3), "rules.fallMultiple"),
        some("/settings/rules/freeResends", json!(-1), "rules.freeResends"),
        some("/settings/rules/furtherRatio", json!(-0.1), "rules.furtherRatio"),
        some("/settings/rules/ratioSpan", json!(-1), "rules.ratioSpan"),
        some("/settings/rules/keyQuiet", json!(-1), "rules.keyQuiet"),
    ]
}

/// A configuration with the value at a path replaced or removed.
fn with(config: &str, path: &str, value: Option<Value>) -> String {
    let mut whole: Value = serde_json::from_str(config).unwrap();
    let (parent, key) = path.rsplit_once('/').unwrap();
    let parent = whole.pointer_mut(parent).unwrap().as_object_mut().unwrap();
    match value {
        Some(v) => drop(parent.insert(key.into(), v)),
        None => assert!(parent.remove(key).is_some(), "{path}"),
    }
    whole.to_string()
}

fn launch() -> Launch {
    Launch::new(env!("CARGO_BIN_EXE_ottercroft"), env!("CARGO_TARGET_TMPDIR"))
}

fn nowhere() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

// A dispatcher that starts with invalid settings would silently break a customer's rules, and one that exits without
// a message is hard to diagnose. Each fault must be reported in one line that names its key.
#[test]
fn each_fault_of_a_configuration_is_one_line_that_names_its_key() {
    let base = launch().config(nowhere(), &[]);
    let mut wrong = Vec::new();
    for (path, value, key) in faults() {
        let (mut child, file) = launch().spawn(&with(&base, path, value.clone()));
        let begun = Instant::now();
        let status = loop {
            match child.try_wait().unwrap() {
                Some(status) => break Some(status),
                None if begun.elapsed() > Duration::from_secs(5) => break None,
                None => std::thread::sleep(Duration::from_millis(2)),
            }
        };
        let _ = child.kill();
        let mut text = String::new();
        child.stderr.take().unwrap().read_to_string(&mut text).unwrap();
        std::fs::remove_file(file).unwrap();
        let one_line = text.lines().count() == 1 && text.contains(key) && !text.contains("panicked");
        if status.is_none_or(|s| s.code() != Some(1)) || !one_line {
            let said = text.lines().next().unwrap_or_default();
            wrong.push(format!("{path} {value:?}: {:?} {said}", status.map(|s| s.code())));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

// A rejected reload must neither switch the coordinator's feed nor affect open requests, and the log names the key.
#[test]
fn a_sighup_with_a_fault_changes_nothing() {
    let executor = Executor::new();
    let (mut d, old) = launch().dispatcher(&[("e1", executor.address)]);
    let _feed = old.accept();
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    other.set_nonblocking(true).unwrap();
    let followed = || match other.accept() {
        Err(e) if e.kind() == ErrorKind::WouldBlock => false,
        accepted => accepted.is_ok(),
    };
    let there = other.local_addr().unwrap();
    let moved = d.config.replace(&format!("\"{}\"", old.address), &format!("\"{there}\""));
    assert_ne!(moved, d.config);
    for (path, value, key) in faults() {
        // Only faults of the coordinator's address and of the settings are tested here.
        if path != "/coordinator" && !path.starts_with("/settings") {
            continue;
        }
        std::fs::write(&d.file, with(&moved, path, value.clone())).unwrap();
        d.signal("HUP");
        let line = d.logs("configuration reload");
        assert!(
            line.contains("configuration reload rejected") && line.contains(key),
            "{path} {value:?}: {line}"
        );
    }
    let mut client = Client::asks(d.address, READ);
    let mut peer = executor.accept();
    let pull = peer.command().unwrap();
    d.signal("HUP");
    d.logs("configuration reload rejected");
    assert!(!followed(), "a rejected reload switched the feed");
    peer.page(&pull[1], "OK pages=1", "1\tx\ty\n");
    assert!(matches!(client.got(), Got::Rows(_)));
    std::fs::write(&d.file, &moved).unwrap();
    d.signal("HUP");
    d.logs("configuration reloaded");
    let begun = Instant::now();
    while !followed() {
        assert!(begun.elapsed() < Duration::from_secs(5), "a valid reload did not switch the feed");
        std::thread::sleep(Duration::from_millis(2));
    }
}
