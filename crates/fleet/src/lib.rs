//! Replicated state of a fleet of dispatchers: leases, ownership of in-flight requests, executor maintenance,
//! and the admission policy.
//!
//! In-flight requests are replicated to all peers, so that they survive the loss of the dispatcher that owns them.
//! The state is a deterministic state machine over a replicated log (Raft, by the `raft` crate). A peer may act
//! on the requests that it owns only while it holds a lease, which it renews through the same log. When a lease
//! ends, one log entry reassigns all requests of its holder, so that no request gets two new owners. The crate is
//! sans-I/O: it takes bytes and times and returns bytes and events, and the same inputs with the same seed give the
//! same outputs.
//!
//! - [`state`]: the whole replicated state: commands in, effects out.
//! - [`leases`]: which incarnations may act.
//! - [`state_machine`]: the trait that each part of the replicated state implements; the parts are independent.
//! - [`ledger`]: records of in-flight requests.
//! - [`plan`]: executor maintenance, one step after the other.
//! - [`policy`]: the admission policy, switched at all peers or at none.
//! - [`schema`]: which schema versions queries may run under during a rolling upgrade of the executors.
//! - [`lend`]: short leases on concurrency slots for slow queries.
//! - [`group`]: the Raft group: bootstrap, rejoining after a restart, proposals.
//! - [`extension`]: encoding of batches and snapshots that earlier releases read as well.
//! - [`log`]: the in-memory log, with snapshots of the state.
//! - [`wire`]: framing of the messages between peers.
//! - [`control_plane`]: dispatchers that follow a few members of the group without voting.
//! - [`fleet`]: one dispatcher's participation: leases, batching, events.

pub mod control_plane;
pub mod extension;
pub mod fleet;
pub mod group;
pub mod leases;
pub mod ledger;
pub mod lend;
pub mod log;
pub mod plan;
pub mod policy;
pub mod schema;
pub mod state;
pub mod state_machine;
pub mod wire;

pub use fleet::{Fleet, FleetConfig, FleetEvent};
pub use leases::Holder;
pub use ledger::{Ledger, Outcome, Record};
pub use state::{ReplicatedState, StateKind};
pub use state_machine::StateMachine;

/// Microseconds; Unix time where values of different hosts are compared.
pub type Micros = u64;

/// A peer's number: its position in the configuration, starting at 1.
pub type Peer = u8;

/// One incarnation of a peer's process and its Raft node id: the peer in the top byte, its start in the rest.
pub type Incarnation = u64;

const START_BITS: u32 = 56;

/// The incarnation of a peer that started at `start`, which has to grow with every incarnation. Start 0 is a placeholder
/// for a peer whose incarnation is not known yet.
pub fn incarnation(peer: Peer, start: u64) -> Incarnation {
    u64::from(peer) << START_BITS | (start & ((1 << START_BITS) - 1))
}

/// The peer that an incarnation belongs to.
pub fn peer_of(incarnation: Incarnation) -> Peer {
    (incarnation >> START_BITS) as Peer
}
