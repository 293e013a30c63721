//! Time limits of a client's connection, and how it ends.

use super::Session;
use crate::api::Micros;
use crate::codec::mysql::Error;
use crate::net::clients::client_error::ClientError;
use crate::net::sockets::system_calls;

/// From its connect a client has this long to send a first whole command.
const FIRST_COMMAND_TIMEOUT: Micros = 2_000_000;
/// A packet that came in part has to be whole within this time.
const PARTIAL_PACKET_TIMEOUT: Micros = 1_500_000;
/// A client whose connection closes has this long to read the last bytes.
const LINGER_TIMEOUT: Micros = 1_000_000;
/// The protocol's bound on how long after our end a request of the client's may still come, which it sent before.
const CROSSING_TIME: Micros = 50_000;
/// A client that reads nothing of its answer for this long is disconnected.
const WRITE_TIMEOUT: Micros = 30_000_000;

impl Session {
    /// Answers with an error and takes nothing more from the client; the connection closes once that is written.
    pub fn close_with_error(&mut self, error: impl Into<Error>, now: Micros) {
        self.answer_error(error);
        self.closing_since.get_or_insert(now);
    }

    /// Ends a pause that is over, and the session of a client that owes something for too long. False if the
    /// connection has to be closed at once.
    pub fn tick(&mut self, now: Micros) -> bool {
        if let Some(since) = self.closing_since {
            return now < since + LINGER_TIMEOUT;
        }
        if self.paused_until.is_some_and(|t| t <= now) {
            self.paused_until = None;
        }
        if self.open.is_some() {
            return true;
        }
        let late = !self.sent_command && now > self.connected_at + FIRST_COMMAND_TIMEOUT;
        if late || self.partial_since.is_some_and(|t| now > t + PARTIAL_PACKET_TIMEOUT) {
            self.close_with_error(ClientError::Timeout, now);
        }
        self.is_flushed() || now < self.active_at + WRITE_TIMEOUT
    }

    /// Whether it may be closed after `LEAVE`: no request is open or here in part, and the client sent a command
    /// already, or had `patience` to.
    pub fn may_close(&self, now: Micros, patience: Micros) -> bool {
        let rests = self.open.is_none() && self.closing_since.is_none() && self.inbox.bytes().is_empty();
        rests && (self.sent_command || now > self.connected_at + patience)
    }

    /// Takes nothing more from the client; the connection closes once what was answered is written.
    pub fn finish(&mut self, now: Micros) {
        self.closing_since.get_or_insert(now);
    }

    /// Whether its end was written so long ago that whatever crossed it has arrived.
    pub fn end_has_settled(&self, now: Micros) -> bool {
        self.write_side_closed && self.closing_since.is_some_and(|t| now > t + 2 * CROSSING_TIME)
    }

    /// Whether nothing more is taken from it.
    pub fn is_closing(&self) -> bool {
        self.closing_since.is_some()
    }

    /// Whether it is not read for a while.
    pub fn is_paused(&self) -> bool {
        self.paused_until.is_some()
    }

    /// Since when nothing more is taken from it.
    pub fn closing_since(&self) -> Option<Micros> {
        self.closing_since
    }

    /// Whether the socket holds bytes that were not read, or the client's end.
    pub fn has_unread(&self) -> bool {
        !matches!(system_calls::peek(&self.stream), Ok(None))
    }

    /// How soon it is closed to make room, the lowest first; `None` if it may not be. First come those that are
    /// closing, then those that sent no command within `patience`, then the others, of each the longest idle. Never
    /// one with anything open, unwritten or here in part; whether the socket [holds more](Session::has_unread) has to
    /// be asked besides.
    pub fn eviction_rank(&self, now: Micros, patience: Micros) -> Option<(u8, Micros)> {
        let rests = self.open.is_none() && self.is_flushed();
        if let Some(since) = self.closing_since.filter(|t| rests && now > *t + patience) {
            return Some((0, since));
        }
        let quiet = rests && self.inbox.bytes().is_empty() && self.paused_until.is_none();
        let silent = !self.sent_command && now > self.connected_at + patience;
        let spare = quiet && self.closing_since.is_none() && (self.sent_command || silent);
        spare.then_some((1 + u8::from(self.sent_command), self.active_at))
    }
}
