//! Periodic tasks of the event loop.

use crate::api::Micros;

/// Period of closing executor connections that have been idle for long, in microseconds.
const SWEEP_PERIOD: Micros = 1_000_000;
/// Period of the log line `counters`, in microseconds.
const COUNTERS_PERIOD: Micros = 10_000_000;
/// Period of checking client pauses and time limits, in microseconds.
const CLIENTS_PERIOD: Micros = 100_000;

/// A periodic task.
#[derive(Debug, Clone, Copy)]
pub(in crate::net) struct Periodic {
    /// Interval between runs, in microseconds.
    period: Micros,
    /// When the next run is due.
    due_at: Micros,
}

impl Periodic {
    fn starting(now: Micros, period: Micros) -> Periodic {
        Periodic { period, due_at: now + period }
    }

    /// Whether a run is due now. If so, the next one is scheduled a full period from now; missed runs are not
    /// caught up.
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

/// The periodic tasks of the event loop.
#[derive(Debug, Clone, Copy)]
pub(in crate::net) struct Schedule {
    /// Closes idle executor connections.
    pub(in crate::net) sweep: Periodic,
    /// Checks clients; has the shortest period.
    pub(in crate::net) clients: Periodic,
    /// Logs the counters.
    pub(in crate::net) counters: Periodic,
}

impl Schedule {
    /// Schedules the first run of each task one period from now.
    pub(in crate::net) fn new(now: Micros) -> Schedule {
        Schedule {
            sweep: Periodic::starting(now, SWEEP_PERIOD),
            clients: Periodic::starting(now, CLIENTS_PERIOD),
            counters: Periodic::starting(now, COUNTERS_PERIOD),
        }
    }
}
