//! A non-blocking connection of the control group that sends and receives frames.

use crate::net::event_loop::poll::{Key, Poll};
use fleet::control_plane::messages::FRAMING;
use fleet::wire::{FrameError, HEADER_LEN};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};

/// Bytes per read call.
const PIECE: usize = 16 << 10;
/// Capacity that an empty buffer keeps at most: thousands of connections are idle most of the time.
const MAX_IDLE_CAPACITY: usize = 4 << 10;

/// Why a connection ended.
#[derive(Debug)]
pub(super) enum Ended {
    /// It was closed by the peer or by the operating system.
    Closed,
    /// The peer sent an invalid frame.
    Fault(FrameError),
}

/// A framed connection.
pub(super) struct FrameStream {
    pub(super) stream: TcpStream,
    key: Key,
    incoming: Vec<u8>,
    outgoing: Vec<u8>,
    written: usize,
    watched: bool,
    /// The longest message accepted.
    max_message: usize,
    /// Bytes received and sent so far.
    pub(super) bytes: [u64; 2],
}

impl FrameStream {
    /// Wraps a socket that is registered with the poller; `connecting` if it is watched for writing until it is connected.
    pub(super) fn new(stream: TcpStream, key: Key, max_message: usize, connecting: bool) -> FrameStream {
        FrameStream {
            stream,
            key,
            incoming: Vec::new(),
            outgoing: Vec::new(),
            written: 0,
            watched: connecting,
            max_message,
            bytes: [0; 2],
        }
    }

    pub(super) fn key(&self) -> Key {
        self.key
    }

    /// Reads once and returns the complete messages, and why the connection ended, if it did. Messages read before the
    /// end are still returned.
    pub(super) fn read<M: DeserializeOwned>(&mut self) -> (Vec<M>, Option<Ended>) {
        let mut piece = [0; PIECE];
        let ended = match self.stream.read(&mut piece) {
            Ok(0) => Some(Ended::Closed),
            Ok(n) => {
                self.incoming.extend_from_slice(&piece[..n]);
                self.bytes[0] += n as u64;
                None
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => None,
            Err(_) => Some(Ended::Closed),
        };
        let mut messages = Vec::new();
        let mut used = 0;
        let fault = loop {
            match FRAMING.decode(&self.incoming[used..], self.max_message) {
                Ok(Some((length, message))) => {
                    used += length;
                    messages.push(message);
                }
                Ok(None) => break None,
                Err(fault) => break Some(Ended::Fault(fault)),
            }
        };
        self.incoming.drain(..used);
        if self.incoming.is_empty() && self.incoming.capacity() > MAX_IDLE_CAPACITY {
            self.incoming = Vec::new();
        }
        (messages, fault.or(ended))
    }

    /// Appends a message to the send buffer.
    pub(super) fn push(&mut self, message: &impl Serialize) {
        self.outgoing.extend_from_slice(&FRAMING.encode(message));
    }

    /// Unsent bytes.
    pub(super) fn waiting(&self) -> usize {
        self.outgoing.len() - self.written
    }

    /// Whether a frame is partly received.
    pub(super) fn in_part(&self) -> bool {
        !self.incoming.is_empty() && self.incoming.len() < HEADER_LEN + self.max_message
    }

    /// Writes as much as the socket accepts. After an error the connection has to be closed.
    pub(super) fn flush(&mut self, poll: &Poll) -> io::Result<()> {
        while self.written < self.outgoing.len() {
            match self.stream.write(&self.outgoing[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.written += n;
                    self.bytes[1] += n as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        if self.waiting() == 0 {
            self.written = 0;
            self.outgoing.clear();
            self.outgoing.shrink_to(MAX_IDLE_CAPACITY);
        }
        let waits = self.waiting() > 0;
        if waits != self.watched {
            self.watched = waits;
            poll.watch_writable(self.key, &self.stream, waits)?;
        }
        Ok(())
    }

    /// Closes the connection.
    pub(super) fn close(self, poll: &Poll) {
        poll.remove(&self.stream);
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
