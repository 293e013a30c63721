//! Accept control: which clients are let in, and who goes for them.

use crate::api::Micros;
use crate::codec::mysql::Error;
use crate::net::DispatcherServer;
use crate::net::clients::session::Session;
use crate::net::event_loop::poll::Key;
use crate::net::limits::{ACCEPT_PAUSE, ACCEPTS, BACKLOG, CLIENT_BACKOFF, PATIENCE};
use crate::net::sockets::{dial, system_calls};
use std::io;

impl DispatcherServer {
    pub(in crate::net) fn accept_clients(&mut self, now: Micros) {
        // A KILL may wait behind any number of others, and what it ends must not begin. As many as can wait, and no more:
        // under a flood new ones would come for ever.
        for _ in 0..BACKLOG.div_ceil(ACCEPTS) {
            if !self.accept_batch(now) {
                return;
            }
        }
        self.backlog_since.get_or_insert(self.found_since);
    }

    /// Takes some in; whether there may be more.
    fn accept_batch(&mut self, now: Micros) -> bool {
        for _ in 0..ACCEPTS {
            let Some((_, listener)) = &self.listener else { return false };
            let stream = match system_calls::accept(listener) {
                Ok(stream) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.backlog_since = None;
                    return false;
                }
                Err(e) if system_calls::takes_another(&e) => continue,
                Err(e) if dial::out_of_descriptors(&e) && self.shed_idle_client(now) => continue,
                Err(e) => {
                    tracing::error!(error = %e, "accept: pausing");
                    self.pause_accepting(now);
                    return false;
                }
            };
            let id = self.next_id;
            self.next_id = self.next_id.wrapping_add(1);
            let mut scramble = [0; 20];
            (0u32..).zip(&mut scramble).for_each(|(i, b)| *b = 33 + (id.rotate_left(i) % 90) as u8);
            let full = self.sessions.served() >= self.descriptors.clients && !self.evict_idle_client(now);
            // What it wrote may have come as long ago as it can have waited here.
            let noticed = self.occurrence_noticed_at(now);
            let came = self.backlog_since.map_or(noticed, |since| noticed.since(since));
            match Session::new(stream, &self.poll, &self.pool, id, &scramble, came) {
                Ok(mut s) => {
                    if full {
                        self.refused_clients += 1;
                        let wait = match &mut self.storm {
                            Some(storm) => storm.connection_refused(CLIENT_BACKOFF),
                            None => CLIENT_BACKOFF,
                        };
                        let text = format!("too many connections: backoff={}", wait.div_ceil(1_000));
                        s.close_with_error(&Error::new(1040, "08004", text), now);
                    }
                    let key = self.sessions.insert(s);
                    // What the client wrote ahead is read now: its request came before later ones.
                    self.flush_client(key);
                    self.read_client(key, now);
                    self.close_excess_lingering(now);
                }
                Err(e) => tracing::warn!(client = id, error = %e, "client lost at its start"),
            }
        }
        true
    }

    pub(in crate::net) fn pause_accepting(&mut self, now: Micros) {
        // The listener stays readable: it must not be watched meanwhile, or the loop would spin.
        if let Some((_, listener)) = self.listener.take() {
            self.poll.remove(&listener);
            self.paused = Some(listener);
            self.backlog_since.get_or_insert(self.found_since);
            self.accept_at = Some(now + ACCEPT_PAUSE);
        }
    }

    pub(in crate::net) fn resume_accepting(&mut self, now: Micros) {
        let Some(listener) = self.paused.take() else { return };
        match self.poll.add(&listener, false) {
            Ok(key) => {
                self.listener = Some((key, listener));
                self.accept_clients(now);
            }
            Err(e) => {
                tracing::error!(error = %e, "accept: pausing");
                self.paused = Some(listener);
                self.accept_at = Some(now + ACCEPT_PAUSE);
            }
        }
    }

    /// Takes in all that waits and listens no more: what comes later is another process's.
    pub(in crate::net) fn stop_accepting(&mut self, now: Micros) {
        if let Some(listener) = self.paused.take() {
            self.accept_at = None;
            self.listener = self.poll.add(&listener, false).ok().map(|key| (key, listener));
        }
        // As many as can wait, and no more: under a flood new ones would come for ever.
        for _ in 0..BACKLOG.div_ceil(ACCEPTS) {
            if !self.accept_batch(now) {
                break;
            }
        }
        if let Some((_, listener)) = self.listener.take() {
            self.poll.remove(&listener);
        }
        self.paused = None;
        self.accept_at = None;
    }

    /// Out of descriptors: closes the newest client that has nothing open, unwritten or unread, so that the one
    /// that waits can come in; false if none can be spared.
    pub(in crate::net) fn shed_idle_client(&mut self, now: Micros) -> bool {
        let spare = |(k, s): (&Key, &Session)| s.eviction_rank(now, PATIENCE).map(|_| *k);
        let all = self.sessions.by_key.iter().rev();
        let Some(key) = all.filter_map(spare).find(|k| self.sessions.has_nothing_unread(*k)) else {
            return false;
        };
        self.shed += 1;
        tracing::warn!(
            clients = self.sessions.by_key.len(),
            shed = self.shed,
            "out of descriptors: newest idle client closed"
        );
        self.close_client(key, now);
        true
    }

    /// Where the feed or an attempt found no descriptor, an idle client goes for it.
    pub(in crate::net) fn free_descriptors(&mut self, now: Micros) {
        if std::mem::take(&mut self.executors.starved) {
            self.shed_idle_client(now);
        }
        if self.feed.as_ref().is_some_and(|f| f.starved)
            && self.shed_idle_client(now)
            && let Some(feed) = &mut self.feed
        {
            feed.try_again(now, &self.poll);
        }
    }

    /// Lets the client go that can be spared best, for another to come in; false if none can.
    pub(in crate::net) fn evict_idle_client(&mut self, now: Micros) -> bool {
        let rank = |(k, s): (&Key, &Session)| {
            s.eviction_rank(now, PATIENCE).filter(|(r, _)| *r > 0).map(|r| (r, *k))
        };
        let mut idle: Vec<_> = self.sessions.by_key.iter().filter_map(rank).collect();
        idle.sort_unstable();
        let found = idle.into_iter().find(|(_, k)| self.sessions.has_nothing_unread(*k));
        let Some((_, key)) = found else { return false };
        self.evicted += 1;
        self.finish_client(key, now);
        true
    }

    /// Keeps those that only read their last bytes to their share: the longest of them is closed.
    pub(in crate::net) fn close_excess_lingering(&mut self, now: Micros) {
        while self.sessions.lingering() > self.descriptors.lingering {
            let since = |(k, s): (&Key, &Session)| s.closing_since().map(|t| (t, *k));
            let Some((_, key)) = self.sessions.by_key.iter().filter_map(since).min() else { return };
            self.close_client(key, now);
        }
    }
}
