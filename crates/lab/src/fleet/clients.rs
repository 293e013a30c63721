//! Clients that keep the name of what they ask over all their tries, and the accounts of what they got.

use super::world::Doors;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use standins::scripted::{Client, Got};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime};

/// How long a client waits for the answer to one try, in milliseconds.
const BUDGET_MS: u64 = 4_000;
/// How long it goes on asking in all, unless it is told otherwise.
const PATIENCE: Duration = Duration::from_secs(15);
/// An answer may be read this much after the budget: the client's own clock and threads.
const SLACK: Duration = Duration::from_millis(300);
/// One in so many requests is a load.
const LOADS: u64 = 3;

/// What came of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Its name over all tries.
    pub ask: u64,
    /// It must not run twice.
    pub load: bool,
    /// Its tries.
    pub tries: u32,
    /// When each try was asked, and whether it was refused.
    pub asked: Vec<Asked>,
    /// Tries whose dispatcher was gone or ended the connection.
    pub lost: u32,
    /// Tries that had no answer in their time though the connection stood.
    pub mute: u32,
    /// How it ended; none if it never did.
    pub end: Option<Ended>,
    /// How many answers that end a request it got.
    pub answers: u32,
    /// Bytes came after an answer.
    pub second: bool,
    /// How long it took.
    pub took: Duration,
    /// When it ended, or was given up.
    pub at: SystemTime,
}

/// A try, as its client saw it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Asked {
    /// The name of the try.
    pub rid: u64,
    /// Before it was written, or its connection dialled.
    pub at: SystemTime,
    /// When it was refused with a time to come back, if it was.
    pub refused: Option<SystemTime>,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// With its own rows.
    Served,
    /// With an error that it may have run.
    Failed,
}

/// Clients that ask.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    accounts: Arc<Mutex<Vec<Account>>>,
    clients: Vec<JoinHandle<()>>,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// What clients do.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// How many there are.
    pub clients: u32,
    /// From one request of a client to its next, at least.
    pub pause: Duration,
    /// For their choices.
    pub seed: u64,
    /// How long one goes on asking for a request.
    pub patience: Duration,
}

impl Load {
    /// So many clients, with what is common.
    pub fn new(clients: u32, pause: Duration, seed: u64) -> Load {
        Load { clients, pause, seed, patience: PATIENCE }
    }
}

impl Traffic {
    /// Starts the clients.
    pub fn start(doors: &Doors, load: Load) -> Traffic {
        let (stop, accounts) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let client = |n: u32| {
            let (doors, stop, accounts) = (doors.clone(), stop.clone(), accounts.clone());
            thread::spawn(move || {
                let mut rng = StdRng::seed_from_u64(load.seed ^ u64::from(n) << 32);
                thread::sleep(load.pause.mul_f64(rng.random()));
                while !stop.load(Ordering::SeqCst) {
                    let begun = Instant::now();
                    let account = one(&doors, &mut rng, &load);
                    accounts.lock().unwrap_or_else(PoisonError::into_inner).push(account);
                    thread::sleep(load.pause.saturating_sub(begun.elapsed()));
                }
            })
        };
        Traffic { clients: (0..load.clients).map(client).collect(), stop, accounts }
    }

    /// Lets every client come to its end, and tells the accounts.
    pub fn stop(self) -> Vec<Account> {
        self.stop.store(true, Ordering::SeqCst);
        self.clients.into_iter().for_each(|c| drop(c.join()));
        std::mem::take(&mut *self.accounts.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn another(doors: &Doors, rng: &mut StdRng, last: Option<SocketAddr>) -> Option<SocketAddr> {
    let open: Vec<SocketAddr> =
        doors.lock().unwrap_or_else(PoisonError::into_inner).iter().flatten().copied().collect();
    let others: Vec<SocketAddr> = open.iter().copied().filter(|d| Some(*d) != last).collect();
    others.choose(rng).or(open.first()).copied()
}

fn one(doors: &Doors, rng: &mut StdRng, of: &Load) -> Account {
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    let (ask, load, begun) = (n << 8, n % LOADS == 0, Instant::now());
    let mut account = Account {
        ask,
        load,
        tries: 0,
        asked: Vec::new(),
        lost: 0,
        mute: 0,
        end: None,
        answers: 0,
        second: false,
        took: Duration::ZERO,
        at: SystemTime::now(),
    };
    let mut last = None;
    while account.end.is_none() && begun.elapsed() < of.patience {
        let Some(to) = another(doors, rng, last) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        account.tries += 1;
        let name = format!("ask={ask:016x},try={},", account.tries);
        let rid = ask | u64::from(account.tries & 0xff);
        let (class, est, statement) = match load {
            true => ("load", 300, format!("INSERT INTO sales_{}.t VALUES (t{ask:x}t)", n % 9)),
            false => ("read", 200, format!("SELECT t{ask:x}t FROM sales_{}.t", n % 9)),
        };
        let sql = format!(
            "/* method={class},rid={rid:016x},{name}budget={BUDGET_MS},est={est}.0,space=9 */ {statement}"
        );
        let wait = Duration::from_millis(BUDGET_MS) + SLACK;
        let asked = Instant::now();
        account.asked.push(Asked { rid, at: SystemTime::now(), refused: None });
        let Some(mut client) = Client::dials(to, &sql, Duration::from_millis(500), wait) else {
            account.lost += 1;
            last = Some(to);
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        match client.got() {
            Got::Rows(rows) if rows.iter().flatten().any(|cell| cell.contains(&format!("t{ask:x}t"))) => {
                account.answers += 1;
                account.end = Some(Ended::Served);
            }
            Got::Error(1203 | 1040, text) => {
                account.asked.iter_mut().last().into_iter().for_each(|a| a.refused = Some(SystemTime::now()));
                let ms = text.split_once("backoff=").and_then(|(_, t)| {
                    t.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
                });
                // Spread, so that all who were told the same do not come at once.
                let ms: u64 = ms.unwrap_or(200);
                thread::sleep(Duration::from_millis(rng.random_range(ms / 2..=ms.max(1))));
            }
            Got::Error(..) => {
                account.answers += 1;
                account.end = Some(Ended::Failed);
            }
            Got::Rows(_) | Got::Ok | Got::Closed => {
                match asked.elapsed() >= wait {
                    true => account.mute += 1,
                    false => account.lost += 1,
                }
                last = Some(to);
                continue;
            }
        }
        // Nothing may follow an answer.
        let more = client.stream.set_nonblocking(true).and_then(|()| client.stream.peek(&mut [0]));
        account.second |= matches!(more, Ok(n) if n > 0);
    }
    (account.took, account.at) = (begun.elapsed(), SystemTime::now());
    account
}
