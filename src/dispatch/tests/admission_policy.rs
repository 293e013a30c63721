use super::*;

/// Settings with two kinds of executors, which restrict the class of loads to one of them.
fn bound(kind: &str) -> Settings {
    let text = SETTINGS
        .replace(r#""kinds":["k"]"#, r#""kinds":["old","new"]"#)
        .replace(r#""kindCores":[8]"#, r#""kindCores":[8,8]"#)
        .replace(r#""keepOrder":true"#, &format!(r#""keepOrder":true,"boundTo":["{kind}"]"#));
    let env: Env = serde_json::from_str(&text).unwrap();
    env.settings().unwrap().0
}

fn started(commands: &[Command<()>]) -> Option<ExecutorId> {
    commands
        .iter()
        .find_map(|o| if let Command::StartAttempt { executor, .. } = o { Some(*executor) } else { None })
}

// A request taken over from a lost dispatcher may have been admitted under an earlier policy. It completes under that
// policy; requests that arrive at the same time or later do not.
#[test]
fn a_request_taken_over_completes_under_the_settings_that_admitted_it() {
    let mut d: Dispatch<()> = Dispatch::new(bound("new"), 9, 7).unwrap();
    let of = |executor, kind| ListedExecutor { kind, ..listed(executor, ExecutorState::Up) };
    d.apply_watch_event(1_000, WatchEvent::Restored, &[of(5, 0), of(6, 1)]);
    assert_eq!(started(&submit(&mut d, 2_000, 1)), Some(6));
    let commands = d.adopt(2_000, &request(2, BUDGET), 1, Some(&bound("old"))).unwrap();
    assert_eq!(started(&commands), Some(5));
    assert_eq!(started(&submit(&mut d, 2_000, 3)), Some(6));
    d.update_settings(bound("old")).unwrap();
    assert_eq!(started(&submit(&mut d, 2_000, 4)), Some(5));
}
