//! Reading from a client.

use super::Session;
use crate::arrivals::Occurrence;
use crate::net::sockets::system_calls;
use std::io;

/// Maximum number of bytes discarded from a closing connection while the client reads its last answer.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

impl Session {
    /// Reads once; `noticed` bounds the arrival time of the bytes in a watched socket. Returns false if the
    /// client has disconnected.
    pub fn read(&mut self, noticed: Occurrence) -> bool {
        if self.closing_since.is_some() {
            return self.discard();
        }
        if self.paused_until.is_some() {
            return true;
        }
        self.active_at = noticed.latest;
        self.received = self.unread_since.take().map_or(noticed, |since| noticed.since(since));
        if self.read_buffer.is_full() {
            return false;
        }
        match self.read_buffer.fill(&mut self.stream) {
            Ok(n) => n > 0,
            Err(e) => may_read_later(&e),
        }
    }

    /// Reads once from a closing connection and discards the bytes. Returns false if the client has
    /// disconnected or has sent more than [`MAX_DISCARDED_BYTES`].
    fn discard(&mut self) -> bool {
        let mut bytes = [0; 4096];
        match system_calls::read(&mut self.stream, &mut bytes) {
            Ok(n) => {
                self.discarded_bytes += n;
                n > 0 && self.discarded_bytes < MAX_DISCARDED_BYTES
            }
            Err(e) => may_read_later(&e),
        }
    }

    /// Reads until the socket is empty. Returns false if the client has closed its connection or its write
    /// side; a request that it sent before doing so is not started.
    pub fn read_to_end(&mut self) -> bool {
        while self.closing_since.is_none() && self.paused_until.is_none() && !self.read_buffer.is_full() {
            match self.read_buffer.fill(&mut self.stream) {
                Ok(0) => return false,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == io::ErrorKind::WouldBlock,
            }
        }
        true
    }
}

/// Whether a failed read may succeed later.
fn may_read_later(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}
