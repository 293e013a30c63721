//! The watch of the coordinator's endpoint list: one connection, which is made anew when it is lost.

mod connection;

use super::event_loop::event_source::EventSource;
use super::event_loop::poll::{Key, Poll};
use super::sockets::dial;
use crate::api::Micros;
use crate::codec::coordinator::{self, Line, Update};
use connection::{Watch, WatchError};
use std::io::{self, Write};
use std::net::SocketAddr;

/// The coordinator writes a line in this span at least, in microseconds: the protocol has it so.
const LINE_INTERVAL: Micros = 1_000_000;
/// A drain counts as announced this long after the coordinator became unresponsive on an open connection, in
/// microseconds, or as soon as it is asked again, if that is sooner.
const DRAIN_ANNOUNCED_AFTER: Micros = 4_000_000;
/// The span without a line after which the coordinator is unresponsive, in microseconds: one line is missing, and the
/// next is nearly due.
const UNRESPONSIVE_AFTER: Micros = 2 * LINE_INTERVAL - LINE_INTERVAL / 10;
/// The span in which a connection has to come up, in microseconds.
const CONNECT_TIMEOUT: Micros = LINE_INTERVAL / 2;
/// The backoff after a connection that brought nothing, in microseconds.
const RECONNECT_BACKOFF: Micros = LINE_INTERVAL / 5;
/// The longest line, in bytes: a whole list of some ten thousand executors.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

// The list is here before a drain counts as announced, also where the first new connection fails: so a drain is known
// within its grace, however short the settings make that.
const _: () = assert!(
    UNRESPONSIVE_AFTER + CONNECT_TIMEOUT + RECONNECT_BACKOFF + CONNECT_TIMEOUT < DRAIN_ANNOUNCED_AFTER
);

/// The watch of the coordinator's endpoint list; it reconnects by itself.
pub struct CoordinatorWatch {
    address: SocketAddr,
    /// The index of the last event that was applied.
    applied: u64,
    /// The event applied before one that can't be read. If it can't be read a second time it is skipped, or nothing
    /// after it would ever come.
    unreadable_after: Option<u64>,
    watch: Option<Watch>,
    /// The connection to the coordinator before, read until the new one has brought a line.
    previous: Option<Watch>,
    /// The point of the next connection, in microseconds, while there is none.
    retry_at: Micros,
    /// Whether the last connection found no descriptor.
    pub out_of_descriptors: bool,
    /// Connections begun.
    pub dials: u64,
    /// Lines that could not be used.
    pub bad_lines: u64,
}

impl CoordinatorWatch {
    /// Not connected yet; `applied` is the last event that is known from the start.
    pub fn new(address: SocketAddr, applied: u64) -> CoordinatorWatch {
        CoordinatorWatch {
            address,
            applied,
            unreadable_after: None,
            watch: None,
            previous: None,
            retry_at: 0,
            out_of_descriptors: false,
            dials: 0,
            bad_lines: 0,
        }
    }

    /// The coordinator is at another address from now on; its event indices go on from the last one applied. Events of
    /// the one before count until the new one has brought a line: without that, a drain that only the old one announces
    /// would be missed while the new one is not there yet.
    pub fn move_to(&mut self, address: SocketAddr, now: Micros, poll: &Poll) {
        if address == self.address {
            return;
        }
        match self.watch.take() {
            Some(watch) if watch.received_line || (watch.connected && self.previous.is_none()) => {
                if let Some(older) = self.previous.replace(watch) {
                    poll.remove(&older.stream);
                }
            }
            Some(watch) => poll.remove(&watch.stream),
            None => {}
        }
        self.address = address;
        self.retry_at = now;
        self.unreadable_after = None;
        self.tick(now, poll);
    }

    /// Connects again at once, as there is a descriptor now.
    pub fn retry_now(&mut self, now: Micros, poll: &Poll) {
        self.out_of_descriptors = false;
        self.retry_at = now;
        self.tick(now, poll);
    }

    /// A socket is ready: the events that are new, in order.
    pub fn ready(&mut self, key: Key, now: Micros, poll: &Poll) -> Vec<Update> {
        let mut updates = Vec::new();
        if let Some(mut watch) = self.previous.take_if(|watch| watch.key == key) {
            match self.advance(&mut watch, now, poll, &mut updates) {
                Ok(()) => self.previous = Some(watch),
                Err(_) => poll.remove(&watch.stream),
            }
        } else if let Some(mut watch) = self.watch.take() {
            let result = self.advance(&mut watch, now, poll, &mut updates);
            if let Some(older) = self.previous.take_if(|_| watch.received_line) {
                poll.remove(&older.stream);
            }
            self.watch = Some(watch);
            if let Err(error) = result {
                self.lose(now, poll, &error);
            }
        }
        updates
    }

