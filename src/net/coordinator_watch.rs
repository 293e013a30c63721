//! The connection to the coordinator.

use crate::api::Micros;
use crate::codec::coordinator::{self, Line, Update};
use crate::net::event_loop::event_source::EventSource;
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::sockets::{dial, system_calls};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};

/// The protocol has the coordinator write a line a second at least.
const PACE: Micros = 1_000_000;
/// What it has to tell counts as told so long after it fell silent on an open connection, or as soon as it is asked
/// again, if that is sooner.
const TOLD: Micros = 4_000_000;
/// After this long without a line the coordinator has stopped, and is asked again: one line is missing, and the next
/// is nearly due.
const SILENCE: Micros = 2 * PACE - PACE / 10;
/// A dial that is not up by then is begun again.
const DIAL: Micros = PACE / 2;
/// Pause before a new try, once one has brought nothing.
const PAUSE: Micros = PACE / 5;
/// The longest line: a whole list of some ten thousand executors.
const LONGEST: usize = 4 * 1024 * 1024;

// The list is here before it counts as told, also where the first dial comes to nothing: so no grace for drains is too
// short, however little the settings leave.
const _: () = assert!(SILENCE + DIAL + PAUSE + DIAL < TOLD);

/// One connection to a coordinator.
struct Watch {
    key: Key,
    stream: TcpStream,
    up: bool,
    /// Whether it brought a whole line: then a new one is worth a try at once.
    told: bool,
    heard: Micros,
    /// What is here of the next line, and how far it was searched for its end: a whole list comes in many pieces.
    line: Vec<u8>,
    searched: usize,
}

/// The feed of the coordinator; it comes back by itself.
pub struct CoordinatorWatch {
    address: SocketAddr,
    /// The last event that was taken.
    held: u64,
    /// An event that can't be read is skipped once it came twice, or nothing after it would ever come.
    refused: Option<u64>,
    watch: Option<Watch>,
    /// The coordinator before, followed until the new one has told anything.
    previous: Option<Watch>,
    retry_at: Micros,
    /// Whether the last dial found no descriptor.
    pub out_of_descriptors: bool,
    /// Connections begun.
    pub dials: u64,
    /// Lines that could not be used.
    pub bad_lines: u64,
}

impl CoordinatorWatch {
    /// Not connected yet; `held` is the last event of the start.
    pub fn new(address: SocketAddr, held: u64) -> CoordinatorWatch {
        CoordinatorWatch {
            address,
            held,
            refused: None,
            watch: None,
            previous: None,
            retry_at: 0,
            out_of_descriptors: false,
            dials: 0,
            bad_lines: 0,
        }
    }

    /// The coordinator is at another address from now on; its numbering goes on from the last event held. What the
    /// one before still tells is heeded until the new one has told anything.
    pub fn move_to(&mut self, address: SocketAddr, now: Micros, poll: &Poll) {
        if address == self.address {
            return;
        }
        match self.watch.take() {
            Some(w) if w.told || (w.up && self.previous.is_none()) => {
                if let Some(older) = self.previous.replace(w) {
                    poll.remove(&older.stream);
                }
            }
            Some(w) => poll.remove(&w.stream),
            None => {}
        }
        (self.address, self.retry_at, self.refused) = (address, now, None);
        self.tick(now, poll);
    }

    /// Dials again at once, as there is a descriptor now.
    pub fn retry_now(&mut self, now: Micros, poll: &Poll) {
        (self.out_of_descriptors, self.retry_at) = (false, now);
        self.tick(now, poll);
    }

    /// A socket is ready: what is new, in order.
    pub fn ready(&mut self, key: Key, now: Micros, poll: &Poll) -> Vec<Update> {
        let mut updates = Vec::new();
        if let Some(mut w) = self.previous.take_if(|w| w.key == key) {
            match self.advance(&mut w, now, poll, &mut updates) {
                Ok(()) => self.previous = Some(w),
                Err(_) => poll.remove(&w.stream),
            }
        } else if let Some(mut w) = self.watch.take() {
            let end = self.advance(&mut w, now, poll, &mut updates);
            if let Some(older) = self.previous.take_if(|_| w.told) {
                poll.remove(&older.stream);
            }
            self.watch = Some(w);
            if let Err(why) = end {
                self.lose(now, poll, &why);
            }
        }
        updates
    }

