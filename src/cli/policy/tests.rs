use super::*;
use clap::Parser;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::thread;

const CONFIG: &str = r#"{"listen":"127.0.0.1:0","coordinator":"127.0.0.1:1","settings":{"areas":["norte"],"balancers":3,
    "kinds":["old","new"],"domain":{"kindCores":[8,8],"parallelism":[1]},"permissions":{"maxAttempts":4},
    "requestClasses":[{"name":"read","promise":1,"hardLimit":6,"effect":"read_like"}],
    "rules":{"stopSendingWithin":2,"coldFrom":0.3,"rampTime":10,"fall":2,"fallMultiple":3}}}"#;
const OLD: &str = "policy \"a\" {\n  class \"read\" {\n    kinds = [\"old\"]\n  }\n}\n";
const NEW: &str =
    "policy \"b\" {\n  class \"read\" {\n    kinds    = [\"new\"]\n    deadline = \"4s\"\n  }\n}\n";

#[derive(Debug, Parser)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

/// A temporary directory with the given files, removed on drop.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn folder(name: &str, files: &[(&str, &str)]) -> Folder {
    let at = std::env::temp_dir().join(format!("ottercroft-policy-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&at).unwrap();
    files.iter().for_each(|(name, text)| std::fs::write(at.join(name), text).unwrap());
    Folder(at)
}

/// Runs a command line with file names resolved in a directory.
fn done(folder: &Path, words: &[&str]) -> (Result<Outcome, String>, String) {
    let place = |w: &str| match w.contains('.') && !w.contains(':') {
        true => folder.join(w).display().to_string(),
        false => w.to_string(),
    };
    let line = std::iter::once("policy".to_string()).chain(words.iter().map(|w| place(w)));
    let mut out = Vec::new();
    let verdict = run(&mut out, Line::try_parse_from(line).unwrap().command).map_err(|e| e.to_string());
    (verdict, String::from_utf8(out).unwrap())
}

// `policy check` reports every fault for which a dispatcher would reject the file, each with its position.
#[test]
fn all_faults_are_told_with_their_places() {
    let wrong = "policy \"x\" {\n  class \"read\" {\n    worht = 1\n    aim   = \"soon\"\n  }\n}\n";
    let unfit =
        "policy \"x\" {\n  class \"raed\" { worth = 1 }\n  class \"read\" { kinds = [\"newer\"] }\n}\n";
    let all = folder(
        "check",
        &[("c.json", CONFIG), ("a.hcl", OLD), ("w.hcl", wrong), ("u.hcl", unfit), ("e.hcl", "\n")],
    );
    let run = |words: &[&str]| done(&all.0, words);
    assert_eq!(run(&["check", "a.hcl", "c.json"]), (Ok(Outcome::Success), "in order\n".into()));
    let (verdict, told) = run(&["check", "w.hcl"]);
    assert_eq!(verdict, Ok(Outcome::FaultsFound));
    for part in ["w.hcl:3:5: ", "w.hcl:4:", "worht", "aim", "2 faults\n", "not checked against settings"] {
        assert!(told.contains(part), "{part} in {told}");
    }
    assert_eq!(run(&["check", "u.hcl"]).0, Ok(Outcome::Success), "the text alone is in order");
    let (verdict, told) = run(&["check", "u.hcl", "c.json", "--json"]);
    let told: serde_json::Value = serde_json::from_str(&told).unwrap();
    assert_eq!((verdict, told["ok"].as_bool()), (Ok(Outcome::FaultsFound), Some(false)));
    assert_eq!(told["faults"].as_array().unwrap().len(), 2);
    assert!(told["faults"][0]["what"].as_str().unwrap().contains("class \"raed\": unknown"), "{told}");
    assert!(run(&["check", "e.hcl"]).1.contains("empty"));
    assert!(run(&["check", "none.hcl"]).0.is_err(), "no file to check is no verdict");
    assert!(run(&["check", "a.hcl", "a.hcl"]).0.is_err(), "nor is a configuration that is none");
}

// `policy diff` lists every changed field: an omitted one would take effect without having been reviewed.
#[test]
fn a_difference_is_told_field_by_field() {
    let unfit = "policy \"x\" {\n  class \"raed\" { worth = 1 }\n}\n";
    let all = folder("diff", &[("c.json", CONFIG), ("a.hcl", OLD), ("b.hcl", NEW), ("u.hcl", unfit)]);
    let run = |words: &[&str]| done(&all.0, words);
    let against_settings = "class \"read\": kinds: any -> old\n".to_string();
    assert_eq!(run(&["diff", "a.hcl", "c.json"]), (Ok(Outcome::FaultsFound), against_settings));
    let against_other = "class \"read\": deadline: 6s -> 4s\nclass \"read\": kinds: old -> new\n".to_string();
    assert_eq!(run(&["diff", "b.hcl", "a.hcl", "c.json"]), (Ok(Outcome::FaultsFound), against_other));
    assert_eq!(run(&["diff", "a.hcl", "a.hcl", "c.json"]), (Ok(Outcome::Success), "no difference\n".into()));
    let (verdict, told) = run(&["diff", "u.hcl", "c.json"]);
    assert!(verdict == Ok(Outcome::FaultsFound) && told.contains("u.hcl: class \"raed\": unknown"), "{told}");
}

/// A stub operators' address that answers one call; the thread returns the line received.
fn dispatcher(answer: &'static str) -> (String, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap().to_string();
    let serves = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut line = String::new();
        BufReader::new(stream.try_clone().unwrap()).read_line(&mut line).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
        line
    });
    (at, serves)
}

