//! Shutdown, from SIGTERM to the end of the process.
//!
//! | Time since SIGTERM | Effect on requests |
//! | --- | --- |
//! | 0 | New requests are accepted; a request that is expected to run past the give-up time is rejected. |
//! | [`ACCEPT_REQUESTS_FOR`] | The backlog is accepted and read a last time, and the listener is closed. |
//! | after that | Idle client connections are closed. |
//! | [`ShutdownDeadlines::give_up_after`] | Open requests are answered: rejected if they never ran, otherwise failed. |
//! | [`ShutdownDeadlines::end_after`], or once no client is left | The process exits. |

use crate::api::Micros;
use crate::arrivals::Occurrence;
use crate::net::DispatcherServer;
use crate::net::clients::session::Session;
use crate::net::event_loop::poll::Key;
use std::time::Duration;

/// The platform kills the process no sooner than the longest class deadline plus this margin after SIGTERM,
/// in microseconds.
const KILL_MARGIN: Micros = 700_000;
/// Longer class deadlines count as this value for the platform, in microseconds.
const MAX_DEADLINE: Micros = 3_000_000;
/// Open requests are given up this long before the kill, so that their answers can be written in time; in
/// microseconds.
const GIVE_UP_BEFORE_KILL: Micros = 600_000;
/// The process exits this long before the kill, in microseconds.
const END_BEFORE_KILL: Micros = 300_000;
/// The log is flushed this long before the kill, in microseconds.
const FLUSHED_BEFORE_KILL: Micros = 250_000;
/// New requests are accepted for this long after SIGTERM, in microseconds. The platform lets connections
/// arrive for 0.4 s and requests on open connections for 0.2 s more; it loses nothing that arrives after 0.7
/// s.
const ACCEPT_REQUESTS_FOR: Micros = 700_000;
/// Maximum sleep of the event loop during the shutdown, whose time limits have no timers of their own; in
/// microseconds.
pub(in crate::net) const POLL_INTERVAL: Micros = 20_000;

/// Time limits of the shutdown, in microseconds after SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::net) struct ShutdownDeadlines {
    /// When open requests are given up.
    pub(in crate::net) give_up_after: Micros,
    /// When the process exits, regardless of open connections.
    pub(in crate::net) end_after: Micros,
    /// When the platform may kill the process.
    pub(in crate::net) kill_after: Micros,
}

impl ShutdownDeadlines {
    /// Computes the time limits from the longest class deadline.
    pub(in crate::net) fn new(longest_deadline: Micros) -> ShutdownDeadlines {
        let kill_after = longest_deadline.min(MAX_DEADLINE) + KILL_MARGIN;
        // Requests are not given up while new ones are still accepted.
        let give_up_after = (kill_after - GIVE_UP_BEFORE_KILL).max(ACCEPT_REQUESTS_FOR);
        let end_after = (kill_after - END_BEFORE_KILL).max(give_up_after);
        ShutdownDeadlines { give_up_after, end_after, kill_after }
    }
}

/// Progress of the shutdown.
#[derive(Debug, Clone, Copy)]
pub(in crate::net) struct Shutdown {
    deadlines: ShutdownDeadlines,
    /// When SIGTERM arrived, once it was observed. The platform's kill timer starts at the arrival, so the
    /// deadlines are measured from the earliest possible time, and the time for accepting requests from the
    /// latest.
    requested: Option<Occurrence>,
    /// Whether open requests have been given up; requests read after that are rejected.
    gave_up: bool,
}

impl Shutdown {
    /// State before SIGTERM.
    pub(in crate::net) fn new(deadlines: ShutdownDeadlines) -> Shutdown {
        Shutdown { deadlines, requested: None, gave_up: false }
    }

    /// Whether SIGTERM was observed.
    pub(in crate::net) fn is_requested(&self) -> bool {
        self.requested.is_some()
    }

    /// Whether open requests have been given up.
    pub(in crate::net) fn gave_up(&self) -> bool {
        self.gave_up
    }

