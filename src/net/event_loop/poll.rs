//! Socket readiness, based on the polling crate.

use crate::net::sockets::system_calls::{self, Call};
use polling::{Event, Events, PollMode, Poller};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, RawFd};
use std::time::Duration;

/// Identifies a registered socket. Keys are never reused, so a late event cannot reach another socket.
pub type Key = usize;

/// Maximum delay before a registration change is retried that failed for lack of kernel memory.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A registration change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    Add,
    Modify,
}

/// The registered sockets.
pub struct Poll {
    poller: Poller,
    next_key: Cell<Key>,
    /// Changes to retry, for which the kernel lacked memory.
    pending: RefCell<BTreeMap<RawFd, (Change, Event)>>,
}

impl Poll {
    /// Creates a poller without sockets.
    pub fn new() -> io::Result<Poll> {
        Ok(Poll { poller: Poller::new()?, next_key: Cell::new(1), pending: RefCell::default() })
    }

    /// Registers a socket for reading, and optionally for writing. It must be passed to [`Poll::remove`]
    /// before it is closed.
    pub fn add(&self, socket: &(impl AsRawFd + AsFd), writable: bool) -> io::Result<Key> {
        let key = self.next_key.replace(self.next_key.get() + 1);
        self.change(socket.as_raw_fd(), Change::Add, Event::new(key, true, writable))?;
        Ok(key)
    }

    /// Enables or disables watching a socket for writing.
    pub fn watch_writable(&self, key: Key, socket: &impl AsFd, writable: bool) -> io::Result<()> {
        self.set_interest(key, socket, true, writable)
    }

    /// Changes the readiness that a socket is watched for.
    pub fn set_interest(
        &self,
        key: Key,
        socket: &impl AsFd,
        readable: bool,
        writable: bool,
    ) -> io::Result<()> {
        let fd = socket.as_fd().as_raw_fd();
        let is_add_pending = matches!(self.pending.borrow().get(&fd), Some((Change::Add, _)));
        let change = if is_add_pending { Change::Add } else { Change::Modify };
        self.change(fd, change, Event::new(key, readable, writable))
    }

    /// Deregisters a socket.
    pub fn remove(&self, socket: &impl AsFd) {
        let pending = self.pending.borrow_mut().remove(&socket.as_fd().as_raw_fd());
        if matches!(pending, Some((Change::Add, _))) {
            return;
        }
        if let Err(e) = self.poller.delete(socket) {
            tracing::warn!(error = %e, "poller: failed to deregister a socket");
        }
    }

    /// Waits for events, for at most `timeout`. An interrupted call returns without events.
    pub fn wait(&self, events: &mut Events, timeout: Duration) -> io::Result<()> {
        events.clear();
        self.retry_pending();
        let timeout = if self.pending.borrow().is_empty() { timeout } else { timeout.min(MAX_RETRY_DELAY) };
        match self.poller.wait(events, Some(timeout)) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => Err(e),
            _ => Ok(()),
        }
    }

    /// Applies a change; if the kernel lacks memory for it, it is retried before the next wait.
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
                tracing::error!(error = %e, "poller: failed to register a socket");
            }
        }
    }

    #[allow(unsafe_code)]
    fn apply(&self, fd: RawFd, change: Change, event: Event) -> io::Result<()> {
        system_calls::inject_poller_fault(if change == Change::Add { Call::Watch } else { Call::Rewatch })?;
        // SAFETY: polling requires that a source is deleted from the poller before it is dropped, and a
        // borrowed descriptor must be open. Every owner in `net` keeps its socket together with its key and
        // calls `remove` at the single place where it closes the socket, which also drops it from `pending`.
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
