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
    /// Asks the owner of a request for its result.
    Fetch(u64),
    /// The result pages of a request; `None` if it was rejected or failed.
    Result(u64, Option<Vec<Vec<u8>>>),
}

/// Bytes of the header: the message's length, and the length XORed with a constant. Without the second value, a reader
/// that is out of step would take arbitrary bytes for a length and wait for the rest of that frame.
pub const HEAD: usize = 8;
/// The framing between peers.
const PEERS: Framing = Framing { check: 0x6f74_7463 };

/// Why bytes can't be read as a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The frame is longer than allowed.
    TooLong(usize),
    /// The header's check fails or the body is not a message.
    Garbled,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::TooLong(n) => write!(f, "a frame of {n} bytes"),
            Fault::Garbled => write!(f, "a frame that is no message"),
        }
    }
}

impl std::error::Error for Fault {}

/// The framing of one protocol; frames of another protocol fail the header's check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Framing {
    /// The constant that the length is XORed with to give its check value.
    pub check: u32,
}

impl Framing {
    /// Encodes a message as a frame.
    pub fn frame(self, message: &impl Serialize) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        let body = postcard::to_stdvec(message).unwrap_or_default();
        bytes.extend_from_slice(&body);
        let length = body.len() as u32;
        bytes[..4].copy_from_slice(&length.to_le_bytes());
        bytes[4..HEAD].copy_from_slice(&(length ^ self.check).to_le_bytes());
        bytes
    }

    /// Decodes the first frame of `bytes`: its length and message, or `None` if it is incomplete.
    pub fn next<M: DeserializeOwned>(self, bytes: &[u8], most: usize) -> Result<Option<(usize, M)>, Fault> {
        let Some(head) = bytes.first_chunk::<HEAD>() else { return Ok(None) };
        let number = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        if number(0) ^ self.check != number(4) {
            return Err(Fault::Garbled);
        }
        let length = number(0) as usize;
        if length > most {
            return Err(Fault::TooLong(length));
        }
        let Some(body) = bytes.get(HEAD..HEAD + length) else { return Ok(None) };
        match postcard::take_from_bytes(body) {
            Ok((message, [])) => Ok(Some((HEAD + length, message))),
            _ => Err(Fault::Garbled),
        }
    }
}

/// Encodes a message between peers as a frame.
pub fn frame(message: &Message) -> Vec<u8> {
    PEERS.frame(message)
}

/// Decodes the first frame of `bytes` between peers.
pub fn next(bytes: &[u8], most: usize) -> Result<Option<(usize, Message)>, Fault> {
    PEERS.next(bytes, most)
}

#[cfg(test)]
mod tests;
