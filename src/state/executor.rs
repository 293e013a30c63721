//! An executor, as far as this dispatcher knows it.

use super::executor_index::IndexEntry;
use super::mean::Mean;
use crate::api::{DurationUs, Endpoint, KindId, Readiness, Report, RequestId, TimestampUs, ZoneId};
use crate::balancer::ExecutorHealth;
use crate::balancer::slow_start::WarmingBuckets;
use std::collections::BTreeSet;

/// An executor: its entry in the endpoint list, its last load report, and what this dispatcher has in flight
/// there and has learned of it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Executor {
    /// Its entry in the endpoint list.
    pub(crate) endpoint: Endpoint,
    /// The endpoint list names it.
    pub(crate) present: bool,
    /// The classes that it is open to, a bit each. Executors that are open to the same classes are a pool.
    pub(crate) pool: u64,
    /// Where it stands in the executor index; `None` if it takes no requests.
    pub(crate) index_entry: Option<IndexEntry>,
    /// Cores.
    pub(crate) cores: f64,
    /// Its last load report.
    pub(crate) report: Report,
    /// When the last report came, or load was estimated in its place.
    pub(crate) report_received_at: TimestampUs,
    /// Threads of this dispatcher's attempts in flight.
    pub(crate) in_flight_threads: f64,
    /// Memory granted to this dispatcher's attempts in flight, in MB.
    pub(crate) granted_mb: f64,
    /// `in_flight_threads` when the last report was made.
    pub(crate) in_flight_threads_at_report: f64,
    /// `in_flight_threads` at the last tick.
    pub(crate) in_flight_threads_at_tick: f64,
    /// This dispatcher's attempts in flight, by request and number of the attempt.
    pub(crate) attempts_in_flight: BTreeSet<(RequestId, u32)>,
    /// Latency over that of the same requests elsewhere.
    pub(crate) relative_latency: Mean,
    /// Natural logarithm of time taken over time expected, lately, where reports tell of no load.
    pub(crate) latency_ratio: Option<f64>,
    /// When its last message came.
    pub(crate) last_message_at: TimestampUs,
    /// Time between its messages, in seconds.
    pub(crate) message_interval: Mean,
    /// Its errors, rejections and ejections.
    pub(crate) health: ExecutorHealth,
    /// When it started, if that was lately: it is in slow start until the ramp is over.
    pub(crate) warming_since: Option<TimestampUs>,
    /// Work that it may be sent while it is in slow start.
    pub(crate) warming_buckets: WarmingBuckets,
    /// When the probe that is in flight was sent.
    pub(crate) probe_sent_at: Option<TimestampUs>,
    /// Something was sent to this process: a connection is there.
    pub(crate) connected: bool,
}

impl Executor {
    /// An executor that nothing was sent to yet; `warming_since` is when it started, if that was lately.
    pub(crate) fn new(
        endpoint: Endpoint,
        cores: f64,
        now: TimestampUs,
        warming_since: Option<TimestampUs>,
    ) -> Executor {
        let mut executor =
            Executor { endpoint, present: true, cores, last_message_at: now, ..Executor::default() };
        executor.restart(now, warming_since);
        executor
    }

    /// Forgets what held of the process before.
    pub(crate) fn restart(&mut self, now: TimestampUs, warming_since: Option<TimestampUs>) {
        self.warming_since = warming_since;
        self.health.reset_after_restart();
        self.report = Report::default();
        self.latency_ratio = None;
        self.connected = false;
        self.warming_buckets = WarmingBuckets::new(now);
    }

    /// Whether it is in one of the zones and of one of the kinds of machine; `None` allows all.
    pub(crate) fn is_within(&self, zones: &Option<Vec<ZoneId>>, kinds: &Option<Vec<KindId>>) -> bool {
        zones.as_ref().is_none_or(|allowed| allowed.contains(&self.endpoint.zone))
            && kinds.as_ref().is_none_or(|allowed| allowed.contains(&self.endpoint.kind))
    }

    /// Whether the endpoint list has it as taking requests.
    pub(crate) fn listed(&self) -> bool {
        self.present && self.endpoint.readiness == Readiness::Active
    }

    /// Whether the endpoint list has it no longer.
    pub(crate) fn has_departed(&self) -> bool {
        !self.present || self.endpoint.readiness == Readiness::Removed
    }

    /// When its slow start began, while that lasts. A start that lies ahead counts as now.
    pub(crate) fn slow_start_began(&self, ramp: DurationUs, now: TimestampUs) -> Option<TimestampUs> {
        let started = self.warming_since.filter(|started| now < started + ramp)?;
        Some(started.min(now))
    }

    /// Counts an attempt in that is sent now.
    pub(crate) fn start_attempt(&mut self, attempt: (RequestId, u32), threads: f64, granted_mb: f64) {
        self.attempts_in_flight.insert(attempt);
        self.connected = true;
        self.in_flight_threads += threads;
        self.granted_mb += granted_mb;
    }

    /// Counts an attempt out that is over.
    pub(crate) fn finish_attempt(&mut self, attempt: (RequestId, u32), threads: f64, granted_mb: f64) {
        self.attempts_in_flight.remove(&attempt);
        self.in_flight_threads -= threads;
        self.granted_mb -= granted_mb;
    }

    /// Stores a load report. Equal values are the same old report; a new one tells of a moment ago, not of
    /// now, so that it counts the threads of the last tick.
    pub(crate) fn record_report(&mut self, report: Report, now: TimestampUs) {
        if report != self.report {
            self.in_flight_threads_at_report = self.in_flight_threads_at_tick;
            self.report = report;
        }
        self.report_received_at = now;
    }
}
