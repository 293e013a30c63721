//! The clients' side: connections, what is read from them, and how they end.
//!
//! - `listener`, `accept`: connections that come in, and idle ones that are closed for them.
//! - `session`: one connection, from its greeting to its last byte.
//! - `request_intake`: from a statement to the decisions.
//! - `arrival`: how a request came.
//! - `client_error`: what clients are told besides results.

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

/// How long a refused client is asked to wait, where no rule says otherwise.
const CLIENT_BACKOFF: Micros = 200_000;

/// Counters of clients' connections, since the start.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::net) struct ClientCounters {
    /// Connections refused because there were too many.
    pub(in crate::net) refused: u64,
    /// Idle clients closed for new connections.
    pub(in crate::net) evicted: u64,
    /// Idle clients closed because descriptors ran out.
    pub(in crate::net) shed: u64,
}

impl DispatcherServer {
    /// Reads what a client sent, to its end, and processes it. Behind a request may lie that its client has gone, and
    /// then it must not begin.
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

    /// A client sent another statement while its request is open: it gets an error, and its connection closes.
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

    /// Ends clients' pauses that are over, and closes connections whose client owes something for too long.
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

    /// KILL QUERY from one client's connection, for the request of connection `id`. That session goes on.
    pub(in crate::net) fn kill_request(&mut self, from: Key, id: u32, now: Micros) {
        let target = self.sessions.by_id.get(&id).copied();
        if let Some(session) = self.sessions.by_key.get_mut(&from) {
            match target {
                Some(_) => session.answer_ok(),
                None => session.answer_error(ClientError::UnknownThread(id.to_string())),
            }
        }
        let Some(key) = target else { return };
        let Some(session) = self.sessions.by_key.get_mut(&key) else { return };
        let Some(request) = session.open.take() else { return };
        session.answer_error(ClientError::Interrupted);
        self.abandon_request(request, now);
        self.flush_client(key);
        if key != from {
            self.process_commands(key, now);
        }
    }

    /// Ends a request whose client no longer waits for it: no attempt of it begins from here on.
    pub(in crate::net) fn abandon_request(&mut self, request: u64, now: Micros) {
        if let Some(open) = self.requests.open.remove(&request) {
            self.log_abandoned(request, &open, now);
        }
        let commands = self.dispatch.handle(now, NetworkEvent::ClientDisconnected(request));
        self.execute(commands);
        self.client_left(now, request);
    }

    /// Closes an idle connection, write side first. A close over unread bytes would reset the connection, and the
    /// client would lose an answer that is still on its way: what crosses the end is read and dropped.
    pub(in crate::net) fn finish_client(&mut self, key: Key, now: Micros) {
        if let Some(session) = self.sessions.by_key.get_mut(&key) {
            session.finish(now);
        }
        self.flush_client(key);
    }

    /// Closes a connection at once, whose client has gone or had its time to read the last bytes.
    pub(in crate::net) fn close_client(&mut self, key: Key, now: Micros) {
        let Some(session) = self.sessions.remove(key) else { return };
        let open = session.open;
        session.close(&self.poll);
        if let Some(request) = open {
            self.abandon_request(request, now);
        }
    }

    /// Writes what waits for a client, as far as its socket takes it.
    pub(in crate::net) fn flush_client(&mut self, key: Key) {
        let now = self.clock.last();
        let Some(session) = self.sessions.by_key.get_mut(&key) else { return };
        if !session.flush(&self.poll) {
            self.close_client(key, now);
        }
    }
}
