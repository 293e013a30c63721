//! What falls due when nothing comes: connections that are not up in time, probes, partial answers, overdue messages.

use super::{Due, Executors, PARTIAL_ANSWER_TIMEOUT, PROBE_SLACK};
use crate::api::Micros;
use crate::dispatch::{NetworkEvent, ProbeOutcome};
use crate::net::event_loop::event_source::EventSource;
use crate::net::event_loop::poll::{Key, Poll};
use crate::settings::Transport;

/// The span that an unresponsive connection has left once its executor answers elsewhere, in microseconds.
const CLOSE_DELAY: Micros = 400_000;

impl Executors {
    /// Checks a connection on which an attempt is outstanding. If a message is overdue it is probed. One that answers
    /// no probe is closed once its executor has answered elsewhere since: then the connection is broken, and waiting
    /// for it would let the attempt run into its deadline. If nothing comes elsewhere either, the machine is gone or
    /// cut off, and the attempt may yet be answered.
    fn check_responsiveness(&mut self, key: Key, now: Micros, poll: &Poll) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        connection.next_check_at = None;
        let Some(written_at) = connection.oldest_written_at() else { return };
        let waits_since = connection.last_message_at.max(written_at);
        let executor = self.executors.get(&connection.executor);
        let executor_answered_at = executor.map_or(0, |executor| executor.last_message_at);
        // Where nothing may be probed, progress that the settings promise and that does not come tells the same.
        let Transport { probes, progress, .. } = self.transport;
        let unresponsive = connection.unresponsive || (!probes && progress.is_some());
        if unresponsive && executor_answered_at > waits_since + connection.message_interval {
            // After a network cut all connections come back, and what was held up may come a moment later.
            connection.close_at.get_or_insert(now + CLOSE_DELAY);
        }
        if connection.close_at.is_some_and(|close_at| close_at <= now) {
            self.counters.unresponsive += 1;
            return self.close(key, poll, "unresponsive while its executor answers elsewhere");
        }
        let overdue_at = waits_since + connection.message_interval + 1;
        let probe_now =
            probes && now >= overdue_at && !connection.unresponsive && connection.probes.is_empty();
        let next_check_at = overdue_at.max(now + 2 * PROBE_SLACK);
        connection.next_check_at = Some(next_check_at);
        self.timers.set(next_check_at, Due::ResponsivenessCheck(key));
        if probe_now {
            self.send_probe(key, now, poll);
        }
    }

    /// A connection has to be up by now.
    fn check_connected(&mut self, key: Key, poll: &Poll) {
        if self.connections.get(&key).is_some_and(|connection| !connection.connected) {
            self.close(key, poll, "no connection in time");
        }
    }

    /// A probe has to be answered by now. A connection that received nothing since gets no new attempts; a new
    /// connection shows whether the executor runs.
    fn check_probe(&mut self, key: Key, tag: u64, now: Micros) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let Some(sent_at) = connection.probes.remove(&tag) else { return };
        connection.unresponsive = connection.last_message_at < sent_at;
        connection.draining |= connection.unresponsive;
        let executor = connection.executor;
        let answers_elsewhere =
            self.executors.get(&executor).is_some_and(|executor| executor.last_message_at > sent_at);
        let outcome = if answers_elsewhere { ProbeOutcome::Unknown } else { ProbeOutcome::TimedOut };
        let latency = now.saturating_sub(sent_at);
        self.events.push_back(NetworkEvent::ProbeFinished(executor, outcome, latency));
    }

    /// A partial message has to be complete by now.
    fn check_partial_answer(&mut self, key: Key, now: Micros, poll: &Poll) {
        let since = self.connections.get(&key).and_then(|connection| connection.partial_since);
        if since.is_some_and(|since| since + PARTIAL_ANSWER_TIMEOUT <= now) {
            self.counters.bad_lines += 1;
            self.close(key, poll, "an answer stopped half way");
        }
    }
}

impl EventSource for Executors {
    fn owns(&self, key: Key) -> bool {
        self.connections.contains_key(&key)
    }

    fn next_due(&self) -> Option<Micros> {
        self.timers.next_due()
    }

    fn tick(&mut self, now: Micros, poll: &Poll) {
        while let Some(due) = self.timers.due(now) {
            match due {
                Due::Dial(key) => self.check_connected(key, poll),
                Due::Probe(key, tag) => self.check_probe(key, tag, now),
                Due::PartialAnswer(key) => self.check_partial_answer(key, now, poll),
                Due::ResponsivenessCheck(key) => self.check_responsiveness(key, now, poll),
                Due::BeginBy(attempt_id) => self.withdraw(attempt_id, now, poll),
            }
        }
    }
}
