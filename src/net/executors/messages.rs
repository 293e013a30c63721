//! What is read from executors and written to them.

use super::{Due, Executors, PART};
use crate::api::Micros;
use crate::codec::executor::{self, Answer, Gauges, Terms};
use crate::dispatch::{self as attempt, AttemptEnd, LoadReport, NetworkEvent, ProbeOutcome};
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::executors::connection::{Outgoing, Step, advance};
use crate::net::sockets::dial;
use std::io;

impl Executors {
    /// A socket is ready.
    pub fn ready(&mut self, key: Key, readable: bool, writable: bool, now: Micros, poll: &Poll) {
        let Some(conn) = self.conns.get_mut(&key) else { return };
        if !conn.up {
            match dial::up(&conn.stream) {
                Ok(()) => (conn.up, conn.heard, conn.opened) = (true, now, now),
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(e) => return self.lose(key, poll, &e.to_string()),
            }
        }
        if readable {
            match conn.inbox.fill(&mut conn.stream) {
                Ok(0) => return self.lose(key, poll, "closed by the executor"),
                Ok(_) => {
                    (conn.heard, conn.touched, conn.mute, conn.doomed_at) = (now, now, false, None);
                    let executor = conn.executor;
                    self.list.get_mut(&executor).into_iter().for_each(|e| e.heard = now);
                    self.read(key, now, poll);
                }
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
                Err(e) => return self.lose(key, poll, &e.to_string()),
            }
        }
        if writable || readable {
            self.write(key, now, poll);
        }
    }

