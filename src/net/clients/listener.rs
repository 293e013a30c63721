//! The socket that clients connect to.

use crate::api::Micros;
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::limits::CLIENT_POLL_VALID;
use crate::net::sockets::listen;
use std::io;
use std::net::{SocketAddr, TcpListener};

/// How long accepting pauses when descriptors or memory have run out. A KILL may wait in the backlog meanwhile, and it
/// has to be read while the last look at the clients is still valid.
const ACCEPT_PAUSE: Micros = CLIENT_POLL_VALID / 2;

/// What the listener does.
enum State {
    /// The event loop watches it.
    Listening(Key, TcpListener),
    /// It is open and not watched: it stays readable, and the loop would spin on it.
    Paused { listener: TcpListener, resume_at: Micros },
    /// Connections are refused, or go to another process on the same port.
    Closed,
}

/// The clients' listener.
pub(in crate::net) struct ClientListener {
    state: State,
    address: SocketAddr,
    /// Since when connections may wait in the backlog: accepting stopped before it was empty.
    pub(super) backlog_since: Option<Micros>,
}

impl ClientListener {
    /// Listens on an address, beside any other dispatcher on it.
    pub(in crate::net) fn bind(address: SocketAddr, poll: &Poll, now: Micros) -> io::Result<ClientListener> {
        let listener = listen::bind_shared(address)?;
        let key = poll.add(&listener, false)?;
        let address = listener.local_addr()?;
        // Connections may have come since it was bound, which is before now.
        Ok(ClientListener { state: State::Listening(key, listener), address, backlog_since: Some(now) })
    }

    /// The address that clients connect to, also while it is closed.
    pub(in crate::net) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its key while the event loop watches it.
    pub(in crate::net) fn key(&self) -> Option<Key> {
        match &self.state {
            State::Listening(key, _) => Some(*key),
            State::Paused { .. } | State::Closed => None,
        }
    }

    /// The socket, while it is watched.
    pub(super) fn socket(&self) -> Option<&TcpListener> {
        match &self.state {
            State::Listening(_, listener) => Some(listener),
            State::Paused { .. } | State::Closed => None,
        }
    }

    /// Whether no connection is accepted any more.
    pub(in crate::net) fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed)
    }

    /// The poll showed no new connection: the backlog is empty.
    pub(in crate::net) fn backlog_is_empty(&mut self) {
        self.backlog_since = None;
    }

    /// When accepting resumes after a pause.
    pub(in crate::net) fn resume_at(&self) -> Option<Micros> {
        match self.state {
            State::Paused { resume_at, .. } => Some(resume_at),
            State::Listening(..) | State::Closed => None,
        }
    }

    /// Stops watching for a while; connections may wait in the backlog since `events_since`.
    pub(super) fn pause(&mut self, poll: &Poll, now: Micros, events_since: Micros) {
        self.state = match std::mem::replace(&mut self.state, State::Closed) {
            State::Listening(_, listener) => {
                poll.remove(&listener);
                self.backlog_since.get_or_insert(events_since);
                State::Paused { listener, resume_at: now + ACCEPT_PAUSE }
            }
            unchanged => unchanged,
        };
    }

    /// Watches again after a pause. An error means that the pause goes on.
    pub(super) fn resume(&mut self, poll: &Poll, now: Micros) -> io::Result<()> {
        let State::Paused { listener, .. } = std::mem::replace(&mut self.state, State::Closed) else {
            return Ok(());
        };
        match poll.add(&listener, false) {
            Ok(key) => {
                self.state = State::Listening(key, listener);
                Ok(())
            }
            Err(e) => {
                self.state = State::Paused { listener, resume_at: now + ACCEPT_PAUSE };
                Err(e)
            }
        }
    }

    /// Watches again after a pause, for the last time; one that can't be watched is closed.
    pub(super) fn end_pause(&mut self, poll: &Poll) {
        self.state = match std::mem::replace(&mut self.state, State::Closed) {
            State::Paused { listener, .. } => {
                poll.add(&listener, false).map_or(State::Closed, |key| State::Listening(key, listener))
            }
            unchanged => unchanged,
        };
    }

    /// Closes the socket.
    pub(super) fn close(&mut self, poll: &Poll) {
        if let State::Listening(_, listener) = std::mem::replace(&mut self.state, State::Closed) {
            poll.remove(&listener);
        }
    }

    /// Listens on the same address again after [`ClientListener::close`].
    pub(in crate::net) fn reopen(&mut self, poll: &Poll) -> io::Result<()> {
        let listener = listen::bind_shared(self.address).inspect_err(|e| {
            tracing::error!(address = %self.address, error = %e, "JOIN: listen failed");
        })?;
        let key = poll.add(&listener, false)?;
        self.state = State::Listening(key, listener);
        Ok(())
    }
}
