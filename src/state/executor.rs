//! An executor, as far as this dispatcher knows it.

use super::*;
use std::collections::BTreeSet;

#[derive(Debug, Clone, Default)]
pub(crate) struct Executor {
    pub(crate) endpoint: Endpoint,
    pub(crate) present: bool,
    /// Which classes it is open to, a bit each.
    pub(crate) pool: u64,
    /// Where it stands in the executor_index.
    pub(crate) place: Option<Place>,
    pub(crate) cores: f64,
    pub(crate) report: Report,
    pub(crate) report_received_at: Micros,
    pub(crate) in_flight_threads: f64,
    pub(crate) granted_mb: f64,
    /// Own threads when the report was made, and at the last tick.
    pub(crate) in_flight_threads_at_report: f64,
    pub(crate) in_flight_threads_at_tick: f64,
    pub(crate) attempts_in_flight: BTreeSet<(RequestId, u32)>,
    pub(crate) relative_latency: Mean,
    /// Lately, time taken over expected, where nothing else tells of load.
    pub(crate) latency_ratio: Option<f64>,
    pub(crate) last_message_at: Micros,
    pub(crate) message_interval: Mean,
    /// Its errors, rejections and ejections.
    pub(crate) health: ExecutorHealth,
    pub(crate) warming_since: Option<Micros>,
    /// Work that it may be sent while it is in slow start.
    pub(crate) warming_buckets: WarmingBuckets,
    pub(crate) probe_sent: Option<Micros>,
    /// Something was sent to this process: a connection is there.
    pub(crate) connected: bool,
}

impl Executor {
    pub(crate) fn new(
        endpoint: Endpoint,
        cores: f64,
        now: Micros,
        warming_since: Option<Micros>,
    ) -> Executor {
        let mut e = Executor { endpoint, present: true, cores, last_message_at: now, ..Executor::default() };
        e.restarted(now, warming_since);
        e
    }

    /// Forgets what held of the process before.
    pub(crate) fn restarted(&mut self, now: Micros, warming_since: Option<Micros>) {
        self.warming_since = warming_since;
        self.health.reset_after_restart();
        (self.report, self.latency_ratio, self.connected) = (Report::default(), None, false);
        self.warming_buckets = WarmingBuckets::new(now);
    }

    /// Of one of the only zones and kinds allowed, if bound.
    pub(crate) fn is_within(&self, zones: &Option<Vec<ZoneId>>, kinds: &Option<Vec<KindId>>) -> bool {
        zones.as_ref().is_none_or(|z| z.contains(&self.endpoint.zone))
            && kinds.as_ref().is_none_or(|k| k.contains(&self.endpoint.kind))
    }

    /// In the list, and taking requests.
    pub(crate) fn listed(&self) -> bool {
        self.present && self.endpoint.readiness == Readiness::Active
    }

    /// Counts an attempt in.
    pub(crate) fn start_attempt(&mut self, attempt: (RequestId, u32), threads: f64, grant: f64) {
        self.attempts_in_flight.insert(attempt);
        self.connected = true;
        self.in_flight_threads += threads;
        self.granted_mb += grant;
    }

    /// Counts an attempt out.
    pub(crate) fn finish_attempt(&mut self, attempt: (RequestId, u32), threads: f64, grant: f64) {
        self.attempts_in_flight.remove(&attempt);
        self.in_flight_threads -= threads;
        self.granted_mb -= grant;
    }

    /// Keeps a report. The same values mean the same old one; a new one tells of a moment ago, not of now.
    pub(crate) fn reported(&mut self, report: Report, now: Micros) {
        if report != self.report {
            self.in_flight_threads_at_report = self.in_flight_threads_at_tick;
            self.report = report;
        }
        self.report_received_at = now;
    }
}
