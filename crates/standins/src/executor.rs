//! An executor that works by itself.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// The longest statement taken, in bytes.
const LONGEST: usize = 64 * 1024;

/// A request that reached an executor whole.
#[derive(Debug, Clone)]
pub struct Pull {
    /// Its id, as the dispatcher wrote it.
    pub id: String,
    /// Its fields: class, time, memory, priority.
    pub fields: String,
    /// The statement.
    pub statement: String,
    /// When its first byte was here.
    pub at: SystemTime,
    /// When it had its answer; none while it runs, or if it was killed or cut off.
    pub answered: Option<SystemTime>,
    /// When it was over in any way; none while it runs.
    pub ended: Option<SystemTime>,
}

impl Pull {
    /// The name of its class.
    pub fn class(&self) -> &str {
        self.fields.split(',').find_map(|f| f.strip_prefix("kind=")).unwrap_or("")
    }
}

/// How long an executor takes for a request, by its class and its statement.
pub type Work = dyn Fn(&Pull) -> Duration + Send + Sync;

struct Shared {
    work: Box<Work>,
    pulls: Mutex<Vec<Pull>>,
    streams: Mutex<BTreeMap<u64, TcpStream>>,
    running: AtomicU64,
    closed: AtomicBool,
    echo: bool,
}

/// An executor: it takes connections until it is dropped.
pub struct Executor {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

fn bad(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Executor {
    /// Listens on a port of its own; `work` tells how long a request takes.
    pub fn new(work: impl Fn(&Pull) -> Duration + Send + Sync + 'static) -> io::Result<Executor> {
        Executor::at("127.0.0.1:0", false, work)
    }

    /// Listens on an address; with `echo` every command is printed.
    pub fn at(
        address: &str,
        echo: bool,
        work: impl Fn(&Pull) -> Duration + Send + Sync + 'static,
    ) -> io::Result<Executor> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            work: Box::new(work),
            pulls: Mutex::default(),
            streams: Mutex::default(),
            running: AtomicU64::new(0),
            closed: AtomicBool::new(false),
            echo,
        });
        let all = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if all.closed.load(Ordering::SeqCst) {
                    break;
                }
                let (Ok(stream), all) = (stream, all.clone()) else { continue };
                thread::spawn(move || connection(stream, &all));
            }
        });
        Ok(Executor { address, shared })
    }

    /// All that reached it so far, in order.
    pub fn pulls(&self) -> Vec<Pull> {
        lock(&self.shared.pulls).clone()
    }

    /// Requests that run now.
    pub fn running(&self) -> u64 {
        self.shared.running.load(Ordering::SeqCst)
    }

    /// Dies: what is open is cut off, and nothing is taken any more.
    pub fn die(&self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        for s in std::mem::take(&mut *lock(&self.shared.streams)).into_values() {
            let _ = s.shutdown(Shutdown::Both);
        }
        // The listener wakes to see that it is over.
        let _ = TcpStream::connect(self.address);
    }
}

impl Drop for Executor {
    fn drop(&mut self) {
        self.die();
    }
}

/// What the threads of one connection share: the way back, and what was killed.
struct Back {
    to: Mutex<TcpStream>,
    killed: Mutex<BTreeSet<String>>,
    /// The connection is over, and with it all that was open on it.
    over: AtomicBool,
}

fn connection(stream: TcpStream, all: &Arc<Shared>) {
    let Ok(for_death) = stream.try_clone() else { return };
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    lock(&all.streams).insert(number, for_death);
    if let Err(e) = commands(stream, all)
        && all.echo
    {
        println!("connection over: {e}");
    }
    // Kept no longer than it lasts: a long measurement ran out of descriptors.
    lock(&all.streams).remove(&number);
}

fn commands(stream: TcpStream, all: &Arc<Shared>) -> io::Result<()> {
    // An answer in two pieces would wait for the acknowledgement of the first, some 40 ms.
    stream.set_nodelay(true)?;
    let mut from = BufReader::new(stream.try_clone()?);
    let back =
        Arc::new(Back { to: Mutex::new(stream), killed: Mutex::default(), over: AtomicBool::new(false) });
    let done = serve(&mut from, all, &back);
    back.over.store(true, Ordering::SeqCst);
    done
}

fn serve(from: &mut BufReader<TcpStream>, all: &Arc<Shared>, back: &Arc<Back>) -> io::Result<()> {
    let mut line = String::new();
    while from.read_line(&mut line)? > 0 {
        let at = SystemTime::now();
        let words: Vec<&str> = line.split_whitespace().collect();
        if all.echo {
            println!("engine: {}", words.join(" "));
        }
        match words[..] {
            ["METER" | "ECHO", tag] => {
                let running = all.running.load(Ordering::SeqCst);
                let report = format!("{tag} UP gauges=inflight:{running};x0:0.0;x1:0.0 0\r\n\r\n");
                lock(&back.to).write_all(report.as_bytes())?;
            }
            ["PULL", id, fields, length] => {
                let length = length.parse().ok().filter(|n| *n <= LONGEST).ok_or_else(|| bad("length"))?;
                let mut statement = vec![0; length + 2];
                from.read_exact(&mut statement)?;
                let statement = String::from_utf8_lossy(&statement[..length]).into_owned();
                let (id, fields) = (id.to_string(), fields.to_string());
                run(Pull { id, fields, statement, at, answered: None, ended: None }, all, back);
            }
            ["KILL", id] => {
                lock(&back.killed).insert(id.to_string());
            }
            _ => {} // BOOST, SCROLL and DISCARD have nothing left to do here
        }
        line.clear();
    }
    Ok(())
}

/// Runs a request on a thread of its own: an executor runs all that it is handed at once.
fn run(pull: Pull, all: &Arc<Shared>, back: &Arc<Back>) {
    let end = Instant::now() + (all.work)(&pull);
    let (all, back) = (all.clone(), back.clone());
    all.running.fetch_add(1, Ordering::SeqCst);
    let place = {
        let mut pulls = lock(&all.pulls);
        pulls.push(pull.clone());
        pulls.len() - 1
    };
    thread::spawn(move || {
        let mut killed = false;
        while !killed && Instant::now() < end {
            thread::sleep(end.saturating_duration_since(Instant::now()).min(Duration::from_millis(5)));
            killed = lock(&back.killed).contains(&pull.id) || back.over.load(Ordering::SeqCst);
        }
        all.running.fetch_sub(1, Ordering::SeqCst);
        lock(&all.pulls)[place].ended = Some(SystemTime::now());
        if killed {
            return;
        }
        let text = pull.statement.replace(['\t', '\n', '\r'], " ");
        let rows = format!("fields\t{}\t1\nstatement\t{text}\t2\n", pull.fields);
        let answer = format!("{} OK pages=1 {}\r\n{rows}\r\n", pull.id, rows.len());
        // The next load of its key may be on its way before this thread runs on.
        let ended = SystemTime::now();
        if lock(&back.to).write_all(answer.as_bytes()).is_ok() {
            lock(&all.pulls)[place].answered = Some(ended);
        }
    });
}

#[cfg(test)]
mod tests;
