//! Which connection is used, dialed or closed.

use super::{Due, Executors};
use crate::api::Micros;
use crate::codec::coordinator::State;
use crate::dispatch::{AttemptEnd, ExecutorId, NetworkEvent, ProbeOutcome};
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::executors::connection::Connection;
use crate::net::sockets::dial;
use crate::net::sockets::system_calls;
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Connections that an executor may have at least, however many executors there are.
const MIN_CONNECTIONS_PER_EXECUTOR: usize = 2;
/// An idle connection is closed this much before executors would close it, in microseconds, or by this fraction of the
/// time that they allow, if that is less.
const IDLE_MARGIN: Micros = 2_000_000;
const IDLE_MARGIN_FRACTION: Micros = 4;
/// The span for which an id that ended is remembered on its connection, in microseconds: longer than an answer can be
/// under way. Without it a late answer would be taken for that of a new attempt of the same request.
const ENDED_IDS_KEPT: Micros = 60_000_000;

/// Why there is no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NoConnection {
    /// The executor is not there, or does not listen.
    ExecutorUnreachable,
    /// All that this dispatcher may have are busy, which says nothing of the executor.
    OwnLimit,
}

impl Executors {
    /// A connection to an executor that `fits`: an unused one, a new one, or, as long as no more may be opened, one that
    /// others use too.
    pub(super) fn connection(
        &mut self,
        executor: ExecutorId,
        now: Micros,
        poll: &Poll,
        fits: impl Fn(&Connection) -> bool,
    ) -> Result<Key, NoConnection> {
        let best = self.least_used(executor, poll, fits)?;
        let shared = match best {
            Some((key, 0)) => return Ok(key),
            Some((key, _)) => Some(key),
            None => None,
        };
        let listed = self.executors.get(&executor).ok_or(NoConnection::ExecutorUnreachable)?;
        let at_limit = self.connections.len() >= self.max_connections;
        if let Some(key) = shared
            && (at_limit || listed.connections.len() >= self.connections_per_executor())
        {
            return Ok(key);
        }
        let Some(address) = listed.address else { return shared.ok_or(NoConnection::ExecutorUnreachable) };
        if at_limit {
            self.close_idle_connection(executor, poll)?;
        }
        match self.dial(executor, address, now, poll) {
            Ok(key) => Ok(key),
            Err(no_connection) => shared.ok_or(no_connection),
        }
    }

    /// The connection to an executor that fits and has the fewest attempts, with their number; among those the one that
    /// received a message last, so that the others become idle and are closed.
    fn least_used(
        &mut self,
        executor: ExecutorId,
        poll: &Poll,
        fits: impl Fn(&Connection) -> bool,
    ) -> Result<Option<(Key, usize)>, NoConnection> {
        loop {
            let listed = self.executors.get(&executor).ok_or(NoConnection::ExecutorUnreachable)?;
            let open = listed.connections.iter().filter_map(|key| Some((*key, self.connections.get(key)?)));
            let best = open
                .filter(|(_, connection)| fits(connection))
                .min_by_key(|(_, c)| (c.streams.len(), !c.connected, Reverse(c.last_message_at)));
            let Some((key, connection)) = best else { return Ok(None) };
            // An attempt that is written to a connection that its executor has closed is lost, and nobody knows that it
            // did not run. So the end of the connection is read first.
            if !connection.closed_by_executor() {
                return Ok(Some((key, connection.streams.len())));
            }
            self.close(key, poll, "closed by the executor");
        }
    }

    /// How many connections an executor may have while others need some too.
    fn connections_per_executor(&self) -> usize {
        (self.max_connections / self.up.max(1)).max(MIN_CONNECTIONS_PER_EXECUTOR)
    }

