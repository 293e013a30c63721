//! One connection to a coordinator.

use crate::api::Micros;
use crate::net::event_loop::poll::Key;
use crate::net::sockets::system_calls;
use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::TcpStream;

/// Maximum number of bytes per read.
const READ_BYTES: usize = 16 * 1024;

/// Why a connection to the coordinator was dropped.
#[derive(Debug)]
pub(super) enum WatchError {
    /// The socket failed.
    Socket(io::Error),
    /// The coordinator closed it.
    Closed,
    /// No line was received in time.
    Unresponsive,
    /// A line can't be parsed.
    BadLine(String),
    /// A line exceeds the maximum length.
    LineTooLong,
    /// The coordinator has an event that it did not send: its last event, and the last one applied.
    Behind { last: u64, applied: u64 },
    /// An event is missing: the one received, and the last one applied.
    Gap { index: u64, applied: u64 },
}

impl Display for WatchError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            WatchError::Socket(error) => write!(f, "{error}"),
            WatchError::Closed => f.write_str("closed by the coordinator"),
            WatchError::Unresponsive => f.write_str("silent"),
            WatchError::BadLine(error) => write!(f, "bad line: {error}"),
            WatchError::LineTooLong => f.write_str("line too long"),
            WatchError::Behind { last, applied } => {
                write!(f, "the coordinator is at event {last}, the last one applied is {applied}")
            }
            WatchError::Gap { index, applied } => {
                write!(f, "gap: event {index} received after event {applied}")
            }
        }
    }
}

impl std::error::Error for WatchError {}

impl From<io::Error> for WatchError {
    fn from(error: io::Error) -> WatchError {
        WatchError::Socket(error)
    }
}

/// One connection to a coordinator.
pub(super) struct Watch {
    /// Its key in the poller.
    pub(super) key: Key,
    /// The socket.
    pub(super) stream: TcpStream,
    /// Whether it is established.
    pub(super) connected: bool,
    /// Whether a complete line was received: if so, a reconnect needs no backoff.
    pub(super) received_line: bool,
    /// Time of the last complete line, or of the start or establishment of the connection, in microseconds.
    pub(super) last_line_at: Micros,
    /// The received part of the next line.
    pub(super) line: Vec<u8>,
    /// The offset up to which `line` was searched for a line end, as a long list arrives in many reads.
    pub(super) searched: usize,
}

impl Watch {
    /// A connection that was started and is not established yet.
    pub(super) fn new(key: Key, stream: TcpStream, now: Micros) -> Watch {
        Watch {
            key,
            stream,
            connected: false,
            received_line: false,
            last_line_at: now,
            line: Vec::new(),
            searched: 0,
        }
    }

    /// Receives available data; false if there is none.
    pub(super) fn receive(&mut self) -> Result<bool, WatchError> {
        let mut chunk = [0; READ_BYTES];
        match system_calls::read(&mut self.stream, &mut chunk) {
            Ok(0) => Err(WatchError::Closed),
            Ok(n) => {
                self.line.extend_from_slice(&chunk[..n]);
                Ok(true)
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => Ok(false),
            Err(e) => Err(e.into()),
        }
    }

    /// The end of the next line, if it was received completely.
    pub(super) fn next_line_end(&self) -> Option<usize> {
        let length = self.line[self.searched..].iter().position(|byte| *byte == b'\n')?;
        Some(self.searched + length)
    }
}
