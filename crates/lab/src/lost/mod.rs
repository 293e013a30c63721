//! Requests that are lost in large fleets: real dispatchers with long lists and little processor time, clients that leave
//! at every point of a request, and a count of what must not be.
//!
//! - [`executors`]: thousands of listening executors on one thread, which note when each attempt began.
//! - [`clients`]: clients that wait, close, or send a KILL, and note when.
//! - [`pauses`]: dispatchers stopped and continued over and over.
//! - [`check`]: what the notes come to.

mod check;
mod clients;
mod executors;
pub(crate) mod pauses;

use crate::fleet::Failure;
use crate::scale::Table;
use check::Count;
use executors::HollowExecutors;
use pauses::Pauses;
use rand::SeedableRng;
use rand::rngs::StdRng;
use standins::feed::Feed;
use standins::scripted::{Dispatcher, Launch};
use std::path::Path;
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The settings: two classes, reports by probes, cold executors.
const SETTINGS: &str = r#"{"areas":["a"],"balancers":BALANCERS,"kinds":["k"],"domain":{"kindCores":[8],"memoryByKindMb":[16384],"parallelism":[1,1],"grantCap":0.4,"memoryHeeded":true,"takesPriority":true},"permissions":{"cancel":true,"maxAttempts":4,"mayDuplicate":false,"probes":true,"retryAfter":true,"maxRetryAfter":1.0,"dialTimeout":0.25},"costs":{"probe":0.01,"handshake":0.01},"report":{"how":"on_probe"},"requestClasses":[{"name":"read","promise":1.0,"hardLimit":4.0,"effect":"read_like"},{"name":"load","promise":1.0,"hardLimit":4.0,"effect":"non_idempotent"}],"rules":{"stopSendingWithin":1,"coldFrom":0.3,"rampTime":15,"fall":2,"fallMultiple":3},"zone":"a"}"#;
/// Clients in all, and at most of each dispatcher: a dispatcher of a large fleet sees little traffic, and the machine has
/// to be able to run them all.
const CLIENTS: usize = 400;
const MOST_CLIENTS: usize = 8;
/// Descriptors of a dispatcher: all connections of all of them end in this one process.
const SOCKETS: usize = 128;
/// Executors that change with each event of the list, and how often one comes.
const CHANGED: usize = 8;
const PACE: Duration = Duration::from_millis(200);
/// How many in a hundred of the time a dispatcher is stopped.
const PAUSED: u32 = 90;

/// The size of one run.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Dispatchers.
    pub dispatchers: usize,
    /// Executors on the list.
    pub executors: usize,
    /// How many in a hundred of them have just started.
    pub cold_percent: usize,
    /// How many in a hundred of the time a dispatcher is stopped.
    pub paused_percent: u32,
    /// How long clients ask.
    pub span: Duration,
}

const COLUMNS: [&str; 13] = [
    "dispatchers",
    "executors",
    "cold_percent",
    "paused_percent",
    "requests",
    "served",
    "begun_late",
    "unanswered",
    "answered_late",
    "answered_wrong",
    "deadline_over",
    "worst_begun_ms",
    "longest_pause_ms",
];

