//! One run: calm, outage, return, and the accounts of it.

use super::client::client;
use super::{Counters, DISPATCHERS, EXECUTORS, Fault, Outcome, STRENGTH, Shape};
use crate::daemon::Daemon;
use standins::fragile::Fragile;
use standins::scripted::{Launch, SETTINGS, target};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

pub(super) fn run(
    program: &Path,
    dir: &Path,
    module: bool,
    ignoring: u64,
    shape: Shape,
) -> Result<Outcome, Fault> {
    let _ = std::fs::remove_dir_all(dir);
    std::fs::create_dir_all(dir)?;
    let own = dir.join("options.hcl");
    std::fs::write(&own, if module { "retry_storms {}\n" } else { "" })?;
    let mut executors: Vec<Option<Fragile>> = Vec::new();
    for _ in 0..EXECUTORS {
        executors.push(Some(Fragile::start("127.0.0.1:0", STRENGTH, false)?));
    }
    let at: Vec<SocketAddr> = executors.iter().flatten().map(|m| m.executor.address).collect();
    let uids: Vec<String> = (0..EXECUTORS).map(|i| format!("s-{i:08x}")).collect();
    let known: Vec<(&str, SocketAddr)> = uids.iter().map(String::as_str).zip(at.iter().copied()).collect();
    let feed = standins::feed::Feed::at("127.0.0.1:0", 1)?;
    let mut launch = Launch::new(program, dir).with(&["--settings", &own.display().to_string()]);
    launch.sockets = 4_096;
    let shared = format!("\"balancers\":{DISPATCHERS}");
    launch.settings =
        SETTINGS.replace("\"balancers\":1", &shared).replace("\"rampTime\":10", "\"rampTime\":5");
    let config = launch.config(feed.address, &known);
    let daemons: Vec<Daemon> =
        (0..DISPATCHERS).map(|_| Daemon::start(&launch, &config)).collect::<Result<_, _>>()?;
    let c = Arc::new(Counters {
        begun: Instant::now(),
        served: Mutex::default(),
        asked: AtomicU64::new(0),
        refused: AtomicU64::new(0),
        without_backoff: AtomicU64::new(0),
        failed: AtomicU64::new(0),
        lost: AtomicU64::new(0),
        stop: AtomicBool::new(false),
    });
    let ids = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for who in 0..shape.clients {
        let (to, c, ids) = (daemons[who as usize % DISPATCHERS].address, c.clone(), ids.clone());
        let ignores = who * 100 / shape.clients < ignoring;
        let small = thread::Builder::new().stack_size(128 * 1024);
        clients.push(small.spawn(move || client(to, who, ignores, &c, &ids))?);
    }
    thread::sleep(shape.calm);
    let calm = (shape.calm.as_millis() / 100) as usize;
    executors.iter_mut().for_each(|m| drop(m.take()));
    thread::sleep(shape.outage);
    let back = c.begun.elapsed();
    // The list tells of the new start: the dispatchers know that they are cold.
    let boot = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?.as_millis();
    let mut outcome = Outcome::default();
    let mut ran = 0;
    for (m, at) in executors.iter_mut().zip(&at) {
        *m = Some(restart(*at)?);
    }
    let boots = |uid: &String, at: &SocketAddr| {
        target(uid, *at, "up").replace("\"boot_ms\":0", &format!("\"boot_ms\":{boot}"))
    };
    feed.tell(false, &uids.iter().zip(&at).map(|(u, a)| boots(u, a)).collect::<Vec<_>>());
    let served_before: u64 = c.served.lock().unwrap_or_else(PoisonError::into_inner).iter().sum();
    let end = Instant::now() + shape.after;
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(50));
        for m in &mut executors {
            if m.as_ref().is_some_and(Fragile::fallen) {
                outcome.fallen += 1;
                ran += m.take().map_or(0, |m| m.executor.pulls().len() as u64);
            }
        }
    }
    c.stop.store(true, Ordering::SeqCst);
    for t in clients {
        if t.join().is_err() {
            c.lost.fetch_add(1, Ordering::SeqCst);
        }
    }
    outcome.run = ran + executors.iter().flatten().map(|m| m.executor.pulls().len() as u64).sum::<u64>();
    outcome.served = c.served.lock().unwrap_or_else(PoisonError::into_inner).clone();
    outcome.wasted = outcome.run.saturating_sub(outcome.served.iter().sum::<u64>() - served_before);
    let of = |n: &AtomicU64| n.load(Ordering::SeqCst);
    (outcome.asked, outcome.refused, outcome.failed) = (of(&c.asked), of(&c.refused), of(&c.failed));
    (outcome.lost, outcome.without_backoff) = (of(&c.lost), of(&c.without_backoff));
    // The first second is of clients that start.
    let whole = |from: usize| outcome.served.iter().skip(from).take(10).sum::<u64>() as f64;
    outcome.calm_per_s =
        (20..calm.saturating_sub(10)).map(whole).sum::<f64>() / calm.saturating_sub(30).max(1) as f64;
    let first = (back.as_millis() / 100) as usize;
    let good =
        (first..outcome.served.len().saturating_sub(10)).find(|s| whole(*s) >= 0.9 * outcome.calm_per_s);
    outcome.back_s = good.map(|s| (s - first) as f64 / 10.0 + 1.0);
    let ended: Vec<bool> = daemons.into_iter().map(Daemon::stop).collect();
    if ended.contains(&false) {
        return Err("a dispatcher did not end well".into());
    }
    std::fs::remove_dir_all(dir)?;
    Ok(outcome)
}

fn restart(at: SocketAddr) -> Result<Fragile, Fault> {
    for _ in 0..300 {
        match Fragile::start(&at.to_string(), STRENGTH, true) {
            Ok(m) => return Ok(m),
            // The listener of the one before goes with its thread.
            Err(_) => thread::sleep(Duration::from_millis(10)),
        }
    }
    Err(format!("{at} can't be had again").into())
}
