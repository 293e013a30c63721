//! Readiness of sockets, by the polling crate.

use crate::net::sockets::system_calls::{self, Call};
use polling::{Event, Events, PollMode, Poller};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, RawFd};
use std::time::Duration;

/// Names a socket that is polled. Keys are never used twice, so that a late event can't reach another socket.
pub type Key = usize;

/// The longest span after which a change is tried again for which the system had no memory.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// What the system is asked to do with a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    Add,
    Modify,
}

/// The sockets that are polled.
pub struct Poll {
    poller: Poller,
    next: Cell<Key>,
    /// Changes for which the system had no memory yet.
    pending: RefCell<BTreeMap<RawFd, (Change, Event)>>,
}

impl Poll {
    /// Polls no socket yet.
    pub fn new() -> io::Result<Poll> {
        Ok(Poll { poller: Poller::new()?, next: Cell::new(1), pending: RefCell::default() })
    }

    /// Watches a socket for reading, and for writing if asked. It has to be given to [`Poll::remove`] before
    /// it is closed.
    pub fn add(&self, socket: &(impl AsRawFd + AsFd), writable: bool) -> io::Result<Key> {
        let key = self.next.replace(self.next.get() + 1);
        self.change(socket.as_raw_fd(), Change::Add, Event::new(key, true, writable))?;
        Ok(key)
    }

    /// Changes whether a socket is watched for writing.
    pub fn writable(&self, key: Key, socket: &impl AsFd, writable: bool) -> io::Result<()> {
        self.interest(key, socket, true, writable)
    }

    /// Changes what a socket is watched for.
    pub fn interest(&self, key: Key, socket: &impl AsFd, readable: bool, writable: bool) -> io::Result<()> {
        let fd = socket.as_fd().as_raw_fd();
        let waits_to_be_added = matches!(self.pending.borrow().get(&fd), Some((Change::Add, _)));
        let change = if waits_to_be_added { Change::Add } else { Change::Modify };
        self.change(fd, change, Event::new(key, readable, writable))
    }

    /// Stops watching a socket.
    pub fn remove(&self, socket: &impl AsFd) {
        let pending = self.pending.borrow_mut().remove(&socket.as_fd().as_raw_fd());
        if matches!(pending, Some((Change::Add, _))) {
            return;
        }
        if let Err(e) = self.poller.delete(socket) {
            tracing::warn!(error = %e, "poller: can't remove a socket");
        }
    }

    /// Waits for events, for a span of `most` at the longest. An interrupted call returns without any.
    pub fn wait(&self, events: &mut Events, most: Duration) -> io::Result<()> {
        events.clear();
        self.retry_pending();
        let most = if self.pending.borrow().is_empty() { most } else { most.min(RETRY_INTERVAL) };
        match self.poller.wait(events, Some(most)) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => Err(e),
            _ => Ok(()),
        }
    }

    /// Asks the system; if it has no memory for the change, it is asked again before the next waits.
    fn change(&self, fd: RawFd, change: Change, event: Event) -> io::Result<()> {
        match self.apply(fd, change, event) {
            Err(e) if system_calls::is_temporary(&e) => {
                self.pending.borrow_mut().insert(fd, (change, event));
                Ok(())
            }
            done => {
                self.pending.borrow_mut().remove(&fd);
                done
            }
        }
    }

    fn retry_pending(&self) {
        let pending = std::mem::take(&mut *self.pending.borrow_mut());
        for (fd, (change, event)) in pending {
            if let Err(e) = self.change(fd, change, event) {
                tracing::error!(error = %e, "poller: a socket can't be watched");
            }
        }
    }

    #[allow(unsafe_code)]
    fn apply(&self, fd: RawFd, change: Change, event: Event) -> io::Result<()> {
        system_calls::inject_poller_fault(if change == Change::Add { Call::Watch } else { Call::Rewatch })?;
        // SAFETY: polling asks that a source is deleted from the poller before it is dropped, and a borrowed
        // descriptor has to be open. Every owner in `net` keeps its socket beside its key and calls `remove` at the
        // one place where it closes it, which also takes it out of `pending`.
        unsafe {
            match change {
                Change::Add => self.poller.add_with_mode(fd, event, PollMode::Level),
                Change::Modify => {
                    self.poller.modify_with_mode(BorrowedFd::borrow_raw(fd), event, PollMode::Level)
                }
            }
        }
    }
}
