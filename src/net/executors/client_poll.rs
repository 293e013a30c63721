//! The look at the clients' side that comes before an attempt begins.
//!
//! A client that has left starts no attempt, and the rule gives 0.1 s to see that it has. Whatever brings an attempt
//! about (an arrival, a timer, a repeat, a connection that comes up), its first byte is written in one place, and only
//! while the last look at all clients is fresh. If it is not, the attempt waits there until the loop has looked again.

use super::Executors;
use crate::api::Micros;
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::limits::CLIENT_POLL_VALID;
use std::collections::BTreeSet;

/// The last look, and what waits for the next one.
#[derive(Debug, Default)]
pub(super) struct ClientPoll {
    /// A moment up to which everything that clients did is known; `None` where nobody looks.
    at: Option<Micros>,
    /// Connections on which an attempt waits for the next look.
    waiting: BTreeSet<Key>,
    /// Whether an attempt may begin however old the look is: something waited for it, and it may be that on hardly any
    /// processor time no look is ever fresh by the time that an attempt could begin.
    grant: bool,
}

impl ClientPoll {
    /// Whether what clients did is known well enough for an attempt to begin now.
    pub(super) fn is_fresh(&self, now: Micros) -> bool {
        self.at.is_none_or(|at| self.grant || now <= at + CLIENT_POLL_VALID)
    }

    /// An attempt begins.
    pub(super) fn begins(&mut self) {
        self.grant = false;
    }

    /// An attempt on this connection has to wait for the next look.
    pub(super) fn wait(&mut self, key: Key) {
        self.waiting.insert(key);
    }
}

impl Executors {
    /// All that clients did up to this moment has been heeded.
    pub fn clients_polled(&mut self, at: Micros) {
        self.client_poll.at = Some(at);
        self.client_poll.grant = !self.client_poll.waiting.is_empty();
    }

    /// Whether attempts wait for a look.
    pub fn awaits_client_poll(&self) -> bool {
        !self.client_poll.waiting.is_empty()
    }

    /// Whether an attempt may begin now.
    pub fn may_begin(&mut self) -> bool {
        let now = self.clock.now();
        self.client_poll.is_fresh(now)
    }

    /// Begins what waited for the look that has just been taken.
    pub fn begin_after_poll(&mut self, poll: &Poll) {
        let now = self.clock.now();
        for key in std::mem::take(&mut self.client_poll.waiting) {
            self.write(key, now, poll);
        }
    }
}
