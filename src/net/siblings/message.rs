//! Messages between the processes of one dispatcher, and their encoding.

use crate::codec::coordinator::{KnownDigest, Target};
use crate::operator::shared_bans::BanCall;
use fleet::wire::{FrameError, Framing};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum size of an encoded message, in bytes. A pipe takes a write of up to this size whole or not at all, so that
/// messages of several writers do not mix.
pub(super) const MAX_MESSAGE_BYTES: usize = libc::PIPE_BUF;
/// The framing between processes of one dispatcher.
const SIBLING_FRAMING: Framing = Framing { check: 0x7369_626c };

/// Identifies a process of this dispatcher; drawn anew at each start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(in crate::net) struct InstanceId(pub(super) u64);

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A message to another process of this dispatcher, perhaps of another version: variants are only added, at the end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(in crate::net) enum Message {
    /// The first message of a process to another one, which answers with everything it shares.
    Hello {
        /// The sender.
        from: InstanceId,
    },
    /// KILL QUERY for a connection that the sender does not have.
    Kill {
        /// The sender, which waits for the result.
        from: InstanceId,
        /// Number of the call, repeated in its result.
        token: u64,
        /// The connection id.
        connection: u32,
    },
    /// The result of [`Message::Kill`].
    KillResult {
        /// The sender.
        from: InstanceId,
        /// Number of the call.
        token: u64,
        /// Whether the sender has that connection.
        found: bool,
    },
    /// The latest call of an operator for an executor.
    Ban {
        /// The executor's uid.
        executor: String,
        /// The call.
        call: BanCall,
    },
    /// Asks for the coordinator's list, as the sender's coordinator has sent nothing yet.
    ListRequest {
        /// The sender.
        from: InstanceId,
        /// The list that the sender started from: event numbers can be compared only if the receiver's is the same.
        started_from: KnownDigest,
        /// The last event that the sender knows.
        last_event: u64,
    },
    /// Begins a list, whose entries follow.
    List {
        /// The sender.
        from: InstanceId,
        /// The last event in it.
        last_event: u64,
        /// Number of entries.
        executors: u32,
    },
    /// An entry of a list. Start times are on the sender's clock.
    ListEntry {
        /// The sender.
        from: InstanceId,
        /// The entry.
        target: Target,
    },
}

/// Encodes a message; `None` if it is too long to be sent.
pub(super) fn encode(message: &Message) -> Option<Vec<u8>> {
    let bytes = SIBLING_FRAMING.encode(message);
    (bytes.len() <= MAX_MESSAGE_BYTES).then_some(bytes)
}

/// Decodes the first message of `bytes`: its length and the message, or `None` if it is incomplete. A message that this
/// version does not know has a length alone.
pub(super) fn decode(bytes: &[u8]) -> Result<Option<(usize, Option<Message>)>, FrameError> {
    let Some((length, _)) = SIBLING_FRAMING.split(bytes, MAX_MESSAGE_BYTES)? else { return Ok(None) };
    let message = SIBLING_FRAMING.decode(bytes, MAX_MESSAGE_BYTES).ok().flatten();
    Ok(Some((length, message.map(|(_, message)| message))))
}