    /// Connects, receives, and applies every whole line.
    fn advance(
        &mut self,
        watch: &mut Watch,
        now: Micros,
        poll: &Poll,
        updates: &mut Vec<Update>,
    ) -> Result<(), WatchError> {
        if !watch.connected && !self.connect(watch, now, poll)? {
            return Ok(());
        }
        if !watch.receive()? {
            return Ok(());
        }
        let mut start = 0;
        while let Some(end) = watch.next_line_end() {
            let line = coordinator::line(&watch.line[start..end]);
            start = end + 1;
            watch.searched = start;
            watch.last_line_at = now;
            watch.received_line = true;
            match line {
                Ok(line) => self.apply(line, updates)?,
                Err(error) => return Err(self.unreadable(error)),
            }
        }
        watch.line.drain(..start);
        watch.searched = watch.line.len();
        if watch.line.len() > MAX_LINE_BYTES { Err(WatchError::LineTooLong) } else { Ok(()) }
    }

    /// Asks for the events after the last one applied, once the connection is up; false if it is not yet.
    fn connect(&self, watch: &mut Watch, now: Micros, poll: &Poll) -> Result<bool, WatchError> {
        match dial::check_connected(&watch.stream) {
            Ok(()) => {}
            Err(e) if e.kind() == io::ErrorKind::NotConnected => return Ok(false),
            Err(e) => return Err(e.into()),
        }
        // The line is far shorter than any socket's buffer.
        watch.stream.write_all(coordinator::follow(self.applied).as_bytes())?;
        poll.watch_writable(watch.key, &watch.stream, false)?;
        watch.connected = true;
        watch.last_line_at = now;
        tracing::info!(coordinator = %self.address, held = self.applied, "feed: following");
        Ok(true)
    }

    /// A line can't be read: it is asked for again, and skipped the second time.
    fn unreadable(&mut self, error: String) -> WatchError {
        self.bad_lines += 1;
        if self.unreadable_after.replace(self.applied) == Some(self.applied) {
            let event = self.applied + 1;
            tracing::error!(event, %error, "feed: an event can't be read and is skipped");
            self.applied = event;
            self.unreadable_after = None;
        }
        WatchError::BadLine(error)
    }

    /// Applies a line: an event that is new is an update, one that was applied before is ignored.
    fn apply(&mut self, line: Line, updates: &mut Vec<Update>) -> Result<(), WatchError> {
        let applied = self.applied;
        match line {
            Line::Last(last) if last > applied => Err(WatchError::Behind { last, applied }),
            Line::Last(_) => Ok(()),
            Line::Update(update) if update.index <= applied => Ok(()),
            Line::Update(update) if update.index > applied + 1 => {
                Err(WatchError::Gap { index: update.index, applied })
            }
            Line::Update(update) => {
                self.applied = update.index;
                self.unreadable_after = None;
                updates.push(update);
                Ok(())
            }
        }
    }

    /// Gives the connection up; the next is tried at once if this one worked, else after a backoff.
    fn lose(&mut self, now: Micros, poll: &Poll, error: &WatchError) {
        let worked = self.watch.take().is_some_and(|watch| {
            poll.remove(&watch.stream);
            watch.received_line
        });
        tracing::warn!(coordinator = %self.address, held = self.applied, reason = %error, "feed: lost");
        self.retry_at = now + if worked { 0 } else { RECONNECT_BACKOFF };
    }
}

impl EventSource for CoordinatorWatch {
    fn owns(&self, key: Key) -> bool {
        self.watch.iter().chain(&self.previous).any(|watch| watch.key == key)
    }

    fn next_due(&self) -> Option<Micros> {
        Some(match &self.watch {
            Some(watch) if watch.connected => watch.last_line_at + UNRESPONSIVE_AFTER,
            Some(watch) => watch.last_line_at + CONNECT_TIMEOUT,
            None => self.retry_at,
        })
    }

    fn tick(&mut self, now: Micros, poll: &Poll) {
        if self.next_due().is_some_and(|due| now < due) {
            return;
        }
        if self.watch.is_some() {
            self.lose(now, poll, &WatchError::Unresponsive);
            if now < self.retry_at {
                return;
            }
        }
        self.dials += 1;
        match dial::connect(self.address).and_then(|stream| poll.add(&stream, true).map(|key| (key, stream)))
        {
            Ok((key, stream)) => self.watch = Some(Watch::new(key, stream, now)),
            Err(error) => {
                self.out_of_descriptors = dial::out_of_descriptors(&error);
                self.lose(now, poll, &WatchError::Socket(error));
            }
        }
    }
}
