//! The connection to the coordinator.

use super::dial;
use super::poll::{Key, Poll};
use super::room::Room;
use crate::api::Micros;
use crate::codec::coordinator::{self, Line, Update};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A line comes every second: after this long without one the coordinator has stopped, and is asked again.
const SILENCE: Micros = 1_900_000;
/// A dial that is not up by then is begun again.
const DIAL: Micros = 500_000;
/// Pause before a new try, once one has brought nothing.
const PAUSE: Micros = 200_000;
/// The longest line: a whole list of some ten thousand executors.
const LONGEST: usize = 4 * 1024 * 1024;

/// The feed of the coordinator; it comes back by itself.
pub struct Feed {
    address: SocketAddr,
    /// The last event that was taken.
    held: u64,
    /// An event that can't be read is skipped once it came twice, or nothing after it would ever come.
    refused: Option<u64>,
    conn: Option<(Key, TcpStream)>,
    up: bool,
    /// Whether this connection brought a whole line: then a new one is worth a try at once.
    told: bool,
    heard: Micros,
    retry_at: Micros,
    line: Vec<u8>,
    /// Connections begun.
    pub dials: u64,
    /// Lines that could not be used.
    pub bad_lines: u64,
}

impl Feed {
    /// Not connected yet; `held` is the last event of the start.
    pub fn new(address: SocketAddr, held: u64) -> Feed {
        Feed {
            address,
            held,
            refused: None,
            conn: None,
            up: false,
            told: false,
            heard: 0,
            retry_at: 0,
            line: Vec::new(),
            dials: 0,
            bad_lines: 0,
        }
    }

    /// The coordinator is at another address from now on; its numbering goes on from the last event held.
    pub fn move_to(&mut self, address: SocketAddr, now: Micros, poll: &Poll) {
        if address == self.address {
            return;
        }
        if let Some((_, stream)) = self.conn.take() {
            poll.remove(&stream);
        }
        (self.address, self.retry_at, self.refused) = (address, now, None);
        self.tick(now, poll);
    }

    /// The socket is ready: what is new, in order.
    pub fn ready(&mut self, now: Micros, poll: &Poll) -> Vec<Update> {
        let mut updates = Vec::new();
        if let Err(why) = self.advance(now, poll, &mut updates) {
            self.lose(now, poll, &why);
        }
        updates
    }

    fn advance(&mut self, now: Micros, poll: &Poll, updates: &mut Vec<Update>) -> Result<(), String> {
        let Some((key, stream)) = &mut self.conn else { return Ok(()) };
        if !self.up {
            match dial::up(stream) {
                Ok(()) => {}
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return Ok(()),
                Err(e) => return Err(e.to_string()),
            }
            // The line is far shorter than any socket's buffer.
            let all = stream.write_all(coordinator::follow(self.held).as_bytes());
            all.and_then(|()| poll.writable(*key, stream, false)).map_err(|e| e.to_string())?;
            (self.up, self.heard) = (true, now);
            tracing::info!(coordinator = %self.address, held = self.held, "feed: following");
        }
        let mut piece = [0; 16 * 1024];
        match stream.read(&mut piece) {
            Ok(0) => return Err("closed by the coordinator".into()),
            Ok(n) => self.line.extend_from_slice(&piece[..n]),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {
                return Ok(());
            }
            Err(e) => return Err(e.to_string()),
        }
        let mut from = 0;
        while let Some(n) = self.line[from..].iter().position(|b| *b == b'\n') {
            let line = coordinator::line(&self.line[from..from + n]);
            from += n + 1;
            (self.heard, self.told) = (now, true);
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
        self.line.drain(..from);
        if self.line.len() > LONGEST { Err("line without end".into()) } else { Ok(()) }
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
        if let Some((_, stream)) = self.conn.take() {
            poll.remove(&stream);
        }
        tracing::warn!(coordinator = %self.address, held = self.held, reason = why, "feed: lost");
        self.retry_at = now + if std::mem::take(&mut self.told) { 0 } else { PAUSE };
    }
}

impl Room for Feed {
    fn owns(&self, key: Key) -> bool {
        self.conn.as_ref().is_some_and(|(k, _)| *k == key)
    }

    fn next_due(&self) -> Option<Micros> {
        Some(match &self.conn {
            Some(_) if self.up => self.heard + SILENCE,
            Some(_) => self.heard + DIAL,
            None => self.retry_at,
        })
    }

    fn tick(&mut self, now: Micros, poll: &Poll) {
        if self.next_due().is_some_and(|due| now < due) {
            return;
        }
        if self.conn.is_some() {
            self.lose(now, poll, "silent");
            if now < self.retry_at {
                return;
            }
        }
        self.dials += 1;
        // Half a line that a lost connection left behind is no line.
        self.line.clear();
        (self.up, self.told, self.heard) = (false, false, now);
        match dial::dial(self.address).and_then(|s| poll.add(&s, true).map(|key| (key, s))) {
            Ok(conn) => self.conn = Some(conn),
            Err(e) => self.lose(now, poll, &e.to_string()),
        }
    }
}
