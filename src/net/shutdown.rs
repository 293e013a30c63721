//! Housekeeping: counters, SIGHUP, and the way to the end after SIGTERM.

use super::poll::Key;
use super::session::Session;
use super::{Node, TAKES_ON};
use crate::api::Micros;
use crate::arrivals::Occurrence;
use crate::invariant;
use crate::settings::config::Config;

/// The platform kills no sooner after SIGTERM than the longest deadline and this.
const KILLED_AFTER: Micros = 700_000;
/// A longer deadline is taken as this.
const LONGEST_DEADLINE: Micros = 3_000_000;
/// What is open is given up so long before the kill, and the end comes so long before it.
const GIVE_UP_AHEAD: Micros = 600_000;
const END_AHEAD: Micros = 300_000;

/// What is left of a dispatcher's time after SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Shutdown {
    /// When what is open is given up.
    pub(super) gives_up: Micros,
    /// The end, whoever is still connected.
    pub(super) ends: Micros,
}

impl Shutdown {
    /// For the longest deadline of any class.
    pub(super) fn of(longest_deadline: Micros) -> Shutdown {
        let killed = longest_deadline.min(LONGEST_DEADLINE) + KILLED_AFTER;
        // A request that came while new ones were taken has a moment at least.
        let gives_up = (killed - GIVE_UP_AHEAD).max(TAKES_ON);
        Shutdown { gives_up, ends: (killed - END_AHEAD).max(gives_up) }
    }
}

impl Node {
    pub(super) fn sweep(&mut self, now: Micros) {
        self.executors.sweep(now, &self.poll);
    }

    pub(super) fn count(&self) {
        let t = &self.dispatch.counters;
        let w = &self.executors.wire;
        let feed = self.feed.as_ref();
        tracing::info!(
            taken = t.taken,
            served = t.served,
            refused = t.refused,
            failed = t.failed,
            left = t.left,
            open = self.dispatch.open_requests(),
            attempts = t.attempts,
            expired = t.expired,
            lost = t.lost,
            never_sent = t.never_sent,
            probes = t.probes,
            dials = w.dials,
            conns = self.executors.connections(),
            clients = self.sessions.by_key.len(),
            clients_refused = self.refused_clients,
            evicted = self.evicted,
            shed = self.shed,
            stray = w.stray,
            bad_lines = w.bad_lines,
            mute = w.mute,
            feed_dials = feed.map_or(0, |f| f.dials),
            feed_bad_lines = feed.map_or(0, |f| f.bad_lines),
            free_buffers = self.pool.free(),
            broken = invariant::broken(),
            "counters"
        );
        tracing::info!(reasons = %t.ends, "request ends");
        self.count_in_flight();
        if let Some(s) = &self.storm {
            let t = s.tally;
            tracing::info!(
                phase = ?s.phase(),
                refused = t.refused,
                early = t.early,
                promised = t.promised,
                kept = t.kept,
                repeats = t.repeats,
                remembered = s.remembered(),
                "storm counters"
            );
        }
        if let Some(l) = self.lists.as_ref().map(|l| &l.tally) {
            let (taken, refused, held) = (l.taken, l.refused, l.held);
            tracing::info!(
                taken,
                refused,
                held,
                unreadable = l.unreadable,
                slowest_us = l.slowest,
                "list counters"
            );
        }
    }

    /// SIGHUP: follows the coordinator that the file names now. All that is open stays, and so does the rest of
    /// the configuration, which takes a restart. A file that can't be used changes nothing.
    pub(super) fn reread(&mut self, now: Micros) {
        let usable = |c: Config| {
            let coordinator = c.coordinator;
            c.settings.settings().map(|(settings, _)| (coordinator, settings)).map_err(|e| e.to_string())
        };
        match (self.load)().map_err(|e| e.to_string()).and_then(usable) {
            Ok((coordinator, settings)) => {
                self.figures.sighup_applied.inc();
                tracing::info!(%coordinator, "SIGHUP: configuration read again");
                // Where the fleet holds one policy, a file at one dispatcher changes nothing of it.
                if let Some(rules) = self.rules.as_ref().filter(|r| r.base != settings) {
                    let number = rules.part.number();
                    tracing::warn!(number, "SIGHUP: the file's settings differ; the fleet's policy holds");
                }
                if let Some(feed) = &mut self.feed {
                    feed.move_to(coordinator, now, &self.poll);
                }
                if let Some(lists) = &self.lists {
                    lists.look();
                }
            }
            Err(e) => {
                self.figures.sighup_rejected.inc();
                tracing::error!(error = e.replace('\n', " "), "SIGHUP: the old configuration stays");
            }
        }
    }

    /// SIGTERM was noticed. The platform's kill counts from when it came, so what is open is given up by its earliest moment;
    /// new requests may come for a while after it, so they are taken until that has passed since its latest.
    pub(super) fn stop(&mut self, came: Occurrence) {
        if self.stopping.is_none() {
            let late_ms = (came.latest - came.earliest) / 1_000;
            tracing::info!(open = self.dispatch.open_requests(), late_ms, "SIGTERM");
            self.stopping = Some(came);
            self.dispatch.set_shutdown_time(came.earliest + self.limits.gives_up);
        }
    }

    /// Whether the dispatcher is at its end; on the way there it takes less and less.
    pub(super) fn over(&mut self, now: Micros) -> bool {
        let Some(told) = self.stopping else { return false };
        if now >= told.earliest + self.limits.gives_up {
            self.give_up(now);
        }
        if now < told.latest + TAKES_ON {
            return false;
        }
        if self.listener.is_some() || self.paused.is_some() {
            // Resting connections first, as in any turn; then the last look at what was written in time.
            self.read_all(now);
            self.stop_accepting(now);
            self.read_all(now);
            self.begin_arrived();
        }
        self.let_go(now);
        self.sessions.by_key.is_empty() || now >= told.earliest + self.limits.ends
    }

    fn read_all(&mut self, now: Micros) {
        let all: Vec<Key> = self.sessions.by_key.keys().copied().collect();
        all.into_iter().for_each(|key| self.read(key, now));
    }

    /// Answers all that is open, once; what still comes is refused as it comes.
    fn give_up(&mut self, now: Micros) {
        if !std::mem::replace(&mut self.given_up, true) {
            let orders = self.dispatch.end_all(now);
            self.settle(orders);
            self.refuse_arrived(now);
        }
    }

    /// Ends the connections of clients that rest. One that asked in this very moment is read first, and answered.
    fn let_go(&mut self, now: Micros) {
        let rests = |s: &Session| s.open.is_none() && s.flushed();
        let resting: Vec<Key> =
            self.sessions.by_key.iter().filter(|(_, s)| rests(s)).map(|(k, _)| *k).collect();
        for key in resting {
            let Some(s) = self.sessions.by_key.get(&key) else { continue };
            match s.dismissed() {
                true if s.has_crossed(now) && !s.unread() => self.hang_up(key, now),
                true => {}
                false if s.unread() && !s.paused() => self.read(key, now),
                false => self.finish(key, now),
            }
        }
        self.begin_arrived();
    }
}

#[cfg(test)]
mod tests;
