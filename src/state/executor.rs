//! An executor, as far as this dispatcher knows it.

use super::*;
use std::collections::BTreeSet;

#[derive(Debug, Clone, Default)]
pub(crate) struct Executor {
    pub(crate) endpoint: Endpoint,
    pub(crate) present: bool,
    /// Which classes it is open to, a bit each.
    pub(crate) pool: u64,
    /// Where it stands in the roster.
    pub(crate) place: Option<Place>,
    pub(crate) cores: f64,
    pub(crate) report: Report,
    pub(crate) report_at: Micros,
    pub(crate) threads: f64,
    pub(crate) granted: f64,
    /// Own threads when the report was made, and at the last tick.
    pub(crate) threads_then: f64,
    pub(crate) threads_before: f64,
    pub(crate) out: BTreeSet<(RequestId, u32)>,
    pub(crate) slow: Mean,
    /// Lately, time taken over expected, where nothing else tells of load.
    pub(crate) pace: Option<f64>,
    pub(crate) last_message_at: Micros,
    pub(crate) message_interval: Mean,
    pub(crate) error_rate: f64,
    pub(crate) ejected_until: Option<Micros>,
    pub(crate) unresponsive: bool,
    pub(crate) ejections: u32,
    pub(crate) rejecting_until: Micros,
    pub(crate) cold_since: Option<Micros>,
    /// While cold: own work that it may still get, and what may be staked in lots for it.
    pub(crate) cold: TokenBucket,
    pub(crate) lots: TokenBucket,
    pub(crate) probe_sent: Option<Micros>,
    /// Something was sent to this process: a connection is there.
    pub(crate) met: bool,
}

impl Executor {
    /// Notes that something was last_message_at, and the message_interval before it.
    pub(crate) fn record_message(&mut self, now: Micros, weight: f64) {
        self.message_interval.add((now - self.last_message_at) as f64 / 1e6, weight);
        self.last_message_at = now;
    }

    pub(crate) fn new(endpoint: Endpoint, cores: f64, now: Micros, cold: Option<Micros>) -> Executor {
        let mut e = Executor { endpoint, present: true, cores, last_message_at: now, ..Executor::default() };
        e.restarted(now, cold);
        e
    }

    /// Forgets what held of the process before.
    pub(crate) fn restarted(&mut self, now: Micros, cold_since: Option<Micros>) {
        (self.cold_since, self.error_rate, self.ejected_until, self.unresponsive) =
            (cold_since, 0.0, None, false);
        (self.ejections, self.report, self.pace, self.met) = (0, Report::default(), None, false);
        self.cold = TokenBucket { at: now, ..TokenBucket::default() };
        self.lots = self.cold.clone();
    }

    /// Of one of the only zones and kinds allowed, if bound.
    pub(crate) fn within(&self, zones: &Option<Vec<ZoneId>>, kinds: &Option<Vec<KindId>>) -> bool {
        zones.as_ref().is_none_or(|z| z.contains(&self.endpoint.zone))
            && kinds.as_ref().is_none_or(|k| k.contains(&self.endpoint.kind))
    }

    /// In the list, and taking requests.
    pub(crate) fn listed(&self) -> bool {
        self.present && self.endpoint.readiness == Readiness::Active
    }

    /// Counts an attempt in.
    pub(crate) fn take(&mut self, attempt: (RequestId, u32), threads: f64, grant: f64) {
        self.out.insert(attempt);
        self.met = true;
        self.threads += threads;
        self.granted += grant;
    }

    /// Counts an attempt out.
    pub(crate) fn release(&mut self, attempt: (RequestId, u32), threads: f64, grant: f64) {
        self.out.remove(&attempt);
        self.threads -= threads;
        self.granted -= grant;
    }

    /// Keeps a report. The same values mean the same old one; a new one tells of a moment ago, not of now.
    pub(crate) fn reported(&mut self, report: Report, now: Micros) {
        if report != self.report {
            self.threads_then = self.threads_before;
            self.report = report;
        }
        self.report_at = now;
    }
}