    fn has_to_give_up(&self, now: Micros) -> bool {
        self.requested.is_some_and(|at| now >= at.earliest + self.deadlines.give_up_after)
    }

    fn accepts_requests(&self, now: Micros) -> bool {
        self.requested.is_none_or(|at| now < at.latest + ACCEPT_REQUESTS_FOR)
    }

    fn has_to_end(&self, now: Micros) -> bool {
        self.requested.is_some_and(|at| now >= at.earliest + self.deadlines.end_after)
    }
}

impl DispatcherServer {
    /// The time that is left to flush the log before the platform kills the process; unlimited without SIGTERM.
    pub fn time_until_kill(&mut self) -> Duration {
        let now = self.clock.now();
        let kill_after = self.shutdown.deadlines.kill_after;
        let flushed_by = |requested: Occurrence| requested.earliest + kill_after - FLUSHED_BEFORE_KILL;
        self.shutdown.requested.map_or(Duration::MAX, |requested| {
            Duration::from_micros(flushed_by(requested).saturating_sub(now))
        })
    }

    /// Starts the shutdown after SIGTERM; further signals have no effect.
    pub(in crate::net) fn begin_shutdown(&mut self, arrived: Occurrence) {
        if self.shutdown.is_requested() {
            return;
        }
        let late_ms = (arrived.latest - arrived.earliest) / 1_000;
        tracing::info!(open = self.dispatch.open_requests(), late_ms, "SIGTERM");
        self.shutdown.requested = Some(arrived);
        self.dispatch.set_shutdown_time(arrived.earliest + self.shutdown.deadlines.give_up_after);
    }

    /// Carries out the shutdown steps that are due. Returns whether the event loop should end.
    pub(in crate::net) fn advance_shutdown(&mut self, now: Micros) -> bool {
        if self.shutdown.has_to_give_up(now) {
            self.give_up_open_requests(now);
        }
        if self.shutdown.accepts_requests(now) {
            return false;
        }
        if !self.listener.is_closed() {
            self.take_last_requests(now);
        }
        self.close_idle_clients(now);
        self.sessions.by_key.is_empty() || self.shutdown.has_to_end(now)
    }

    /// Reads everything that was sent in time and closes the listener. Clients are read before accepting, as
    /// in any turn, and again afterwards, because accepting takes time.
    fn take_last_requests(&mut self, now: Micros) {
        self.read_all_clients(now);
        self.stop_accepting(now);
        self.read_all_clients(now);
        self.begin_arrived_requests();
    }

    fn read_all_clients(&mut self, now: Micros) {
        let all: Vec<Key> = self.sessions.by_key.keys().copied().collect();
        all.into_iter().for_each(|key| self.read_client(key, now));
    }

    /// Answers all open requests, once. Requests read later are rejected as they arrive.
    fn give_up_open_requests(&mut self, now: Micros) {
        if std::mem::replace(&mut self.shutdown.gave_up, true) {
            return;
        }
        let commands = self.dispatch.end_all(now);
        self.execute(commands);
        self.reject_arrived_requests(now);
    }

    /// Closes idle client connections. A client with unread data is read first, and its request is answered.
    fn close_idle_clients(&mut self, now: Micros) {
        let is_idle = |session: &Session| !session.awaits_answer() && session.is_flushed();
        let idle: Vec<Key> =
            self.sessions.by_key.iter().filter(|(_, s)| is_idle(s)).map(|(key, _)| *key).collect();
        for key in idle {
            let Some(session) = self.sessions.by_key.get(&key) else { continue };
            if session.is_closing() {
                if session.close_has_settled(now) && !session.has_unread() {
                    self.close_client(key, now);
                }
            } else if session.has_unread() && !session.is_paused() {
                self.read_client(key, now);
            } else {
                self.finish_client(key, now);
            }
        }
        self.begin_arrived_requests();
    }
}

#[cfg(test)]
mod tests;
