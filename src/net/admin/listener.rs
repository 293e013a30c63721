//! The operators' address on sockets: a bounded set of connections, one line each, in the one event loop.
//!
//! What a call does is not decided here: a whole line is handed to the node as a [`Call`], and the answer
//! comes back as text to write. A caller that sends nothing or half a line is closed after [`PATIENCE`]; when
//! as many as may be are open, the oldest makes room. Nothing here waits on a caller.

use crate::api::Micros;
use crate::codec::operator::{Call, Decoder, Fault};
use crate::net::event_loop::event_source::EventSource;
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::sockets::buffers::{Pool, WriteBuffer};
use crate::net::sockets::system_calls;
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

/// How long a caller has for its line, and then for reading its answer, in microseconds.
pub const PATIENCE: Micros = 2_000_000;
/// Connections taken in one turn at the most.
const ACCEPTS: usize = 16;

/// One caller.
struct Caller {
    stream: TcpStream,
    came: Micros,
    decoder: Decoder,
    out: WriteBuffer,
    /// Whether its line was answered: then it only waits to be written.
    answered: bool,
}

/// The operators' listener and its callers.
pub struct AdminListener {
    listener: TcpListener,
    key: Key,
    pool: Pool,
    callers: BTreeMap<Key, Caller>,
    /// Callers held at once at the most.
    most: usize,
    /// Callers closed to make room, or for taking too long.
    pub dropped: u64,
}

impl AdminListener {
    /// Listens on `address`, for so many callers at once.
    pub fn bind(address: SocketAddr, most: usize, poll: &Poll, pool: &Pool) -> io::Result<AdminListener> {
        let listener = crate::net::sockets::listen::bind(address)?;
        let key = poll.add(&listener, false)?;
        Ok(AdminListener { listener, key, pool: pool.clone(), callers: BTreeMap::new(), most, dropped: 0 })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Something happened on one of its keys; the lines that became whole, with the key to answer on.
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
            // After its answer, what else it sends is read and dropped, so that closing resets nothing unread.
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

    /// Writes an answer, a line or more, and closes once it is written.
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
        for _ in 0..ACCEPTS {
            let stream = match system_calls::accept(&self.listener) {
                Ok(stream) => stream,
                Err(e) if system_calls::may_accept_again(&e) => continue,
                Err(e) => {
                    if e.kind() != io::ErrorKind::WouldBlock {
                        tracing::warn!(error = %e, "operator: can't accept");
                    }
                    return;
                }
            };
            if self.callers.len() >= self.most {
                let oldest = self.callers.iter().min_by_key(|(_, c)| c.came).map(|(k, _)| *k);
                if let Some(key) = oldest {
                    self.dropped += 1;
                    self.close(key, poll);
                }
            }
            let key = match stream.set_nonblocking(true).and_then(|()| poll.add(&stream, false)) {
                Ok(key) => key,
                Err(e) => {
                    tracing::warn!(error = %e, "operator: caller lost at its start");
                    continue;
                }
            };
            let out = WriteBuffer::new(&self.pool);
            let caller = Caller { stream, came: now, decoder: Decoder::default(), out, answered: false };
            self.callers.insert(key, caller);
        }
    }

    fn flush(&mut self, key: Key, poll: &Poll) {
        let Some(c) = self.callers.get_mut(&key) else { return };
        match c.out.flush(&mut c.stream) {
            Ok(true) => {
                // The caller reads the end of the answer; it closes, or is closed when its time is up.
                let gone = c.stream.shutdown(Shutdown::Write).is_err();
                if gone || poll.set_interest(key, &c.stream, true, false).is_err() {
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
        self.callers.values().map(|c| c.came + PATIENCE).min()
    }

    fn tick(&mut self, now: Micros, poll: &Poll) {
        let late: Vec<Key> =
            self.callers.iter().filter(|(_, c)| now >= c.came + PATIENCE).map(|(k, _)| *k).collect();
        self.dropped += late.len() as u64;
        late.into_iter().for_each(|k| self.close(k, poll));
    }
}
