//! One connection to a coordinator.

use crate::api::Micros;
use crate::net::event_loop::poll::Key;
use crate::net::sockets::system_calls;
use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::TcpStream;

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;

/// Why a connection to the coordinator was given up.
#[derive(Debug)]
pub(super) enum WatchError {
    /// The socket failed.
    Socket(io::Error),
    /// The coordinator closed it.
    Closed,
    /// No line came in time.
    Unresponsive,
    /// A line can't be read.
    BadLine(String),
    /// A line is longer than any list.
    LineTooLong,
    /// The coordinator has an event that it did not send: the last there, and the last applied.
    Behind { last: u64, applied: u64 },
    /// An event is missing: the one that came, and the last applied.
    Gap { index: u64, applied: u64 },
}

impl Display for WatchError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            WatchError::Socket(error) => write!(f, "{error}"),
            WatchError::Closed => f.write_str("closed by the coordinator"),
            WatchError::Unresponsive => f.write_str("silent"),
            WatchError::BadLine(error) => write!(f, "bad line: {error}"),
            WatchError::LineTooLong => f.write_str("line without end"),
            WatchError::Behind { last, applied } => write!(f, "event {last} is there, {applied} held"),
            WatchError::Gap { index, applied } => write!(f, "event {index} after {applied}"),
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
    /// Whether it came up.
    pub(super) connected: bool,
    /// Whether it brought a whole line: then a new one is tried without a backoff.
    pub(super) received_line: bool,
    /// The point of the last whole line, or at which it was begun or came up, in microseconds.
    pub(super) last_line_at: Micros,
    /// What was received of the next line.
    pub(super) line: Vec<u8>,
    /// Up to where it was searched for its end: a whole list comes in many pieces.
    pub(super) searched: usize,
}

impl Watch {
    /// A connection that was begun and is not up yet.
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

    /// Receives what is there; false if nothing is.
    pub(super) fn receive(&mut self) -> Result<bool, WatchError> {
        let mut piece = [0; READ_BYTES];
        match system_calls::read(&mut self.stream, &mut piece) {
            Ok(0) => Err(WatchError::Closed),
            Ok(n) => {
                self.line.extend_from_slice(&piece[..n]);
                Ok(true)
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => Ok(false),
            Err(e) => Err(e.into()),
        }
    }

    /// The end of the next whole line, if it is here.
    pub(super) fn next_line_end(&self) -> Option<usize> {
        let length = self.line[self.searched..].iter().position(|byte| *byte == b'\n')?;
        Some(self.searched + length)
    }
}
