//! Clients: what is read from them, and who has to go.

mod accept;
mod arrival;
pub(in crate::net) mod listener;
pub(in crate::net) mod request_intake;
pub(in crate::net) mod session;

use crate::api::Micros;
use crate::codec::mysql::Error;
use crate::dispatch::NetworkEvent;
use crate::net::DispatcherServer;
use crate::net::event_loop::poll::Key;

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
    pub(in crate::net) fn read_client(&mut self, key: Key, now: Micros) {
        let noticed = self.poll_times.occurrence_noticed_at(now);
        let Some(s) = self.sessions.by_key.get_mut(&key) else { return };
        // Whatever came is read to its end before any of it counts: behind a request may lie that its client has gone.
        if !s.read(noticed) || !s.read_to_end() || s.has_quit() {
            return self.close_client(key, now);
        }
        if s.open.is_some() && s.sends_while_open() {
            return self.reject_second_request(key, now);
        }
        self.process_commands(key, now);
    }

    /// A client that sends on while its request is open gets no answer but this one, whatever comes of it.
    pub(in crate::net) fn reject_second_request(&mut self, key: Key, now: Micros) {
        let Some(s) = self.sessions.by_key.get_mut(&key) else { return };
        tracing::info!(client = s.id, "client closed: sends on without waiting for its answer");
        let open = s.open.take();
        s.close_with_error(&Error::new(1105, "HY000", "one request at a time on a connection"), now);
        if let Some(request) = open {
            self.abandon_request(request, now);
        }
        self.flush_client(key);
    }

    /// What time does to clients: pauses end, and who owes something for too long goes.
    pub(in crate::net) fn process_client_timers(&mut self, now: Micros) {
        let keys: Vec<Key> = self.sessions.by_key.keys().copied().collect();
        for key in keys {
            let Some(s) = self.sessions.by_key.get_mut(&key) else { continue };
            let paused = s.is_paused();
            if !s.tick(now) {
                self.close_client(key, now);
            } else if paused && !s.is_paused() {
                self.process_commands(key, now);
            } else if s.is_closing() {
                self.flush_client(key);
            }
        }
    }

    /// KILL QUERY: the client of that request has left; its session goes on.
    pub(in crate::net) fn kill_request(&mut self, from: Key, id: u32, now: Micros) {
        let target = self.sessions.by_id.get(&id).copied();
        if let Some(s) = self.sessions.by_key.get_mut(&from) {
            match target {
                Some(_) => s.answer_ok(),
                None => s.answer_error(&Error::new(1094, "HY000", format!("unknown thread id: {id}"))),
            }
        }
        let Some(key) = target else { return };
        let Some(s) = self.sessions.by_key.get_mut(&key) else { return };
        let Some(request) = s.open.take() else { return };
        s.answer_error(&Error::new(1317, "70100", "query execution was interrupted"));
        self.abandon_request(request, now);
        self.flush_client(key);
        if key != from {
            self.process_commands(key, now);
        }
    }

    pub(in crate::net) fn abandon_request(&mut self, request: u64, now: Micros) {
        if let Some(open) = self.requests.open.remove(&request) {
            self.log_abandoned(request, &open, now);
        }
        let orders = self.dispatch.handle(now, NetworkEvent::ClientDisconnected(request));
        self.execute(orders);
        self.client_left(now, request);
    }

    /// Takes nothing more from a client that rests. Its connection ends write side first: what it sends in this very
    /// moment is read and dropped, so that no reset takes anything along.
    pub(in crate::net) fn finish_client(&mut self, key: Key, now: Micros) {
        if let Some(s) = self.sessions.by_key.get_mut(&key) {
            s.finish(now);
        }
        self.flush_client(key);
    }

    /// Closes a client's connection: one whose client has gone, or that had its time.
    pub(in crate::net) fn close_client(&mut self, key: Key, now: Micros) {
        let Some(s) = self.sessions.remove(key) else { return };
        let open = s.open;
        s.close(&self.poll);
        if let Some(request) = open {
            self.abandon_request(request, now);
        }
    }

    pub(in crate::net) fn flush_client(&mut self, key: Key) {
        let now = self.clock.last();
        let Some(s) = self.sessions.by_key.get_mut(&key) else { return };
        if !s.flush(&self.poll) {
            self.close_client(key, now);
        }
    }
}
