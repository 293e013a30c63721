//! Time limits and closing of a client connection.

use super::Session;
use crate::api::Micros;
use crate::codec::mysql::Error;
use crate::net::clients::client_error::ClientError;
use crate::net::sockets::system_calls;

/// Time from the connect to the first complete command, in microseconds.
const FIRST_COMMAND_TIMEOUT: Micros = 2_000_000;
/// Time within which a partially received packet must be completed, in microseconds.
const PARTIAL_PACKET_TIMEOUT: Micros = 1_500_000;
/// Time a client has to read the last bytes of a closing connection, in microseconds.
const LINGER_TIMEOUT: Micros = 1_000_000;
/// The protocol's upper bound on how long after our shutdown of the connection a request may still arrive
/// that the client sent before it, in microseconds.
const MAX_TRANSIT_TIME: Micros = 50_000;
/// A client that reads nothing of its answer for this long is disconnected, in microseconds.
const WRITE_TIMEOUT: Micros = 30_000_000;

impl Session {
    /// Queues an error and stops accepting input; the connection closes once the error is written.
    pub fn close_with_error(&mut self, error: impl Into<Error>, now: Micros) {
        self.answer_error(error);
        self.closing_since.get_or_insert(now);
    }

    /// Ends an expired pause, and closes the session if one of its time limits has expired. Returns false if
    /// the connection must be closed immediately.
    pub fn tick(&mut self, now: Micros) -> bool {
        self.check_written(now);
        if let Some(since) = self.closing_since {
            return now < since + LINGER_TIMEOUT;
        }
        if self.paused_until.is_some_and(|t| t <= now) {
            self.paused_until = None;
        }
        if self.awaits_answer() {
            return true;
        }
        let late = !self.sent_command && now > self.connected_at + FIRST_COMMAND_TIMEOUT;
        if late || self.partial_since.is_some_and(|t| now > t + PARTIAL_PACKET_TIMEOUT) {
            self.close_with_error(ClientError::Timeout, now);
        }
        self.is_flushed() || now < self.active_at.max(self.written.1) + WRITE_TIMEOUT
    }

    /// Notes whether more was written since the last check.
    fn check_written(&mut self, now: Micros) {
        let written = self.write_buffer.written();
        if written > self.written.0 {
            self.written = (written, now);
        }
    }

    /// Whether the connection may be closed after `LEAVE`: no request is open or partially received, and the
    /// client has sent a command or had `grace` to send one.
    pub fn may_close(&self, now: Micros, grace: Micros) -> bool {
        let is_idle =
            !self.awaits_answer() && self.closing_since.is_none() && self.read_buffer.bytes().is_empty();
        is_idle && (self.sent_command || now > self.connected_at + grace)
    }

    /// Stops accepting input; the connection closes once all queued output is written.
    pub fn finish(&mut self, now: Micros) {
        self.closing_since.get_or_insert(now);
    }

    /// Whether the write side was closed long enough ago that anything the client sent before it saw the
    /// close has arrived.
    pub fn close_has_settled(&self, now: Micros) -> bool {
        self.write_side_closed && self.closing_since.is_some_and(|t| now > t + 2 * MAX_TRANSIT_TIME)
    }

    /// Whether the connection is closing and accepts no input.
    pub fn is_closing(&self) -> bool {
        self.closing_since.is_some()
    }

    /// Whether reading is paused.
    pub fn is_paused(&self) -> bool {
        self.paused_until.is_some()
    }

    /// When the connection began to close.
    pub fn closing_since(&self) -> Option<Micros> {
        self.closing_since
    }

    /// Whether the socket holds unread bytes or an unread end of stream.
    pub fn has_unread(&self) -> bool {
        !matches!(system_calls::peek(&self.stream), Ok(None))
    }

    /// Rank for eviction, lowest first; `None` if the connection must not be evicted. Closing connections
    /// come first, then those that sent no command within `grace`, then all others; within each group the
    /// longest idle comes first. A connection with an open request, unwritten output or a partial packet is
    /// never evicted; the caller must also check for [unread data](Session::has_unread).
    pub fn eviction_rank(&self, now: Micros, grace: Micros) -> Option<(u8, Micros)> {
        let is_idle = !self.awaits_answer() && self.is_flushed();
        if let Some(since) = self.closing_since.filter(|t| is_idle && now > *t + grace) {
            return Some((0, since));
        }
        let quiet = is_idle && self.read_buffer.bytes().is_empty() && self.paused_until.is_none();
        let silent = !self.sent_command && now > self.connected_at + grace;
        let spare = quiet && self.closing_since.is_none() && (self.sent_command || silent);
        spare.then_some((1 + u8::from(self.sent_command), self.active_at))
    }
}
