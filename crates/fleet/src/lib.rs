//! What the dispatchers of one fleet agree on: who is alive, who owns which work in hand, which machines are out for
//! work, and what all admit requests by.
//!
//! A dispatcher that dies with requests in hand leaves them in a record that its peers hold too. The record is
//! a state machine over a replicated log (Raft, by the `raft` crate); a peer's right to act on what it owns is
//! a lease, renewed through the same log, and a peer whose lease ended loses all that it owned to others in one
//! entry of that log, so that two successors never both claim. All of it is sans-I/O: bytes and times in, bytes
//! and events out; the same inputs with the same seed give the same outputs.
//!
//! - [`agreed`]: the whole state: commands in, effects out; [`leases`]: who may act.
//! - [`machine`]: what each kind of agreed state has to be; none knows another.
//! - [`ledger`]: the record of work in hand.
//! - [`plan`]: machines that are taken out for work, one after the other.
//! - [`policy`]: what all admit requests by, changed everywhere or nowhere.
//! - [`schema`]: which versions of the schema queries may run under while machines are upgraded in turn.
//! - [`lend`]: slots for slow queries, lent to holders for a short time.
//! - [`group`]: the replicated log: how a fleet is founded, joined again after a restart, and written to.
//! - [`log`]: the log in memory, with snapshots of the state.
//! - [`wire`]: the frames between peers.
//! - [`control_plane`]: dispatchers that follow a few members of the log without voting.
//! - [`fleet`]: the whole for one dispatcher: leases, batches, events.

pub mod agreed;
pub mod control_plane;
pub mod fleet;
pub mod group;
pub mod leases;
pub mod ledger;
pub mod lend;
pub mod log;
pub mod machine;
pub mod plan;
pub mod policy;
pub mod schema;
pub mod wire;

pub use agreed::{Agreed, StateKind};
pub use fleet::{Fleet, FleetConfig, FleetEvent};
pub use leases::Holder;
pub use ledger::{End, Ledger, Record};
pub use machine::Machine;

/// Microseconds, of the Unix clock where they are compared between machines.
pub type Micros = u64;

/// A peer: its place in the configuration, from 1.
pub type Peer = u8;

/// One incarnation of one peer's process, and its id in the log: the peer in the top byte, its start in the rest.
pub type Incarnation = u64;

const START_BITS: u32 = 56;

/// The incarnation of a peer that began at `start`, a number that grows from incarnation to incarnation. 0 is no incarnation but the place
/// of one that was not heard of yet.
pub fn incarnation(peer: Peer, start: u64) -> Incarnation {
    u64::from(peer) << START_BITS | (start & ((1 << START_BITS) - 1))
}

/// Whose incarnation it is.
pub fn peer_of(incarnation: Incarnation) -> Peer {
    (incarnation >> START_BITS) as Peer
}
