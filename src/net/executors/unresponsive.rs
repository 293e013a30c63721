//! Timeouts of connects, probes, partial answers and overdue messages.

use super::close_reason::CloseReason;
use super::{Executors, PARTIAL_ANSWER_TIMEOUT, PROBE_SLACK, TimerEvent};
use crate::api::Micros;
use crate::dispatch::{NetworkEvent, NeverSentReason, ProbeOutcome};
use crate::net::event_loop::event_source::EventSource;
use crate::net::event_loop::poll::{Key, Poll};
use crate::settings::Transport;

/// Time until an unresponsive connection is closed once its executor answers on another one, in microseconds.
const CLOSE_DELAY: Micros = 400_000;

impl Executors {
    /// Checks a connection with an outstanding attempt, and probes it if a message is overdue. A connection that answers
    /// no probe is closed once its executor has answered on another one since: it is broken, and the attempt would only
    /// reach its deadline. If the executor answers on no connection, its machine has failed or is partitioned, and the
    /// attempt may still be answered.
    fn check_responsiveness(&mut self, key: Key, now: Micros, poll: &Poll) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        connection.next_check_at = None;
        let Some(written_at) = connection.oldest_written_at() else { return };
        let waits_since = connection.last_message_at.max(written_at);
        let executor = self.executors.get(&connection.executor);
        let executor_answered_at = executor.map_or(0, |executor| executor.last_message_at);
        // Where probes are not permitted, missing progress reports that the settings promise have the same meaning.
        let Transport { probes, progress, .. } = self.transport;
        let unresponsive = connection.unresponsive || (!probes && progress.is_some());
        if unresponsive && executor_answered_at > waits_since + connection.message_interval {
            // After a network partition all connections recover, and delayed messages may arrive a moment later.
            connection.close_at.get_or_insert(now + CLOSE_DELAY);
        }
        if connection.close_at.is_some_and(|close_at| close_at <= now) {
            self.counters.unresponsive += 1;
            return self.close(key, poll, &CloseReason::Unresponsive);
        }
        let overdue_at = waits_since + connection.message_interval + 1;
        let probe_now =
            probes && now >= overdue_at && !connection.unresponsive && connection.probes.is_empty();
        let next_check_at = overdue_at.max(now + 2 * PROBE_SLACK);
        connection.next_check_at = Some(next_check_at);
        self.timers.set(next_check_at, TimerEvent::ResponsivenessCheck(key));
        if probe_now {
            self.send_probe(key, now, poll);
        }
    }

    /// Closes a connection that is not established in time.
    fn check_connected(&mut self, key: Key, poll: &Poll) {
        if self.connections.get(&key).is_some_and(|connection| !connection.connected) {
            self.close(key, poll, &CloseReason::ConnectTimeout);
        }
    }

    /// Handles the timeout of a probe. A connection that received nothing since the probe gets no new attempts; a new
    /// connection will show whether the executor runs.
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

    /// Closes a connection whose partial message was not completed in time.
    fn check_partial_answer(&mut self, key: Key, now: Micros, poll: &Poll) {
        let since = self.connections.get(&key).and_then(|connection| connection.partial_since);
        if since.is_some_and(|since| since + PARTIAL_ANSWER_TIMEOUT <= now) {
            self.counters.bad_lines += 1;
            self.close(key, poll, &CloseReason::PartialAnswerTimeout);
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
                TimerEvent::Dial(key) => self.check_connected(key, poll),
                TimerEvent::Probe(key, tag) => self.check_probe(key, tag, now),
                TimerEvent::PartialAnswer(key) => self.check_partial_answer(key, now, poll),
                TimerEvent::ResponsivenessCheck(key) => self.check_responsiveness(key, now, poll),
                TimerEvent::BeginBy(attempt_id) => {
                    self.withdraw(attempt_id, NeverSentReason::StartExpired, now, poll);
                }
            }
        }
    }
}
