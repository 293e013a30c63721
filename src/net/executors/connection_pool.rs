//! The connection pool: selects, opens and closes connections.

use super::close_reason::CloseReason;
use super::{Executors, TimerEvent};
use crate::api::Micros;
use crate::codec::coordinator::State;
use crate::dispatch::{AttemptEnd, ExecutorId, NetworkEvent, NeverSentReason, ProbeOutcome};
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::executors::answers::{Rows, Stream};
use crate::net::executors::connection::Connection;
use crate::net::sockets::dial;
use crate::net::sockets::system_calls;
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Minimum number of connections allowed per executor, however many executors there are.
const MIN_CONNECTIONS_PER_EXECUTOR: usize = 2;
/// An idle connection is closed this long before executors would close it, in microseconds, or by this fraction of
/// their idle timeout if that is less.
const IDLE_MARGIN: Micros = 2_000_000;
const IDLE_MARGIN_FRACTION: Micros = 4;
/// How long the id of an ended request is kept on its connection, in microseconds: longer than an answer can be in
/// transit. Otherwise a late answer would be attributed to a new attempt of the same request.
const ENDED_IDS_KEPT: Micros = 60_000_000;

/// Why no connection is available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionUnavailable {
    /// The executor is not listed.
    ExecutorUnlisted,
    /// The executor has no address, or can't be connected to.
    ConnectFailed,
    /// All connections that this dispatcher may have are in use, which is no fault of the executor.
    LimitReached,
}

impl ConnectionUnavailable {
    /// How an attempt ends for which no connection is available.
    pub(super) fn attempt_end(self) -> AttemptEnd<Rows> {
        match self {
            ConnectionUnavailable::ExecutorUnlisted => {
                AttemptEnd::NeverSent(NeverSentReason::ExecutorUnlisted)
            }
            ConnectionUnavailable::ConnectFailed => AttemptEnd::NeverSent(NeverSentReason::ConnectFailed),
            ConnectionUnavailable::LimitReached => AttemptEnd::NotRun,
        }
    }
}

impl Connection {
    /// Whether closing it for this reason shows that its executor can't be connected to.
    fn connect_failed(&self, why: &CloseReason) -> bool {
        !self.connected && !self.draining && why.is_connect_failure()
    }

    /// How an outstanding attempt ends when the connection is closed.
    fn attempt_end(&self, stream: &Stream, why: &CloseReason) -> AttemptEnd<Rows> {
        let answered = self.last_message_at > self.connected_at;
        match (stream.written, self.connected) {
            (true, _) if answered => AttemptEnd::ConnectionUnusable,
            (true, _) => AttemptEnd::ConnectionLost,
            // The connection was established, so the executor is reachable; the attempt just did not run.
            (false, true) => AttemptEnd::NotRun,
            (false, false) if self.connect_failed(why) => {
                AttemptEnd::NeverSent(NeverSentReason::ConnectFailed)
            }
            (false, false) if why.is_local() => AttemptEnd::NotRun,
            (false, false) => AttemptEnd::NeverSent(NeverSentReason::ExecutorChanged),
        }
    }
}

impl Executors {
    /// Returns a connection to an executor that `fits`: an unused one, a new one, or a shared one if no more may be opened.
    pub(super) fn connection(
        &mut self,
        executor: ExecutorId,
        now: Micros,
        poll: &Poll,
        fits: impl Fn(&Connection) -> bool,
    ) -> Result<Key, ConnectionUnavailable> {
        let best = self.least_used(executor, poll, fits)?;
        let shared = match best {
            Some((key, 0)) => return Ok(key),
            Some((key, _)) => Some(key),
            None => None,
        };
        let listed = self.executors.get(&executor).ok_or(ConnectionUnavailable::ExecutorUnlisted)?;
        let at_limit = self.connections.len() >= self.max_connections;
        if let Some(key) = shared
            && (at_limit || listed.connections.len() >= self.connections_per_executor())
        {
            return Ok(key);
        }
        let Some(address) = listed.address else {
            return shared.ok_or(ConnectionUnavailable::ConnectFailed);
        };
        if at_limit {
            self.close_idle_connection(executor, poll)?;
        }
        match self.dial(executor, address, now, poll) {
            Ok(key) => Ok(key),
            Err(unavailable) => shared.ok_or(unavailable),
        }
    }

    /// The fitting connection with the fewest attempts, and their number. Among equals it is the one that received a
    /// message last, so that the others become idle and are closed.
    fn least_used(
        &mut self,
        executor: ExecutorId,
        poll: &Poll,
        fits: impl Fn(&Connection) -> bool,
    ) -> Result<Option<(Key, usize)>, ConnectionUnavailable> {
        loop {
            let listed = self.executors.get(&executor).ok_or(ConnectionUnavailable::ExecutorUnlisted)?;
            let open = listed.connections.iter().filter_map(|key| Some((*key, self.connections.get(key)?)));
            let best = open
                .filter(|(_, connection)| fits(connection))
                .min_by_key(|(_, c)| (c.streams.len(), !c.connected, Reverse(c.last_message_at)));
            let Some((key, connection)) = best else { return Ok(None) };
            // An attempt written to a connection that its executor has closed is lost, without proof that it did not run.
            // So check for the end of the connection first.
            if !connection.closed_by_executor() {
                return Ok(Some((key, connection.streams.len())));
            }
            self.close(key, poll, &CloseReason::ClosedByExecutor);
        }
    }

