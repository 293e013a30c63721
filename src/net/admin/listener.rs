//! The operators' listener: a bounded number of connections, one call each, in the event loop.
//!
//! Calls are not carried out here: a complete line is passed to the server as a [`Call`], and the answer returns as
//! text. A caller that sends no complete line is closed after [`CALLER_TIMEOUT`]; when the limit of connections is
//! reached, the oldest one is closed. Nothing here blocks on a caller.

use crate::api::Micros;
use crate::codec::operator::{Call, Decoder, Fault};
use crate::net::event_loop::event_source::EventSource;
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::sockets::buffers::{Pool, WriteBuffer};
use crate::net::sockets::system_calls;
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

/// Time that a caller has to send its line and read the answer, in microseconds.
pub const CALLER_TIMEOUT: Micros = 2_000_000;
/// Maximum number of connections accepted in one turn of the event loop.
const MAX_ACCEPTS_PER_TURN: usize = 16;
/// Pause of accepting after descriptors or memory ran out, in microseconds: until then the listener stays readable, which
/// would make the event loop spin.
const ACCEPT_PAUSE: Micros = 100_000;

/// The connection of one caller.
struct Caller {
    stream: TcpStream,
    accepted_at: Micros,
    decoder: Decoder,
    out: WriteBuffer,
    /// Whether its call was answered: only the rest of the answer is left to write.
    answered: bool,
}

/// The operators' listener and its callers.
pub struct AdminListener {
    listener: TcpListener,
    key: Key,
    pool: Pool,
    callers: BTreeMap<Key, Caller>,
    /// Maximum number of open connections.
    max_callers: usize,
    /// When accepting resumes after a pause.
    resume_at: Option<Micros>,
    /// Number of callers closed to make room or after the timeout.
    pub dropped: u64,
}

impl AdminListener {
    /// Listens on `address` for at most `max_callers` connections at once.
    pub fn bind(
        address: SocketAddr,
        max_callers: usize,
        poll: &Poll,
        pool: &Pool,
    ) -> io::Result<AdminListener> {
        let listener = crate::net::sockets::listen::bind(address)?;
        let key = poll.add(&listener, false)?;
        Ok(AdminListener {
            listener,
            key,
            pool: pool.clone(),
            callers: BTreeMap::new(),
            max_callers,
            resume_at: None,
            dropped: 0,
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Handles an event on one of its keys; returns the completed calls, with the key to answer on.
    pub fn ready(&mut self, key: Key, now: Micros, poll: &Poll) -> Vec<(Key, Result<Call, Fault>)> {
        if key == self.key {
            self.accept(now, poll);
            return Vec::new();
        }
        let Some(c) = self.callers.get_mut(&key) else { return Vec::new() };
        if c.answered && !c.out.is_empty() {
            self.flush(key, poll);
            return Vec::new();
        }
        let mut bytes = [0; 512];
        match system_calls::read(&mut c.stream, &mut bytes) {
            Ok(0) => self.close(key, poll),
            // Data after the call is read and discarded, as closing a socket with unread data would reset it.
            Ok(_) if c.answered => {}
            Ok(n) => {
                if let Some(line) = c.decoder.feed(&bytes[..n]) {
                    return vec![(key, line)];
                }
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
            Err(_) => self.close(key, poll),
        }
        Vec::new()
    }

    /// Writes an answer of one or more lines, and closes the connection once it is written.
    pub fn answer(&mut self, key: Key, text: &str, poll: &Poll) {
        let Some(c) = self.callers.get_mut(&key) else { return };
        c.out.append(text.as_bytes());
        if !text.ends_with('\n') {
            c.out.append(b"\n");
        }
        c.answered = true;
        self.flush(key, poll);
    }

    fn accept(&mut self, now: Micros, poll: &Poll) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let stream = match system_calls::accept(&self.listener) {
                Ok(stream) => stream,
                Err(e) if system_calls::may_accept_again(&e) => continue,
                Err(e) => {
                    if e.kind() != io::ErrorKind::WouldBlock {
                        tracing::warn!(error = %e, "operator: can't accept a connection");
                        self.pause_accepting(now, poll);
                    }
                    return;
                }
            };
            if self.callers.len() >= self.max_callers {
                let oldest = self.callers.iter().min_by_key(|(_, c)| c.accepted_at).map(|(k, _)| *k);
                if let Some(key) = oldest {
                    self.dropped += 1;
                    self.close(key, poll);
                }
            }
            let key = match stream.set_nonblocking(true).and_then(|()| poll.add(&stream, false)) {
                Ok(key) => key,
                Err(e) => {
                    tracing::warn!(error = %e, "operator: can't set up the connection");
                    continue;
                }
            };
            let out = WriteBuffer::new(&self.pool);
            let caller =
                Caller { stream, accepted_at: now, decoder: Decoder::default(), out, answered: false };
            self.callers.insert(key, caller);
        }
    }

    fn pause_accepting(&mut self, now: Micros, poll: &Poll) {
        if poll.set_interest(self.key, &self.listener, false, false).is_ok() {
            self.resume_at = Some(now + ACCEPT_PAUSE);
        }
    }

    fn resume_accepting(&mut self, now: Micros, poll: &Poll) {
        self.resume_at = None;
        match poll.set_interest(self.key, &self.listener, true, false) {
            Ok(()) => self.accept(now, poll),
            Err(_) => self.resume_at = Some(now + ACCEPT_PAUSE),
        }
    }

    fn flush(&mut self, key: Key, poll: &Poll) {
        let Some(c) = self.callers.get_mut(&key) else { return };
        match c.out.flush(&mut c.stream) {
            Ok(true) => {
                // The caller reads the end of the answer and closes, or is closed after the timeout.
                let disconnected = c.stream.shutdown(Shutdown::Write).is_err();
                if disconnected || poll.set_interest(key, &c.stream, true, false).is_err() {
                    self.close(key, poll);
                }
            }
            Ok(false) => {
                if poll.set_interest(key, &c.stream, true, true).is_err() {
                    self.close(key, poll);
                }
            }
            Err(_) => self.close(key, poll),
        }
    }

    fn close(&mut self, key: Key, poll: &Poll) {
        if let Some(c) = self.callers.remove(&key) {
            poll.remove(&c.stream);
        }
    }
}

impl EventSource for AdminListener {
    fn owns(&self, key: Key) -> bool {
        key == self.key || self.callers.contains_key(&key)
    }

    fn next_due(&self) -> Option<Micros> {
        let timeouts = self.callers.values().map(|c| c.accepted_at + CALLER_TIMEOUT);
        timeouts.chain(self.resume_at).min()
    }

    fn tick(&mut self, now: Micros, poll: &Poll) {
        let timed_out: Vec<Key> = self
            .callers
            .iter()
            .filter(|(_, c)| now >= c.accepted_at + CALLER_TIMEOUT)
            .map(|(k, _)| *k)
            .collect();
        self.dropped += timed_out.len() as u64;
        timed_out.into_iter().for_each(|k| self.close(k, poll));
        if self.resume_at.is_some_and(|at| at <= now) {
            self.resume_accepting(now, poll);
        }
    }
}

#[cfg(test)]
mod tests;
