//! A component with its own sockets and timers.

use crate::api::Micros;
use crate::net::event_loop::poll::{Key, Poll};

/// Interface through which the event loop polls and schedules a component.
pub trait EventSource {
    /// Whether the key belongs to one of this component's sockets.
    fn owns(&self, key: Key) -> bool;

    /// When [`EventSource::tick`] is next due; `None` if never.
    fn next_due(&self) -> Option<Micros>;

    /// Processes expired timers.
    fn tick(&mut self, now: Micros, poll: &Poll);
}
