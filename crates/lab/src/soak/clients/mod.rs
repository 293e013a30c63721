//! Clients: open-loop traffic that waits, leaves in every way, writes slowly, and rests on its connections in between.

mod intent;

use super::records::{End, Moment, Process, Request};
use super::world::{World, lock};
use intent::{Intent, Manner};
pub use intent::{answer, statement};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standins::scripted::{Client, Got, query};
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// A client goes so long after its time.
const GOES_AFTER: Duration = Duration::from_millis(500);
/// After its KILL a client closes its own connection.
const CLOSES_AFTER: Duration = Duration::from_millis(500);
/// Clients close connections that are idle for this long.
const IDLE: Duration = Duration::from_secs(4);
/// A slow writer's pieces come this far apart.
const PIECES_APART: Duration = Duration::from_millis(60);
const PIECES: usize = 3;
/// Bursts: how much more comes in them, and how often one begins.
const BURST: f64 = 3.0;
const BURST_EVERY: f64 = 6.0;
const BURST_LENGTH: f64 = 1.0;
/// A connection without an open request.
struct Resting {
    client: Client,
    process: Process,
    since: Instant,
}

/// The clients of one dispatcher, with their idle connections.
#[derive(Default)]
pub struct Clients(Mutex<Vec<Resting>>);

impl Clients {
    /// An idle connection that is still open; the newest first, as drivers have it.
    fn take(&self) -> Option<Resting> {
        let mut resting = lock(&self.0);
        resting.retain(|r| r.since.elapsed() < IDLE);
        while let Some(one) = resting.pop() {
            if is_quiet(&one.client) {
                return Some(one);
            }
        }
        None
    }
}

/// Whether a connection is open, and nothing came on it.
fn is_quiet(client: &Client) -> bool {
    let _ = client.stream.set_nonblocking(true);
    let peeked = client.stream.peek(&mut [0]);
    let _ = client.stream.set_nonblocking(false);
    matches!(peeked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

/// Asks for as long as the day's traffic lasts, each request on a thread of its own.
pub fn traffic(world: &World, clients: &[Clients]) {
    let mut rng = StdRng::seed_from_u64(world.plan.seed ^ 0x7261_6666_6963);
    thread::scope(|scope| {
        while world.now() < world.plan.span {
            let in_burst = world.now().as_secs_f64() % BURST_EVERY < BURST_LENGTH;
            let rate = world.plan.rate * if in_burst { BURST } else { 1.0 };
            let gap = -rng.random::<f64>().max(1e-9).ln() / rate;
            thread::sleep(Duration::from_secs_f64(gap.min(1.0)));
            let dispatcher = rng.random_range(0..world.plan.dispatchers);
            let (intent, clients) = (Intent::draw(world, &mut rng), &clients[dispatcher]);
            scope.spawn(move || ask(world, dispatcher, clients, &intent));
        }
    });
}

/// Asks once, and notes what became of it; nothing if nobody took it.
fn ask(world: &World, dispatcher: usize, clients: &Clients, intent: &Intent) {
    let wanted = world.now();
    let sql = intent.statement();
    let used = clients.take();
    let on_new_connection = used.is_none();
    let (address, now) = world.dispatcher(dispatcher);
    let (mut client, process) = match used {
        Some(mut resting) => {
            if !writes(&mut resting.client, &sql, intent.slowly) {
                return;
            }
            (resting.client, resting.process)
        }
        None => match Client::try_writes(address, &sql) {
            Ok(client) => (client, now),
            Err(_) => return,
        },
    };
    let written = world.now();
    let due = wanted + intent.budget;
    let end = match intent.manner {
        Manner::Waits => waits(world, &mut client, on_new_connection, intent.rid, due),
        Manner::Closes(after) => {
            thread::sleep(after);
            let _ = client.stream.shutdown(Shutdown::Both);
            End::Left(world.now())
        }
        Manner::HalfCloses(after) => {
            thread::sleep(after);
            let _ = client.stream.shutdown(Shutdown::Write);
            End::Left(world.now())
        }
        Manner::Kills(after) => kills(world, &mut client, on_new_connection, address, after),
    };
    let answered = matches!(end, End::Answered(..));
    let more = answered && has_more(&client);
    lock(&world.records).requests.push(Request {
        rid: intent.rid,
        once: intent.class.once,
        key: intent.key,
        process,
        wanted,
        written,
        budget: intent.budget,
        end,
        more,
        on_new_connection,
    });
    if answered && !more {
        lock(&clients.0).push(Resting { client, process, since: Instant::now() });
    }
}

/// Writes a statement, whole or in pieces; false if its connection is over.
fn writes(client: &mut Client, sql: &str, slowly: bool) -> bool {
    if !slowly {
        return client.try_ask(sql).is_ok();
    }
    let bytes = query(sql);
    bytes.chunks(bytes.len().div_ceil(PIECES)).all(|piece| {
        thread::sleep(PIECES_APART);
        client.stream.write_all(piece).is_ok()
    })
}

fn waits(world: &World, client: &mut Client, is_new: bool, rid: u64, due: Moment) -> End {
    let patience = |client: &Client| {
        let left = (due + GOES_AFTER).saturating_sub(world.now()).max(Duration::from_millis(1));
        let _ = client.stream.set_read_timeout(Some(left));
    };
    patience(client);
    let mut got = if is_new { client.login_answer() } else { Got::Ok };
    if got == Got::Ok {
        patience(client);
        got = client.got();
    }
    let now = world.now();
    match answer(&got, rid) {
        Some(answer) => End::Answered(answer, now),
        None if now >= due + GOES_AFTER => End::Unanswered(now),
        None => End::Closed(now),
    }
}

/// Sends a KILL on a connection of its own, and closes half a second later. One that was answered before has not left.
fn kills(world: &World, client: &mut Client, is_new: bool, to: SocketAddr, after: Duration) -> End {
    if is_new && !client.is_let_in() {
        return End::Left(world.now());
    }
    thread::sleep(after);
    let killer = Client::try_writes(to, &format!("KILL QUERY {}", client.id));
    let killed = world.now();
    thread::sleep(CLOSES_AFTER);
    // Nobody may listen any more, or another process that does not know the connection.
    let heeded = killer.is_ok_and(|mut killer| {
        let _ = killer.stream.set_read_timeout(Some(CLOSES_AFTER));
        killer.is_let_in() && killer.got() == Got::Ok
    });
    let _ = client.stream.shutdown(Shutdown::Both);
    End::Left(if heeded { killed } else { world.now() })
}

/// Whether anything came behind an answer; an end is nothing.
fn has_more(client: &Client) -> bool {
    let _ = client.stream.set_nonblocking(true);
    let more = matches!(client.stream.peek(&mut [0]), Ok(1..));
    let _ = client.stream.set_nonblocking(false);
    more
}

/// Whether the day goes on.
pub fn goes_on(world: &World) -> bool {
    !world.over.load(Ordering::SeqCst)
}