    /// Reads what a connection that is over has still brought.
    fn read_rest(&mut self, key: Key, now: Micros, poll: &Poll) {
        while let Some(conn) = self.conns.get_mut(&key) {
            match conn.inbox.fill(&mut conn.stream) {
                Ok(n) if n > 0 => self.read(key, now, poll),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }

    fn read(&mut self, key: Key, now: Micros, poll: &Poll) {
        let mut consumed = 0;
        loop {
            let Some(conn) = self.conns.get_mut(&key) else { return };
            let parsed = executor::next(&conn.inbox.bytes()[consumed..]);
            let (n, answer) = match parsed {
                Ok(Some(found)) => found,
                Ok(None) => break,
                Err(e) => {
                    self.wire.bad_lines += 1;
                    return self.lose(key, poll, &format!("bad line: {}", e.0));
                }
            };
            consumed += n;
            match answer {
                Answer::Probe { tag, up, gauges } => {
                    if let Some(sent) = conn.probes.remove(&tag) {
                        let echo = if up { ProbeOutcome::Up(gauges.map(load)) } else { ProbeOutcome::Down };
                        self.reports.push_back(NetworkEvent::ProbeFinished(
                            conn.executor,
                            echo,
                            now.saturating_sub(sent),
                        ));
                    }
                }
                Answer::Request { id, word, body, gauges } => {
                    let ended = match conn.streams.get_mut(&id) {
                        None => {
                            self.wire.stray += 1;
                            None
                        }
                        Some(s) => match advance(s, word, body, &self.pool) {
                            Step::Goes => None,
                            Step::Copy => {
                                self.wire.stray += 1;
                                None
                            }
                            Step::Noted(word) => {
                                self.reports.push_back(NetworkEvent::AttemptProgressed(s.attempt_id, word));
                                None
                            }
                            Step::Pages(pages) => {
                                conn.queue.extend((1..pages).map(|page| Outgoing::Scroll(id, page)));
                                None
                            }
                            Step::Ended(end) => Some(end),
                            Step::Broken(what) => {
                                self.wire.bad_lines += 1;
                                return self.lose(key, poll, what);
                            }
                        },
                    };
                    if let Some(end) = ended
                        && let Some(s) = conn.streams.remove(&id)
                    {
                        self.places.remove(&s.attempt_id);
                        // One that was served never comes again, all else may be tried again.
                        if !matches!(end, AttemptEnd::Served(_)) {
                            conn.spent.insert(id, now);
                        }
                        self.reports.push_back(NetworkEvent::AttemptEnded(
                            s.attempt_id,
                            end,
                            gauges.map(load),
                        ));
                    }
                }
            }
        }
        if let Some(conn) = self.conns.get_mut(&key) {
            conn.inbox.consume(consumed);
            if conn.inbox.bytes().is_empty() {
                conn.part_since = None;
            } else if conn.part_since.is_none() || consumed > 0 {
                conn.part_since = Some(now);
                self.timers.set(now + PART, Due::Part(key));
            }
        }
    }

    /// Writes what waits, one message after the other, so that what was not begun can be taken back.
    pub(super) fn write(&mut self, key: Key, now: Micros, poll: &Poll) {
        let Some(conn) = self.conns.get_mut(&key).filter(|c| c.up) else { return };
        let failed = loop {
            let flushed = conn.outbox.flush(&mut conn.stream);
            let writing = conn.writing.and_then(|id| conn.streams.get_mut(&id));
            if let Some(s) =
                writing.filter(|s| !s.begun && (conn.outbox.begun() || matches!(flushed, Ok(true))))
            {
                s.begun = true;
                self.reports.push_back(NetworkEvent::AttemptBegun(s.attempt_id));
            }
            match flushed {
                Ok(true) => {}
                Ok(false) => break None,
                Err(e) => break Some(e),
            }
            if let Some(s) = conn.writing.take().and_then(|id| conn.streams.get_mut(&id)) {
                (s.written, s.since) = (true, now);
                self.wire.forwards += 1;
                if conn.word_at.is_none() {
                    let due = now + conn.word_within + 1;
                    conn.word_at = Some(due);
                    self.timers.set(due, Due::Progress(key));
                }
            }
            let Some(next) = conn.queue.pop_front() else { break None };
            let now = self.clock.now().max(now);
            conn.touched = now;
            self.scratch.clear();
            let out = &mut self.scratch;
            match next {
                Outgoing::Pull { id, job, terms } => {
                    let attempt::AttemptTerms { memory_mb, priority, deadline, begin_by } = terms;
                    if now > begin_by
                        && let Some(s) = conn.streams.remove(&id)
                    {
                        self.places.remove(&s.attempt_id);
                        self.reports.push_back(NetworkEvent::AttemptEnded(
                            s.attempt_id,
                            AttemptEnd::NeverSent,
                            None,
                        ));
                        continue;
                    }
                    if !self.look.is_fresh(now) {
                        self.look.wait(key);
                        conn.queue.push_front(Outgoing::Pull { id, job, terms });
                        break None;
                    }
                    self.look.begins();
                    let wait_ms = (deadline.saturating_sub(now) / 1000).max(1);
                    executor::pull(
                        out,
                        id,
                        &Terms { kind: &job.kind, wait_ms, memory_mb, priority, token: job.token.as_deref() },
                        &job.statement,
                    );
                    conn.writing = Some(id);
                }
                Outgoing::Kill(id) => executor::kill(out, id),
                Outgoing::Boost(id, priority) => executor::boost(out, id, priority),
                Outgoing::Scroll(id, page) => executor::scroll(out, id, page),
                Outgoing::Discard(id) => executor::discard(out, id),
                Outgoing::Meter(tag) => executor::meter(out, tag),
            }
            conn.outbox.append(&self.scratch);
        };
        if let Some(e) = failed {
            // A reset ends both ways, and what came before it is still here to be read.
            self.read_rest(key, now, poll);
            return self.lose(key, poll, &e.to_string());
        }
        let waits = !conn.outbox.is_empty();
        if waits != conn.watched {
            conn.watched = waits;
            if let Err(e) = poll.writable(key, &conn.stream, waits) {
                self.lose(key, poll, &e.to_string());
            }
        }
    }
}
fn load(g: Gauges) -> LoadReport {
    LoadReport { inflight: g.inflight, util: g.util, queue: g.queue, memory: g.x0, disks: g.x1 }
}
