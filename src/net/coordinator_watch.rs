//! Watches the coordinator's endpoint list on one connection, and reconnects when it is lost.

mod connection;
mod lines;

use super::event_loop::event_source::EventSource;
use super::event_loop::poll::{Key, Poll};
use super::sockets::dial;
use crate::api::Micros;
use crate::codec::coordinator::{self, Update};
use connection::{Watch, WatchError};
use std::io::{self, Write};
use std::net::SocketAddr;

/// The longest interval between two lines of the coordinator, in microseconds; set by the protocol.
const LINE_INTERVAL: Micros = 1_000_000;
/// A drain counts as announced this long after the coordinator became unresponsive on an open connection, in
/// microseconds, or as soon as the dispatcher reconnects, if that is sooner.
const DRAIN_ANNOUNCED_AFTER: Micros = 4_000_000;
/// Time without a line after which the coordinator counts as unresponsive, in microseconds: one line is missing, and
/// the next is nearly due.
const UNRESPONSIVE_AFTER: Micros = 2 * LINE_INTERVAL - LINE_INTERVAL / 10;
/// Connect timeout, in microseconds.
const CONNECT_TIMEOUT: Micros = LINE_INTERVAL / 2;
/// Backoff after a connection on which no line was received, in microseconds.
const RECONNECT_BACKOFF: Micros = LINE_INTERVAL / 5;
/// Maximum length of a line, in bytes: enough for a list of about ten thousand executors.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

// The list is received before a drain counts as announced, even if the first reconnect fails. So a drain is known within
// its grace period, however short the settings make that.
const _: () = assert!(
    UNRESPONSIVE_AFTER + CONNECT_TIMEOUT + RECONNECT_BACKOFF + CONNECT_TIMEOUT < DRAIN_ANNOUNCED_AFTER
);

/// Watches the coordinator's endpoint list; reconnects by itself.
pub struct CoordinatorWatch {
    address: SocketAddr,
    /// The index of the last event that was applied.
    applied: u64,
    /// The event applied before one that can't be parsed. An event that can't be parsed a second time is skipped, as no
    /// later event would ever be received otherwise.
    unreadable_after: Option<u64>,
    /// Whether a complete line was received on any connection.
    received_line: bool,
    watch: Option<Watch>,
    /// The connection to the previous coordinator, read until the new one has sent a line.
    previous: Option<Watch>,
    /// When to connect next, in microseconds, while there is no connection.
    retry_at: Micros,
    /// Whether the last connect failed for lack of file descriptors.
    pub out_of_descriptors: bool,
    /// Number of connections started.
    pub dials: u64,
    /// Number of lines that could not be parsed.
    pub bad_lines: u64,
}

impl CoordinatorWatch {
    /// Creates a watch that is not connected yet; `applied` is the last event known at the start.
    pub fn new(address: SocketAddr, applied: u64) -> CoordinatorWatch {
        CoordinatorWatch {
            address,
            applied,
            unreadable_after: None,
            received_line: false,
            watch: None,
            previous: None,
            retry_at: 0,
            out_of_descriptors: false,
            dials: 0,
            bad_lines: 0,
        }
    }

    /// Whether the coordinator has sent anything since the start.
    pub fn has_received_line(&self) -> bool {
        self.received_line
    }

    /// The number of the last event that was applied.
    pub fn last_event(&self) -> u64 {
        self.applied
    }

    /// Moves to a coordinator at another address; its event indices continue after the last one applied. Events of the
    /// previous one are applied until the new one has sent a line: otherwise a drain that only the old one announces would
    /// be missed while the new one is not reachable yet.
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

    /// Reconnects at once, as a file descriptor is available now.
    pub fn retry_now(&mut self, now: Micros, poll: &Poll) {
        self.out_of_descriptors = false;
        self.retry_at = now;
        self.tick(now, poll);
    }

    /// Handles a ready socket; returns the new events, in order.
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

    /// Completes the connect, receives data, and applies every complete line.
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
            self.received_line = true;
            match line {
                Ok(line) => self.apply(line, updates)?,
                Err(error) => return Err(self.unreadable(error)),
            }
        }
        watch.line.drain(..start);
        watch.searched = watch.line.len();
        if watch.line.len() > MAX_LINE_BYTES { Err(WatchError::LineTooLong) } else { Ok(()) }
    }

    /// Requests the events after the last one applied once the connection is established; false if it is not yet.
    fn connect(&self, watch: &mut Watch, now: Micros, poll: &Poll) -> Result<bool, WatchError> {
        match dial::check_connected(&watch.stream) {
            Ok(()) => {}
            Err(e) if e.kind() == io::ErrorKind::NotConnected => return Ok(false),
            Err(e) => return Err(e.into()),
        }
        // The line is far shorter than a socket's buffer, so the write does not block.
        watch.stream.write_all(coordinator::follow(self.applied).as_bytes())?;
        poll.watch_writable(watch.key, &watch.stream, false)?;
        watch.connected = true;
        watch.last_line_at = now;
        tracing::info!(coordinator = %self.address, applied = self.applied, "feed: following");
        Ok(true)
    }

    /// Drops the connection. The next attempt follows at once if this one received a line, else after a backoff.
    fn lose(&mut self, now: Micros, poll: &Poll, error: &WatchError) {
        let worked = self.watch.take().is_some_and(|watch| {
            poll.remove(&watch.stream);
            watch.received_line
        });
        tracing::warn!(coordinator = %self.address, applied = self.applied, reason = %error, "feed: lost");
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
