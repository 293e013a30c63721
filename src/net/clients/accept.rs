//! Accepting client connections, and closing idle ones to make room.

use super::CLIENT_BACKOFF;
use super::client_error::ClientError;
use super::session::Session;
use crate::api::Micros;
use crate::net::DispatcherServer;
use crate::net::event_loop::poll::Key;
use crate::net::sockets::listen::BACKLOG;
use crate::net::sockets::{dial, system_calls};
use std::io;
use std::net::TcpStream;

/// Maximum connections accepted in one batch.
const BATCH_SIZE: usize = 64;
/// Number of batches that empty a full backlog. The loop is bounded because a connection flood refills the
/// backlog as fast as it is emptied.
const MAX_BATCHES: usize = BACKLOG.div_ceil(BATCH_SIZE);
/// Time a newly connected client has to send something before it may be closed to make room.
const CONNECT_GRACE: Micros = 100_000;

/// Whether the backlog may contain more connections after a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Backlog {
    MayHoldMore,
    /// The backlog is empty, or accepting is paused.
    Done,
}

impl DispatcherServer {
    /// Accepts all pending connections. A KILL may be queued behind any number of other connections, and the
    /// request it names must not start. The backlog is therefore drained before any request starts.
    pub(in crate::net) fn accept_clients(&mut self, now: Micros) {
        if self.accept_batches(now) == Backlog::MayHoldMore {
            self.listener.backlog_since.get_or_insert(self.poll_times.events_since());
        }
    }

    fn accept_batches(&mut self, now: Micros) -> Backlog {
        for _ in 0..MAX_BATCHES {
            if self.accept_batch(now) == Backlog::Done {
                return Backlog::Done;
            }
        }
        Backlog::MayHoldMore
    }

    fn accept_batch(&mut self, now: Micros) -> Backlog {
        for _ in 0..BATCH_SIZE {
            let Some(socket) = self.listener.socket() else { return Backlog::Done };
            match system_calls::accept(socket) {
                Ok(stream) => self.admit_client(stream, now),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.listener.backlog_is_empty();
                    return Backlog::Done;
                }
                Err(e) if system_calls::may_accept_again(&e) => {}
                Err(e) if dial::out_of_descriptors(&e) && self.shed_idle_client(now) => {}
                Err(e) => {
                    tracing::error!(error = %e, "accept paused");
                    self.listener.pause(&self.poll, now, self.poll_times.events_since());
                    return Backlog::Done;
                }
            }
        }
        Backlog::MayHoldMore
    }

    /// Creates a session for a new connection, or refuses it if the client limit is reached and no idle
    /// client can be closed.
    fn admit_client(&mut self, stream: TcpStream, now: Micros) {
        let id = self.sessions.take_connection_id();
        let is_full = self.sessions.served() >= self.descriptors.clients && !self.evict_idle_client(now);
        // The client's first bytes may have arrived at any time since the backlog was last empty.
        let noticed = self.poll_times.occurrence_noticed_at(now);
        let connected = self.listener.backlog_since.map_or(noticed, |since| noticed.since(since));
        let mut session = match Session::new(stream, &self.poll, &self.pool, id, &scramble(id), connected) {
            Ok(session) => session,
            Err(e) => return tracing::warn!(client = id, error = %e, "client session setup failed"),
        };
        if is_full {
            session.close_with_error(self.too_many_connections(), now);
        }
        let key = self.sessions.insert(session);
        // Bytes that the client has already sent are read now, as its request precedes later ones.
        self.flush_client(key);
        self.read_client(key, now);
        self.close_excess_lingering(now);
    }

    fn too_many_connections(&mut self) -> ClientError {
        self.client_counters.refused += 1;
        let wait = match &mut self.storm {
            Some(storm) => storm.connection_refused(CLIENT_BACKOFF),
            None => CLIENT_BACKOFF,
        };
        ClientError::TooManyConnections { backoff_ms: wait.div_ceil(1_000) }
    }

    /// Resumes accepting after a pause.
    pub(in crate::net) fn resume_accepting(&mut self, now: Micros) {
        match self.listener.resume(&self.poll, now) {
            Ok(()) => self.accept_clients(now),
            Err(e) => tracing::error!(error = %e, "accept paused"),
        }
    }

    /// Accepts all pending connections and closes the listener; later connections go to another process.
    /// Closing it with connections in the backlog would reset them.
    pub(in crate::net) fn stop_accepting(&mut self, now: Micros) {
        self.listener.end_pause(&self.poll);
        self.accept_batches(now);
        self.listener.close(&self.poll);
    }

    /// Closes the newest idle client to free a descriptor. Only a client without an open request and without
    /// unwritten or unread data qualifies; returns false if there is none.
    pub(in crate::net) fn shed_idle_client(&mut self, now: Micros) -> bool {
        let evictable = |(k, s): (&Key, &Session)| s.eviction_rank(now, CONNECT_GRACE).map(|_| *k);
        let all = self.sessions.by_key.iter().rev();
        let Some(key) = all.filter_map(evictable).find(|k| self.sessions.has_nothing_unread(*k)) else {
            return false;
        };
        self.client_counters.shed += 1;
        tracing::warn!(
            clients = self.sessions.by_key.len(),
            shed = self.client_counters.shed,
            reason = "out of descriptors",
            "idle client closed"
        );
        self.close_client(key, now);
        true
    }

    /// Closes an idle client if the coordinator watch or an attempt ran out of descriptors.
    pub(in crate::net) fn free_descriptors(&mut self, now: Micros) {
        if std::mem::take(&mut self.executors.out_of_descriptors) {
            self.shed_idle_client(now);
        }
        if self.coordinator_watch.as_ref().is_some_and(|f| f.out_of_descriptors)
            && self.shed_idle_client(now)
            && let Some(feed) = &mut self.coordinator_watch
        {
            feed.retry_now(now, &self.poll);
        }
    }

    /// Closes the idle client with the lowest eviction rank to make room for a new one; returns false if
    /// there is none.
    pub(in crate::net) fn evict_idle_client(&mut self, now: Micros) -> bool {
        let rank = |(k, s): (&Key, &Session)| {
            s.eviction_rank(now, CONNECT_GRACE).filter(|(r, _)| *r > 0).map(|r| (r, *k))
        };
        let mut idle: Vec<_> = self.sessions.by_key.iter().filter_map(rank).collect();
        idle.sort_unstable();
        let found = idle.into_iter().find(|(_, k)| self.sessions.has_nothing_unread(*k));
        let Some((_, key)) = found else { return false };
        self.client_counters.evicted += 1;
        self.finish_client(key, now);
        true
    }

    /// Closes the longest lingering connections until their number is within the limit.
    pub(in crate::net) fn close_excess_lingering(&mut self, now: Micros) {
        while self.sessions.lingering() > self.descriptors.lingering {
            let since = |(k, s): (&Key, &Session)| s.closing_since().map(|t| (t, *k));
            let Some((_, key)) = self.sessions.by_key.iter().filter_map(since).min() else { return };
            self.close_client(key, now);
        }
    }
}

/// Authentication challenge of the login handshake: printable, non-zero bytes. Passwords are not checked.
fn scramble(connection_id: u32) -> [u8; 20] {
    let mut bytes = [0; 20];
    (0u32..).zip(&mut bytes).for_each(|(i, byte)| *byte = 33 + (connection_id.rotate_left(i) % 90) as u8);
    bytes
}