// Scripts rely on the exit code: neither a rejected call nor an unreachable dispatcher may count as success. The path
// sent is absolute, as the dispatcher has another working directory.
#[test]
fn calls_print_their_answer_and_tell_it_by_the_verdict() {
    let all = folder("calls", &[("a.hcl", OLD)]);
    let run = |words: &[&str]| done(&all.0, words);
    let (at, got) = dispatcher("+OK proposed 3\n");
    assert_eq!(run(&["propose", "a.hcl", "--at", &at]), (Ok(Outcome::Success), "+OK proposed 3\n".into()));
    let path = all.0.join("a.hcl");
    assert_eq!(got.join().unwrap(), format!("POLICY PROPOSE {}\n", path.display()));
    for (word, line) in
        [("status", "POLICY STATUS\n"), ("abort", "POLICY ABORT\n"), ("back", "POLICY BACK\n")]
    {
        let (at, got) = dispatcher("-ERR no \u{1b}[2J\nmore\n.\n");
        assert_eq!(run(&[word, "--at", &at]), (Ok(Outcome::FaultsFound), "-ERR no ?[2J\nmore\n.\n".into()));
        assert_eq!(got.join().unwrap(), line);
    }
    let (at, got) = dispatcher("HTTP/1.1 400\n");
    assert!(run(&["status", "--at", &at]).0.unwrap_err().contains("not an operators' address"));
    got.join().unwrap();
    // The listener is closed.
    let at = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    assert!(run(&["status", "--at", &at]).0.unwrap_err().starts_with(&at));
}

// An answer over the limit was told as one that came too late.
#[test]
fn an_answer_that_is_too_long_is_told_as_that() {
    let all = folder("long", &[]);
    let long = format!("+OK {}\n", "x".repeat(1 << 20));
    let (at, got) = dispatcher(Box::leak(long.into_boxed_str()));
    let error = done(&all.0, &["status", "--at", &at]).0.unwrap_err();
    assert!(error.contains("longer than 1048576 bytes"), "{error}");
    // The rest of the answer may be reset.
    let _ = got.join();
}

// A path that is too long for one line or would be split into two words is rejected before it is sent; the dispatcher
// could only report a syntax error.
#[test]
fn a_path_that_cannot_be_told_is_refused() {
    let name = |n: usize| format!("/{}", "p".repeat(n - 1));
    assert_eq!(proposal(Path::new(&name(240))).unwrap().len(), 255);
    assert!(proposal(Path::new(&name(241))).unwrap_err().to_string().contains("241 bytes; 240 can be sent"));
    assert!(crate::codec::operator::parse(proposal(Path::new(&name(240))).unwrap().as_bytes()).is_ok());
    assert!(proposal(Path::new("/a b.hcl")).unwrap_err().to_string().contains("without spaces"));
    assert!(proposal(Path::new("a.hcl")).unwrap().starts_with("POLICY PROPOSE /"));
}
