//! One connection to an executor.

use super::answers::Stream;
use crate::api::Micros;
use crate::dispatch::{AttemptTerms, ExecutorId};
use crate::net::sockets::buffers::{Pool, ReadBuffer, WriteBuffer};
use crate::net::sockets::system_calls;
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpStream;
use std::rc::Rc;

/// The content of an attempt.
#[derive(Debug, Clone)]
pub struct Job {
    /// The name of the request's class.
    pub class_name: Rc<str>,
    /// The statement, without the comment.
    pub statement: Rc<str>,
    /// The idempotency token of a keyed request, by which executors recognize repeated attempts, as its client gave it.
    pub token: Option<Rc<str>>,
}

/// A queued message.
pub(super) enum Outgoing {
    Pull { id: u64, job: Job, terms: AttemptTerms },
    Kill(u64),
    SetPriority(u64, u8),
    Scroll(u64, u32),
    Discard(u64),
    Meter(u64),
}

/// One connection to an executor. Times and durations are in microseconds.
pub(super) struct Connection {
    /// The executor, by its id: its address may have changed since.
    pub(super) executor: ExecutorId,
    /// The socket.
    pub(super) stream: TcpStream,
    /// Whether it is established.
    pub(super) connected: bool,
    /// When the connect started or, once it is established, when that was.
    pub(super) connected_at: Micros,
    /// Maximum time without a message while something is outstanding; after that the connection gets no new attempts and
    /// is probed.
    pub(super) message_interval: Micros,
    /// When bytes were last received, or when it was established.
    pub(super) last_message_at: Micros,
    /// When bytes were last received or a message was last queued to the socket.
    pub(super) last_used_at: Micros,
    /// Whether it gets no new attempts.
    pub(super) draining: bool,
    /// Bytes received and not yet processed.
    pub(super) inbox: ReadBuffer,
    /// Bytes not yet written.
    pub(super) outbox: WriteBuffer,
    /// The request whose attempt is in the outbox.
    pub(super) writing: Option<u64>,
    /// Messages not yet in the outbox.
    pub(super) queue: VecDeque<Outgoing>,
    /// Outstanding attempts, by request id.
    pub(super) streams: BTreeMap<u64, Stream>,
    /// Ids of requests that ended on this connection without being served, and when.
    pub(super) ended_ids: BTreeMap<u64, Micros>,
    /// Since when the inbox contains a partial message.
    pub(super) partial_since: Option<Micros>,
    /// Whether a probe timed out and nothing has been received since.
    pub(super) unresponsive: bool,
    /// When to close it, after it was unresponsive while its executor answered on other connections.
    pub(super) close_at: Option<Micros>,
    /// When to check next for overdue messages.
    pub(super) next_check_at: Option<Micros>,
    /// Outstanding probes by tag, and when they were sent.
    pub(super) probes: BTreeMap<u64, Micros>,
    /// Whether the poller reports when it is writable.
    pub(super) watches_writable: bool,
}

impl Connection {
    /// Creates a connection that is not established yet.
    pub(super) fn new(
        executor: ExecutorId,
        stream: TcpStream,
        message_interval: Micros,
        now: Micros,
        pool: &Pool,
    ) -> Connection {
        Connection {
            executor,
            stream,
            connected: false,
            connected_at: now,
            message_interval,
            last_message_at: now,
            last_used_at: now,
            draining: false,
            inbox: ReadBuffer::new(pool),
            outbox: WriteBuffer::new(pool),
            writing: None,
            queue: VecDeque::new(),
            streams: BTreeMap::new(),
            ended_ids: BTreeMap::new(),
            partial_since: None,
            unresponsive: false,
            close_at: None,
            next_check_at: None,
            probes: BTreeMap::new(),
            watches_writable: true,
        }
    }

    /// Records that the connection was established.
    pub(super) fn connection_established(&mut self, now: Micros) {
        self.connected = true;
        self.connected_at = now;
        self.last_message_at = now;
    }

    /// Records that bytes were received: the executor answers on this connection.
    pub(super) fn message_received(&mut self, now: Micros) {
        self.last_message_at = now;
        self.last_used_at = now;
        self.unresponsive = false;
        self.close_at = None;
    }

    /// When the oldest completely written attempt was written.
    pub(super) fn oldest_written_at(&self) -> Option<Micros> {
        self.streams.values().filter(|stream| stream.written).map(|stream| stream.written_at).min()
    }

    /// Whether a message is overdue.
    pub(super) fn is_overdue(&self, now: Micros) -> bool {
        let oldest = self.oldest_written_at().into_iter().chain(self.probes.values().copied()).min();
        let due = oldest.map(|at| at.max(self.last_message_at) + self.message_interval);
        self.connected && due.is_some_and(|due| now > due)
    }

    /// Whether it can take an attempt of this request and has fewer than `max_streams` attempts.
    pub(super) fn accepts(&self, id: u64, max_streams: usize, now: Micros) -> bool {
        let fresh = !self.streams.contains_key(&id) && !self.ended_ids.contains_key(&id);
        !self.draining && self.streams.len() < max_streams && fresh && !self.is_overdue(now)
    }

    /// Whether its executor has closed it and no data is left to read.
    pub(super) fn closed_by_executor(&self) -> bool {
        self.connected
            && match system_calls::peek(&self.stream) {
                Ok(found) => found == Some(0),
                Err(_) => true,
            }
    }

    /// Removes an attempt of which no byte was written; false if there is none.
    pub(super) fn withdraw_unwritten(&mut self, id: u64) -> bool {
        let waiting = |o: &Outgoing| matches!(o, Outgoing::Pull { id: i, .. } if *i == id);
        if let Some(at) = self.queue.iter().position(waiting) {
            self.queue.remove(at);
            return true;
        }
        let whole = self.writing == Some(id) && !self.outbox.is_partially_written();
        if whole {
            self.writing = None;
            self.outbox.clear();
        }
        whole
    }

    /// Whether nothing is outstanding or unwritten.
    pub(super) fn is_idle(&self) -> bool {
        self.streams.is_empty() && self.probes.is_empty() && self.queue.is_empty() && self.outbox.is_empty()
    }
}