    fn advance(
        &mut self,
        w: &mut Watch,
        now: Micros,
        poll: &Poll,
        updates: &mut Vec<Update>,
    ) -> Result<(), String> {
        if !w.up {
            match dial::up(&w.stream) {
                Ok(()) => {}
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return Ok(()),
                Err(e) => return Err(e.to_string()),
            }
            // The line is far shorter than any socket's buffer.
            let all = w.stream.write_all(coordinator::follow(self.held).as_bytes());
            all.and_then(|()| poll.writable(w.key, &w.stream, false)).map_err(|e| e.to_string())?;
            (w.up, w.heard) = (true, now);
            tracing::info!(coordinator = %self.address, held = self.held, "feed: following");
        }
        let mut piece = [0; 16 * 1024];
        match system_calls::read(&mut w.stream, &mut piece) {
            Ok(0) => return Err("closed by the coordinator".into()),
            Ok(n) => w.line.extend_from_slice(&piece[..n]),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {
                return Ok(());
            }
            Err(e) => return Err(e.to_string()),
        }
        let mut from = 0;
        while let Some(n) = w.line[w.searched..].iter().position(|b| *b == b'\n') {
            let end = w.searched + n;
            let line = coordinator::line(&w.line[from..end]);
            from = end + 1;
            w.searched = from;
            (w.heard, w.told) = (now, true);
            match line {
                Ok(line) => self.take(line, updates)?,
                Err(e) => {
                    self.bad_lines += 1;
                    if self.refused.replace(self.held) == Some(self.held) {
                        tracing::error!(event = self.held + 1, error = %e, "feed: an event can't be read and is skipped");
                        (self.held, self.refused) = (self.held + 1, None);
                    }
                    return Err(format!("bad line: {e}"));
                }
            }
        }
        w.line.drain(..from);
        w.searched = w.line.len();
        if w.line.len() > LONGEST { Err("line without end".into()) } else { Ok(()) }
    }

    fn take(&mut self, line: Line, updates: &mut Vec<Update>) -> Result<(), String> {
        match line {
            Line::Last(last) if last > self.held => Err(format!("event {last} is there, {} held", self.held)),
            Line::Last(_) => Ok(()),
            Line::Update(u) if u.index <= self.held => Ok(()),
            Line::Update(u) if u.index > self.held + 1 => {
                Err(format!("event {} after {}", u.index, self.held))
            }
            Line::Update(u) => {
                (self.held, self.refused) = (u.index, None);
                updates.push(u);
                Ok(())
            }
        }
    }

    fn lose(&mut self, now: Micros, poll: &Poll, why: &str) {
        let told = self.watch.take().is_some_and(|w| {
            poll.remove(&w.stream);
            w.told
        });
        tracing::warn!(coordinator = %self.address, held = self.held, reason = why, "feed: lost");
        self.retry_at = now + if told { 0 } else { PAUSE };
    }
}

impl EventSource for CoordinatorWatch {
    fn owns(&self, key: Key) -> bool {
        self.watch.iter().chain(&self.previous).any(|w| w.key == key)
    }

    fn next_due(&self) -> Option<Micros> {
        Some(match &self.watch {
            Some(w) if w.up => w.heard + SILENCE,
            Some(w) => w.heard + DIAL,
            None => self.retry_at,
        })
    }

    fn tick(&mut self, now: Micros, poll: &Poll) {
        if self.next_due().is_some_and(|due| now < due) {
            return;
        }
        if self.watch.is_some() {
            self.lose(now, poll, "silent");
            if now < self.retry_at {
                return;
            }
        }
        self.dials += 1;
        match dial::dial(self.address).and_then(|s| poll.add(&s, true).map(|key| (key, s))) {
            Ok((key, stream)) => {
                let (line, searched) = (Vec::new(), 0);
                self.watch = Some(Watch { key, stream, up: false, told: false, heard: now, line, searched });
            }
            Err(e) => {
                self.out_of_descriptors = dial::out_of_descriptors(&e);
                self.lose(now, poll, &e.to_string());
            }
        }
    }
}
