//! What is written to a client.

use super::Session;
use crate::codec::mysql::{Error, Server};
use crate::dispatch::Answer;
use crate::net::clients::client_error::ClientError;
use crate::net::event_loop::poll::Poll;
use crate::net::sockets::buffers::Block;
use std::net::Shutdown;

/// Names of the columns of every result.
const RESULT_COLUMNS: [&str; 3] = ["c1", "c2", "c3"];

impl Session {
    /// Has the protocol's server side write packets, and queues them.
    pub(super) fn write_packets(&mut self, write: impl FnOnce(&mut Server, &mut Vec<u8>)) {
        let mut bytes = Vec::new();
        write(&mut self.server, &mut bytes);
        self.outbox.append(&bytes);
    }

    /// Answers with OK.
    pub fn answer_ok(&mut self) {
        self.write_packets(|server, out| server.ok(out));
    }

    /// Answers with an error.
    pub fn answer_error(&mut self, error: impl Into<Error>) {
        let error = error.into();
        self.write_packets(|server, out| server.error(&error, out));
    }

    /// Gives the open request its final answer.
    pub fn answer(&mut self, answer: &Answer<Vec<Block>>) {
        (self.open, self.mistakes_in_a_row) = (None, 0);
        match answer {
            Answer::Rejected(ms) => self.answer_error(ClientError::Refused { backoff_ms: *ms }),
            Answer::Failed => self.answer_error(ClientError::Failed),
            Answer::Served(pages) => self.answer_rows(pages),
        }
    }

    /// Answers with a result. A page is lines of fields with tabs between, as executors send it.
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

    /// Answers with one row of named values.
    pub(super) fn answer_values(&mut self, values: &[(String, String)]) {
        let names: Vec<&str> = values.iter().map(|(name, _)| name.as_str()).collect();
        self.write_packets(|server, out| {
            server.columns(&names, out);
            server.row(values.iter().map(|(_, value)| value.as_bytes()), out);
            server.end_of_part(out);
        });
    }

    /// Whether all that was answered is written.
    pub fn is_flushed(&self) -> bool {
        self.outbox.is_empty()
    }

    /// Writes what can be written. False once the connection is gone.
    pub fn flush(&mut self, poll: &Poll) -> bool {
        let Ok(done) = self.outbox.flush(&mut self.stream) else { return false };
        if done && self.closing_since.is_some() && !std::mem::replace(&mut self.write_side_closed, true) {
            // The client still gets the last bytes if it was sending: the rest is read and dropped.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        let watched = (self.paused_until.is_none(), !done);
        let same = std::mem::replace(&mut self.watched, watched) == watched;
        same || poll.interest(self.key, &self.stream, watched.0, watched.1).is_ok()
    }
}
