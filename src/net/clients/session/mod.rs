//! A client's connection.
//!
//! - `statements`: what a client's statement means.
//! - `request`: a request, as a statement's comment describes it.
//! - `reading`: what is read from it.
//! - `answers`: what is written to it.
//! - `lifecycle`: its time limits, and how it ends.
//! - `sessions`: all of them.

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
use crate::net::sockets::buffers::{Inbox, Outbox, Pool};
use crate::settings::Names;
pub use sessions::Sessions;
use statements::{Interpretation, interpret};
use std::io;
use std::net::TcpStream;

/// After a mistake a client is not read for this long, in microseconds, and twice as long after each further one.
const MISTAKE_PAUSE: Micros = 10_000;
/// After so many mistakes in a row its connection closes.
const MOST_MISTAKES: u32 = 8;
/// Length of a quit command: the packet's header and the command byte.
const QUIT_LENGTH: usize = 5;

/// A command of a client's that its session can't answer by itself.
#[derive(Debug)]
pub enum ClientCommand {
    /// A request, and what an attempt of it needs.
    Request(Request, Job),
    /// The request of the connection with this id is to be given up.
    Kill(u32),
    /// The connection is to be closed.
    Close,
}

/// A client's connection.
pub struct Session {
    stream: TcpStream,
    key: Key,
    /// The connection id in the greeting, by which KILL names it.
    pub id: u32,
    server: Server,
    inbox: Inbox,
    outbox: Outbox,
    /// The request that is open.
    pub open: Option<u64>,
    /// When anything was last read from it or answered on it.
    pub active_at: Micros,
    /// When it connected.
    connected_at: Micros,
    /// Since when bytes may wait in the socket that were not read; `None` while it is watched for them.
    unread_since: Option<Micros>,
    /// When the bytes that were read last came.
    received: Occurrence,
    /// Since when a part of its next packet has been here.
    partial_since: Option<Micros>,
    /// Whether it ever sent a whole command beside its login.
    sent_command: bool,
    /// Whether it ever sent a request.
    sent_request: bool,
    /// Mistakes of the client's in a row.
    mistakes_in_a_row: u32,
    /// Until when it is not read, after a mistake.
    paused_until: Option<Micros>,
    /// Since when nothing more is taken from it. It closes once all is written, and what crossed its end is read.
    closing_since: Option<Micros>,
    /// Bytes read and dropped since then.
    discarded_bytes: usize,
    /// Whether all was written since then, and our side was shut down.
    write_side_closed: bool,
    /// Whether it is watched for reading and for writing.
    watched: (bool, bool),
}

impl Session {
    /// Begins a session on a new connection, and queues the greeting.
    pub fn new(
        stream: TcpStream,
        poll: &Poll,
        pool: &Pool,
        id: u32,
        scramble: &[u8; 20],
        came: Occurrence,
    ) -> io::Result<Session> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let key = poll.add(&stream, false)?;
        let (mut server, mut greeting) = (Server::default(), Vec::new());
        server.greet(id, scramble, &mut greeting);
        let mut outbox = Outbox::new(pool);
        outbox.append(&greeting);
        let inbox = Inbox::new(pool);
        Ok(Session {
            stream,
            key,
            id,
            server,
            inbox,
            outbox,
            open: None,
            active_at: came.latest,
            connected_at: came.latest,
            unread_since: Some(came.earliest),
            received: came,
            partial_since: None,
            sent_command: false,
            sent_request: false,
            mistakes_in_a_row: 0,
            paused_until: None,
            closing_since: None,
            discarded_bytes: 0,
            write_side_closed: false,
            watched: (true, false),
        })
    }

    /// When the last byte of what was read came: a request's budget runs from there.
    pub fn received(&self) -> Occurrence {
        self.received
    }

    /// Notes that a request was taken. Returns whether it is the first of this connection.
    pub fn take_first_request(&mut self) -> bool {
        !std::mem::replace(&mut self.sent_request, true)
    }

    /// Whether the client sent more than a quit command, which it may not do while its request is open.
    pub fn sends_while_open(&self) -> bool {
        let bytes = self.inbox.bytes();
        bytes.len() >= QUIT_LENGTH && !is_quit(bytes)
    }

    /// Whether the client sent the quit command while its request is open.
    pub fn has_quit(&self) -> bool {
        self.open.is_some() && is_quit(self.inbox.bytes())
    }

    /// The next command that the session can't answer by itself; those that it can, it answers.
    pub fn next_command(&mut self, names: &Names, now: Micros) -> Option<ClientCommand> {
        while self.open.is_none() && self.closing_since.is_none() && self.paused_until.is_none() {
            let (length, is_login, interpretation) = match self.server.next(self.inbox.bytes()) {
                Ok(None) => {
                    let part = !self.inbox.bytes().is_empty();
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
            self.inbox.consume(length);
            self.partial_since = None;
            self.sent_command |= !is_login;
            match interpretation {
                Ok(Interpretation::Ok) => self.answer_ok(),
                Ok(Interpretation::Values(values)) => self.answer_values(&values),
                Ok(Interpretation::Command(command)) => return Some(command),
                Err(e) => self.reject_mistake(e, now),
            }
        }
        None
    }

    /// Answers a mistake of the client's at once, and reads on only after a pause: some clients repeat it for ever.
    pub fn reject_mistake(&mut self, error: impl Into<Error>, now: Micros) {
        self.mistakes_in_a_row += 1;
        if self.mistakes_in_a_row >= MOST_MISTAKES {
            return self.close_with_error(error, now);
        }
        self.answer_error(error);
        self.paused_until = Some(now + (MISTAKE_PAUSE << self.mistakes_in_a_row));
        self.unread_since = Some(self.received.earliest);
    }

    /// Closes it.
    pub fn close(self, poll: &Poll) {
        poll.remove(&self.stream);
    }
}

/// Whether bytes are a quit command and nothing more.
fn is_quit(bytes: &[u8]) -> bool {
    matches!(bytes, [1, 0, 0, _, 1])
}

#[cfg(test)]
mod tests;
