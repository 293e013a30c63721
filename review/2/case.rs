//! Two executors are taken out (`OFFLINE`) while a new version is being started, one by a call at the old process and one
//! by a call at the new one. Each gets new work from the other process.

#[path = "../standins.rs"]
mod standins;

use standins::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The settings' `stopSendingWithin`, and what every limit on sockets is longer by.
const DRAIN_LIMIT_S: f64 = 2.0 + 0.05;
/// When the new process is started, the executors are taken out, and the old process is told to end: the new one is
/// given 6 s to say yes.
const NEW_STARTED_AT: f64 = 3.0;
const OFFLINE_AT: f64 = 4.0;
const OLD_TERMINATED_AT: f64 = 9.0;
/// How long after SIGTERM the platform kills what is left: the longest deadline, taken as 5 s, and 0.7 s.
const KILLED_AFTER: f64 = 5.7;
/// When the operators restart the process of the first executor, and when it is back.
const RESTARTED_AT: f64 = 20.0;
const BACK_AT: f64 = 22.0;
const ENDS_AT: f64 = 25.0;
/// How long a load takes, and the budget of its client.
const LOAD: Duration = Duration::from_secs(5);
const LOAD_BUDGET: Duration = Duration::from_secs(25);

fn main() {
    let case = Case::from_environment();
    let record = case.record.clone();
    let work = |pull: &Pull| if pull.class() == "load" { LOAD } else { Duration::from_millis(60) };
    let executors: Vec<Executor> = (1..=6)
        .map(|n| Executor::new(&format!("s-{n:08x}"), "127.0.2.1", &record, &["load", "short"], work))
        .collect();
    let targets: Vec<String> = executors.iter().map(|e| target(e, "sala-norte", "up", 0)).collect();
    let first = event(1, true, &targets);
    let coordinator = Coordinator::new("127.0.3.1", first.clone());

    // Both processes share the name, the client address, the configuration and `$TMPDIR`.
    let temporary = case.work.join("shared-tmp");
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let mut old = Dispatcher::new("n1", "127.0.1.1", config(&coordinator, &first, 1), None);
    let mut new = Dispatcher::new("n1", "127.0.1.1", old.config.clone(), None);
    new.listen = old.listen;
    (old.label, new.label) = ("n1-old".into(), "n1-new".into());
    (old.seed, new.seed) = (Some("8c1f30d27a5be964".into()), Some("8c1f30d27a5be964".into()));
    old.start_in(&case, &temporary);
    if !old.await_ready(&case, Duration::from_secs(10)) {
        drop(old);
        case.finish(NOT_RUN, "the dispatcher did not come up");
    }

    let stop = Arc::new(AtomicBool::new(false));
    let failed = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for _ in 0..16 {
        let (to, stop, record, failed) = (old.listen, stop.clone(), record.clone(), failed.clone());
        clients.push(std::thread::spawn(move || ask_loads(to, &stop, &record, &failed)));
    }
    for _ in 0..6 {
        let (to, stop, record) = (old.listen, stop.clone(), record.clone());
        clients.push(std::thread::spawn(move || ask_short(to, &stop, &record)));
    }

    if case.trouble {
        record.sleep_until(NEW_STARTED_AT);
        record.line("platform: starts the new process");
        new.start_in(&case, &temporary);
        let begun = record.now();
        while !new.quiet_call("HEALTH").starts_with("+OK") && record.now() < begun + 6.0 {
            std::thread::sleep(Duration::from_millis(20));
        }
        new.call("HEALTH", &record);
    }
    record.sleep_until(OFFLINE_AT);
    // Without the upgrade there is one process, which gets both calls.
    let called = [&old, if case.trouble { &new } else { &old }];
    let mut told_at = Vec::new();
    for (executor, dispatcher) in executors.iter().zip(called) {
        let answer = dispatcher.call(&format!("OFFLINE {}", executor.uid), &record);
        if answer.starts_with("+OK") {
            told_at.push(record.now());
        }
    }
    if case.trouble {
        record.sleep_until(OLD_TERMINATED_AT);
        old.signal("TERM", &record);
        while !old.has_ended() && record.now() < OLD_TERMINATED_AT + KILLED_AFTER {
            std::thread::sleep(Duration::from_millis(10));
        }
        record.line(format!("the old process has ended by itself: {}", old.has_ended()));
        old.kill(&record);
    }
    record.sleep_until(RESTARTED_AT);
    record.line(format!("operators: restart the process of {}", executors[0].uid));
    executors[0].stop();
    record.sleep_until(BACK_AT);
    executors[0].start();
    record.sleep_until(ENDS_AT);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));

    let mut late = 0;
    for (executor, told_at) in executors.iter().zip(&told_at) {
        let new: Vec<Pull> =
            executor.pulls().into_iter().filter(|pull| pull.at > told_at + DRAIN_LIMIT_S).collect();
        let loads = new.iter().filter(|pull| pull.class() == "load");
        let cut_off = |pull: &&Pull| pull.ended.is_some_and(|(_, end)| end == End::GivenUp);
        let (loads, cut_off) = (loads.clone().count(), loads.filter(cut_off).count());
        let uid = &executor.uid;
        record.line(format!("OFFLINE {uid} was answered at {told_at:.3}"));
        record.line(format!(
            "new requests at {uid} more than {DRAIN_LIMIT_S} s later: {} ({loads} of them loads, {cut_off} of these cut off by the restart); first at {:?}, last at {:?}",
            new.len(),
            new.first().map(|pull| pull.at),
            new.last().map(|pull| pull.at)
        ));
        late += new.len();
    }
    let elsewhere: usize = executors[2..].iter().map(|e| e.pulls().len()).sum();
    record.line(format!("requests at the other executors: {elsewhere}"));
    let failed_loads = lock(&failed).len();
    record.line(format!("loads that failed at their clients: {failed_loads}"));
    drop((old, new));
    if told_at.len() < 2 || elsewhere == 0 {
        case.finish(NOT_RUN, "an operator's call was not answered with +OK, or nothing was served");
    }
    if late == 0 {
        case.finish(HELD, "nothing new reached the executors that were taken out");
    }
    case.finish(BROKEN, &format!("{late} new requests reached executors that were taken out"));
}

