//! The listening socket for clients.

use crate::api::Micros;
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::limits::CLIENT_POLL_VALID;
use crate::net::sockets::listen;
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Pause of accepting after descriptors or memory ran out. A KILL may be waiting in the backlog, and must be
/// read while the last poll of the clients is still valid.
const ACCEPT_PAUSE: Micros = CLIENT_POLL_VALID / 2;

/// State of the listener.
enum State {
    /// The socket is open and registered with the poller.
    Listening(Key, TcpListener),
    /// The socket is open but not registered: it stays readable, which would make the event loop spin.
    Paused { listener: TcpListener, resume_at: Micros },
    /// The socket is closed: connections are refused, or go to another process on the same port.
    Closed,
}

/// The client listener.
pub(in crate::net) struct ClientListener {
    state: State,
    address: SocketAddr,
    /// Since when connections may be waiting in the backlog, if accepting stopped before the backlog was
    /// empty.
    pub(super) backlog_since: Option<Micros>,
}

impl ClientListener {
    /// Listens on an address, which may be shared with another process of this dispatcher.
    pub(in crate::net) fn listen(
        reserved: listen::Reserved,
        poll: &Poll,
        now: Micros,
    ) -> io::Result<ClientListener> {
        let listener = reserved.listen()?;
        let key = poll.add(&listener, false)?;
        let address = listener.local_addr()?;
        // Connections may have arrived since the bind, which happened before `now`.
        Ok(ClientListener { state: State::Listening(key, listener), address, backlog_since: Some(now) })
    }

    /// The client address, also while the listener is closed.
    pub(in crate::net) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The poller key, while the socket is registered.
    pub(in crate::net) fn key(&self) -> Option<Key> {
        match &self.state {
            State::Listening(key, _) => Some(*key),
            State::Paused { .. } | State::Closed => None,
        }
    }

    /// The socket, while it is registered.
    pub(super) fn socket(&self) -> Option<&TcpListener> {
        match &self.state {
            State::Listening(_, listener) => Some(listener),
            State::Paused { .. } | State::Closed => None,
        }
    }

    /// Whether the listener is closed.
    pub(in crate::net) fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed)
    }

    /// Records that the backlog is empty.
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

    /// Pauses accepting; connections may have been waiting in the backlog since `events_since`.
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

    /// Resumes accepting after a pause. On an error the pause continues.
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

    /// Ends a pause before the listener is closed for good; closes the listener if it cannot be registered.
    pub(super) fn end_pause(&mut self, poll: &Poll) {
        self.state = match std::mem::replace(&mut self.state, State::Closed) {
            State::Paused { listener, .. } => {
                poll.add(&listener, false).map_or(State::Closed, |key| State::Listening(key, listener))
            }
            unchanged => unchanged,
        };
    }

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
