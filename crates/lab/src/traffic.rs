//! Steady traffic, and the accounts of it: what was asked, what was answered, what ran where.

use standins::executor::Pull;
use standins::scripted::{Client, Got};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Every so many requests of a client, one is a load.
const LOADS: u64 = 6;

/// What was counted.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Counts {
    /// Requests asked.
    pub asked: u64,
    /// Answered with their own rows.
    pub served: u64,
    /// Told to come back.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Without an answer, or with one that is not theirs.
    pub lost: u64,
    /// Bytes that came after a final answer.
    pub second: u64,
    /// Refusals that do not say when to come back.
    pub without_backoff: u64,
}

/// Clients that ask and check what they get.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    counts: Arc<Mutex<Counts>>,
    clients: Vec<JoinHandle<()>>,
}

/// Ids are never used twice, not even by two runs against one dispatcher.
static NEXT: AtomicU64 = AtomicU64::new(1);

impl Traffic {
    /// Starts so many clients; each pauses between its requests. Loads have so many keys.
    pub fn start(to: SocketAddr, clients: u32, pause: Duration, keys: u64) -> Traffic {
        let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Counts::default())));
        let client = |n: u32| {
            let (stop, counts) = (stop.clone(), counts.clone());
            thread::spawn(move || one(to, n, pause, keys, &stop, &counts))
        };
        let clients = (0..clients).map(client).collect();
        Traffic { stop, counts, clients }
    }

    /// Lets every client have its last answer, and tells the counts.
    pub fn stop(self) -> Counts {
        self.stop.store(true, Ordering::SeqCst);
        for c in self.clients {
            // A client that failed has lost its answer.
            if c.join().is_err() {
                self.counts.lock().unwrap_or_else(PoisonError::into_inner).lost += 1;
            }
        }
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn one(to: SocketAddr, n: u32, pause: Duration, keys: u64, stop: &AtomicBool, counts: &Mutex<Counts>) {
    let count = |f: &dyn Fn(&mut Counts)| f(&mut counts.lock().unwrap_or_else(PoisonError::into_inner));
    let mut client: Option<Client> = None;
    thread::sleep(pause * (n % 16) / 16);
    while !stop.load(Ordering::SeqCst) {
        let id = NEXT.fetch_add(1, Ordering::SeqCst);
        let sql = match id % LOADS == 0 {
            true => format!(
                "/* method=load,rid={id:016x},budget=15000,est=150.0,space=9,obj={:016x} */ INSERT INTO sales_{}.t VALUES (t{id:x}t)",
                id / LOADS % keys + 1,
                id % 9
            ),
            false => format!(
                "/* method=read,rid={id:016x},budget=15000,est=20.0,space=9 */ SELECT t{id:x}t FROM sales_{}.t",
                id % 9
            ),
        };
        count(&|c| c.asked += 1);
        let mut c = match client.take() {
            Some(mut c) => {
                c.ask(&sql);
                c
            }
            None => Client::asks(to, &sql),
        };
        let (token, begun) = (format!("t{id:x}t"), Instant::now());
        match c.got() {
            Got::Rows(rows) if rows.iter().flatten().any(|cell| cell.contains(&token)) => {
                count(&|c| c.served += 1);
            }
            Got::Error(1203 | 1040, text) => count(&|c| {
                c.refused += 1;
                c.without_backoff += u64::from(!text.contains("backoff="));
            }),
            Got::Error(..) => count(&|c| c.failed += 1),
            Got::Rows(_) | Got::Ok | Got::Closed => {
                count(&|c| c.lost += 1);
                continue;
            }
        }
        thread::sleep(pause.saturating_sub(begun.elapsed()));
        // Nothing may follow a final answer.
        let mut byte = [0];
        let quiet = c.stream.set_nonblocking(true).and_then(|()| c.stream.peek(&mut byte)).is_err();
        if c.stream.set_nonblocking(false).is_err() || !quiet {
            count(&|c| c.second += u64::from(!quiet));
            continue;
        }
        client = Some(c);
    }
}

/// Loads that reached executors more than once.
pub fn run_twice<'a>(pulls: impl Iterator<Item = &'a Pull>) -> u64 {
    let mut times: BTreeMap<&str, u64> = BTreeMap::new();
    pulls.filter(|p| p.class() == "load").for_each(|p| *times.entry(p.statement.as_str()).or_default() += 1);
    times.values().filter(|n| **n > 1).count() as u64
}

/// Loads of one key that ran beside each other; an end is the answer.
pub fn side_by_side<'a>(pulls: impl Iterator<Item = &'a Pull>, key: impl Fn(&Pull) -> u64) -> u64 {
    let mut spans: BTreeMap<u64, Vec<_>> = BTreeMap::new();
    for p in pulls.filter(|p| p.class() == "load") {
        spans.entry(key(p)).or_default().extend(p.answered.map(|end| (p.at, end)));
    }
    let mut both = 0;
    for all in spans.values_mut() {
        all.sort();
        both += all.windows(2).filter(|w| w[1].0 < w[0].1).count() as u64;
    }
    both
}

/// The key of a load that this traffic asked.
pub fn key_of(p: &Pull, keys: u64) -> u64 {
    let token = p.statement.rsplit_once("(t").and_then(|(_, t)| t.split_once('t')).map_or("", |(t, _)| t);
    u64::from_str_radix(token, 16).map_or(0, |id| id / LOADS % keys + 1)
}
