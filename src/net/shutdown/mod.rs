//! The way from SIGTERM to the end of the process.
//!
//! | since SIGTERM | what happens to requests |
//! | --- | --- |
//! | at once | new ones are still taken; one that is expected to run past the give-up is rejected |
//! | [`ACCEPT_REQUESTS_FOR`] | the backlog is accepted and read once more, the listener is closed |
//! | from then on | a client connection that is idle is closed |
//! | [`ShutdownDeadlines::give_up_after`] | what is open gets its answer: refused if it never ran, else failed |
//! | [`ShutdownDeadlines::end_after`], or once no client is left | the process ends |

use crate::api::Micros;
use crate::arrivals::Occurrence;
use crate::net::DispatcherServer;
use crate::net::clients::session::Session;
use crate::net::event_loop::poll::Key;

/// The platform kills the process no sooner after SIGTERM than the longest deadline of any class and this.
const KILL_MARGIN: Micros = 700_000;
/// The platform takes a longer deadline as this.
const LONGEST_DEADLINE: Micros = 3_000_000;
/// Open requests are given up this long before the kill: their answers have to be written by then.
const GIVE_UP_BEFORE_KILL: Micros = 600_000;
/// The process ends this long before the kill.
const END_BEFORE_KILL: Micros = 300_000;
/// New requests are taken for this long after SIGTERM: the platform lets connections come for 0.4 s and requests on
/// open ones for 0.2 s more, and loses nothing that arrives after 0.7 s.
const ACCEPT_REQUESTS_FOR: Micros = 700_000;
/// The longest sleep of the event loop during the shutdown, whose time limits have no timers of their own.
pub(in crate::net) const POLL_INTERVAL: Micros = 20_000;

/// Time limits of the shutdown, as spans since SIGTERM in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::net) struct ShutdownDeadlines {
    /// When open requests are given up.
    pub(in crate::net) give_up_after: Micros,
    /// When the process ends, whoever is still connected.
    pub(in crate::net) end_after: Micros,
}

impl ShutdownDeadlines {
    /// For the longest deadline of any class.
    pub(in crate::net) fn new(longest_deadline: Micros) -> ShutdownDeadlines {
        let kill_after = longest_deadline.min(LONGEST_DEADLINE) + KILL_MARGIN;
        // A request that came while new ones were taken has a moment at least.
        let give_up_after = (kill_after - GIVE_UP_BEFORE_KILL).max(ACCEPT_REQUESTS_FOR);
        ShutdownDeadlines { give_up_after, end_after: (kill_after - END_BEFORE_KILL).max(give_up_after) }
    }
}

/// How far the shutdown is.
#[derive(Debug, Clone, Copy)]
pub(in crate::net) struct Shutdown {
    deadlines: ShutdownDeadlines,
    /// When SIGTERM came, once it was noticed. The platform's kill counts from when it came, so that deadlines count
    /// from the earliest moment, and the time in which requests are still taken from the latest.
    requested: Option<Occurrence>,
    /// Whether open requests have been given up; requests that are read from then on are refused.
    gave_up: bool,
}

impl Shutdown {
    /// Before any SIGTERM.
    pub(in crate::net) fn new(deadlines: ShutdownDeadlines) -> Shutdown {
        Shutdown { deadlines, requested: None, gave_up: false }
    }

    /// Whether SIGTERM was noticed.
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
    /// SIGTERM was noticed; a further one changes nothing.
    pub(in crate::net) fn begin_shutdown(&mut self, came: Occurrence) {
        if self.shutdown.is_requested() {
            return;
        }
        let late_ms = (came.latest - came.earliest) / 1_000;
        tracing::info!(open = self.dispatch.open_requests(), late_ms, "SIGTERM");
        self.shutdown.requested = Some(came);
        self.dispatch.set_shutdown_time(came.earliest + self.shutdown.deadlines.give_up_after);
    }

    /// Does what the shutdown has due by now. Returns whether the dispatcher is at its end.
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

    /// Takes what was written in time and closes the listener. Clients are read before it, as in any turn, and after
    /// it, as accepting takes time.
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

    /// Answers all open requests, once. Whatever is read later is refused as it comes.
    fn give_up_open_requests(&mut self, now: Micros) {
        if std::mem::replace(&mut self.shutdown.gave_up, true) {
            return;
        }
        let commands = self.dispatch.end_all(now);
        self.execute(commands);
        self.reject_arrived_requests(now);
    }

    /// Ends the connections of idle clients. One that asked in this very moment is read first, and answered.
    fn close_idle_clients(&mut self, now: Micros) {
        let is_idle = |session: &Session| session.open.is_none() && session.is_flushed();
        let idle: Vec<Key> =
            self.sessions.by_key.iter().filter(|(_, s)| is_idle(s)).map(|(key, _)| *key).collect();
        for key in idle {
            let Some(session) = self.sessions.by_key.get(&key) else { continue };
            if session.is_closing() {
                if session.end_has_settled(now) && !session.has_unread() {
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
