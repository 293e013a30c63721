//! Periodic log lines with counters since the start of the process.

use crate::invariant;
use crate::logging::DroppedLines;
use crate::net::DispatcherServer;

impl DispatcherServer {
    /// Reports these dropped log lines from now on: in a line of their own, among the counters and in the metrics.
    pub fn report_dropped_lines(&mut self, dropped_lines: DroppedLines) {
        self.dropped_lines = dropped_lines;
    }

    /// Logs the counters of all components since the start of the process.
    pub(in crate::net) fn log_counters(&self) {
        let tally = &self.dispatch.counters;
        let wire = &self.executors.counters;
        let feed = self.coordinator_watch.as_ref();
        tracing::info!(
            taken = tally.taken,
            served = tally.served,
            refused = tally.refused,
            failed = tally.failed,
            left = tally.left,
            open = self.dispatch.open_requests(),
            attempts = tally.attempts,
            expired = tally.expired,
            lost = tally.lost,
            never_sent = tally.never_sent,
            probes = tally.probes,
            dials = wire.dials,
            conns = self.executors.connections(),
            clients = self.sessions.by_key.len(),
            clients_refused = self.client_counters.refused,
            evicted = self.client_counters.evicted,
            shed = self.client_counters.shed,
            stray = wire.stray,
            bad_lines = wire.bad_lines,
            unresponsive = wire.unresponsive,
            feed_dials = feed.map_or(0, |f| f.dials),
            feed_bad_lines = feed.map_or(0, |f| f.bad_lines),
            free_buffers = self.pool.free(),
            broken = invariant::violations(),
            log_dropped = self.dropped_lines.count(),
            "counters"
        );
        tracing::info!(reasons = %tally.ends, "request ends");
        self.log_in_flight_counters();
        self.log_storm_counters();
        self.log_list_counters();
    }

    fn log_storm_counters(&self) {
        if let Some(storm) = &self.storm {
            let counters = storm.counters;
            tracing::info!(
                phase = ?storm.phase(),
                refused = counters.rejected,
                early = counters.early,
                promised = counters.reserved,
                kept = counters.on_time,
                repeats = counters.repeats,
                remembered = storm.remembered(),
                "storm counters"
            );
        }
    }

    fn log_list_counters(&self) {
        if let Some(counters) = self.endpoint_lists.as_ref().map(|lists| &lists.counters) {
            tracing::info!(
                taken = counters.taken,
                refused = counters.refused,
                held = counters.held,
                unreadable = counters.unreadable,
                slowest_us = counters.longest_turn,
                "list counters"
            );
        }
    }
}
