//! One dispatcher. A new configuration with SIGHUP moves discovery to a coordinator that is slow: the first line
//! on each connection comes 2.5 s after `follow`, all others at once. An executor begins to drain meanwhile, and ends
//! 20 s later.

use crate::standins::*;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// The new coordinator writes its first line this long after `follow`.
const SLOW_MS: u64 = 2_500;
/// What the coordinator has to tell counts as told at the latest this long after it was in the coordinator.
const TOLD_AFTER_MS: u64 = 7_000;
/// Grace of a drain (`stopSendingWithin`), and the slack of every time limit on sockets.
const GRACE_MS: u64 = 2_000;
const SLACK_MS: u64 = 50;
/// The executor's process ends this long after its drain began.
const ENDS_AFTER_MS: u64 = 20_000;
/// How long a load runs.
const LOAD_MS: u64 = 2_000;

pub fn case(recorder: &Recorder, folder: &Folder) -> io::Result<i32> {
    let seen = Arc::new(Seen::default());
    let work = Arc::new(|pull: &Pull| if pull.fields.contains("carga") { LOAD_MS } else { 60 });
    let executors: Vec<Executor> = (0..3)
        .map(|n| Executor::start(&format!("m-0000000{}", n + 1), recorder, &seen, work.clone()))
        .collect::<io::Result<_>>()?;
    let entries: Vec<String> = executors.iter().map(|e| e.entry("up", "sala-norte")).collect();
    let old = Coordinator::start(recorder, "old", 1, 0)?;
    let new = Coordinator::start(recorder, "new", 1, if trouble() { SLOW_MS } else { 0 })?;
    let listen = free_address()?;
    let config_file = folder.file("n1.json");
    std::fs::write(&config_file, config("n1", listen, old.address, &entries, &settings(1)))?;
    let mut dispatcher = Dispatcher::start("n1", listen, &config_file, folder, &[])?;
    dispatcher.wait_ready()?;
    sleep_ms(2_000);

    // Clients ask all the time, each request on a new connection.
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (over, recorder) = (over.clone(), recorder.clone());
            thread::spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    let sql = format!(
                        "/* method=consulta-corta,rid={},budget=5000,est=60,space=16 */ \
                         SELECT day, count(*), max(note) FROM ventas_3.partidas GROUP BY day",
                        new_id()
                    );
                    let reply = Client::connect(listen).map(|mut c| c.query(&sql));
                    if !matches!(reply, Ok(Reply::Served(_))) {
                        recorder.note(format!(
                            "client: {}",
                            reply.map_or_else(|e| e.to_string(), |r| r.to_string())
                        ));
                    }
                    sleep_ms(20);
                }
            })
        })
        .collect();
    let loads: Vec<_> = (0..4)
        .map(|n| {
            let (over, recorder) = (over.clone(), recorder.clone());
            thread::spawn(move || {
                let mut failed = Vec::new();
                while !over.load(Ordering::SeqCst) {
                    let rid = new_id();
                    let sql = format!(
                        "/* method=carga-noche,rid={rid},budget=20000,est=4000,space=96,obj=000000000000000{n} */ \
                         INSERT INTO ventas_{n}.resultados SELECT * FROM staging.noche_{rid}"
                    );
                    let reply = Client::connect(listen).map_or_else(|e| Reply::Lost(e.to_string()), |mut c| c.query(&sql));
                    recorder.note(format!("client: load {rid}: {reply}"));
                    if matches!(reply, Reply::Failed(_) | Reply::Lost(_)) {
                        failed.push(rid);
                    }
                    sleep_ms(if matches!(reply, Reply::Refused(_)) { 1_000 } else { 100 });
                }
                failed
            })
        })
        .collect();
    sleep_ms(2_000);

    // The configuration is replaced, SIGHUP follows, and the old coordinator ends.
    let next = folder.file("next.json");
    std::fs::write(&next, config("n1", listen, new.address, &entries, &settings(1)))?;
    std::fs::rename(&next, &config_file)?;
    recorder.note("SIGHUP");
    dispatcher.signal("HUP")?;
    old.retire();
    sleep_ms(500);

    let event = new.change(&[executors[0].entry("draining", "sala-norte")]);
    let drained_at = recorder.note(format!("event {event}: {} drains and stays up", executors[0].uid));
    sleep_ms(ENDS_AFTER_MS);
    recorder.note(format!("{} ends", executors[0].uid));
    executors[0].end();
    sleep_ms(1_000);
    over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let failed: Vec<String> = loads.into_iter().filter_map(|client| client.join().ok()).flatten().collect();
    if let Some(status) = dispatcher.has_exited() {
        recorder.note(format!("the dispatcher ended: {status}"));
        return Ok(COULD_NOT_RUN);
    }

    let pulls = seen.pulls.lock().map_or(Vec::new(), |pulls| pulls.clone());
    let allowed_until = drained_at + TOLD_AFTER_MS + GRACE_MS + SLACK_MS;
    let to_drained = pulls.iter().filter(|p| p.executor == executors[0].uid);
    let late: Vec<&Pull> = to_drained.filter(|p| p.at_ms > allowed_until).collect();
    let lost = late.iter().filter(|p| failed.contains(&p.rid)).count();
    let text = format!(
        "{} requests were sent to {} more than 9.05 s after it began to drain, the last one {} ms after; {lost} loads \
         of these failed with the executor's end",
        late.len(),
        executors[0].uid,
        late.last().map_or(0, |p| p.at_ms - drained_at)
    );
    recorder.note(&text);
    println!("{text}; none may be sent");
    Ok(if late.is_empty() { HELD } else { BROKEN })
}
