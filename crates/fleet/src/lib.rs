//! What the dispatchers of one fleet agree on: who is alive, and who owns which work in hand.
//!
//! A dispatcher that dies with requests in hand leaves them in a record that its peers hold too. The record is
//! a state machine over a replicated log (Raft, by the `raft` crate); a peer's right to act on what it owns is
//! a lease, renewed through the same log, and a peer whose lease ended loses all that it owned to others in one
//! entry of that log, so that two successors never both claim. All of it is sans-I/O: bytes and times in, bytes
//! and news out; the same inputs with the same seed give the same outputs.
//!
//! - [`ledger`]: the record itself: commands in, effects out.
//! - [`group`]: the replicated log: how a fleet is founded, joined again after a restart, and written to.
//! - [`plan`]: machines that are taken out for work, one after the other.
//! - [`log`]: the log in memory, with snapshots of the ledger.
//! - [`machine`]: what each kind of agreed state has to be.
//! - [`wire`]: the frames between peers.
//! - [`fleet`]: the whole for one dispatcher: leases, batches, news.

pub mod fleet;
pub mod group;
pub mod ledger;
pub mod log;
pub mod machine;
pub mod plan;
pub mod wire;

pub use fleet::{Fleet, News, Terms};
pub use ledger::{End, Holder, Ledger, Record};
pub use machine::Machine;

/// Microseconds, of the Unix clock where they are compared between machines.
pub type Micros = u64;

/// A peer: its place in the configuration, from 1.
pub type Peer = u8;

/// One life of one peer's process, and its id in the log: the peer in the top byte, its start in the rest.
pub type Life = u64;

const START_BITS: u32 = 56;

/// The life of a peer that began at `start`, a number that grows from life to life. 0 is no life but the place
/// of one that was not heard of yet.
pub fn life(peer: Peer, start: u64) -> Life {
    u64::from(peer) << START_BITS | (start & ((1 << START_BITS) - 1))
}

/// Whose life it is.
pub fn peer_of(life: Life) -> Peer {
    (life >> START_BITS) as Peer
}
