//! What falls due when nothing comes: dials, probes, answers in part, and word that is owed.

use super::{Due, Executors, PARTIAL_ANSWER_TIMEOUT, PROBE_SLACK};
use crate::api::Micros;
use crate::dispatch::{NetworkEvent, ProbeOutcome};
use crate::net::event_loop::event_source::EventSource;
use crate::net::event_loop::poll::{Key, Poll};
use crate::settings::Transport;

/// A mute connection whose executor is heard elsewhere has this long to be heard too.
const CLOSE_DELAY: Micros = 400_000;

impl Executors {
    /// Looks after a connection that owes word: it is probed, and one that answers no probe is over once its
    /// executor has been heard elsewhere since. If nothing is heard there either, the machine is gone or cut
    /// off, and what is out may yet be answered.
    fn check_responsiveness(&mut self, key: Key, now: Micros, poll: &Poll) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        connection.next_check_at = None;
        let Some(since) = connection.streams.values().filter(|s| s.written).map(|s| s.written_at).min()
        else {
            return;
        };
        let owes = connection.last_message_at.max(since);
        let heard = self.executors.get(&connection.executor).map_or(0, |e| e.last_message_at);
        // Where nothing may be probed, word that the settings promise and that does not come tells the same.
        let Transport { probes, progress, .. } = self.transport;
        let unresponsive = connection.unresponsive || (!probes && progress.is_some());
        if unresponsive && heard > owes + connection.message_interval {
            // After a cut both come back, and what was held up may come a moment later.
            connection.close_at.get_or_insert(now + CLOSE_DELAY);
        }
        if connection.close_at.is_some_and(|t| t <= now) {
            self.counters.unresponsive += 1;
            return self.close(key, poll, "mute while its executor answers elsewhere");
        }
        let due = owes + connection.message_interval + 1;
        let asks = probes && now >= due && !connection.unresponsive && connection.probes.is_empty();
        let next = due.max(now + 2 * PROBE_SLACK);
        connection.next_check_at = Some(next);
        self.timers.set(next, Due::ResponsivenessCheck(key));
        if asks {
            self.send_probe(key, now, poll);
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
                Due::Dial(key) => {
                    if self.connections.get(&key).is_some_and(|c| !c.connected) {
                        self.close(key, poll, "no connection in time");
                    }
                }
                Due::Probe(key, tag) => {
                    let Some(connection) = self.connections.get_mut(&key) else { continue };
                    if let Some(sent) = connection.probes.remove(&tag) {
                        // Nothing new goes where a probe met silence; a new dial proves what runs.
                        connection.unresponsive = connection.last_message_at < sent;
                        connection.draining |= connection.unresponsive;
                        let executor = connection.executor;
                        let lives = self.executors.get(&executor).is_some_and(|e| e.last_message_at > sent);
                        let echo = if lives { ProbeOutcome::Unknown } else { ProbeOutcome::TimedOut };
                        self.events.push_back(NetworkEvent::ProbeFinished(
                            executor,
                            echo,
                            now.saturating_sub(sent),
                        ));
                    }
                }
                Due::PartialAnswer(key) => {
                    let since = self.connections.get(&key).and_then(|c| c.partial_since);
                    if since.is_some_and(|t| t + PARTIAL_ANSWER_TIMEOUT <= now) {
                        self.counters.bad_lines += 1;
                        self.close(key, poll, "an answer stopped half way");
                    }
                }
                Due::ResponsivenessCheck(key) => self.check_responsiveness(key, now, poll),
                Due::BeginBy(attempt_id) => self.withdraw(attempt_id, now, poll),
            }
        }
    }
}
