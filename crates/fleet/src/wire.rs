//! The frames between peers: a length and its check, then a message.

use crate::ledger::Limits;
use crate::{Incarnation, Micros, Peer};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The founding of a fleet: alike at all who take part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Founding {
    /// Its number, drawn by the founder.
    pub id: u64,
    /// One incarnation for each peer of the configuration; start 0 holds the place of one that was not heard of.
    pub voters: Vec<Incarnation>,
    /// What bounds the record.
    pub limits: Limits,
    /// When it was founded, by the founder's Unix clock.
    pub at: Micros,
    /// The highest number of a policy that any of those heard then knew: the fleet before had it in force.
    pub policy: u64,
}

/// A message between peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The first on every connection, and said again now and then.
    Hello {
        /// Who speaks.
        from: Peer,
        /// Which incarnation of it.
        incarnation: Incarnation,
        /// The fleet it takes part in.
        fleet: Option<Founding>,
        /// Whether that fleet's log was ever written to, as far as the speaker knows.
        formed: bool,
        /// The number of the policy that the speaker acts by.
        policy: u64,
    },
    /// A message of the log of a fleet, in the library's own form.
    Log(u64, Vec<u8>),
    /// Who asks wants the result of a request that the other has in hand.
    Fetch(u64),
    /// A result: its pages; none if it was refused or failed.
    Result(u64, Option<Vec<Vec<u8>>>),
}

/// Bytes ahead of every message: its length, and the length again in another form. Without that, a reader that
/// has lost its place would wait for the rest of a frame that never was one.
pub const HEAD: usize = 8;
/// The frames between peers.
const PEERS: Framing = Framing { check: 0x6f74_7463 };

/// Why bytes are no frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// Longer than allowed.
    TooLong(usize),
    /// Not a message.
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

/// The frames of one protocol: a frame of another one is garbled here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Framing {
    /// What a length is told again with.
    pub check: u32,
}

impl Framing {
    /// Writes a message as a frame.
    pub fn frame(self, message: &impl Serialize) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        let body = postcard::to_stdvec(message).unwrap_or_default();
        bytes.extend_from_slice(&body);
        let length = body.len() as u32;
        bytes[..4].copy_from_slice(&length.to_le_bytes());
        bytes[4..HEAD].copy_from_slice(&(length ^ self.check).to_le_bytes());
        bytes
    }

    /// Reads the first frame of `bytes`: how long it is, and its message; `None` if it is not whole yet.
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

/// Writes a message between peers as a frame.
pub fn frame(message: &Message) -> Vec<u8> {
    PEERS.frame(message)
}

/// Reads the first frame of `bytes` between peers.
pub fn next(bytes: &[u8], most: usize) -> Result<Option<(usize, Message)>, Fault> {
    PEERS.next(bytes, most)
}

#[cfg(test)]
mod tests;
