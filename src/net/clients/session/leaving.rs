//! What time does to a client's connection, and how it ends.

use super::Session;
use crate::api::Micros;
use crate::codec::mysql::Error;
use crate::net::sockets::system_calls;

/// A client has this long from its connect to bring a first request whole.
const FIRST: Micros = 2_000_000;
/// What came of a message in part has to be whole within this time.
const PART: Micros = 1_500_000;
/// A client that was told to go has this long to read the last bytes.
const LINGER: Micros = 1_000_000;
/// A request that crosses the end of its connection does so within this time, says the protocol.
const CROSSING: Micros = 50_000;
/// A client that takes nothing off its answer for this long is let go.
const STUCK: Micros = 30_000_000;

impl Session {
    /// Takes nothing more from the client; it goes once it has read what was answered.
    pub fn close_with_error(&mut self, error: &Error, now: Micros) {
        self.write_packets(|s, out| s.error(error, out));
        self.closing_since.get_or_insert(now);
    }

    /// What time does to it: pauses end, and what is owed for too long ends it. False if it has to be closed.
    pub fn tick(&mut self, now: Micros) -> bool {
        if let Some(since) = self.closing_since {
            return now < since + LINGER;
        }
        if self.paused_until.is_some_and(|t| t <= now) {
            self.paused_until = None;
        }
        if self.open.is_some() {
            return true;
        }
        let late = !self.sent_command && now > self.connected_at + FIRST;
        if late || self.partial_since.is_some_and(|t| now > t + PART) {
            self.close_with_error(&Error::new(1159, "08S01", "no whole request in time"), now);
        }
        self.is_flushed() || now < self.active_at + STUCK
    }

    /// After `LEAVE`: whether it can be let go now. Nothing is open or here in part, and it asked something
    /// already, or had `patience` to.
    pub fn may_close(&self, now: Micros, patience: Micros) -> bool {
        let rests = self.open.is_none() && self.closing_since.is_none() && self.inbox.bytes().is_empty();
        rests && (self.sent_command || now > self.connected_at + patience)
    }

    /// Takes nothing more from the client, without a word: it closes once what was answered is written.
    pub fn finish(&mut self, now: Micros) {
        self.closing_since.get_or_insert(now);
    }

    /// Whether its end has been written for so long that whatever crossed it is here.
    pub fn end_has_settled(&self, now: Micros) -> bool {
        self.write_side_closed && self.closing_since.is_some_and(|t| now > t + 2 * CROSSING)
    }

    /// Whether it was told to go.
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

    /// Whether something came that was not read, or its end did.
    pub fn has_unread(&self) -> bool {
        !matches!(system_calls::peek(&self.stream), Ok(None))
    }

    /// Whether it could go for another, and how dear it is: first those told to go, then those that said nothing for
    /// `patience`, then those longest idle. Never one with anything open, unwritten or here in part; whether anything
    /// is [unread](Session::unread) is to be asked besides.
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
