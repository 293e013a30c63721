//! A client connection.
//!
//! - `statements`: interpretation of a client's statements.
//! - `request`: parsing of a request from a statement's comment.
//! - `reading`: reading from the connection.
//! - `answers`: writing to the connection.
//! - `lifecycle`: time limits and closing.
//! - `sessions`: all client connections.

mod answers;
mod lifecycle;
mod reading;
mod request;
mod sessions;
mod statements;

use crate::api::Micros;
use crate::arrivals::Occurrence;
use crate::codec::mysql::{Command, Error, Server};
use crate::dispatch::Request;
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::executors::connection::Job;
use crate::net::sockets::buffers::{Pool, ReadBuffer, WriteBuffer};
use crate::settings::Names;
pub use sessions::{Sessions, first_connection_id};
use statements::{Interpretation, interpret};
use std::io;
use std::net::TcpStream;

/// The read pause after the n-th consecutive client error is 2^n times this, in microseconds.
const ERROR_PAUSE: Micros = 10_000;
/// The connection closes after this many consecutive client errors.
const MAX_CONSECUTIVE_ERRORS: u32 = 8;
/// Length of a quit command: the packet header and the command byte.
const QUIT_LENGTH: usize = 5;

/// A client command that the session cannot answer on its own.
#[derive(Debug)]
pub enum ClientCommand {
    /// A request, and the job that its attempts execute.
    Request(Request, Job),
    /// KILL for the open request of the connection with this id.
    Kill(u32),
    /// The client asked to close the connection.
    Close,
}

/// A client connection.
pub struct Session {
    stream: TcpStream,
    key: Key,
    /// Connection id sent in the greeting; KILL refers to it.
    pub id: u32,
    server: Server,
    read_buffer: ReadBuffer,
    write_buffer: WriteBuffer,
    /// Id of the open request.
    pub open: Option<u64>,
    /// Whether a KILL of this client waits for the other processes of this dispatcher.
    awaits_kill: bool,
    /// Time of the last read or answer.
    pub active_at: Micros,
    /// Number of bytes written by the last check, and when a check last found more.
    written: (u64, Micros),
    /// When it connected.
    connected_at: Micros,
    /// Since when unread bytes may be waiting in the socket; `None` while the socket is watched for reading.
    unread_since: Option<Micros>,
    /// When the most recently read bytes arrived.
    received: Occurrence,
    /// Since when a partial packet has been in the read buffer.
    partial_since: Option<Micros>,
    /// Whether the client has sent a complete command after its login.
    sent_command: bool,
    /// Whether the client has sent a request.
    sent_request: bool,
    /// Number of consecutive client errors.
    consecutive_errors: u32,
    /// End of the read pause after a client error.
    paused_until: Option<Micros>,
    /// When the connection began to close. It closes once all output is written and the data that the client
    /// sent in the meantime is read.
    closing_since: Option<Micros>,
    /// Bytes read and discarded since the connection began to close.
    discarded_bytes: usize,
    /// Whether all output has been written since then and the write side is shut down.
    write_side_closed: bool,
    /// Whether the socket is watched for reading and for writing.
    watched: (bool, bool),
}

impl Session {
    /// Creates a session for a new connection and queues the greeting.
    pub fn new(
        stream: TcpStream,
        poll: &Poll,
        pool: &Pool,
        id: u32,
        scramble: &[u8; 20],
        connected: Occurrence,
    ) -> io::Result<Session> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let key = poll.add(&stream, false)?;
        let (mut server, mut greeting) = (Server::default(), Vec::new());
        server.greet(id, scramble, &mut greeting);
        let mut write_buffer = WriteBuffer::new(pool);
        write_buffer.append(&greeting);
        let read_buffer = ReadBuffer::new(pool);
        Ok(Session {
            stream,
            key,
            id,
            server,
            read_buffer,
            write_buffer,
            open: None,
            awaits_kill: false,
            active_at: connected.latest,
            written: (0, connected.latest),
            connected_at: connected.latest,
            unread_since: Some(connected.earliest),
            received: connected,
            partial_since: None,
            sent_command: false,
            sent_request: false,
            consecutive_errors: 0,
            paused_until: None,
            closing_since: None,
            discarded_bytes: 0,
            write_side_closed: false,
            watched: (true, false),
        })
    }

    /// Whether the client waits for an answer to a request or a KILL.
    pub fn awaits_answer(&self) -> bool {
        self.open.is_some() || self.awaits_kill
    }

    /// When the last byte read arrived; a request's time budget starts there.
    pub fn received(&self) -> Occurrence {
        self.received
    }

    /// Records that a request was accepted. Returns whether it is the first one on this connection.
    pub fn take_first_request(&mut self) -> bool {
        !std::mem::replace(&mut self.sent_request, true)
    }

    /// Whether the client has sent anything other than a quit command, which is not allowed while its request
    /// is open.
    pub fn sends_while_open(&self) -> bool {
        let bytes = self.read_buffer.bytes();
        bytes.len() >= QUIT_LENGTH && !is_quit(bytes)
    }

    /// Whether the client has sent a quit command while its request is open.
    pub fn has_quit(&self) -> bool {
        self.open.is_some() && is_quit(self.read_buffer.bytes())
    }

    /// Answers commands that the session can handle itself, and returns the next one that it cannot.
    pub fn next_command(&mut self, names: &Names, now: Micros) -> Option<ClientCommand> {
        while !self.awaits_answer() && self.closing_since.is_none() && self.paused_until.is_none() {
            let (length, is_login, interpretation) = match self.server.next(self.read_buffer.bytes()) {
                Ok(None) => {
                    let part = !self.read_buffer.bytes().is_empty();
                    self.partial_since = part.then(|| self.partial_since.unwrap_or(now));
                    return None;
                }
                Ok(Some((length, command))) => {
                    (length, command == Command::Login, interpret(&command, names))
                }
                Err(e) => {
                    tracing::info!(client = self.id, error = %e, "client closed");
                    self.close_with_error(e, now);
                    return None;
                }
            };
            self.read_buffer.consume(length);
            self.partial_since = None;
            self.sent_command |= !is_login;
            match interpretation {
                Ok(Interpretation::Ok) => self.answer_ok(),
                Ok(Interpretation::Values(values)) => self.answer_values(&values),
                Ok(Interpretation::Command(command)) => return Some(command),
                Err(e) => self.reject_and_pause(e, now),
            }
        }
        None
    }

    /// Answers a client error immediately and then pauses reading, because some clients repeat the same error
    /// forever.
    pub fn reject_and_pause(&mut self, error: impl Into<Error>, now: Micros) {
        self.consecutive_errors += 1;
        if self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS {
            return self.close_with_error(error, now);
        }
        self.answer_error(error);
        self.paused_until = Some(now + (ERROR_PAUSE << self.consecutive_errors));
        self.unread_since = Some(self.received.earliest);
    }

    /// Deregisters and closes the connection.
    pub fn close(self, poll: &Poll) {
        poll.remove(&self.stream);
    }
}

/// Whether the bytes are exactly one quit command.
fn is_quit(bytes: &[u8]) -> bool {
    matches!(bytes, [1, 0, 0, _, 1])
}

#[cfg(test)]
mod tests;
