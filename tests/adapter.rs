//! Runs the simulator's adapter on short transcripts.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const ENV: &str = r#"{"areas":["here"],"balancers":2,"kinds":["k"],"domain":{"kindCores":[8],"memoryByKindMb":[16384],"parallelism":[1],"grantCap":0.4,"memoryHeeded":true,"takesPriority":true},"permissions":{"cancel":true,"maxAttempts":3,"mayDuplicate":true,"probes":true,"retryAfter":true,"maxRetryAfter":2.0},"report":{"how":"inline"},"requestClasses":[{"name":"lookup","promise":1.0,"hardLimit":5.0,"effect":"read_like","credit":1}],"rules":{"stopSendingWithin":1,"coldFrom":0.3,"rampTime":10,"fall":2,"fallMultiple":2},"step":0.005,"zone":"here","futureKey":[1]}"#;

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ottercroft-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A failing adapter may close its input early.
    let _ = child.stdin.take().unwrap().write_all((lines.join("\n") + "\n").as_bytes());
    child.wait_with_output().unwrap()
}

fn opening() -> Vec<String> {
    vec![
        r#"{"ROUND":{"moment":8.0}}"#.into(),
        format!(r#"{{"ENLIST":{{"who":"gateway/3","entropy":5,"env":{ENV}}}}}"#),
        r#"{"DEFINE_LIST":{"setId":0,"hosts":[{"node":51,"az":"here","shape":"k","unitGroup":0,"readiness":"active","rating":1,"startTime":null}]}}"#.into(),
        r#"{"FLEET":{"who":"gateway/3","form":"restored","epoch":1,"setId":0}}"#.into(),
        r#"{"FUTURE_EVENT":{"who":"gateway/3"}}"#.into(),
        r#"{"GO":{}}"#.into(),
    ]
}

fn inbound(field: &str, value: &str) -> String {
    let text = r#"{"INBOUND":{"who":"gateway/3","call":"00ab34d5e6f70812","profile":"lookup","customer":null,"orderKey":null,"grace":4.0,"estimate":0.2,"estMemoryMb":300,"tables":11,"stateBits":1,"new":0}}"#;
    let mut v: serde_json::Value = serde_json::from_str(text).unwrap();
    let body = v["INBOUND"].as_object_mut().unwrap();
    match value {
        "" => drop(body.remove(field)),
        _ => drop(body.insert(field.into(), serde_json::from_str(value).unwrap())),
    }
    v.to_string()
}

#[test]
fn a_request_is_served_and_end_of_input_exits_cleanly() {
    let mut lines = opening();
    lines.extend([
        r#"{"ROUND":{"moment":8.1}}"#.into(),
        inbound("grace", "4.0"),
        r#"{"GO":{}}"#.into(),
        r#"{"ROUND":{"moment":8.3}}"#.into(),
        r#"{"REPLY":{"who":"gateway/3","call":"00ab34d5e6f70812","node":51,"go":0,"doneFlag":true,"ending":10,"waitTime":0.2,"bill":null,"stats":{"concurrent":2,"other":1}}}"#.into(),
        r#"{"STOP":{"who":"gateway/3"}}"#.into(),
        r#"{"WAKEUP":{"who":"gateway/3","ctx":0}}"#.into(),
        r#"{"GO":{}}"#.into(),
    ]);
    let out = run(&lines);
    assert!(out.status.success() && out.stderr.is_empty(), "{out:?}");
    let text = String::from_utf8(out.stdout).unwrap();
    let replies: Vec<&str> = text.lines().collect();
    assert!(replies[0].starts_with(r#"{"WAKE_AT":{"who":"gateway/3","#));
    let assign = r#"{"ASSIGN":{"who":"gateway/3","call":"00ab34d5e6f70812","node":51}}"#;
    assert!(replies.contains(&assign), "{text}");
    assert!(replies.iter().any(|l| l.starts_with(r#"{"RESOURCES":"#)));
    assert_eq!(replies.iter().filter(|l| **l == r#"{"ACK":{}}"#).count(), 3);
    assert_eq!(*replies.last().unwrap(), r#"{"ACK":{}}"#);
}

#[test]
fn malformed_input_is_reported_in_one_line_with_message_and_field() {
    let cases = [
        (inbound("grace", ""), ["INBOUND", "grace"]),
        (inbound("grace", "\"soon\""), ["INBOUND", "grace"]),
        (inbound("grace", "-1"), ["INBOUND", "grace"]),
        (inbound("profile", "\"nothing\""), ["INBOUND", "profile"]),
        (inbound("call", "\"xyz\""), ["INBOUND", "call"]),
        (r#"{"REPLY":{"who":"gateway/3","call":"00ab34d5e6f70812","node":51,"go":0,"doneFlag":true,"ending":11,"waitTime":0.2}}"#.into(), ["REPLY", "ending"]),
        (r#"{"FLEET":{"who":"gateway/3","form":"sideways","epoch":1,"setId":0}}"#.into(), ["FLEET", "form"]),
        ("{\"GO\":".into(), ["message", ""]),
        ("[1]".into(), ["message", ""]),
    ];
    for (line, names) in cases {
        let mut lines = opening();
        lines.extend([r#"{"ROUND":{"moment":8.1}}"#.into(), line.clone(), r#"{"GO":{}}"#.into()]);
        let out = run(&lines);
        let said = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(1), "{line}");
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(names.iter().all(|n| said.contains(n)) && !said.contains("panicked"), "{line}: {said}");
    }
}

#[test]
fn invalid_settings_are_reported_as_an_exception() {
    let mut lines = opening();
    lines[1] = lines[1].replace(r#""balancers":2"#, r#""balancers":0"#);
    let out = run(&lines);
    assert!(out.status.success());
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(
        text.contains(r#"{"EXCEPTION":{"who":"gateway/3","what":"settings: number of gateways is zero"}}"#)
    );
}
