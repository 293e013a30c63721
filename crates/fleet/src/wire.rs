//! Framing of the messages between peers: a length, its check value and a message.

use crate::ledger::Limits;
use crate::{Incarnation, Micros, Peer};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The initial configuration of a fleet; the same at all participants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Founding {
    /// The fleet's id, chosen at random by the founder.
    pub id: u64,
    /// One incarnation for each configured peer; start 0 stands for one that is not known yet.
    pub voters: Vec<Incarnation>,
    /// The limits of the request ledger.
    pub limits: Limits,
    /// The creation time, by the founder's Unix clock.
    pub at: Micros,
    /// The highest policy number known to the peers that the founder heard; the previous fleet had it in force.
    pub policy: u64,
}

/// A message between peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Sent first on every connection and repeated periodically.
    Hello {
        /// The sender.
        from: Peer,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The fleet that the sender takes part in.
        fleet: Option<Founding>,
        /// Whether the sender has seen an entry committed to that fleet's log.
        formed: bool,
        /// The number of the policy that the sender applies.
        policy: u64,
    },
    /// A Raft message of the fleet with this id, in the library's encoding.
    Log(u64, Vec<u8>),
    /// Asks the owner of a request for its result, by its result id; a peer of an earlier release by the request's id.
    Fetch(u64),
    /// The result pages, under the id by which they were asked for; `None` if the request was rejected or failed.
    Result(u64, Option<Vec<Vec<u8>>>),
}

/// Bytes of the header: the message's length, and the length XORed with a constant. Without the second value, a reader
/// that is out of step would take arbitrary bytes for a length and wait for the rest of that frame.
pub const HEADER_LEN: usize = 8;
/// The framing between peers.
const PEER_FRAMING: Framing = Framing { check: 0x6f74_7463 };

/// Why bytes can't be read as a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// The frame is longer than allowed.
    TooLong(usize),
    /// The header's check fails or the body is not a message.
    Malformed,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::TooLong(n) => write!(f, "frame of {n} bytes exceeds the limit"),
            FrameError::Malformed => write!(f, "malformed frame"),
        }
    }
}

impl std::error::Error for FrameError {}

/// The framing of one protocol; frames of another protocol fail the header's check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Framing {
    /// The constant that the length is XORed with to give its check value.
    pub check: u32,
}

impl Framing {
    /// Encodes a message as a frame.
    pub fn encode(self, message: &impl Serialize) -> Vec<u8> {
        let mut bytes = vec![0; HEADER_LEN];
        let body = postcard::to_stdvec(message).unwrap_or_default();
        bytes.extend_from_slice(&body);
        let length = body.len() as u32;
        bytes[..4].copy_from_slice(&length.to_le_bytes());
        bytes[4..HEADER_LEN].copy_from_slice(&(length ^ self.check).to_le_bytes());
        bytes
    }

    /// Finds the first frame of `bytes`: its length and body, or `None` if it is incomplete.
    pub fn split(self, bytes: &[u8], max_len: usize) -> Result<Option<(usize, &[u8])>, FrameError> {
        let Some(head) = bytes.first_chunk::<HEADER_LEN>() else { return Ok(None) };
        let number = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        if number(0) ^ self.check != number(4) {
            return Err(FrameError::Malformed);
        }
        let length = number(0) as usize;
        if length > max_len {
            return Err(FrameError::TooLong(length));
        }
        Ok(bytes.get(HEADER_LEN..HEADER_LEN + length).map(|body| (HEADER_LEN + length, body)))
    }

    /// Decodes the first frame of `bytes`: its length and message, or `None` if it is incomplete.
    pub fn decode<M: DeserializeOwned>(
        self,
        bytes: &[u8],
        max_len: usize,
    ) -> Result<Option<(usize, M)>, FrameError> {
        let Some((length, body)) = self.split(bytes, max_len)? else { return Ok(None) };
        match postcard::take_from_bytes(body) {
            Ok((message, [])) => Ok(Some((length, message))),
            _ => Err(FrameError::Malformed),
        }
    }
}

/// Encodes a message between peers as a frame.
pub fn encode_frame(message: &Message) -> Vec<u8> {
    PEER_FRAMING.encode(message)
}

/// Decodes the first frame of `bytes` between peers.
pub fn decode_frame(bytes: &[u8], max_len: usize) -> Result<Option<(usize, Message)>, FrameError> {
    PEER_FRAMING.decode(bytes, max_len)
}

#[cfg(test)]
mod tests;