/// A client that asks for one load after another, each with a key of its own.
fn ask_loads(to: std::net::SocketAddr, stop: &AtomicBool, record: &Record, failed: &Mutex<Vec<u64>>) {
    while !stop.load(Ordering::SeqCst) {
        let rid = new_id();
        let sql = format!(
            "/* method=load,rid={rid:016x},budget={},est=5000,space=96,obj={rid:016x} */ INSERT INTO sales_{}.orders SELECT a, b, c FROM staging.rows",
            LOAD_BUDGET.as_millis(),
            rid % 97
        );
        record.line(format!("client: asks load {rid:016x}"));
        let got = ask_once(to, &sql, LOAD_BUDGET);
        record.line(format!("client: load {rid:016x} got: {got}"));
        match &got {
            Got::Rows(_) => {}
            Got::Error(..) if got.is_refusal() => std::thread::sleep(Duration::from_millis(200)),
            _ => lock(failed).push(rid),
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// A client that asks one short query after another on new connections.
fn ask_short(to: std::net::SocketAddr, stop: &AtomicBool, record: &Record) {
    while !stop.load(Ordering::SeqCst) {
        let rid = new_id();
        let sql = format!(
            "/* method=short,rid={rid:016x},budget=6000,est=60,space=16 */ SELECT a, b, c FROM sales_{}.orders",
            rid % 97
        );
        record.line(format!("client: asks short {rid:016x}"));
        let got = ask_once(to, &sql, Duration::from_secs(6));
        record.line(format!("client: short {rid:016x} got: {got}"));
        std::thread::sleep(Duration::from_millis(50));
    }
}
