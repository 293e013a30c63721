//! Messages from other processes of this dispatcher.

use super::message::{self, Message};
use crate::net::event_loop::poll::{Key, Poll};
use std::fs::File;
use std::io::{self, Read};

/// Bytes per read; a pipe holds no more.
const READ_BYTES: usize = 64 * 1024;

/// The pipe that this process reads.
pub(super) struct Inbox {
    pipe: File,
    key: Key,
    /// Bytes that are not decoded yet: less than one message after each read.
    bytes: Vec<u8>,
}

impl Inbox {
    /// Registers a pipe, which must not block.
    pub(super) fn new(pipe: File, poll: &Poll) -> io::Result<Inbox> {
        let key = poll.add(&pipe, false)?;
        Ok(Inbox { pipe, key, bytes: Vec::new() })
    }

    /// The poller key of the pipe.
    pub(super) fn key(&self) -> Key {
        self.key
    }

    /// Reads what the pipe holds now and returns its messages, in order.
    pub(super) fn read(&mut self) -> Vec<Message> {
        let mut buffer = [0; READ_BYTES];
        match self.pipe.read(&mut buffer) {
            Ok(length) => self.bytes.extend_from_slice(&buffer[..length]),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
            Err(e) => tracing::warn!(error = %e, "siblings: can't read the pipe"),
        }
        self.decode_messages()
    }

    fn decode_messages(&mut self) -> Vec<Message> {
        let (mut messages, mut decoded) = (Vec::new(), 0);
        loop {
            match message::decode(&self.bytes[decoded..]) {
                Ok(Some((length, message))) => {
                    decoded += length;
                    messages.extend(message);
                }
                Ok(None) => break,
                Err(e) => {
                    // Where the next message begins is not known.
                    tracing::warn!(error = %e, "siblings: messages discarded");
                    decoded = self.bytes.len();
                    break;
                }
            }
        }
        self.bytes.drain(..decoded);
        messages
    }
}
