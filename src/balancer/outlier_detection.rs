//! Outlier detection: executors that fail more often than others are ejected for a while, and one answer at a
//! time lets them back.

use crate::api::{Action, DurationUs, ExecutorId, Outcome, Report, RequestId, TimestampUs};
use crate::balancer::TICK_US;
use crate::state::{Attempt, Balancer, Executor};
use std::fmt;

/// Error rate above which an executor is ejected: two resets, or six errors, which may be the statement's.
const EJECTION_ERROR_RATE: f64 = 0.25;
/// Weight of an answer in an executor's error rate.
const SUCCESS_WEIGHT: f64 = 0.15;
/// Weight of an error, which may be the statement's and not the executor's.
const ERROR_WEIGHT: f64 = 0.05;
/// Weight of a connection that was reset.
const RESET_WEIGHT: f64 = 0.15;
/// Further weight of an error on a request that another executor then served: the second one ejects.
const ATTRIBUTED_ERROR_WEIGHT: f64 = 0.24;
/// Length of the first ejection; each further one is twice as long.
const FIRST_EJECTION_US: DurationUs = 1_000_000;
/// The longest ejection.
const MAX_EJECTION_US: DurationUs = 8_000_000;
/// Ejections after which their length no longer doubles.
const MAX_DOUBLINGS: u32 = 5;
/// How long an executor that rejected an attempt gets no other.
const REJECTION_PAUSE_US: DurationUs = 3 * TICK_US;

/// What outlier detection remembers of one executor.
#[derive(Debug, Clone, Default)]
pub(crate) struct ExecutorHealth {
    /// Share of outcomes that were errors, a running mean from 0 to 1.
    pub(crate) error_rate: f64,
    /// End of the ejection. It stays set until an answer comes; once it is past, one attempt at a time is let
    /// through as a trial.
    pub(crate) ejected_until: Option<TimestampUs>,
    /// It gets nothing before this time, as it rejected an attempt.
    pub(crate) rejecting_until: TimestampUs,
    /// Ejections, less one for each recovery.
    ejections: u32,
    /// It was ejected as no message came; it counts as such until an answer comes.
    pub(crate) unresponsive: bool,
}

/// Why an executor is ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EjectionReason {
    Errors,
    Resets,
    ConnectFailed,
    ProbeFailed,
    Unresponsive,
}

impl fmt::Display for EjectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EjectionReason::Errors => "errors",
            EjectionReason::Resets => "resets",
            EjectionReason::ConnectFailed => "no connection",
            EjectionReason::ProbeFailed => "no answer to a probe",
            EjectionReason::Unresponsive => "silent",
        })
    }
}

impl ExecutorHealth {
    /// Forgets what held of the process before a restart. Its rejections are of the last moments and stay.
    pub(crate) fn reset_after_restart(&mut self) {
        let rejecting_until = self.rejecting_until;
        *self = ExecutorHealth { rejecting_until, ..ExecutorHealth::default() };
    }

    /// Whether its ejection still lasts.
    pub(crate) fn is_ejected(&self, now: TimestampUs) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Counts an error of this weight into the error rate.
    fn record_error(&mut self, weight: f64) {
        self.error_rate += (1.0 - self.error_rate) * weight;
    }

    /// Counts an answer. True if it ends an ejection: the error rate is halved only, as one answer does not
    /// clear an executor that fails every second time.
    fn record_success(&mut self) -> bool {
        self.error_rate *= 1.0 - SUCCESS_WEIGHT;
        let is_recovery = self.ejected_until.take().is_some();
        if is_recovery {
            self.unresponsive = false;
            self.ejections = self.ejections.saturating_sub(1);
            self.error_rate /= 2.0;
        }
        is_recovery
    }

    /// Ejects for twice as long as the last time. False if it is ejected already.
    fn eject(&mut self, now: TimestampUs) -> bool {
        if self.is_ejected(now) {
            return false;
        }
        let span = (FIRST_EJECTION_US << self.ejections.min(MAX_DOUBLINGS)).min(MAX_EJECTION_US);
        self.ejected_until = Some(now + span);
        self.ejections += 1;
        true
    }
}

impl Balancer {
    /// Whether an executor may get an attempt: it is not ejected, or its ejection is over and nothing is in
    /// flight there, so that this one is its trial.
    pub(super) fn healthy(&self, executor: &Executor) -> bool {
        let may_try = |until| self.now >= until && executor.attempts_in_flight.is_empty();
        let health = &executor.health;
        health.rejecting_until <= self.now && health.ejected_until.is_none_or(may_try)
    }

    /// Counts the outcome of an attempt for its executor. A cancel or an attempt that was not sent says
    /// nothing of it; after a time-out it is ejected only if no other message comes, see `unresponsive`.
    pub(super) fn record_executor_outcome(&mut self, index: usize, outcome: Outcome) {
        match outcome {
            Outcome::Ok => self.record_executor_success(index),
            Outcome::Error => self.record_executor_error(index, ERROR_WEIGHT, EjectionReason::Errors),
            Outcome::Reset => self.record_executor_error(index, RESET_WEIGHT, EjectionReason::Resets),
            Outcome::ConnectFailed => self.eject(index, EjectionReason::ConnectFailed),
            Outcome::Rejected => {
                self.executors[index].health.rejecting_until = self.now + REJECTION_PAUSE_US;
            }
            Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn record_executor_success(&mut self, index: usize) {
        let executor = &mut self.executors[index];
        executor.record_message(self.now);
        if executor.health.record_success() {
            let line = format!("executor {} is back", executor.endpoint.executor);
            self.actions.push(Action::Log(line));
        }
    }

    /// An error does not tell that an executor has restarted; only the endpoint list does. With each reset
    /// taken for a restart, bad links would put most of a fleet into slow start.
    fn record_executor_error(&mut self, index: usize, weight: f64, reason: EjectionReason) {
        let executor = &mut self.executors[index];
        executor.record_message(self.now);
        executor.health.record_error(weight);
        let failed_trial = executor.health.ejected_until.is_some();
        if executor.health.error_rate > EJECTION_ERROR_RATE || failed_trial {
            self.eject(index, reason);
        }
    }

    /// Ejects an executor, unless it is ejected already.
    pub(super) fn eject(&mut self, index: usize, reason: EjectionReason) {
        let executor = &mut self.executors[index];
        if executor.health.eject(self.now) {
            let line = format!("executor {} ejected: {reason}", executor.endpoint.executor);
            self.actions.push(Action::Log(line));
        }
    }

    /// A request was served: errors of its other attempts were their executors' own, not the statement's.
    pub(super) fn attribute_errors(&mut self, id: RequestId) {
        let has_failed = |attempt: &&Attempt| attempt.outcome == Some(Outcome::Error);
        for attempt in self.requests[&id].attempts.iter().filter(has_failed) {
            self.executors[attempt.executor].health.record_error(ATTRIBUTED_ERROR_WEIGHT);
        }
    }

    /// A probe is over. An answer lets requests that wait for probes go on; none ejects.
    pub(super) fn handle_probe_finished(
        &mut self,
        executor: ExecutorId,
        outcome: Outcome,
        report: Option<Report>,
    ) {
        self.record_report(executor, report);
        let Some(index) = self.executors.position(executor) else { return };
        self.executors[index].probe_sent_at = None;
        self.mark_active(index);
        match outcome {
            Outcome::Ok => self.resume_after_probes(),
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => {
                self.eject(index, EjectionReason::ProbeFailed);
            }
            Outcome::Rejected | Outcome::NotSent | Outcome::Error | Outcome::Cancelled => {}
        }
    }
}