/// Plays runs of the sizes and tells whether nothing was lost; their table goes into the folder, if one is named.
pub fn prove(program: &Path, results: Option<&Path>, seed: u64, sizes: &[Size]) -> Result<bool, Failure> {
    let folder = std::env::temp_dir().join(format!("ottercroft-lost-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let mut table = Table::new(&COLUMNS);
    let mut kept = true;
    for size in sizes {
        let count = run(program, &folder, *size, seed)?;
        kept &= count.lost() == 0;
        table.row(&row(size, &count));
        println!("lost: {size:?} {count:?}");
    }
    let _ = std::fs::remove_dir_all(&folder);
    if let Some(results) = results {
        std::fs::create_dir_all(results)?;
        table.write(&results.join("lost.csv"))?;
    }
    println!("lost: runs={} seed={seed} kept={kept}", sizes.len());
    Ok(kept)
}

fn row(size: &Size, count: &Count) -> [f64; 13] {
    [
        size.dispatchers as f64,
        size.executors as f64,
        size.cold_percent as f64,
        f64::from(size.paused_percent),
        count.requests as f64,
        count.served as f64,
        count.begun_late as f64,
        count.unanswered as f64,
        count.answered_late as f64,
        count.answered_wrong as f64,
        count.deadline_over as f64,
        count.worst_begun_ms,
        count.longest_pause_ms,
    ]
}

/// Lists of 60 to 3,200 before one dispatcher, then before many.
pub fn sizes(slice: bool) -> Vec<Size> {
    let size = |dispatchers, executors, cold_percent, paused_percent, seconds| Size {
        dispatchers,
        executors,
        cold_percent,
        paused_percent,
        span: Duration::from_secs(seconds),
    };
    if slice {
        return vec![size(1, 60, 50, PAUSED, 5), size(1, 3_200, 50, PAUSED, 5)];
    }
    let one = [60, 240, 960, 3_200].map(|executors| size(1, executors, 50, PAUSED, 10));
    let many = [(20, 3_200, 50), (100, 3_200, 50), (300, 3_200, 50), (300, 3_200, 0), (300, 60, 50)];
    let many = many.map(|(dispatchers, executors, cold)| size(dispatchers, executors, cold, PAUSED, 15));
    one.into_iter().chain(many).collect()
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

fn entry(n: usize, address: std::net::SocketAddr, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"s-{n:08x}","endpoint":"{address}","az":"a","model":"k","pod_group":0,"state":"{state}","capacity_hint":1,"boot_ms":{boot_ms}}}"#
    )
}

fn run(program: &Path, folder: &Path, size: Size, seed: u64) -> Result<Count, Failure> {
    let executors = HollowExecutors::start(size.executors)?;
    let feed = Feed::at("127.0.0.1:0", 1)?;
    let mut launch = Launch::new(program, folder);
    launch.settings = SETTINGS.replace("BALANCERS", &size.dispatchers.to_string());
    launch.sockets = SOCKETS;
    launch.log = Some("error,ottercroft::net::setup=info".into());
    let booted = unix_ms();
    let boot_ms = |n: usize| if n % 100 < size.cold_percent { booted } else { 0 };
    let known: Vec<String> =
        executors.addresses.iter().enumerate().map(|(n, at)| entry(n, *at, "up", boot_ms(n))).collect();
    let config = launch.config_of(feed.address, &known);
    let dispatchers: Vec<Dispatcher> = (0..size.dispatchers).map(|_| launch.serving(&config)).collect();
    let pauses = Pauses::start(dispatchers.iter().map(|d| d.child.id()).collect(), size.paused_percent);
    let end = Instant::now() + size.span;
    let asked = thread::scope(|scope| {
        let of_each = (CLIENTS / size.dispatchers).clamp(1, MOST_CLIENTS);
        let each = dispatchers.iter().flat_map(|d| vec![d.address; of_each]);
        let clients: Vec<_> = (0..)
            .zip(each)
            .map(|(n, address)| {
                let rng = StdRng::seed_from_u64(seed ^ n << 20);
                scope.spawn(move || clients::ask_until(address, end, n, rng))
            })
            .collect();
        change_list(&feed, &executors, size, end);
        clients.into_iter().flat_map(|c| c.join().unwrap_or_default()).collect::<Vec<_>>()
    });
    let longest_pause = pauses.longest();
    drop(pauses);
    let begun = Arc::clone(&executors.begun);
    drop((dispatchers, executors));
    let begun = begun.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(Count { longest_pause_ms: longest_pause.as_secs_f64() * 1e3, ..check::count(&asked, &begun) })
}

/// Executors drain and start anew, some at a time, as in a release.
fn change_list(feed: &Feed, executors: &HollowExecutors, size: Size, end: Instant) {
    let mut next = 0;
    while Instant::now() + PACE < end {
        thread::sleep(PACE);
        let changed: Vec<String> = (0..CHANGED.min(size.executors / 10))
            .map(|k| (next + k) % size.executors)
            .map(|n| entry(n, executors.addresses[n], "up", unix_ms()))
            .collect();
        next += CHANGED;
        feed.tell(false, &changed);
    }
}
