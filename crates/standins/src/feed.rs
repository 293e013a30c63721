//! A coordinator that works by itself: it tells each dispatcher what it has not yet heard, and once a second
//! the number of the last event.

use crate::scripted::event;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How often the last number is told.
const PACE: Duration = Duration::from_secs(1);

type Events = Arc<(Mutex<Vec<String>>, Condvar)>;

/// A coordinator; its events count on from those that a dispatcher knows at its start.
pub struct Feed {
    /// Where it listens.
    pub address: SocketAddr,
    first: u64,
    events: Events,
}

impl Feed {
    /// Listens; event `first` is the last that a dispatcher knows at its start.
    pub fn at(address: &str, first: u64) -> io::Result<Feed> {
        let listener = TcpListener::bind(address)?;
        let (address, events) = (listener.local_addr()?, Events::default());
        let all = events.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let all = all.clone();
                thread::spawn(move || follow(stream, first, &all));
            }
        });
        Ok(Feed { address, first, events })
    }

    /// The number of the last event.
    pub fn last(&self) -> u64 {
        self.first + self.events.0.lock().unwrap_or_else(PoisonError::into_inner).len() as u64
    }

    /// Tells all dispatchers of an event with these targets.
    pub fn tell(&self, all: bool, targets: &[String]) {
        let mut events = self.events.0.lock().unwrap_or_else(PoisonError::into_inner);
        let index = self.first + 1 + events.len() as u64;
        events.push(event(index, all, targets));
        self.events.1.notify_all();
    }
}

fn follow(mut stream: TcpStream, first: u64, all: &Events) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut line = String::new();
    BufReader::new(stream.try_clone()?).read_line(&mut line)?;
    let held: u64 = line.trim().strip_prefix("follow ").and_then(|n| n.parse().ok()).unwrap_or(first);
    let mut told = held.saturating_sub(first) as usize;
    loop {
        let mut lines = String::new();
        {
            let events = all.0.lock().unwrap_or_else(PoisonError::into_inner);
            let (events, _) = all
                .1
                .wait_timeout_while(events, PACE, |e| e.len() <= told)
                .unwrap_or_else(PoisonError::into_inner);
            events.iter().skip(told).for_each(|e| lines.extend([e, "\n"]));
            told = told.max(events.len());
            lines.push_str(&format!("{}\n", first + events.len() as u64));
        }
        stream.write_all(lines.as_bytes())?;
    }
}
