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
    pub fn dismiss(&mut self, error: &Error, now: Micros) {
        self.put(|s, out| s.error(error, out));
        self.closing.get_or_insert(now);
    }

    /// What time does to it: pauses end, and what is owed for too long ends it. False if it has to be closed.
    pub fn tick(&mut self, now: Micros) -> bool {
        if let Some(since) = self.closing {
            return now < since + LINGER;
        }
        if self.paused_until.is_some_and(|t| t <= now) {
            self.paused_until = None;
        }
        if self.open.is_some() {
            return true;
        }
        let late = !self.asked && now > self.opened + FIRST;
        if late || self.part_since.is_some_and(|t| now > t + PART) {
            self.dismiss(&Error::new(1159, "08S01", "no whole request in time"), now);
        }
        self.flushed() || now < self.touched + STUCK
    }

    /// After `LEAVE`: whether it can be let go now. Nothing is open or here in part, and it asked something
    /// already, or had `patience` to.
    pub fn done_with(&self, now: Micros, patience: Micros) -> bool {
        let rests = self.open.is_none() && self.closing.is_none() && self.inbox.bytes().is_empty();
        rests && (self.asked || now > self.opened + patience)
    }

    /// Takes nothing more from the client, without a word: it closes once what was answered is written.
    pub fn finish(&mut self, now: Micros) {
        self.closing.get_or_insert(now);
    }

    /// Whether its end has been written for so long that whatever crossed it is here.
    pub fn has_crossed(&self, now: Micros) -> bool {
        self.finished && self.closing.is_some_and(|t| now > t + 2 * CROSSING)
    }

    /// Whether it was told to go.
    pub fn dismissed(&self) -> bool {
        self.closing.is_some()
    }

    /// Whether it is not read for a while.
    pub fn paused(&self) -> bool {
        self.paused_until.is_some()
    }

    /// Since when nothing more is taken from it.
    pub fn dismissed_at(&self) -> Option<Micros> {
        self.closing
    }

    /// Whether something came that was not read, or its end did.
    pub fn unread(&self) -> bool {
        !matches!(system_calls::peek(&self.stream), Ok(None))
    }

    /// Whether it could go for another, and how dear it is: first those told to go, then those that said nothing for
    /// `patience`, then those longest idle. Never one with anything open, unwritten or here in part; whether anything
    /// is [unread](Session::unread) is to be asked besides.
    pub fn spare(&self, now: Micros, patience: Micros) -> Option<(u8, Micros)> {
        let rests = self.open.is_none() && self.flushed();
        if let Some(since) = self.closing.filter(|t| rests && now > *t + patience) {
            return Some((0, since));
        }
        let quiet = rests && self.inbox.bytes().is_empty() && self.paused_until.is_none();
        let silent = !self.asked && now > self.opened + patience;
        let spare = quiet && self.closing.is_none() && (self.asked || silent);
        spare.then_some((1 + u8::from(self.asked), self.touched))
    }
}
