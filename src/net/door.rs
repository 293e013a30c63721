//! The clients' door: who is let in, and who makes room.

use super::poll::Key;
use super::session::Session;
use super::*;
use crate::api::Micros;
use crate::codec::mysql::Error;
use std::io;

impl Node {
    pub(super) fn accept(&mut self, now: Micros) {
        for _ in 0..ACCEPTS {
            let Some((_, listener)) = &self.listener else { return };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => continue,
                Err(e) if out_of_descriptors(&e) && self.shed(now) => continue,
                Err(e) => {
                    tracing::error!(error = %e, "accept: pausing");
                    self.pause_accepting(now);
                    return;
                }
            };
            let id = self.next_id;
            self.next_id = self.next_id.wrapping_add(1);
            let mut scramble = [0; 20];
            (0u32..).zip(&mut scramble).for_each(|(i, b)| *b = 33 + (id.rotate_left(i) % 90) as u8);
            let full = self.sessions.by_key.len() >= self.most_sessions && !self.make_room(now);
            if full && self.sessions.by_key.len() >= self.most_sessions + LINGERERS {
                self.refused_clients += 1;
                continue;
            }
            match Session::new(stream, &self.poll, &self.pool, id, &scramble, now) {
                Ok(mut s) => {
                    if full {
                        self.refused_clients += 1;
                        let wait = match &mut self.storm {
                            Some(storm) => storm.connection_refused(CLIENT_BACKOFF),
                            None => CLIENT_BACKOFF,
                        };
                        let text = format!("too many connections: backoff={}", wait.div_ceil(1_000));
                        s.dismiss(&Error::new(1040, "08004", text), now);
                    }
                    let key = self.sessions.insert(s);
                    // What the client wrote ahead is read now: its request came before later ones.
                    self.flush(key);
                    self.read(key, now);
                }
                Err(e) => tracing::warn!(client = id, error = %e, "client lost at its start"),
            }
        }
    }

    pub(super) fn pause_accepting(&mut self, now: Micros) {
        // The listener stays readable: it must not be watched meanwhile, or the loop would spin.
        if let Some((_, listener)) = self.listener.take() {
            self.poll.remove(&listener);
            self.paused = Some(listener);
            self.accept_at = Some(now + ACCEPT_PAUSE);
        }
    }

    pub(super) fn accept_again(&mut self, now: Micros) {
        let Some(listener) = self.paused.take() else { return };
        match self.poll.add(&listener, false) {
            Ok(key) => {
                self.listener = Some((key, listener));
                self.accept(now);
            }
            Err(e) => {
                tracing::error!(error = %e, "accept: pausing");
                self.paused = Some(listener);
                self.accept_at = Some(now + ACCEPT_PAUSE);
            }
        }
    }

    /// Out of descriptors: closes the newest client that has nothing open, unwritten or unread, so that the one
    /// that waits can come in; false if none can be spared.
    pub(super) fn shed(&mut self, now: Micros) -> bool {
        let spare = |(k, s): (&Key, &Session)| s.spare(now, PATIENCE).map(|_| *k);
        let Some(key) = self.sessions.by_key.iter().filter_map(spare).max() else { return false };
        self.shed += 1;
        tracing::warn!(
            clients = self.sessions.by_key.len(),
            shed = self.shed,
            "out of descriptors: newest idle client closed"
        );
        self.hang_up(key, now);
        true
    }

    /// Closes the client that can be spared best, for another to come in; false if none can.
    pub(super) fn make_room(&mut self, now: Micros) -> bool {
        let spare = |(k, s): (&Key, &Session)| s.spare(now, PATIENCE).map(|rank| (rank, *k));
        let Some((_, key)) = self.sessions.by_key.iter().filter_map(spare).min() else { return false };
        self.made_room += 1;
        self.hang_up(key, now);
        true
    }
}

/// Whether an error of accept means that this process or the system has no descriptor left.
fn out_of_descriptors(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}
