//! A side of the dispatcher with sockets and timers of its own.

use crate::api::Micros;
use crate::net::event_loop::poll::{Key, Poll};

/// What the event loop has to know of a side to poll and schedule it.
pub trait EventSource {
    /// Whether a key is one of its sockets.
    fn owns(&self, key: Key) -> bool;

    /// When [`EventSource::tick`] has something to do next; `None` if never.
    fn next_due(&self) -> Option<Micros>;

    /// Does what is due.
    fn tick(&mut self, now: Micros, poll: &Poll);
}
