//! Scripted peers: a client, an executor, a coordinator, and the program between them.

mod client;
mod faults;
mod launch;
mod settings;
mod spaced;

pub use client::*;
pub use faults::*;
pub use launch::*;
pub use settings::*;
pub use spaced::*;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// No story takes this long unless something hangs.
const PATIENCE: Duration = Duration::from_secs(20);

/// Settings with one zone, one kind, a class that may be repeated and one that must not run twice.
pub const SETTINGS: &str = r#"{"areas":["a"],"balancers":1,"kinds":["k"],"domain":{"kindCores":[8],"memoryByKindMb":[16384],"parallelism":[1,2],"grantCap":0.4,"memoryHeeded":true,"takesPriority":true},"permissions":{"cancel":true,"maxAttempts":3,"mayDuplicate":true,"probes":true,"retryAfter":true,"maxRetryAfter":1.0,"dialTimeout":0.25},"report":{"how":"on_probe"},"requestClasses":[{"name":"read","promise":5.0,"hardLimit":20.0,"effect":"read_like"},{"name":"load","promise":5.0,"hardLimit":20.0,"effect":"non_idempotent","keepOrder":true}],"rules":{"stopSendingWithin":2,"coldFrom":0.3,"rampTime":10,"fall":2,"fallMultiple":3},"zone":"a"}"#;

fn listener() -> (TcpListener, SocketAddr) {
    let l = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = l.local_addr().unwrap();
    (l, address)
}

/// The next connection; none that comes in time is a failed story.
fn accept(listener: &TcpListener) -> TcpStream {
    let begun = Instant::now();
    listener.set_nonblocking(true).unwrap();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                return patient(stream);
            }
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                assert!(begun.elapsed() < PATIENCE, "no connection in time");
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(e) => panic!("accept: {e}"),
        }
    }
}

fn patient(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// An entry of the executors' list, of kind `k`.
pub fn target(uid: &str, at: SocketAddr, state: &str) -> String {
    target_of(uid, at, "k", state)
}

/// An entry of the executors' list, of a kind.
pub fn target_of(uid: &str, at: SocketAddr, kind: &str, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{at}","az":"a","model":"{kind}","pod_group":0,"state":"{state}","capacity_hint":1,"boot_ms":0}}"#
    )
}

/// A numbered event.
pub fn event(index: u64, all: bool, targets: &[String]) -> String {
    let list = targets.join(",");
    format!(r#"{{"index":{index},"endpoints":{{"rev":{index},"all":{all},"targets":[{list}]}}}}"#)
}

/// A coordinator that says what a test has it say.
pub struct Coordinator {
    listener: TcpListener,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Default for Coordinator {
    fn default() -> Coordinator {
        Coordinator::new()
    }
}

impl Coordinator {
    /// Listens on a port of its own.
    pub fn new() -> Coordinator {
        let (listener, address) = listener();
        Coordinator { listener, address }
    }

    /// The next connection, with the line that it begins with.
    pub fn accept(&self) -> (TcpStream, String) {
        let stream = accept(&self.listener);
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).unwrap();
        (stream, line)
    }
}

/// An executor's listener.
pub struct Executor {
    listener: TcpListener,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Default for Executor {
    fn default() -> Executor {
        Executor::new()
    }
}

impl Executor {
    /// Listens on a port of its own.
    pub fn new() -> Executor {
        let (listener, address) = listener();
        Executor { listener, address }
    }

    /// The next connection of a dispatcher.
    pub fn accept(&self) -> Peer {
        Peer(BufReader::new(accept(&self.listener)))
    }
}

/// One connection of a dispatcher to an executor.
pub struct Peer(BufReader<TcpStream>);

impl Peer {
    /// The next command, probes answered on the way; a pull's statement is its last word. None at the end.
    pub fn command(&mut self) -> Option<Vec<String>> {
        loop {
            let mut line = String::new();
            if self.0.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let mut words: Vec<String> = line.trim_end().split(' ').map(String::from).collect();
            match words[0].as_str() {
                "METER" => self.say(&format!("{} UP gauges=inflight:0;x0:0;x1:0 0\r\n\r\n", words[1])),
                "PULL" => {
                    let mut statement = vec![0; words[3].parse::<usize>().unwrap() + 2];
                    self.0.read_exact(&mut statement).unwrap();
                    words[3] = String::from_utf8(statement).unwrap().trim_end_matches("\r\n").into();
                    return Some(words);
                }
                _ => return Some(words),
            }
        }
    }

    /// Says this as it stands; a dispatcher that has gone does not matter.
    pub fn say(&mut self, text: &str) {
        let _ = self.0.get_mut().write_all(text.as_bytes());
    }

    /// A page of rows under an id.
    pub fn page(&mut self, id: &str, head: &str, rows: &str) {
        self.say(&format!("{id} {head} {}\r\n{rows}\r\n", rows.len()));
    }
}
