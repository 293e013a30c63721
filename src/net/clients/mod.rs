//! Client connections: accepting, reading, answering and closing them.
//!
//! - `listener`, `accept`: accepting connections, and closing idle ones to make room.
//! - `session`: a single connection, from the greeting to its close.
//! - `request_intake`: from a statement to the dispatch logic.
//! - `arrival`: arrival details of a request.
//! - `client_error`: errors sent to clients.

mod accept;
mod arrival;
mod client_error;
pub(in crate::net) mod listener;
pub(in crate::net) mod request_intake;
pub(in crate::net) mod session;

use crate::api::Micros;
use crate::dispatch::NetworkEvent;
use crate::net::DispatcherServer;
use crate::net::event_loop::poll::Key;
use client_error::ClientError;
use session::Session;

/// Backoff sent to a rejected client unless another rule sets it, in microseconds.
const CLIENT_BACKOFF: Micros = 200_000;

/// Counters of client connections since the process started.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::net) struct ClientCounters {
    /// Connections refused because too many were open.
    pub(in crate::net) refused: u64,
    /// Idle clients closed for new connections.
    pub(in crate::net) evicted: u64,
    /// Idle clients closed because descriptors ran out.
    pub(in crate::net) shed: u64,
}

impl DispatcherServer {
    /// Reads everything a client has sent and processes it. Reading to the end detects a client that
    /// disconnected right after its request; such a request must not start.
    pub(in crate::net) fn read_client(&mut self, key: Key, now: Micros) {
        let noticed = self.poll_times.occurrence_noticed_at(now);
        let Some(session) = self.sessions.by_key.get_mut(&key) else { return };
        if !session.read(noticed) || !session.read_to_end() || session.has_quit() {
            return self.close_client(key, now);
        }
        if session.open.is_some() && session.sends_while_open() {
            return self.reject_second_request(key, now);
        }
        self.process_commands(key, now);
    }

    /// Rejects a statement that a client sent while its request is open: the client gets an error and its
    /// connection is closed.
    pub(in crate::net) fn reject_second_request(&mut self, key: Key, now: Micros) {
        let Some(session) = self.sessions.by_key.get_mut(&key) else { return };
        tracing::info!(client = session.id, reason = "second request", "client closed");
        let open = session.open.take();
        session.close_with_error(ClientError::SecondRequest, now);
        if let Some(request) = open {
            self.abandon_request(request, now);
        }
        self.flush_client(key);
    }

    /// Ends expired pauses of clients and closes connections whose time limits have expired.
    pub(in crate::net) fn process_client_timers(&mut self, now: Micros) {
        let keys: Vec<Key> = self.sessions.by_key.keys().copied().collect();
        for key in keys {
            let Some(session) = self.sessions.by_key.get_mut(&key) else { continue };
            let paused = session.is_paused();
            if !session.tick(now) {
                self.close_client(key, now);
            } else if paused && !session.is_paused() {
                self.process_commands(key, now);
            } else if session.is_closing() {
                self.flush_client(key);
            }
        }
    }

    /// Handles KILL QUERY for the request of connection `id`, sent by client `from`. A connection that is not
    /// known here may be one of another process of this dispatcher.
    pub(in crate::net) fn kill_request(&mut self, from: Key, id: u32, now: Micros) {
        let is_own = self.sessions.by_id.contains_key(&id);
        let is_forwarded = !is_own && self.forward_kill(from, id, now);
        if let Some(session) = self.sessions.by_key.get_mut(&from) {
            if is_forwarded {
                session.await_kill();
            } else {
                session.end_kill(id, is_own);
            }
        }
        self.kill_connection(id, now);
    }

    /// Kills the open request of a connection; the connection stays open. Returns whether this process has that
    /// connection.
    pub(in crate::net) fn kill_connection(&mut self, id: u32, now: Micros) -> bool {
        let Some(key) = self.sessions.by_id.get(&id).copied() else { return false };
        let open = self.sessions.by_key.get_mut(&key).and_then(Session::interrupt);
        if let Some(request) = open {
            self.abandon_request(request, now);
            self.flush_client(key);
            self.process_commands(key, now);
        }
        true
    }

    /// Abandons a request whose client no longer waits for it; no further attempt of it starts.
    pub(in crate::net) fn abandon_request(&mut self, request: u64, now: Micros) {
        if let Some(open) = self.requests.open.remove(&request) {
            self.log_abandoned(request, &open, now);
        }
        let commands = self.dispatch.handle(now, NetworkEvent::ClientDisconnected(request));
        self.execute(commands);
        self.record_client_left(now, request);
    }

    /// Closes an idle connection, write side first. Closing it with unread bytes would reset it, and the
    /// client could lose an answer that is still in transit; bytes that arrive in the meantime are read and
    /// discarded.
    pub(in crate::net) fn finish_client(&mut self, key: Key, now: Micros) {
        if let Some(session) = self.sessions.by_key.get_mut(&key) {
            session.finish(now);
        }
        self.flush_client(key);
    }

    /// Closes a connection immediately, because its client has disconnected or its time to read the last
    /// bytes is over.
    pub(in crate::net) fn close_client(&mut self, key: Key, now: Micros) {
        let Some(session) = self.sessions.remove(key) else { return };
        let open = session.open;
        session.close(&self.poll);
        if let Some(request) = open {
            self.abandon_request(request, now);
        }
    }

    /// Writes pending output to a client, as far as its socket accepts it.
    pub(in crate::net) fn flush_client(&mut self, key: Key) {
        let now = self.clock.last();
        let Some(session) = self.sessions.by_key.get_mut(&key) else { return };
        if !session.flush(&self.poll) {
            self.close_client(key, now);
        }
    }
}
