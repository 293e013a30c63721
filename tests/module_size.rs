//! Two engineers read the decisions in an hour: their size, file by file and in all, is held to the limit.

use std::path::Path;

/// The files of `src/control/`, by name, with their text.
fn files() -> Vec<(String, String)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/control");
    let entries = std::fs::read_dir(folder).unwrap().map(|e| e.unwrap());
    let named = entries.map(|e| (e.file_name().into_string().unwrap(), e.path()));
    named.map(|(name, path)| (name, std::fs::read_to_string(path).unwrap())).collect()
}

// Guards against decisions that grow past what can be read in an hour, in one file or in all.
#[test]
fn control_stays_within_its_limits() {
    let files = files();
    let total: usize = files.iter().map(|(_, t)| t.lines().filter(|l| !l.trim().is_empty()).count()).sum();
    assert!((1..=1000).contains(&total), "{total} non-blank lines");
    for (name, text) in &files {
        let lines = text.lines().count();
        assert!(lines <= 250, "{name}: {lines} lines");
        for (i, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{name}:{}: over 110 characters", i + 1);
        }
    }
}

// Guards against a file of decisions that the platform does not count: it reads those named under `policy`.
#[test]
fn every_file_of_control_is_named_as_policy() {
    let manifest = include_str!("../deploy/balancer.toml");
    let policy = manifest.lines().find(|l| l.starts_with("policy = [")).expect("a line of policy files");
    let mut named: Vec<&str> = policy.split('"').skip(1).step_by(2).collect();
    let mut there: Vec<String> = files().iter().map(|(name, _)| format!("src/control/{name}")).collect();
    named.sort_unstable();
    there.sort_unstable();
    assert_eq!(named, there);
}
