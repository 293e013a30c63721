//! Readiness of sockets, by the polling crate.

use polling::{Event, Events, PollMode, Poller};
use std::cell::Cell;
use std::io;
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

/// A socket under watch; keys are never used twice, so a late event can't reach another socket.
pub type Key = usize;

/// The sockets under watch.
pub struct Poll {
    poller: Poller,
    next: Cell<Key>,
}

impl Poll {
    /// Watches nothing yet.
    pub fn new() -> io::Result<Poll> {
        Ok(Poll { poller: Poller::new()?, next: Cell::new(1) })
    }

    /// Watches a socket for reading, and for writing if asked. It has to be given to [`Poll::remove`] before
    /// it is closed.
    #[allow(unsafe_code)]
    pub fn add(&self, socket: &(impl AsRawFd + AsFd), writable: bool) -> io::Result<Key> {
        let key = self.next.replace(self.next.get() + 1);
        // SAFETY: polling asks that a source is deleted from the poller before it is dropped. Every owner in
        // `net` keeps its socket beside its key and calls `remove` at the one place where it closes it.
        unsafe { self.poller.add_with_mode(socket, Event::new(key, true, writable), PollMode::Level)? };
        Ok(key)
    }

    /// Changes whether a socket is watched for writing.
    pub fn writable(&self, key: Key, socket: &impl AsFd, writable: bool) -> io::Result<()> {
        self.interest(key, socket, true, writable)
    }

    /// Changes what a socket is watched for.
    pub fn interest(&self, key: Key, socket: &impl AsFd, readable: bool, writable: bool) -> io::Result<()> {
        self.poller.modify_with_mode(socket, Event::new(key, readable, writable), PollMode::Level)
    }

    /// Watches a socket no more.
    pub fn remove(&self, socket: &impl AsFd) {
        if let Err(e) = self.poller.delete(socket) {
            tracing::warn!(error = %e, "poller: can't remove a socket");
        }
    }

    /// Waits for events, at most so long.
    pub fn wait(&self, events: &mut Events, most: Duration) -> io::Result<()> {
        events.clear();
        match self.poller.wait(events, Some(most)) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => Err(e),
            _ => Ok(()),
        }
    }
}
