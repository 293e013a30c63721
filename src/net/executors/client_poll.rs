//! The poll of all clients that has to precede the start of an attempt.
//!
//! No attempt may be started for a client that has disconnected; the rule allows 0.1 s to detect that. Whatever triggers
//! an attempt (an arrival, a timer, a retry, an established connection), its first byte is written in one place, and
//! only while the last poll of all clients is fresh. Otherwise the attempt waits there until the event loop has polled
//! the clients again.

use super::Executors;
use crate::api::Micros;
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::limits::CLIENT_POLL_VALID;
use std::collections::BTreeSet;

/// The last poll, and the connections that wait for the next one.
#[derive(Debug, Default)]
pub(super) struct ClientPoll {
    /// The time up to which all client events have been processed; `None` if clients are not polled.
    polled_until: Option<Micros>,
    /// Connections on which an attempt waits for the next poll.
    waiting: BTreeSet<Key>,
    /// Whether one attempt may start however old the poll is. Set after a poll for which an attempt waited: with very
    /// little processor time no poll might ever be fresh when an attempt could start.
    allow_stale: bool,
}

impl ClientPoll {
    /// Whether the last poll is recent enough for an attempt to start now.
    pub(super) fn is_fresh(&self, now: Micros) -> bool {
        self.polled_until.is_none_or(|at| self.allow_stale || now <= at + CLIENT_POLL_VALID)
    }

    /// Records that an attempt started.
    pub(super) fn attempt_started(&mut self) {
        self.allow_stale = false;
    }

    /// Makes an attempt on this connection wait for the next poll.
    pub(super) fn wait(&mut self, key: Key) {
        self.waiting.insert(key);
    }
}

impl Executors {
    /// Records that all client events up to `at` have been processed.
    pub fn clients_polled(&mut self, at: Micros) {
        self.client_poll.polled_until = Some(at);
        self.client_poll.allow_stale = !self.client_poll.waiting.is_empty();
    }

    /// Whether attempts wait for a poll of the clients.
    pub fn awaits_client_poll(&self) -> bool {
        !self.client_poll.waiting.is_empty()
    }

    /// Whether an attempt may start now.
    pub fn may_start_attempt(&mut self) -> bool {
        let now = self.clock.now();
        self.client_poll.is_fresh(now)
    }

    /// Starts the attempts that waited for the poll that has just finished.
    pub fn start_waiting_attempts(&mut self, poll: &Poll) {
        let now = self.clock.now();
        for key in std::mem::take(&mut self.client_poll.waiting) {
            self.write(key, now, poll);
        }
    }
}
