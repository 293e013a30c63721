//! While a new version is being started, a client's KILL QUERY reaches the new process, and the old one begins the
//! cancelled load all the same.

#[path = "../standins.rs"]
mod standins;

use standins::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// An attempt may begin this long after its client has cancelled: the standing test's page, and what every limit on
/// sockets is longer by.
const LIMIT_S: f64 = 0.1 + 0.05;
/// Keys, and loads of each key. Loads of one key are written 250 ms apart.
const KEYS: usize = 30;
const LOADS: usize = 10;
const SPACING_S: f64 = 0.25;
/// How long a load takes, and the budget of its client.
const LOAD: Duration = Duration::from_millis(800);
const BUDGET: Duration = Duration::from_secs(25);
/// When the loads are asked, the new process is started, and the old one is told to end: the new one is given 6 s to say
/// yes.
const ASKED_AT: f64 = 1.0;
const NEW_STARTED_AT: f64 = 2.5;
const OLD_TERMINATED_AT: f64 = 8.5;
/// How long after SIGTERM the platform kills what is left: the longest deadline, taken as 5 s, and 0.7 s.
const KILLED_AFTER: f64 = 5.7;
/// Every second load of a key is given up early, after a wait between these, in seconds.
const GIVEN_UP_AFTER: [f64; 2] = [1.0, 5.0];

/// What became of the loads that their clients cancelled: when KILL QUERY was written, by request id.
type Cancelled = Arc<Mutex<BTreeMap<String, (f64, Got)>>>;

fn main() {
    let case = Case::from_environment();
    let record = case.record.clone();
    let work = |pull: &Pull| if pull.class() == "load" { LOAD } else { Duration::from_millis(60) };
    let executors: Vec<Executor> = (1..=6)
        .map(|n| Executor::new(&format!("s-{n:08x}"), "127.0.2.1", &record, &["load"], work))
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

    // All clients connect before the new process is there.
    let cancelled = Cancelled::default();
    let mut clients = Vec::new();
    for key in 0..KEYS {
        let key_id = new_id();
        for load in 0..LOADS {
            let Some(mut client) = Client::connect(old.listen) else { continue };
            client.ping();
            let asked_at = ASKED_AT + load as f64 * SPACING_S + key as f64 * 0.01;
            let (record, cancelled, to) = (record.clone(), cancelled.clone(), old.listen);
            let gives_up = load % 2 == 1;
            let share = (key * LOADS + load) as f64 / (KEYS * LOADS) as f64;
            let patience = GIVEN_UP_AFTER[0] + share * (GIVEN_UP_AFTER[1] - GIVEN_UP_AFTER[0]);
            let patience = if gives_up { Some(patience) } else { None };
            clients.push(thread::spawn(move || {
                record.sleep_until(asked_at);
                ask_load(client, to, key_id, patience, &record, &cancelled)
            }));
        }
    }

    if case.trouble {
        record.sleep_until(NEW_STARTED_AT);
        record.line("platform: starts the new process");
        new.start_in(&case, &temporary);
        let begun = record.now();
        while !new.quiet_call("HEALTH").starts_with("+OK") && record.now() < begun + 6.0 {
            thread::sleep(Duration::from_millis(20));
        }
        new.call("HEALTH", &record);
        record.sleep_until(OLD_TERMINATED_AT);
        old.signal("TERM", &record);
        while !old.has_ended() && record.now() < OLD_TERMINATED_AT + KILLED_AFTER {
            thread::sleep(Duration::from_millis(10));
        }
        record.line(format!("the old process has ended by itself: {}", old.has_ended()));
        old.kill(&record);
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    drop((old, new));

    let cancelled = lock(&cancelled);
    let mut late = 0;
    for executor in &executors {
        for pull in executor.pulls() {
            let Some((killed_at, got)) = cancelled.get(&pull.id) else { continue };
            let after = pull.at - killed_at;
            if after > LIMIT_S {
                late += 1;
                record.line(format!(
                    "load {} began at executor {} {after:.3} s after its client had written KILL QUERY (which got: {got}); {:?}",
                    pull.id, executor.uid, pull.ended
                ));
            }
        }
    }
    let ran: usize = executors.iter().map(|e| e.pulls().len()).sum();
    record.line(format!("{} loads were cancelled, {ran} loads reached executors", cancelled.len()));
    if cancelled.is_empty() || ran == 0 {
        case.finish(NOT_RUN, "no load was cancelled, or none ran");
    }
    if late == 0 {
        case.finish(HELD, "no load began after its client had cancelled it");
    }
    case.finish(BROKEN, &format!("{late} loads began after their clients had cancelled them"));
}

/// Asks for one load; one that runs out of patience cancels as the protocol says: KILL QUERY in a new session, and its
/// own connection closed half a second later.
fn ask_load(
    mut client: Client,
    to: SocketAddr,
    key: u64,
    patience: Option<f64>,
    record: &Record,
    cancelled: &Cancelled,
) {
    let rid = new_id();
    let sql = format!(
        "/* method=load,rid={rid:016x},budget={},est=800,space=96,obj={key:016x} */ INSERT INTO sales_{}.orders SELECT a, b, c FROM staging.rows",
        BUDGET.as_millis(),
        key % 97
    );
    record.line(format!("client: asks load {rid:016x} of key {key:016x}"));
    if !client.ask(&sql) {
        return record.line(format!("client: load {rid:016x}: connection ended"));
    }
    let wait = patience.map_or(BUDGET, Duration::from_secs_f64);
    let got = client.answer(wait);
    if patience.is_none() || got != Got::Nothing {
        return record.line(format!("client: load {rid:016x} got: {got}"));
    }
    let Some(mut killer) = Client::connect(to) else {
        return record.line(format!("client: load {rid:016x}: no session for its KILL QUERY"));
    };
    killer.ask(&format!("KILL QUERY {}", client.id));
    let killed_at = record.now();
    let killed = killer.answer(Duration::from_millis(400));
    record.line(format!(
        "client: load {rid:016x} given up, KILL QUERY {} at {killed_at:.3} got: {killed}",
        client.id
    ));
    record.sleep_until(killed_at + 0.5);
    // What it got meanwhile: an answer to the cancelled request means that it did not wait in vain.
    let got = client.answer(Duration::from_millis(1));
    record.line(format!("client: load {rid:016x} closes its connection; before that it got: {got}"));
    lock(cancelled).insert(format!("{rid:016x}"), (killed_at, killed));
}