    /// Maximum number of connections per executor while all executors share the limit.
    fn connections_per_executor(&self) -> usize {
        (self.max_connections / self.up.max(1)).max(MIN_CONNECTIONS_PER_EXECUTOR)
    }

    /// Closes the connection that was idle longest, of any executor, to make room for one to this executor.
    fn close_idle_connection(
        &mut self,
        executor: ExecutorId,
        poll: &Poll,
    ) -> Result<(), ConnectionUnavailable> {
        let idle = self.connections.iter().filter(|(_, connection)| connection.is_idle());
        let longest_idle = idle.min_by_key(|(_, connection)| connection.last_used_at).map(|(key, _)| *key);
        let Some(key) = longest_idle else {
            let uid = self.executors.get(&executor).map_or("", |listed| &listed.uid);
            tracing::warn!(
                executor = uid,
                most = self.max_connections,
                "no connection available: all are in use"
            );
            return Err(ConnectionUnavailable::LimitReached);
        };
        self.close(key, poll, &CloseReason::MakeRoom);
        Ok(())
    }

    /// Starts a connection to an executor.
    fn dial(
        &mut self,
        executor: ExecutorId,
        address: SocketAddr,
        now: Micros,
        poll: &Poll,
    ) -> Result<Key, ConnectionUnavailable> {
        let dialed =
            dial::connect(address).and_then(|stream| poll.add(&stream, true).map(|key| (stream, key)));
        let (stream, key) = dialed.map_err(|error| {
            tracing::warn!(%address, %error, "can't connect to the executor");
            self.out_of_descriptors |= dial::out_of_descriptors(&error);
            if system_calls::is_local_failure(&error) {
                ConnectionUnavailable::LimitReached
            } else {
                ConnectionUnavailable::ConnectFailed
            }
        })?;
        self.counters.dials += 1;
        self.timers.set(now + self.transport.dial_timeout, TimerEvent::Dial(key));
        let message_interval = self.transport.progress_timeout();
        self.connections.insert(key, Connection::new(executor, stream, message_interval, now, &self.pool));
        if let Some(listed) = self.executors.get_mut(&executor) {
            listed.connections.push(key);
        }
        Ok(key)
    }

    /// Closes a connection and ends everything outstanding on it.
    pub(super) fn close(&mut self, key: Key, poll: &Poll, why: &CloseReason) {
        let Some(connection) = self.connections.remove(&key) else { return };
        poll.remove(&connection.stream);
        if let Some(e) = self.executors.get_mut(&connection.executor) {
            e.connections.retain(|k| *k != key);
            if !connection.is_idle() {
                let (streams, probes) = (connection.streams.len(), connection.probes.len());
                tracing::info!(
                    executor = e.uid,
                    attempts = streams,
                    probes,
                    reason = %why,
                    "executor connection lost"
                );
            }
        }
        let connect_failed = connection.connect_failed(why);
        if connect_failed && connection.streams.is_empty() && connection.probes.is_empty() {
            self.events.push_back(NetworkEvent::ConnectFailed(connection.executor));
        }
        for stream in connection.streams.values() {
            self.attempt_connections.remove(&stream.attempt_id);
            let end = connection.attempt_end(stream, why);
            self.events.push_back(NetworkEvent::AttemptEnded(stream.attempt_id, end, None));
        }
        let probe_outcome = if connect_failed { ProbeOutcome::Unreachable } else { ProbeOutcome::Unknown };
        for _ in connection.probes {
            self.events.push_back(NetworkEvent::ProbeFinished(connection.executor, probe_outcome, 0));
        }
    }

    /// Closes connections that have nearly reached the executors' idle timeout, and drops old request ids.
    pub fn sweep(&mut self, now: Micros, poll: &Poll) {
        let idle_timeout = self.transport.conn_idle;
        let idle_limit = idle_timeout - (idle_timeout / IDLE_MARGIN_FRACTION).min(IDLE_MARGIN);
        let expired = |c: &Connection| c.is_idle() && (c.draining || now > c.last_used_at + idle_limit);
        let closed: Vec<Key> = self.connections.iter().filter(|(_, c)| expired(c)).map(|(k, _)| *k).collect();
        closed.into_iter().for_each(|key| self.close(key, poll, &CloseReason::IdleTimeout));
        self.connections.values_mut().for_each(|c| c.ended_ids.retain(|_, t| now < *t + ENDED_IDS_KEPT));
        if !std::mem::take(&mut self.removed_pending) {
            return;
        }
        let connections = &self.connections;
        self.executors.retain(|_, e| {
            e.state != State::Removed || e.connections.iter().any(|k| connections.contains_key(k))
        });
        let list = &self.executors;
        self.addresses.retain(|a, id| list.get(id).is_some_and(|e| e.address == Some(*a)));
        // A removed executor stays until its connections are closed.
        self.removed_pending = self.executors.values().any(|e| e.state == State::Removed);
    }
}
