//! The state that a dispatcher keeps per executor.

use super::executor_index::IndexEntry;
use super::mean::Mean;
use crate::api::{DurationUs, Endpoint, KindId, Readiness, Report, RequestId, TimestampUs, ZoneId};
use crate::balancer::ExecutorHealth;
use crate::balancer::slow_start::WarmingBuckets;
use std::collections::BTreeSet;

/// An executor: its entry in the endpoint list, its last load report, this dispatcher's attempts in flight on it,
/// and learned statistics.
#[derive(Debug, Clone, Default)]
pub(crate) struct Executor {
    /// Its entry in the endpoint list.
    pub(crate) endpoint: Endpoint,
    /// Whether the endpoint list contains it.
    pub(crate) present: bool,
    /// Bit mask of the classes that it is eligible for. Executors with the same mask form a pool.
    pub(crate) pool: u64,
    /// Its entry in the executor index; `None` if it accepts no requests.
    pub(crate) index_entry: Option<IndexEntry>,
    /// Number of cores.
    pub(crate) cores: f64,
    /// Its last load report.
    pub(crate) report: Report,
    /// When the last report was received, or the load was last estimated from latency instead.
    pub(crate) report_received_at: TimestampUs,
    /// Threads of this dispatcher's attempts in flight.
    pub(crate) in_flight_threads: f64,
    /// Memory granted to this dispatcher's attempts in flight, in MB.
    pub(crate) granted_mb: f64,
    /// `in_flight_threads` at the time of the last report.
    pub(crate) in_flight_threads_at_report: f64,
    /// `in_flight_threads` at the last tick.
    pub(crate) in_flight_threads_at_tick: f64,
    /// This dispatcher's attempts in flight, as request id and attempt number.
    pub(crate) attempts_in_flight: BTreeSet<(RequestId, u32)>,
    /// Latency relative to comparable requests on other executors.
    pub(crate) relative_latency: Mean,
    /// Natural logarithm of the recent ratio of observed to expected latency, if reports state no load.
    pub(crate) latency_ratio: Option<f64>,
    /// When its last message was received.
    pub(crate) last_message_at: TimestampUs,
    /// Interval between its messages, in seconds.
    pub(crate) message_interval: Mean,
    /// Its errors, rejections and ejections.
    pub(crate) health: ExecutorHealth,
    /// Start time, if recent: the executor is in slow start until the ramp is over.
    pub(crate) warming_since: Option<TimestampUs>,
    /// Limits on the work that it may be sent in slow start.
    pub(crate) warming_buckets: WarmingBuckets,
    /// When the probe in flight was sent.
    pub(crate) probe_sent_at: Option<TimestampUs>,
    /// Whether anything was sent to its current process, so that a connection exists.
    pub(crate) connected: bool,
}

impl Executor {
    /// An executor that nothing was sent to yet; `warming_since` is its start time, if recent.
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

    /// Resets the state that belongs to the previous process.
    pub(crate) fn restart(&mut self, now: TimestampUs, warming_since: Option<TimestampUs>) {
        self.warming_since = warming_since;
        self.health.reset_after_restart();
        self.report = Report::default();
        self.latency_ratio = None;
        self.connected = false;
        self.warming_buckets = WarmingBuckets::new(now);
    }

    /// Whether its zone and its kind of machine are allowed; `None` allows all.
    pub(crate) fn is_within(&self, zones: &Option<Vec<ZoneId>>, kinds: &Option<Vec<KindId>>) -> bool {
        zones.as_ref().is_none_or(|allowed| allowed.contains(&self.endpoint.zone))
            && kinds.as_ref().is_none_or(|allowed| allowed.contains(&self.endpoint.kind))
    }

    /// Whether it is in the endpoint list and accepts requests.
    pub(crate) fn is_listed(&self) -> bool {
        self.present && self.endpoint.readiness == Readiness::Active
    }

    /// Whether it is absent from the endpoint list or marked as removed.
    pub(crate) fn has_departed(&self) -> bool {
        !self.present || self.endpoint.readiness == Readiness::Removed
    }

    /// When its slow start began, if it is not over. A start time in the future counts as now.
    pub(crate) fn slow_start_began(&self, ramp: DurationUs, now: TimestampUs) -> Option<TimestampUs> {
        let started = self.warming_since.filter(|started| now < started + ramp)?;
        Some(started.min(now))
    }

    /// Adds an attempt in flight.
    pub(crate) fn start_attempt(&mut self, attempt: (RequestId, u32), threads: f64, granted_mb: f64) {
        self.attempts_in_flight.insert(attempt);
        self.connected = true;
        self.in_flight_threads += threads;
        self.granted_mb += granted_mb;
    }

    /// Removes an attempt that is no longer in flight.
    pub(crate) fn finish_attempt(&mut self, attempt: (RequestId, u32), threads: f64, granted_mb: f64) {
        self.attempts_in_flight.remove(&attempt);
        self.in_flight_threads -= threads;
        self.granted_mb -= granted_mb;
    }

    /// Stores a load report. Unchanged values are taken for the same report. A new report describes a recent moment,
    /// not the present, so it is associated with the threads in flight at the last tick.
    pub(crate) fn record_report(&mut self, report: Report, now: TimestampUs) {
        if report != self.report {
            self.in_flight_threads_at_report = self.in_flight_threads_at_tick;
            self.report = report;
        }
        self.report_received_at = now;
    }
}