    /// Closes the connection that was idle longest, whosever it is, to make room for one to this executor.
    fn close_idle_connection(&mut self, executor: ExecutorId, poll: &Poll) -> Result<(), NoConnection> {
        let idle = self.connections.iter().filter(|(_, connection)| connection.is_idle());
        let longest_idle = idle.min_by_key(|(_, connection)| connection.last_used_at).map(|(key, _)| *key);
        let Some(key) = longest_idle else {
            let uid = self.executors.get(&executor).map_or("", |listed| &listed.uid);
            tracing::warn!(executor = uid, most = self.max_connections, "no connection left");
            return Err(NoConnection::OwnLimit);
        };
        self.close(key, poll, "its place is needed");
        Ok(())
    }

    /// Begins a connection to an executor.
    fn dial(
        &mut self,
        executor: ExecutorId,
        address: SocketAddr,
        now: Micros,
        poll: &Poll,
    ) -> Result<Key, NoConnection> {
        let dialed =
            dial::connect(address).and_then(|stream| poll.add(&stream, true).map(|key| (stream, key)));
        let (stream, key) = dialed.map_err(|error| {
            tracing::warn!(%address, %error, "can't dial");
            self.out_of_descriptors |= dial::out_of_descriptors(&error);
            if system_calls::is_local_failure(&error) {
                NoConnection::OwnLimit
            } else {
                NoConnection::ExecutorUnreachable
            }
        })?;
        self.counters.dials += 1;
        self.timers.set(now + self.transport.dial_timeout, Due::Dial(key));
        let message_interval = self.transport.word_within();
        self.connections.insert(key, Connection::new(executor, stream, message_interval, now, &self.pool));
        if let Some(listed) = self.executors.get_mut(&executor) {
            listed.connections.push(key);
        }
        Ok(key)
    }

    /// Closes a connection; all that was open on it is over.
    pub(super) fn close(&mut self, key: Key, poll: &Poll, why: &str) {
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
                    reason = why,
                    "executor connection lost"
                );
            }
        }
        let spoke = connection.last_message_at > connection.connected_at;
        for s in connection.streams.into_values() {
            self.attempt_connections.remove(&s.attempt_id);
            let end = match (s.written, connection.connected) {
                (true, _) if spoke => AttemptEnd::ConnectionUnusable,
                (true, _) => AttemptEnd::ConnectionLost,
                // The connection came up, so its executor is there: that it never ran is all this tells.
                (false, true) => AttemptEnd::NotRun,
                (false, false) => AttemptEnd::NeverSent,
            };
            self.events.push_back(NetworkEvent::AttemptEnded(s.attempt_id, end, None));
        }
        let probe_outcome =
            if connection.connected { ProbeOutcome::Unknown } else { ProbeOutcome::Unreachable };
        for _ in connection.probes {
            self.events.push_back(NetworkEvent::ProbeFinished(connection.executor, probe_outcome, 0));
        }
    }

    /// Closes what has been idle nearly as long as executors allow, and forgets old ids.
    pub fn sweep(&mut self, now: Micros, poll: &Poll) {
        let idle_timeout = self.transport.conn_idle;
        let idle_limit = idle_timeout - (idle_timeout / IDLE_MARGIN_FRACTION).min(IDLE_MARGIN);
        let over = |c: &Connection| c.is_idle() && (c.draining || now > c.last_used_at + idle_limit);
        let closed: Vec<Key> = self.connections.iter().filter(|(_, c)| over(c)).map(|(k, _)| *k).collect();
        closed.into_iter().for_each(|key| self.close(key, poll, "idle"));
        self.connections.values_mut().for_each(|c| c.ended_ids.retain(|_, t| now < *t + ENDED_IDS_KEPT));
        if !std::mem::take(&mut self.gone) {
            return;
        }
        let connections = &self.connections;
        self.executors.retain(|_, e| {
            e.state != State::Removed || e.connections.iter().any(|k| connections.contains_key(k))
        });
        let list = &self.executors;
        self.addresses.retain(|a, id| list.get(id).is_some_and(|e| e.address == Some(*a)));
        // One that still has connections stays until they are over.
        self.gone = self.executors.values().any(|e| e.state == State::Removed);
    }
}
