//! Writes to executors.

use super::close_reason::CloseReason;
use super::connection::{Job, Outgoing};
use super::{Executors, TimerEvent};
use crate::api::Micros;
use crate::codec::executor::{self, RequestParameters};
use crate::dispatch::{AttemptEnd, AttemptTerms, NetworkEvent, NeverSentReason};
use crate::net::event_loop::poll::{Key, Poll};
use std::io;

/// The outcome of preparing a queued message.
enum Prepared {
    /// It is in the outbox.
    Written,
    /// It is dropped: its attempt may not start any more.
    Dropped,
    /// It is queued again until the clients have been polled.
    AwaitsClientPoll,
}

impl Executors {
    /// Writes the queued messages of a connection one by one, so that an attempt can be withdrawn until its first byte is
    /// written.
    pub(super) fn write(&mut self, key: Key, now: Micros, poll: &Poll) {
        if !self.connections.get(&key).is_some_and(|connection| connection.connected) {
            return;
        }
        if let Err(e) = self.write_queue(key, now) {
            self.read_rest(key, now, poll);
            return self.close(key, poll, &CloseReason::Failed(e));
        }
        self.watch_writable(key, poll);
    }

    /// Writes until the queue is empty, the socket's buffer is full, or an attempt has to wait.
    fn write_queue(&mut self, key: Key, now: Micros) -> io::Result<()> {
        while self.flush(key, now)? {
            let Some(connection) = self.connections.get_mut(&key) else { break };
            let Some(message) = connection.queue.pop_front() else { break };
            let now = self.clock.now().max(now);
            connection.last_used_at = now;
            if matches!(self.prepare(key, message, now), Prepared::AwaitsClientPoll) {
                break;
            }
        }
        Ok(())
    }

    /// Writes the outbox and returns whether all of it was written. Records when an attempt is started and completed.
    fn flush(&mut self, key: Key, now: Micros) -> io::Result<bool> {
        let Some(connection) = self.connections.get_mut(&key) else { return Ok(false) };
        let flushed = connection.outbox.flush(&mut connection.stream);
        let all_written = matches!(flushed, Ok(true));
        let writing = connection.writing.and_then(|id| connection.streams.get_mut(&id));
        if let Some(stream) = writing
            .filter(|stream| !stream.started && (connection.outbox.is_partially_written() || all_written))
        {
            stream.started = true;
            self.events.push_back(NetworkEvent::AttemptBegun(stream.attempt_id));
        }
        if all_written {
            self.attempt_written(key, now);
        }
        flushed
    }

    /// Records that the attempt in the outbox, if any, was written completely: its executor has to answer from now on.
    fn attempt_written(&mut self, key: Key, now: Micros) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let written = connection.writing.take();
        let Some(stream) = written.and_then(|id| connection.streams.get_mut(&id)) else { return };
        stream.written = true;
        stream.written_at = now;
        self.counters.forwards += 1;
        if connection.next_check_at.is_none() {
            let check_at = now + connection.message_interval + 1;
            connection.next_check_at = Some(check_at);
            self.timers.set(check_at, TimerEvent::ResponsivenessCheck(key));
        }
    }

    /// Puts a queued message into the outbox.
    fn prepare(&mut self, key: Key, message: Outgoing, now: Micros) -> Prepared {
        self.scratch.clear();
        let out = &mut self.scratch;
        match message {
            Outgoing::Pull { id, job, terms } => return self.prepare_attempt(key, id, job, terms, now),
            Outgoing::Kill(id) => executor::kill(out, id),
            Outgoing::SetPriority(id, priority) => executor::boost(out, id, priority),
            Outgoing::Scroll(id, page) => executor::scroll(out, id, page),
            Outgoing::Discard(id) => executor::discard(out, id),
            Outgoing::Meter(tag) => executor::meter(out, tag),
        }
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.outbox.append(&self.scratch);
        }
        Prepared::Written
    }

    /// The only place where an attempt starts. An attempt past its latest start ends as never sent; if the last poll of the
    /// clients is too old, it waits for the next one.
    fn prepare_attempt(&mut self, key: Key, id: u64, job: Job, terms: AttemptTerms, now: Micros) -> Prepared {
        let Some(connection) = self.connections.get_mut(&key) else { return Prepared::Dropped };
        if now > terms.begin_by
            && let Some(stream) = connection.streams.remove(&id)
        {
            self.attempt_connections.remove(&stream.attempt_id);
            let end = AttemptEnd::NeverSent(NeverSentReason::StartExpired);
            self.events.push_back(NetworkEvent::AttemptEnded(stream.attempt_id, end, None));
            return Prepared::Dropped;
        }
        if !self.client_poll.is_fresh(now) {
            self.client_poll.wait(key);
            connection.queue.push_front(Outgoing::Pull { id, job, terms });
            return Prepared::AwaitsClientPoll;
        }
        self.client_poll.attempt_started();
        let wire_terms = RequestParameters {
            kind: &job.class_name,
            wait_ms: (terms.deadline.saturating_sub(now) / 1000).max(1),
            memory_mb: terms.memory_mb,
            priority: terms.priority,
            token: job.token.as_deref(),
        };
        executor::pull(&mut self.scratch, id, &wire_terms, &job.statement);
        connection.writing = Some(id);
        connection.outbox.append(&self.scratch);
        Prepared::Written
    }

    /// Watches for writability only while data is unwritten: a writable socket would wake up the event loop all the time.
    fn watch_writable(&mut self, key: Key, poll: &Poll) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let unwritten = !connection.outbox.is_empty();
        if unwritten == connection.watches_writable {
            return;
        }
        connection.watches_writable = unwritten;
        if let Err(e) = poll.watch_writable(key, &connection.stream, unwritten) {
            self.close(key, poll, &CloseReason::Failed(e));
        }
    }
}
