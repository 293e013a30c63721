//! What is read from executors and written to them.

use super::{Due, Executors, PARTIAL_ANSWER_TIMEOUT};
use crate::api::Micros;
use crate::codec::executor::{self, Answer, Gauges, Terms};
use crate::dispatch::{self as attempt, AttemptEnd, LoadReport, NetworkEvent, ProbeOutcome};
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::executors::connection::{AnswerEffect, Outgoing, apply_answer};
use crate::net::sockets::dial;
use std::io;

impl Executors {
    /// A socket is ready.
    pub fn ready(&mut self, key: Key, readable: bool, writable: bool, now: Micros, poll: &Poll) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        if !connection.connected {
            match dial::up(&connection.stream) {
                Ok(()) => {
                    (connection.connected, connection.last_message_at, connection.connected_at) =
                        (true, now, now)
                }
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(e) => return self.close(key, poll, &e.to_string()),
            }
        }
        if readable {
            match connection.inbox.fill(&mut connection.stream) {
                Ok(0) => return self.close(key, poll, "closed by the executor"),
                Ok(_) => {
                    (
                        connection.last_message_at,
                        connection.last_used_at,
                        connection.unresponsive,
                        connection.close_at,
                    ) = (now, now, false, None);
                    let executor = connection.executor;
                    self.executors.get_mut(&executor).into_iter().for_each(|e| e.last_message_at = now);
                    self.read(key, now, poll);
                }
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
                Err(e) => return self.close(key, poll, &e.to_string()),
            }
        }
        if writable || readable {
            self.write(key, now, poll);
        }
    }

    /// Reads what a connection that is over has still brought.
    fn read_rest(&mut self, key: Key, now: Micros, poll: &Poll) {
        while let Some(connection) = self.connections.get_mut(&key) {
            match connection.inbox.fill(&mut connection.stream) {
                Ok(n) if n > 0 => self.read(key, now, poll),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }

    fn read(&mut self, key: Key, now: Micros, poll: &Poll) {
        let mut consumed = 0;
        loop {
            let Some(connection) = self.connections.get_mut(&key) else { return };
            let parsed = executor::next(&connection.inbox.bytes()[consumed..]);
            let (n, answer) = match parsed {
                Ok(Some(found)) => found,
                Ok(None) => break,
                Err(e) => {
                    self.counters.bad_lines += 1;
                    return self.close(key, poll, &format!("bad line: {}", e.0));
                }
            };
            consumed += n;
            match answer {
                Answer::Probe { tag, up, gauges } => {
                    if let Some(sent) = connection.probes.remove(&tag) {
                        let echo = if up { ProbeOutcome::Up(gauges.map(load)) } else { ProbeOutcome::Down };
                        self.events.push_back(NetworkEvent::ProbeFinished(
                            connection.executor,
                            echo,
                            now.saturating_sub(sent),
                        ));
                    }
                }
                Answer::Request { id, word, body, gauges } => {
                    let ended = match connection.streams.get_mut(&id) {
                        None => {
                            self.counters.stray += 1;
                            None
                        }
                        Some(s) => match apply_answer(s, word, body, &self.pool) {
                            AnswerEffect::Continues => None,
                            AnswerEffect::Duplicate => {
                                self.counters.stray += 1;
                                None
                            }
                            AnswerEffect::Progressed(word) => {
                                self.events.push_back(NetworkEvent::AttemptProgressed(s.attempt_id, word));
                                None
                            }
                            AnswerEffect::Pages(pages) => {
                                connection.queue.extend((1..pages).map(|page| Outgoing::Scroll(id, page)));
                                None
                            }
                            AnswerEffect::Ended(end) => Some(end),
                            AnswerEffect::Malformed(what) => {
                                self.counters.bad_lines += 1;
                                return self.close(key, poll, what);
                            }
                        },
                    };
                    if let Some(end) = ended
                        && let Some(s) = connection.streams.remove(&id)
                    {
                        self.attempt_connections.remove(&s.attempt_id);
                        // One that was served never comes again, all else may be tried again.
                        if !matches!(end, AttemptEnd::Served(_)) {
                            connection.ended_ids.insert(id, now);
                        }
                        self.events.push_back(NetworkEvent::AttemptEnded(
                            s.attempt_id,
                            end,
                            gauges.map(load),
                        ));
                    }
                }
            }
        }
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.inbox.consume(consumed);
            if connection.inbox.bytes().is_empty() {
                connection.partial_since = None;
            } else if connection.partial_since.is_none() || consumed > 0 {
                connection.partial_since = Some(now);
                self.timers.set(now + PARTIAL_ANSWER_TIMEOUT, Due::PartialAnswer(key));
            }
        }
    }

    /// Writes what waits, one message after the other, so that what was not begun can be taken back.
    pub(super) fn write(&mut self, key: Key, now: Micros, poll: &Poll) {
        let Some(connection) = self.connections.get_mut(&key).filter(|c| c.connected) else { return };
        let failed = loop {
            let flushed = connection.outbox.flush(&mut connection.stream);
            let writing = connection.writing.and_then(|id| connection.streams.get_mut(&id));
            if let Some(s) =
                writing.filter(|s| !s.begun && (connection.outbox.begun() || matches!(flushed, Ok(true))))
            {
                s.begun = true;
                self.events.push_back(NetworkEvent::AttemptBegun(s.attempt_id));
            }
            match flushed {
                Ok(true) => {}
                Ok(false) => break None,
                Err(e) => break Some(e),
            }
            if let Some(s) = connection.writing.take().and_then(|id| connection.streams.get_mut(&id)) {
                (s.written, s.written_at) = (true, now);
                self.counters.forwards += 1;
                if connection.next_check_at.is_none() {
                    let due = now + connection.message_interval + 1;
                    connection.next_check_at = Some(due);
                    self.timers.set(due, Due::ResponsivenessCheck(key));
                }
            }
            let Some(next) = connection.queue.pop_front() else { break None };
            let now = self.clock.now().max(now);
            connection.last_used_at = now;
            self.scratch.clear();
            let out = &mut self.scratch;
            match next {
                Outgoing::Pull { id, job, terms } => {
                    let attempt::AttemptTerms { memory_mb, priority, deadline, begin_by } = terms;
                    if now > begin_by
                        && let Some(s) = connection.streams.remove(&id)
                    {
                        self.attempt_connections.remove(&s.attempt_id);
                        self.events.push_back(NetworkEvent::AttemptEnded(
                            s.attempt_id,
                            AttemptEnd::NeverSent,
                            None,
                        ));
                        continue;
                    }
                    if !self.client_poll.is_fresh(now) {
                        self.client_poll.wait(key);
                        connection.queue.push_front(Outgoing::Pull { id, job, terms });
                        break None;
                    }
                    self.client_poll.begins();
                    let wait_ms = (deadline.saturating_sub(now) / 1000).max(1);
                    executor::pull(
                        out,
                        id,
                        &Terms { kind: &job.kind, wait_ms, memory_mb, priority, token: job.token.as_deref() },
                        &job.statement,
                    );
                    connection.writing = Some(id);
                }
                Outgoing::Kill(id) => executor::kill(out, id),
                Outgoing::SetPriority(id, priority) => executor::boost(out, id, priority),
                Outgoing::Scroll(id, page) => executor::scroll(out, id, page),
                Outgoing::Discard(id) => executor::discard(out, id),
                Outgoing::Meter(tag) => executor::meter(out, tag),
            }
            connection.outbox.append(&self.scratch);
        };
        if let Some(e) = failed {
            // A reset ends both ways, and what came before it is still here to be read.
            self.read_rest(key, now, poll);
            return self.close(key, poll, &e.to_string());
        }
        let waits = !connection.outbox.is_empty();
        if waits != connection.watches_writable {
            connection.watches_writable = waits;
            if let Err(e) = poll.writable(key, &connection.stream, waits) {
                self.close(key, poll, &e.to_string());
            }
        }
    }
}
fn load(g: Gauges) -> LoadReport {
    LoadReport { inflight: g.inflight, util: g.util, queue: g.queue, memory: g.x0, disks: g.x1 }
}
