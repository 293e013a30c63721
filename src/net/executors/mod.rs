//! Executors and the connections to them.
//!
//! A connection belongs to one executor by its uid, whatever its address becomes. It carries one attempt as long as
//! descriptors last: a malformed answer ends its connection with all that is outstanding there. A request that ended in
//! any way but served on a connection never goes out on that one again, so that a late answer or a duplicate can't be
//! taken for that of a new attempt.
//!
//! - `endpoint_updates`: changes of the endpoint list, and what they end.
//! - `attempts`: attempts and probes that the decisions ask for.
//! - `connection_pool`: which connection is used, opened or closed.
//! - `connection`: one connection.
//! - `reading`, `answers`: what is read from executors, and what it does to an attempt.
//! - `writing`: what is written to them; the one place where an attempt begins.
//! - `client_poll`: the poll of clients that has to come before an attempt begins.
//! - `unresponsive`: what falls due when nothing comes.

mod answers;
mod attempts;
mod client_poll;
pub(super) mod connection;
mod connection_pool;
mod endpoint_updates;
mod reading;
mod unresponsive;
mod writing;

use crate::api::Micros;
use crate::clock::Clock;
use crate::codec::coordinator::State;
use crate::dispatch::{AttemptId, ExecutorId, NetworkEvent, executor_id};
use crate::net::event_loop::poll::Key;
use crate::net::event_loop::timers::Timers;
use crate::net::executors::connection::Connection;
use crate::net::sockets::buffers::Pool;
use crate::settings::Transport;
pub use answers::Rows;
use client_poll::ClientPoll;
pub use connection::Job;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// An answer that has begun has to be here whole within this time.
const PARTIAL_ANSWER_TIMEOUT: Micros = 700_000;
/// A probe may take this much longer than a dial.
const PROBE_SLACK: Micros = 50_000;

struct Executor {
    uid: String,
    address: Option<SocketAddr>,
    state: State,
    connections: Vec<Key>,
    /// When anything came from it, on any connection.
    last_message_at: Micros,
}

/// What falls due here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Dial(Key),
    Probe(Key, u64),
    /// An answer in part.
    PartialAnswer(Key),
    /// Word on what was written.
    ResponsivenessCheck(Key),
    /// An attempt that may not begin later.
    BeginBy(AttemptId),
}

/// Counters of the connections.
#[derive(Debug, Default)]
pub struct ConnectionCounters {
    /// Dials begun.
    pub dials: u64,
    /// Lines that could not be used.
    pub bad_lines: u64,
    /// Answers to what is not open, and second copies.
    pub stray: u64,
    /// Connections that fell silent while their executor did not.
    pub unresponsive: u64,
    /// Attempts written whole.
    pub forwards: u64,
}

/// All executors, and the connections to them.
pub struct Executors {
    transport: Transport,
    max_connections: usize,
    pool: Pool,
    executors: BTreeMap<ExecutorId, Executor>,
    /// How many of the list take work, and whether any has gone since the last sweep.
    up: usize,
    gone: bool,
    /// Whose each address is; it may have moved on, which its entry in the list tells.
    addresses: HashMap<SocketAddr, ExecutorId>,
    connections: BTreeMap<Key, Connection>,
    /// Where each attempt is.
    attempt_connections: BTreeMap<AttemptId, Key>,
    timers: Timers<Due>,
    clock: Clock,
    client_poll: ClientPoll,
    probe_tags: Pcg64Mcg,
    scratch: Vec<u8>,
    /// What the dispatcher has to be told, in order.
    pub events: VecDeque<NetworkEvent<Rows>>,
    /// Whether a dial found no descriptor.
    pub out_of_descriptors: bool,
    /// Counters.
    pub counters: ConnectionCounters,
}

impl Executors {
    /// None yet; `max_connections` bounds the connections in all, `seed` makes tags that nobody can know ahead.
    pub fn new(
        transport: Transport,
        max_connections: usize,
        seed: u64,
        pool: &Pool,
        clock: Clock,
    ) -> Executors {
        Executors {
            transport,
            max_connections,
            pool: pool.clone(),
            executors: BTreeMap::new(),
            up: 0,
            gone: false,
            addresses: HashMap::new(),
            connections: BTreeMap::new(),
            attempt_connections: BTreeMap::new(),
            timers: Timers::default(),
            clock,
            client_poll: ClientPoll::default(),
            probe_tags: Pcg64Mcg::seed_from_u64(!seed),
            scratch: Vec::new(),
            events: VecDeque::new(),
            out_of_descriptors: false,
            counters: ConnectionCounters::default(),
        }
    }

    /// Whether work is out on an executor, or waits for a connection to it.
    pub fn busy(&self, uid: &str) -> bool {
        let connections = self.executors.get(&executor_id(uid)).into_iter().flat_map(|e| &e.connections);
        connections.filter_map(|k| self.connections.get(k)).any(|c| !c.streams.is_empty())
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }
}

#[cfg(test)]
mod tests;
