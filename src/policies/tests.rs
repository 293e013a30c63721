use super::*;
use crate::api::Settings;
use crate::settings::{Env, Names};
use proptest::prelude::*;

const SETTINGS: &str = r#"{"areas":["norte","sur"],"balancers":3,"kinds":["old","new"],
    "domain":{"kindCores":[8,8],"parallelism":[1,2]},"permissions":{"cancel":true,"maxAttempts":4},
    "parties":[{"name":"mart","quotaPerS":30},{"name":"cafe","quotaPerS":10}],"overShareWorth":0.5,
    "requestClasses":[{"name":"read","promise":1,"hardLimit":6,"effect":"read_like"},
      {"name":"load","promise":3,"hardLimit":25,"effect":"non_idempotent","keepOrder":true,"boundTo":["old"]}],
    "rules":{"stopSendingWithin":2,"coldFrom":0.3,"rampTime":10,"fall":2,"fallMultiple":3,
      "freeResends":3,"furtherRatio":0.25,"ratioSpan":10}}"#;

fn base() -> (Settings, Names) {
    let env: Env = serde_json::from_str(SETTINGS).unwrap();
    env.settings().unwrap()
}

fn under(text: &str) -> Result<Settings, Vec<String>> {
    let (base, names) = base();
    let read =
        Policy::parse("p.hcl", text).map_err(|all| all.iter().map(|f| f.to_string()).collect::<Vec<_>>());
    read.and_then(|p| applied(&p, &base, &names))
}

#[test]
fn a_policy_changes_what_it_names_and_nothing_else() {
    let text = "policy \"friday\" {\n  class \"read\" {\n    kinds    = [\"new\"]\n    deadline = \"4s\"\n    worth    = 2\n  }\n  \
                tenant \"cafe\" {\n    quota_per_s = 20\n  }\n  attempts {\n    most = 2\n  }\n}\n";
    let (mut wanted, s) = (base().0, under(text).unwrap());
    (wanted.classes[0].client_timeout, wanted.classes[0].priority_weight) = (4_000_000, 2.0);
    wanted.classes[0].only_kinds = Some(vec![1]);
    (wanted.tenants[1].quota_per_s, wanted.max_attempts) = (20.0, 2);
    assert_eq!(s, wanted);
    assert_eq!(under("").unwrap(), base().0, "an empty text changes nothing");
}

// A dispatcher has to vote against a policy that does not fit its settings even if the others accept it. All errors
// are reported, and a policy can't permit what the platform's settings forbid.
#[test]
fn what_does_not_fit_here_is_told_whole() {
    let text = "policy \"x\" {\n  class \"raed\" { worth = 1 }\n  class \"read\" {\n    kinds = [\"newer\"]\n    deadline = \"60s\"\n  }\n  \
                class \"load\" { kinds = [\"new\"] }\n  tenant \"bar\" { quota_per_s = 1 }\n  attempts {\n    most = 9\n    ratio = 0.9\n  }\n}\n";
    let all = under(text).unwrap_err().join("\n");
    for part in [
        "class \"raed\": unknown; known here: load, read",
        "kind \"newer\": unknown",
        "class \"read\": deadline: its clients wait 6s at most",
        "class \"load\": kinds: more than the settings allow it",
        "tenant \"bar\": unknown",
        "attempts \"most\": the settings allow 4",
        "attempts \"ration\": wider than the settings allow",
    ] {
        assert!(all.contains(part), "{part}\nin {all}");
    }
    assert!(under("polcy \"x\" {}").unwrap_err()[0].contains("unknown block"));
    assert!(under("policy \"x\" {}\npolicy \"y\" {}").unwrap_err()[0].contains("second time"));
    assert!(under("log = 1").is_err());
}

#[test]
fn a_text_that_was_changed_on_its_way_is_no_policy() {
    let (base, names) = base();
    let text = "policy \"x\" {}".to_string();
    let mut p = fleet::policy::Policy { number: 4, digest: digest(&text), text };
    assert!(ready(&p, &base, &names).is_ok());
    p.text.push(' ');
    assert!(ready(&p, &base, &names).unwrap_err()[0].contains("digest"));
}

fn settings() -> impl Strategy<Value = Settings> {
    let choice = || prop::option::of(prop::collection::vec(0_usize..2, 1..3));
    (choice(), choice(), 1_u64..9, 0.0..50.0_f64, 0.0..1.0_f64, 1_u32..5, prop::option::of(0.0..9.0_f64))
        .prop_map(|(kinds, zones, deadline, quota, over, most, free)| {
            let mut s = base().0;
            (s.classes[0].only_kinds, s.classes[0].only_zones) = (kinds, zones);
            (s.classes[0].client_timeout, s.classes[0].latency_objective) = (deadline * 1_000_000, 1_000_000);
            (s.tenants[0].quota_per_s, s.over_quota_weight, s.max_attempts) = (quota, over, most);
            s.retry_budget = free.map(|free| crate::api::RetryBudget {
                base_retries: free,
                retries_per_request: free / 9.0,
                window: 10_000_000,
                send_delay: 0,
            });
            s
        })
}

proptest! {
    // A dispatcher that can't know which of two policies is in force violates neither.
    #[test]
    fn the_stricter_of_two_allows_nothing_that_either_forbids(a in settings(), b in settings()) {
        let s = stricter(&a, &b);
        prop_assert!(crate::api::check(&s).is_ok());
        let allows = |only: &Option<Vec<usize>>, i: usize| only.as_ref().is_none_or(|all| all.contains(&i));
        for one in [&a, &b] {
            for i in 0..2 {
                prop_assert!(!allows(&s.classes[0].only_kinds, i) || allows(&one.classes[0].only_kinds, i));
                prop_assert!(!allows(&s.classes[0].only_zones, i) || allows(&one.classes[0].only_zones, i));
            }
            prop_assert!(s.classes[0].client_timeout <= one.classes[0].client_timeout);
            prop_assert!(s.tenants[0].quota_per_s <= one.tenants[0].quota_per_s);
            prop_assert!(s.max_attempts <= one.max_attempts && s.over_quota_weight <= one.over_quota_weight);
            if let Some(b) = one.retry_budget {
                prop_assert!(s.retry_budget.is_some_and(|m| m.base_retries <= b.base_retries && m.retries_per_request <= b.retries_per_request && m.window >= b.window));
            }
        }
        prop_assert_eq!(stricter(&a, &a), a);
    }
}
