//! Executors and the connections to them.
//!
//! A connection belongs to one executor by its uid, even if the executor's address changes. It carries a single attempt
//! as long as file descriptors are available, because a malformed answer ends its connection with everything
//! outstanding on it. A request that ended on a connection without being served is never sent on that connection again,
//! so that a late or duplicate answer can't be attributed to a new attempt.
//!
//! - `endpoint_updates`: applies changes of the endpoint list.
//! - `attempts`: attempts and probes that the dispatch module requests.
//! - `connection_pool`: selects, opens and closes connections.
//! - `connection`: one connection.
//! - `close_reason`: why a connection is closed.
//! - `reading`, `answers`: reads from executors, and applies answers to attempts.
//! - `writing`: writes to executors; the only place where an attempt starts.
//! - `client_poll`: the poll of clients that has to precede the start of an attempt.
//! - `unresponsive`: timeouts.

mod answers;
mod attempts;
mod client_poll;
mod close_reason;
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

/// Timeout for the rest of a partially received answer.
const PARTIAL_ANSWER_TIMEOUT: Micros = 700_000;
/// How much longer than a connect a probe may take.
const PROBE_SLACK: Micros = 50_000;

struct Executor {
    uid: String,
    address: Option<SocketAddr>,
    state: State,
    connections: Vec<Key>,
    /// When bytes were last received from it, on any connection.
    last_message_at: Micros,
}

/// Timers of the connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum TimerEvent {
    Dial(Key),
    Probe(Key, u64),
    /// Timeout of a partially received answer.
    PartialAnswer(Key),
    /// Check for an overdue message.
    ResponsivenessCheck(Key),
    /// Latest start of an attempt.
    BeginBy(AttemptId),
}

/// Counters of the connections.
#[derive(Debug, Default)]
pub struct ConnectionCounters {
    /// Connects started.
    pub dials: u64,
    /// Lines that could not be parsed.
    pub bad_lines: u64,
    /// Answers without an outstanding attempt, and duplicates.
    pub stray: u64,
    /// Connections closed as unresponsive while their executor answered on others.
    pub unresponsive: u64,
    /// Attempts written completely.
    pub forwards: u64,
}

/// All executors, and the connections to them.
pub struct Executors {
    transport: Transport,
    max_connections: usize,
    pool: Pool,
    executors: BTreeMap<ExecutorId, Executor>,
    /// Number of listed executors that are up, and whether removed ones are left for the next sweep.
    up: usize,
    removed_pending: bool,
    /// The executor at each address; it may have moved since, see its entry in `executors`.
    addresses: HashMap<SocketAddr, ExecutorId>,
    connections: BTreeMap<Key, Connection>,
    /// The connection of each attempt.
    attempt_connections: BTreeMap<AttemptId, Key>,
    timers: Timers<TimerEvent>,
    clock: Clock,
    client_poll: ClientPoll,
    probe_tags: Pcg64Mcg,
    scratch: Vec<u8>,
    /// Events for the dispatch module, in order.
    pub events: VecDeque<NetworkEvent<Rows>>,
    /// Whether a connect failed for lack of file descriptors.
    pub out_of_descriptors: bool,
    /// Counters.
    pub counters: ConnectionCounters,
}

impl Executors {
    /// Creates the state without executors. `max_connections` limits all connections together; `seed` makes probe tags
    /// unpredictable.
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
            removed_pending: false,
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

    /// Whether an executor has outstanding attempts, or attempts that wait for a connection to it.
    pub fn busy(&self, uid: &str) -> bool {
        let connections = self.executors.get(&executor_id(uid)).into_iter().flat_map(|e| &e.connections);
        connections.filter_map(|k| self.connections.get(k)).any(|c| !c.streams.is_empty())
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }
}

#[cfg(test)]
mod tests;
