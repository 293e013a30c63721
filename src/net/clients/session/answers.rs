//! Writing answers to a client.

use super::Session;
use crate::codec::mysql::{Error, Server};
use crate::dispatch::Answer;
use crate::net::clients::client_error::ClientError;
use crate::net::event_loop::poll::Poll;
use crate::net::sockets::buffers::Block;
use std::net::Shutdown;

/// Column names of every result set.
const RESULT_COLUMNS: [&str; 3] = ["c1", "c2", "c3"];

impl Session {
    /// Encodes protocol packets and queues them.
    pub(super) fn write_packets(&mut self, write: impl FnOnce(&mut Server, &mut Vec<u8>)) {
        let mut bytes = Vec::new();
        write(&mut self.server, &mut bytes);
        self.write_buffer.append(&bytes);
    }

    /// Queues an OK packet.
    pub fn answer_ok(&mut self) {
        self.write_packets(|server, out| server.ok(out));
    }

    /// Queues an error packet.
    pub fn answer_error(&mut self, error: impl Into<Error>) {
        let error = error.into();
        self.write_packets(|server, out| server.error(&error, out));
    }

    /// Makes the answer to a KILL wait for the other processes; until then no further command is processed.
    pub fn await_kill(&mut self) {
        self.awaits_kill = true;
    }

    /// Queues the answer to a KILL for a connection; `found` is whether that connection exists.
    pub fn end_kill(&mut self, connection: u32, found: bool) {
        self.awaits_kill = false;
        if found {
            self.answer_ok();
        } else {
            self.answer_error(ClientError::UnknownThread(connection.to_string()));
        }
    }

    /// Ends the open request with an error because it was killed, and returns it.
    pub fn interrupt(&mut self) -> Option<u64> {
        let request = self.open.take()?;
        self.answer_error(ClientError::Interrupted);
        Some(request)
    }

    /// Queues the final answer of the open request.
    pub fn answer(&mut self, answer: &Answer<Vec<Block>>) {
        (self.open, self.consecutive_errors) = (None, 0);
        match answer {
            Answer::Rejected(ms) => self.answer_error(ClientError::Refused { backoff_ms: *ms }),
            Answer::Failed => self.answer_error(ClientError::Failed),
            Answer::Served(pages) => self.answer_rows(pages),
        }
    }

    /// Queues a result set. A page holds newline-terminated rows with tab-separated fields, as executors send
    /// them.
    fn answer_rows(&mut self, pages: &[Block]) {
        self.write_packets(|server, out| server.columns(&RESULT_COLUMNS, out));
        for page in pages {
            let rows = page.bytes().strip_suffix(b"\n").map(|page| page.split(|byte| *byte == b'\n'));
            self.write_packets(|server, out| {
                let rows = rows.into_iter().flatten();
                rows.for_each(|row| server.row(row.split(|byte| *byte == b'\t'), out));
            });
        }
        self.write_packets(|server, out| server.end_of_part(out));
    }

    /// Queues a result set with a single row of named values.
    pub(super) fn answer_values(&mut self, values: &[(String, String)]) {
        let names: Vec<&str> = values.iter().map(|(name, _)| name.as_str()).collect();
        self.write_packets(|server, out| {
            server.columns(&names, out);
            server.row(values.iter().map(|(_, value)| value.as_bytes()), out);
            server.end_of_part(out);
        });
    }

    /// Whether all queued output has been written.
    pub fn is_flushed(&self) -> bool {
        self.write_buffer.is_empty()
    }

    /// Writes as much pending output as the socket accepts. Returns false if the connection is lost.
    pub fn flush(&mut self, poll: &Poll) -> bool {
        let Ok(done) = self.write_buffer.flush(&mut self.stream) else { return false };
        if done && self.closing_since.is_some() && !std::mem::replace(&mut self.write_side_closed, true) {
            // Shutting down only the write side lets a client that is still sending receive the last bytes;
            // its data is read and discarded.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        let watched = (self.paused_until.is_none(), !done);
        let same = std::mem::replace(&mut self.watched, watched) == watched;
        same || poll.set_interest(self.key, &self.stream, watched.0, watched.1).is_ok()
    }
}
