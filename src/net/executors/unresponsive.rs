//! What falls due when nothing comes: dials, probes, answers in part, and word that is owed.

use super::{Due, Executors, PART, PROBE_SLACK};
use crate::api::Micros;
use crate::dispatch::{NetworkEvent, ProbeOutcome};
use crate::net::event_loop::event_source::EventSource;
use crate::net::event_loop::poll::{Key, Poll};
use crate::settings::Transport;

/// A mute connection whose executor is heard elsewhere has this long to be heard too.
const GRACE: Micros = 400_000;

impl Executors {
    /// Looks after a connection that owes word: it is probed, and one that answers no probe is over once its
    /// executor has been heard elsewhere since. If nothing is heard there either, the machine is gone or cut
    /// off, and what is out may yet be answered.
    fn ask_for_word(&mut self, key: Key, now: Micros, poll: &Poll) {
        let Some(conn) = self.conns.get_mut(&key) else { return };
        conn.word_at = None;
        let Some(since) = conn.streams.values().filter(|s| s.written).map(|s| s.since).min() else { return };
        let owes = conn.heard.max(since);
        let heard = self.list.get(&conn.executor).map_or(0, |e| e.heard);
        // Where nothing may be probed, word that the settings promise and that does not come tells the same.
        let Transport { probes, progress, .. } = self.transport;
        let mute = conn.mute || (!probes && progress.is_some());
        if mute && heard > owes + conn.word_within {
            // After a cut both come back, and what was held up may come a moment later.
            conn.doomed_at.get_or_insert(now + GRACE);
        }
        if conn.doomed_at.is_some_and(|t| t <= now) {
            self.wire.mute += 1;
            return self.lose(key, poll, "mute while its executor answers elsewhere");
        }
        let due = owes + conn.word_within + 1;
        let asks = probes && now >= due && !conn.mute && conn.probes.is_empty();
        let next = due.max(now + 2 * PROBE_SLACK);
        conn.word_at = Some(next);
        self.timers.set(next, Due::Progress(key));
        if asks {
            self.meter(key, now, poll);
        }
    }
}
impl EventSource for Executors {
    fn owns(&self, key: Key) -> bool {
        self.conns.contains_key(&key)
    }

    fn next_due(&self) -> Option<Micros> {
        self.timers.next_due()
    }

    fn tick(&mut self, now: Micros, poll: &Poll) {
        while let Some(due) = self.timers.due(now) {
            match due {
                Due::Dial(key) => {
                    if self.conns.get(&key).is_some_and(|c| !c.up) {
                        self.lose(key, poll, "no connection in time");
                    }
                }
                Due::Probe(key, tag) => {
                    let Some(conn) = self.conns.get_mut(&key) else { continue };
                    if let Some(sent) = conn.probes.remove(&tag) {
                        // Nothing new goes where a probe met silence; a new dial proves what runs.
                        conn.mute = conn.heard < sent;
                        conn.retired |= conn.mute;
                        let executor = conn.executor;
                        let lives = self.list.get(&executor).is_some_and(|e| e.heard > sent);
                        let echo = if lives { ProbeOutcome::Unknown } else { ProbeOutcome::TimedOut };
                        self.reports.push_back(NetworkEvent::ProbeFinished(
                            executor,
                            echo,
                            now.saturating_sub(sent),
                        ));
                    }
                }
                Due::Part(key) => {
                    let since = self.conns.get(&key).and_then(|c| c.part_since);
                    if since.is_some_and(|t| t + PART <= now) {
                        self.wire.bad_lines += 1;
                        self.lose(key, poll, "an answer stopped half way");
                    }
                }
                Due::Progress(key) => self.ask_for_word(key, now, poll),
                Due::Begin(attempt_id) => self.withdraw(attempt_id, now, poll),
            }
        }
    }
}
