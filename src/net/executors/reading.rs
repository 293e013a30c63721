//! Reads from executors.

use super::answers::{AnswerEffect, apply_answer};
use super::close_reason::CloseReason;
use super::connection::Outgoing;
use super::{Executors, PARTIAL_ANSWER_TIMEOUT, TimerEvent};
use crate::api::Micros;
use crate::codec::executor::{self, Answer, Gauges};
use crate::dispatch::{AttemptEnd, LoadReport, NetworkEvent, ProbeOutcome};
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::sockets::dial;
use std::io;

impl Executors {
    /// Handles a ready socket.
    pub fn ready(&mut self, key: Key, readable: bool, writable: bool, now: Micros, poll: &Poll) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        if !connection.connected {
            match dial::check_connected(&connection.stream) {
                Ok(()) => connection.connection_established(now),
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(e) => return self.close(key, poll, &CloseReason::Failed(e)),
            }
        }
        if readable && !self.receive(key, now, poll) {
            return;
        }
        if writable || readable {
            self.write(key, now, poll);
        }
    }

    /// Receives and processes available data; false if the connection was closed instead.
    fn receive(&mut self, key: Key, now: Micros, poll: &Poll) -> bool {
        let Some(connection) = self.connections.get_mut(&key) else { return false };
        match connection.inbox.fill(&mut connection.stream) {
            Ok(0) => {
                self.close(key, poll, &CloseReason::ClosedByExecutor);
                false
            }
            Ok(_) => {
                connection.message_received(now);
                if let Some(executor) = self.executors.get_mut(&connection.executor) {
                    executor.last_message_at = now;
                }
                self.read(key, now, poll);
                true
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => true,
            Err(e) => {
                self.close(key, poll, &CloseReason::Failed(e));
                false
            }
        }
    }

    /// Reads the remaining data of a connection after a write error. A reset ends both directions while a complete answer
    /// may still be unread: without this it would be lost, and its request would fail.
    pub(super) fn read_rest(&mut self, key: Key, now: Micros, poll: &Poll) {
        while let Some(connection) = self.connections.get_mut(&key) {
            match connection.inbox.fill(&mut connection.stream) {
                Ok(n) if n > 0 => self.read(key, now, poll),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }

    /// Processes every complete message that was received.
    fn read(&mut self, key: Key, now: Micros, poll: &Poll) {
        let mut consumed = 0;
        loop {
            let Some(connection) = self.connections.get_mut(&key) else { return };
            let (length, answer) = match executor::next(&connection.inbox.bytes()[consumed..]) {
                Ok(Some(found)) => found,
                Ok(None) => break,
                Err(e) => return self.close_malformed(key, poll, &format!("bad line: {}", e.0)),
            };
            consumed += length;
            match answer {
                Answer::Probe { tag, up, gauges } => self.probe_answered(key, tag, up, gauges, now),
                Answer::Request { id, kind, body, gauges } => {
                    let stream = connection.streams.get_mut(&id);
                    let effect = stream.map(|stream| apply_answer(stream, kind, body, &self.pool));
                    if let Some(AnswerEffect::Malformed(reason)) = effect {
                        return self.close_malformed(key, poll, reason);
                    }
                    self.request_answered(key, id, effect, gauges, now);
                }
            }
        }
        self.consume(key, consumed, now);
    }

    /// Counts a malformed message and closes its connection.
    fn close_malformed(&mut self, key: Key, poll: &Poll, reason: &str) {
        self.counters.bad_lines += 1;
        self.close(key, poll, &CloseReason::Malformed(reason.to_string()));
    }

    /// Processes an answer to a probe; it is ignored if the probe is not outstanding.
    fn probe_answered(&mut self, key: Key, tag: u64, up: bool, gauges: Option<Gauges>, now: Micros) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let Some(sent_at) = connection.probes.remove(&tag) else { return };
        let outcome = if up { ProbeOutcome::Up(gauges.map(load_report)) } else { ProbeOutcome::Down };
        let latency = now.saturating_sub(sent_at);
        self.events.push_back(NetworkEvent::ProbeFinished(connection.executor, outcome, latency));
    }

    /// Processes an answer to a request; it is only counted if no attempt of the request is outstanding on the connection.
    fn request_answered(
        &mut self,
        key: Key,
        id: u64,
        effect: Option<AnswerEffect>,
        gauges: Option<Gauges>,
        now: Micros,
    ) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        match effect {
            None | Some(AnswerEffect::Duplicate) => self.counters.stray += 1,
            Some(AnswerEffect::Continues | AnswerEffect::Malformed(_)) => {}
            Some(AnswerEffect::Progressed(progress)) => {
                if let Some(stream) = connection.streams.get(&id) {
                    self.events.push_back(NetworkEvent::AttemptProgressed(stream.attempt_id, progress));
                }
            }
            Some(AnswerEffect::Pages(pages)) => {
                connection.queue.extend((1..pages).map(|page| Outgoing::Scroll(id, page)));
            }
            Some(AnswerEffect::Ended(end)) => {
                let Some(stream) = connection.streams.remove(&id) else { return };
                self.attempt_connections.remove(&stream.attempt_id);
                // Only a request that was not served may have a further attempt.
                if !matches!(end, AttemptEnd::Served(_)) {
                    connection.ended_ids.insert(id, now);
                }
                let load = gauges.map(load_report);
                self.events.push_back(NetworkEvent::AttemptEnded(stream.attempt_id, end, load));
            }
        }
    }

    /// Removes processed messages from the inbox; the rest is a partial message, which has a timeout.
    fn consume(&mut self, key: Key, consumed: usize, now: Micros) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        connection.inbox.consume(consumed);
        if connection.inbox.bytes().is_empty() {
            connection.partial_since = None;
        } else if connection.partial_since.is_none() || consumed > 0 {
            connection.partial_since = Some(now);
            self.timers.set(now + PARTIAL_ANSWER_TIMEOUT, TimerEvent::PartialAnswer(key));
        }
    }
}

/// Converts an executor's gauges to a load report.
fn load_report(gauges: Gauges) -> LoadReport {
    let Gauges { inflight, util, queue, x0, x1 } = gauges;
    LoadReport { inflight, util, queue, memory: x0, disks: x1 }
}
