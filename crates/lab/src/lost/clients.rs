//! Clients of one dispatcher: each request waits for its answer, or its client leaves at some point of it.

use rand::Rng;
use rand::rngs::StdRng;
use standins::scripted::{Client, Got};
use std::net::{Shutdown, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

/// How long a client waits for its answer.
pub const BUDGET: Duration = Duration::from_millis(4_000);
/// Longer than any answer may take.
const PATIENCE: Duration = Duration::from_secs(8);
/// Requests come this far apart in the mean.
const PACE_MS: u64 = 60;
/// A client that leaves does so within this time.
const LEAVES_WITHIN_MS: u64 = 120;

/// After its KILL a client closes its own connection.
const CLOSES_AFTER: Duration = Duration::from_millis(500);

/// What became of a request, as its client saw it.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// The rows, and when they were here.
    Served(Vec<Vec<String>>, Instant),
    /// An error, and when it was here.
    Refused(Instant),
    /// The connection ended without an answer.
    Closed,
    /// Its client left: by then, at the latest, on a busy machine.
    Left(Instant),
}

/// A request.
#[derive(Debug, Clone)]
pub struct Asked {
    /// Its id.
    pub request: u64,
    /// When it was written.
    pub at: Instant,
    /// What became of it.
    pub end: End,
    /// Whether something came after its one answer.
    pub twice: bool,
}

/// Asks one request after the other until the end, each on a connection of its own.
pub fn ask_until(dispatcher: SocketAddr, end: Instant, name: u64, mut rng: StdRng) -> Vec<Asked> {
    let mut all = Vec::new();
    for n in 1.. {
        thread::sleep(Duration::from_millis(rng.random_range(1..2 * PACE_MS)));
        if Instant::now() >= end {
            break;
        }
        let request = (name + 1) << 32 | n;
        let connect = Client::dials(dispatcher, "SET NAMES utf8mb4", PATIENCE, PATIENCE);
        let Some(mut client) = connect else { continue };
        if client.got() != Got::Ok {
            continue;
        }
        all.extend(ask(dispatcher, &mut client, request, &mut rng));
    }
    all
}

/// Asks one request, and notes what became of it; `None` if its connection was over before it was written.
fn ask(dispatcher: SocketAddr, client: &mut Client, request: u64, rng: &mut StdRng) -> Option<Asked> {
    let class = if rng.random_range(0..5) == 0 { "load" } else { "read" };
    let (budget, group) = (BUDGET.as_millis(), rng.random_range(0..200));
    let sql = format!(
        "/* method={class},rid={request:016x},budget={budget},est=40.0,space=9 */ SELECT a FROM sales_{group}.t"
    );
    let at = Instant::now();
    client.try_ask(&sql).ok()?;
    let leaves = Duration::from_millis(rng.random_range(0..LEAVES_WITHIN_MS));
    let mut twice = false;
    let end = match rng.random_range(0..6) {
        0 => {
            thread::sleep(leaves);
            // What the dispatcher has closed already is left all the same.
            let _ = client.stream.shutdown(Shutdown::Both);
            End::Left(Instant::now())
        }
        1 => {
            thread::sleep(leaves);
            let _killer = Client::writes(dispatcher, &format!("KILL QUERY {}", client.id));
            let left = Instant::now();
            thread::sleep(CLOSES_AFTER);
            End::Left(left)
        }
        2 => {
            let _ = client.stream.shutdown(Shutdown::Write);
            End::Left(Instant::now())
        }
        _ => {
            let end = match client.got() {
                Got::Rows(rows) => End::Served(rows, Instant::now()),
                Got::Error(..) => End::Refused(Instant::now()),
                Got::Ok | Got::Closed => End::Closed,
            };
            twice = client.try_ask("SET NAMES utf8mb4").is_ok()
                && matches!(client.got(), Got::Rows(_) | Got::Error(..));
            end
        }
    };
    Some(Asked { request, at, end, twice })
}
