//! Executors that listen by the thousand on a few threads: they answer each request after a while with a row that holds its
//! id, and note when each attempt began.

use crate::fleet::Failure;
use ottercroft::net::event_loop::poll::{Key, Poll};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long a request takes.
const WORK: Duration = Duration::from_millis(40);
/// Threads that serve them.
const THREADS: usize = 4;
/// Sockets that one look takes in: all of them.
const MOST_EVENTS: NonZeroUsize = NonZeroUsize::new(65_536).unwrap();
/// The end is looked for this often.
const LOOK: Duration = Duration::from_millis(100);

/// An attempt that reached an executor.
#[derive(Debug, Clone, Copy)]
pub struct Begun {
    /// When it came, at the earliest: on a busy machine the thread that reads it may be late itself.
    pub at: Instant,
    /// The time that was passed on with it, in milliseconds.
    pub wait_ms: u64,
}

/// Attempts by request.
pub type Attempts = HashMap<u64, Vec<Begun>>;

/// The executors; they end when this is dropped.
pub struct HollowExecutors {
    /// Where each listens.
    pub addresses: Vec<SocketAddr>,
    /// What reached them.
    pub begun: Arc<Mutex<Attempts>>,
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<io::Result<()>>>,
}

impl HollowExecutors {
    /// So many, each on a port of its own.
    pub fn start(count: usize) -> Result<HollowExecutors, Failure> {
        let listeners: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<io::Result<_>>()?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        let (begun, over) = (Arc::<Mutex<Attempts>>::default(), Arc::<AtomicBool>::default());
        let mut shares: Vec<Vec<TcpListener>> = (0..THREADS).map(|_| Vec::new()).collect();
        listeners.into_iter().enumerate().for_each(|(n, listener)| shares[n % THREADS].push(listener));
        let mut threads = Vec::new();
        for share in shares {
            let server = Server::new(share, begun.clone())?;
            let until = over.clone();
            threads.push(std::thread::spawn(move || server.run(&until)));
        }
        Ok(HollowExecutors { addresses, begun, over, threads })
    }
}

impl Drop for HollowExecutors {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        for thread in std::mem::take(&mut self.threads) {
            if let Ok(Err(e)) = thread.join() {
                eprintln!("hollow executors: {e}");
            }
        }
    }
}

struct Connection {
    stream: TcpStream,
    bytes: Vec<u8>,
}

struct Server {
    poll: Poll,
    listeners: HashMap<Key, TcpListener>,
    connections: HashMap<Key, Connection>,
    /// Answers that are due, with their connection and id.
    due: BinaryHeap<Reverse<(Instant, Key, String)>>,
    begun: Arc<Mutex<Attempts>>,
}

impl Server {
    fn new(listeners: Vec<TcpListener>, begun: Arc<Mutex<Attempts>>) -> io::Result<Server> {
        let poll = Poll::new()?;
        let mut by_key = HashMap::new();
        for listener in listeners {
            listener.set_nonblocking(true)?;
            by_key.insert(poll.add(&listener, false)?, listener);
        }
        let (connections, due) = (HashMap::new(), BinaryHeap::new());
        Ok(Server { poll, listeners: by_key, connections, due, begun })
    }

    fn run(mut self, over: &AtomicBool) -> io::Result<()> {
        let mut events = polling::Events::with_capacity(MOST_EVENTS);
        let mut looked = Instant::now();
        while !over.load(Ordering::SeqCst) {
            let next = self.due.peek().map(|Reverse((at, ..))| at.saturating_duration_since(Instant::now()));
            self.poll.wait(&mut events, next.unwrap_or(LOOK).min(LOOK))?;
            // What is ready now came since the look before.
            let since = std::mem::replace(&mut looked, Instant::now());
            for event in events.iter() {
                match self.listeners.get(&event.key) {
                    Some(listener) => accept(listener, &self.poll, &mut self.connections)?,
                    None => self.read(event.key, since),
                }
            }
            self.answer();
        }
        Ok(())
    }

    fn read(&mut self, key: Key, since: Instant) {
        let Some(c) = self.connections.get_mut(&key) else { return };
        let mut piece = [0; 8192];
        match c.stream.read(&mut piece) {
            Ok(n) if n > 0 => c.bytes.extend_from_slice(&piece[..n]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
            _ => {
                if let Some(c) = self.connections.remove(&key) {
                    self.poll.remove(&c.stream);
                }
                return;
            }
        }
        while let Some((used, command)) = self.connections.get(&key).and_then(|c| command(&c.bytes)) {
            self.carry_out(key, command, since);
            if let Some(c) = self.connections.get_mut(&key) {
                c.bytes.drain(..used);
            }
        }
    }

    fn carry_out(&mut self, key: Key, command: Command, at: Instant) {
        let read = Instant::now();
        match command {
            Command::Meter(tag) => {
                if let Some(c) = self.connections.get_mut(&key) {
                    let report = format!("{tag} UP gauges=inflight:1;x0:0.0;x1:0.0 0\r\n\r\n");
                    // A dispatcher that is gone needs no report.
                    let _ = c.stream.write_all(report.as_bytes());
                }
            }
            Command::Pull { id, wait_ms } => {
                let request = u64::from_str_radix(&id, 16).unwrap_or(0);
                let mut begun = self.begun.lock().unwrap_or_else(PoisonError::into_inner);
                begun.entry(request).or_default().push(Begun { at, wait_ms });
                self.due.push(Reverse((read + WORK, key, id)));
            }
            Command::Other => {}
        }
    }

    fn answer(&mut self) {
        while let Some(Reverse((at, key, id))) = self.due.pop() {
            if at > Instant::now() {
                self.due.push(Reverse((at, key, id)));
                return;
            }
            let Some(c) = self.connections.get_mut(&key) else { continue };
            let row = format!("{id}\tx\ty\n");
            let answer = format!("{id} OK pages=1 {}\r\n{row}\r\n", row.len());
            // A dispatcher that is gone needs no answer.
            let _ = c.stream.write_all(answer.as_bytes());
        }
    }
}

fn accept(listener: &TcpListener, poll: &Poll, connections: &mut HashMap<Key, Connection>) -> io::Result<()> {
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        connections.insert(poll.add(&stream, false)?, Connection { stream, bytes: Vec::new() });
    }
    Ok(())
}

enum Command {
    Meter(String),
    Pull { id: String, wait_ms: u64 },
    Other,
}

/// The first whole command, and its length.
fn command(bytes: &[u8]) -> Option<(usize, Command)> {
    let end = bytes.iter().position(|b| *b == b'\n')? + 1;
    let line = String::from_utf8_lossy(&bytes[..end]);
    let words: Vec<&str> = line.split_whitespace().collect();
    match words[..] {
        ["METER" | "ECHO", tag] => Some((end, Command::Meter(tag.into()))),
        ["PULL", id, fields, length] => {
            let used = end + length.parse::<usize>().ok()? + 2;
            let wait = fields.split(',').find_map(|f| f.strip_prefix("ms=")).and_then(|ms| ms.parse().ok());
            let pull = Command::Pull { id: id.into(), wait_ms: wait.unwrap_or(0) };
            (bytes.len() >= used).then_some((used, pull))
        }
        _ => Some((end, Command::Other)),
    }
}
