//! The log of a process that panics, observed from outside.

use ottercroft::logging::Log;
use ottercroft::settings::options::LogFormat;
use std::process::Command;

/// Set in the process that is to panic.
const PANICS: &str = "OTTERCROFT_TEST_PANICS";

// Lines are written by another thread; those before a panic, and the panic itself, have to be written before the end of
// the process.
#[test]
fn the_lines_before_a_panic_and_the_panic_are_written() {
    if std::env::var_os(PANICS).is_some() {
        let _log = Log::start(LogFormat::Text);
        (0..100).for_each(|n| tracing::info!(n, "a line before"));
        panic!("on purpose");
    }
    let test = "the_lines_before_a_panic_and_the_panic_are_written";
    let output = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", test, "--nocapture"])
        .env(PANICS, "1")
        .env_remove("RUST_LOG")
        .output()
        .unwrap();
    assert!(!output.status.success());
    let log = String::from_utf8_lossy(&output.stderr);
    assert_eq!(log.matches("a line before").count(), 100, "{log}");
    assert!(log.contains("ERROR") && log.contains("on purpose"), "{log}");
}
