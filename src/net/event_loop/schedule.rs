//! Periodic work of the event loop.

use crate::api::Micros;

/// Period of closing connections to executors that have been idle for long.
const SWEEP_PERIOD: Micros = 1_000_000;
/// Period of the log line `counters`.
const COUNTERS_PERIOD: Micros = 10_000_000;
/// Period of the work on clients: pauses end, and time limits of what they owe.
const CLIENTS_PERIOD: Micros = 100_000;

/// Work that is done again and again.
#[derive(Debug, Clone, Copy)]
pub(in crate::net) struct Periodic {
    /// Span from one run to the next, in microseconds.
    period: Micros,
    /// When the next run is due.
    due_at: Micros,
}

impl Periodic {
    fn starting(now: Micros, period: Micros) -> Periodic {
        Periodic { period, due_at: now + period }
    }

    /// Whether a run is due now. If so, the next is due a period from now: runs that were missed are not made up for.
    pub(in crate::net) fn take_due(&mut self, now: Micros) -> bool {
        let is_due = self.due_at <= now;
        if is_due {
            self.due_at = now + self.period;
        }
        is_due
    }

    /// When the next run is due.
    pub(in crate::net) fn due_at(&self) -> Micros {
        self.due_at
    }
}

/// The event loop's periodic work.
#[derive(Debug, Clone, Copy)]
pub(in crate::net) struct Schedule {
    /// Closes idle connections to executors.
    pub(in crate::net) sweep: Periodic,
    /// Looks after clients, whose period is the shortest.
    pub(in crate::net) clients: Periodic,
    /// Logs the counters.
    pub(in crate::net) counters: Periodic,
}

impl Schedule {
    /// The first run of each is a period from now.
    pub(in crate::net) fn new(now: Micros) -> Schedule {
        Schedule {
            sweep: Periodic::starting(now, SWEEP_PERIOD),
            clients: Periodic::starting(now, CLIENTS_PERIOD),
            counters: Periodic::starting(now, COUNTERS_PERIOD),
        }
    }
}
