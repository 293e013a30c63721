use super::*;
use crate::codec::operator::Call;
use crate::net::DispatcherServer;
use crate::net::signals::Signals;
use crate::settings::config::Config;
use crate::settings::options::Options;

/// A process of the named dispatcher with two executors; its event loop does not run.
fn server(name: &str, listen: &str) -> DispatcherServer {
    let launch = standins::scripted::Launch::new("", std::env::temp_dir());
    let known = ["e0", "e1"].map(|uid| standins::scripted::target(uid, "127.0.0.1:1".parse().unwrap(), "up"));
    let config = launch
        .config_of("127.0.0.1:1".parse().unwrap(), &known)
        .replace(r#""name":"t""#, &format!(r#""name":"{name}""#))
        .replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{listen}""#));
    let (signals, _, _) = Signals::for_test().unwrap();
    let config = Config::parse(&config).unwrap();
    DispatcherServer::new(config, Options::default(), signals, || Config::parse("")).unwrap()
}

// An executor whose ban was lifted has been restarted: a process that was not called, or started only then, must not take
// it for warm.
#[test]
fn an_executor_whose_ban_was_lifted_is_in_slow_start_at_all_processes() {
    let name = format!("siblings-slow-start-{}", std::process::id());
    let mut first = server(&name, "127.0.0.1:0");
    let listen = first.listener.address().to_string();
    let mut second = server(&name, &listen);
    let now = first.clock.now();
    first.receive_from_siblings(now);
    let offline = first.answer_call(0, now, Ok(Call::Offline("e0".into())));
    assert_eq!(offline.as_deref(), Some("+OK offline e0"));
    second.receive_from_siblings(now);
    assert!(second.bans.banned("e0"));
    let online = second.answer_call(0, now + 1_000, Ok(Call::Online("e0".into())));
    assert_eq!(online.as_deref(), Some("+OK online e0"));
    first.receive_from_siblings(now + 1_000);
    assert!(!first.bans.banned("e0"));
    let lifted_at = second.onlined_at_ms.get("e0").copied().unwrap();
    assert_eq!(first.onlined_at_ms.get("e0"), Some(&lifted_at));
    let mut third = server(&name, &listen);
    first.receive_from_siblings(now + 2_000);
    third.receive_from_siblings(now + 2_000);
    assert_eq!(third.onlined_at_ms.get("e0"), Some(&lifted_at));
}

/// Carries out an operator's call for an executor.
fn call(server: &mut DispatcherServer, call: Call, now: Micros) {
    let answer = server.answer_call(0, now, Ok(call)).unwrap();
    assert!(answer.starts_with("+OK"), "{answer}");
}

fn bans_in_file(server: &DispatcherServer) -> Vec<String> {
    server.bans_file.load().ids().map(String::from).collect()
}

// A process that learns of a call late must not replace what the process that was called has written since: after the end
// of both, the next one would lack a ban.
#[test]
fn a_process_that_lags_behind_does_not_overwrite_the_hand_over_file() {
    let name = format!("siblings-lag-{}", std::process::id());
    let mut lagging = server(&name, "127.0.0.1:0");
    let mut called = server(&name, &lagging.listener.address().to_string());
    let now = called.clock.now();
    called.receive_from_siblings(now);
    lagging.receive_from_siblings(now);
    call(&mut called, Call::Offline("e0".into()), now);
    // It is interrupted between the message and the file.
    lagging.siblings.as_mut().unwrap().receive();
    let first = lagging.siblings.as_mut().unwrap().received.pop_front().unwrap();
    let Message::Ban { executor, call: ban } = first else { panic!("{first:?}") };
    lagging.merge_ban(&executor, ban, now);
    call(&mut called, Call::Offline("e1".into()), now);
    lagging.save_merged_bans();
    assert_eq!(bans_in_file(&called), ["e0", "e1"]);
}

// Two calls in the same moment, one at each process: whichever wrote the file last, it has to hold both bans in the end.
#[test]
fn calls_at_both_processes_in_the_same_moment_are_both_in_the_hand_over_file() {
    let name = format!("siblings-concurrent-{}", std::process::id());
    let mut first = server(&name, "127.0.0.1:0");
    let mut second = server(&name, &first.listener.address().to_string());
    let now = first.clock.now();
    first.receive_from_siblings(now);
    second.receive_from_siblings(now);
    call(&mut first, Call::Offline("e0".into()), now);
    call(&mut second, Call::Offline("e1".into()), now);
    assert_eq!(bans_in_file(&first), ["e1"], "the second call has replaced the first one's file");
    first.receive_from_siblings(now);
    assert_eq!(bans_in_file(&first), ["e0", "e1"]);
}
