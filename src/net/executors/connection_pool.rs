//! Which connection is used, dialed or closed.

use super::{Due, Executors};
use crate::api::Micros;
use crate::codec::coordinator::State;
use crate::dispatch::{AttemptEnd, ExecutorId, NetworkEvent, ProbeOutcome};
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::executors::connection::Connection;
use crate::net::sockets::buffers::{Inbox, Outbox};
use crate::net::sockets::dial;
use crate::net::sockets::system_calls;
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

/// An id that ended is remembered on its connection for this long, longer than an answer can be under way.
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
    /// A connection that will do, or a new one.
    pub(super) fn connection(
        &mut self,
        to: ExecutorId,
        now: Micros,
        poll: &Poll,
        fits: impl Fn(&Connection) -> bool,
    ) -> Result<Key, NoConnection> {
        let best = loop {
            let connections =
                self.executors.get(&to).ok_or(NoConnection::ExecutorUnreachable)?.connections.iter();
            let usable =
                connections.filter_map(|k| self.connections.get(k).map(|c| (*k, c))).filter(|(_, c)| fits(c));
            // The least shared one; among those the one heard last, so that the others can go.
            let best =
                usable.min_by_key(|(_, c)| (c.streams.len(), !c.connected, Reverse(c.last_message_at)));
            let Some((key, c)) = best else { break None };
            // What is written to one that its executor has closed is lost, and may have run for all that is known:
            // an end that is here already is heeded before.
            if c.closed_by_executor() {
                self.close(key, poll, "closed by the executor");
                continue;
            }
            break Some((key, c.streams.is_empty()));
        };
        if let Some((key, true)) = best {
            return Ok(key);
        }
        let shared = best.map(|(key, _)| key);
        let e = self.executors.get(&to).ok_or(NoConnection::ExecutorUnreachable)?;
        let share = (self.max_connections / self.up.max(1)).max(2);
        let full = self.connections.len() >= self.max_connections;
        if let Some(key) = shared.filter(|_| full || e.connections.len() >= share) {
            return Ok(key);
        }
        let Some(address) = e.address else { return shared.ok_or(NoConnection::ExecutorUnreachable) };
        if full {
            // Another executor may keep more than it needs just now.
            let idle =
                self.connections.iter().filter(|(_, c)| c.is_idle()).min_by_key(|(_, c)| c.last_used_at);
            let Some(key) = idle.map(|(key, _)| *key) else {
                tracing::warn!(executor = e.uid, most = self.max_connections, "no connection left");
                return Err(NoConnection::OwnLimit);
            };
            self.close(key, poll, "its place is needed");
        }
        let dialed = dial::dial(address).and_then(|s| poll.add(&s, true).map(|key| (s, key)));
        let (stream, key) = match dialed {
            Ok(dialed) => dialed,
            Err(err) => {
                tracing::warn!(%address, error = %err, "can't dial");
                let ours = system_calls::is_local_failure(&err);
                self.out_of_descriptors |= dial::out_of_descriptors(&err);
                return shared.ok_or(if ours {
                    NoConnection::OwnLimit
                } else {
                    NoConnection::ExecutorUnreachable
                });
            }
        };
        self.counters.dials += 1;
        self.timers.set(now + self.transport.dial_timeout, Due::Dial(key));
        self.connections.insert(
            key,
            Connection {
                executor: to,
                stream,
                connected: false,
                connected_at: now,
                message_interval: self.transport.word_within(),
                last_message_at: now,
                last_used_at: now,
                draining: false,
                inbox: Inbox::new(&self.pool),
                outbox: Outbox::new(&self.pool),
                writing: None,
                queue: VecDeque::new(),
                streams: BTreeMap::new(),
                ended_ids: BTreeMap::new(),
                partial_since: None,
                unresponsive: false,
                close_at: None,
                next_check_at: None,
                probes: BTreeMap::new(),
                watches_writable: true,
            },
        );
        if let Some(e) = self.executors.get_mut(&to) {
            e.connections.push(key);
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
        let echo = if connection.connected { ProbeOutcome::Unknown } else { ProbeOutcome::Unreachable };
        for _ in connection.probes {
            self.events.push_back(NetworkEvent::ProbeFinished(connection.executor, echo, 0));
        }
    }

    /// Closes what has been idle nearly as long as executors allow, and forgets old ids.
    pub fn sweep(&mut self, now: Micros, poll: &Poll) {
        let idle = self.transport.conn_idle - (self.transport.conn_idle / 4).min(2_000_000);
        let over = |c: &Connection| c.is_idle() && (c.draining || now > c.last_used_at + idle);
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
