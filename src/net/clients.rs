//! Clients: what is read from them, and who has to go.

use super::poll::Key;
use super::*;
use crate::api::Micros;
use crate::codec::mysql::Error;
use crate::dispatch::NetworkEvent;

impl Node {
    pub(super) fn read(&mut self, key: Key, now: Micros) {
        let noticed = self.noticed(now);
        let Some(s) = self.sessions.by_key.get_mut(&key) else { return };
        // Whatever came is read to its end before any of it counts: behind a request may lie that its client has gone.
        if !s.read(noticed) || !s.read_on() || s.leaves() {
            return self.hang_up(key, now);
        }
        if s.open.is_some() && s.overruns() {
            return self.overrun(key, now);
        }
        self.advance(key, now);
    }

    /// A client that sends on while its request is open gets no answer but this one, whatever comes of it.
    pub(super) fn overrun(&mut self, key: Key, now: Micros) {
        let Some(s) = self.sessions.by_key.get_mut(&key) else { return };
        tracing::info!(client = s.id, "client closed: sends on without waiting for its answer");
        let open = s.open.take();
        s.dismiss(&Error::new(1105, "HY000", "one request at a time on a connection"), now);
        if let Some(request) = open {
            self.left(request, now);
        }
        self.flush(key);
    }

    /// What time does to clients: pauses end, and who owes something for too long goes.
    pub(super) fn look_after_clients(&mut self, now: Micros) {
        let keys: Vec<Key> = self.sessions.by_key.keys().copied().collect();
        for key in keys {
            let Some(s) = self.sessions.by_key.get_mut(&key) else { continue };
            let paused = s.paused();
            if !s.tick(now) {
                self.hang_up(key, now);
            } else if paused && !s.paused() {
                self.advance(key, now);
            } else if s.dismissed() {
                self.flush(key);
            }
        }
    }

    /// KILL QUERY: the client of that request has left; its session goes on.
    pub(super) fn kill(&mut self, from: Key, id: u32, now: Micros) {
        let target = self.sessions.by_id.get(&id).copied();
        if let Some(s) = self.sessions.by_key.get_mut(&from) {
            match target {
                Some(_) => s.ok(),
                None => s.error(&Error::new(1094, "HY000", format!("unknown thread id: {id}"))),
            }
        }
        let Some(key) = target else { return };
        let Some(s) = self.sessions.by_key.get_mut(&key) else { return };
        let Some(request) = s.open.take() else { return };
        s.error(&Error::new(1317, "70100", "query execution was interrupted"));
        self.left(request, now);
        self.flush(key);
        if key != from {
            self.advance(key, now);
        }
    }

    pub(super) fn left(&mut self, request: u64, now: Micros) {
        if let Some(open) = self.open.remove(&request) {
            self.log_left(request, &open, now);
        }
        let orders = self.dispatch.handle(now, NetworkEvent::ClientDisconnected(request));
        self.settle(orders);
        self.client_left(now, request);
    }

    /// Takes nothing more from a client that rests. Its connection ends write side first: what it sends in this very
    /// moment is read and dropped, so that no reset takes anything along.
    pub(super) fn finish(&mut self, key: Key, now: Micros) {
        if let Some(s) = self.sessions.by_key.get_mut(&key) {
            s.finish(now);
        }
        self.flush(key);
    }

    /// Closes a client's connection: one whose client has gone, or that had its time.
    pub(super) fn hang_up(&mut self, key: Key, now: Micros) {
        let Some(s) = self.sessions.remove(key) else { return };
        let open = s.open;
        s.close(&self.poll);
        if let Some(request) = open {
            self.left(request, now);
        }
    }

    pub(super) fn flush(&mut self, key: Key) {
        let now = self.clock.last();
        let Some(s) = self.sessions.by_key.get_mut(&key) else { return };
        if !s.flush(&self.poll) {
            self.hang_up(key, now);
        }
    }
}
