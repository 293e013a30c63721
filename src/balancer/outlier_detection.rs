//! Outlier detection: executors with a high error rate are ejected for a limited time, then readmitted
//! through one trial attempt at a time.

use crate::api::{Action, DurationUs, ExecutorId, Outcome, Report, RequestId, TimestampUs};
use crate::balancer::TICK_US;
use crate::state::{Attempt, Balancer, Executor};
use std::fmt;

/// Error rate above which an executor is ejected: two resets, or six errors, as an error may be the
/// statement's fault.
const EJECTION_ERROR_RATE: f64 = 0.25;
/// Weight of a success in an executor's error rate.
const SUCCESS_WEIGHT: f64 = 0.15;
/// Weight of an error, which may be the fault of the statement instead of the executor.
const ERROR_WEIGHT: f64 = 0.05;
/// Weight of a connection reset.
const RESET_WEIGHT: f64 = 0.15;
/// Additional weight of an error on a request that another executor then served. The second such error
/// ejects.
const ATTRIBUTED_ERROR_WEIGHT: f64 = 0.24;
/// Duration of the first ejection; it doubles with each further one.
const FIRST_EJECTION_US: DurationUs = 1_000_000;
/// Maximum duration of an ejection.
const MAX_EJECTION_US: DurationUs = 8_000_000;
/// Number of ejections after which the duration no longer doubles.
const MAX_DOUBLINGS: u32 = 5;
/// Time for which an executor gets no attempts after it rejected one.
const REJECTION_PAUSE_US: DurationUs = 3 * TICK_US;

/// The state of outlier detection for one executor.
#[derive(Debug, Clone, Default)]
pub(crate) struct ExecutorHealth {
    /// Running mean of the fraction of failed outcomes, 0 to 1.
    pub(crate) error_rate: f64,
    /// End of the ejection. Stays set until a success; once it has passed, one attempt at a time is sent as a
    /// trial.
    pub(crate) ejected_until: Option<TimestampUs>,
    /// End of the pause after the executor rejected an attempt.
    pub(crate) rejecting_until: TimestampUs,
    /// Number of ejections, less one for each recovery.
    ejections: u32,
    /// Whether it was ejected as unresponsive and has not recovered yet.
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
    /// Resets the state after a restart of the executor's process, except for the pause after a rejection,
    /// which is recent.
    pub(crate) fn reset_after_restart(&mut self) {
        let rejecting_until = self.rejecting_until;
        *self = ExecutorHealth { rejecting_until, ..ExecutorHealth::default() };
    }

    /// Whether the ejection is still in effect.
    pub(crate) fn is_ejected(&self, now: TimestampUs) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Adds an error of the given weight to the error rate.
    fn record_error(&mut self, weight: f64) {
        self.error_rate += (1.0 - self.error_rate) * weight;
    }

    /// Adds a success to the error rate and returns whether it ends an ejection. In that case the error rate
    /// is only halved, because one success does not prove the health of an executor that fails every other
    /// time.
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

    /// Ejects the executor for twice as long as the last time. Returns false if it is already ejected.
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
    /// Whether an executor may get an attempt: it is not ejected, or its ejection has passed and it has no
    /// other attempt in flight, so that this one is its trial.
    pub(super) fn healthy(&self, executor: &Executor) -> bool {
        let may_try = |until| self.now >= until && executor.attempts_in_flight.is_empty();
        let health = &executor.health;
        health.rejecting_until <= self.now && health.ejected_until.is_none_or(may_try)
    }

    /// Records the outcome of an attempt for its executor. Cancelled and unsent attempts give no information
    /// about it. A timeout ejects it only if it sends no other messages either, see `unresponsive`.
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
            let line = format!("executor {} recovered", executor.endpoint.executor);
            self.actions.push(Action::Log(line));
        }
    }

    /// An error is never taken for a restart of the executor; only the endpoint list reports restarts. If
    /// resets counted as restarts, bad network links would put most of a fleet into slow start.
    fn record_executor_error(&mut self, index: usize, weight: f64, reason: EjectionReason) {
        let executor = &mut self.executors[index];
        executor.record_message(self.now);
        executor.health.record_error(weight);
        let failed_trial = executor.health.ejected_until.is_some();
        if executor.health.error_rate > EJECTION_ERROR_RATE || failed_trial {
            self.eject(index, reason);
        }
    }

    /// Ejects an executor, unless it is already ejected.
    pub(super) fn eject(&mut self, index: usize, reason: EjectionReason) {
        let executor = &mut self.executors[index];
        if executor.health.eject(self.now) {
            let line = format!("executor {} ejected: {reason}", executor.endpoint.executor);
            self.actions.push(Action::Log(line));
        }
    }

    /// After a request was served, attributes errors of its other attempts to their executors, as they were
    /// not the statement's fault.
    pub(super) fn attribute_errors(&mut self, id: RequestId) {
        let has_failed = |attempt: &&Attempt| attempt.outcome == Some(Outcome::Error);
        for attempt in self.requests[&id].attempts.iter().filter(has_failed) {
            self.executors[attempt.executor].health.record_error(ATTRIBUTED_ERROR_WEIGHT);
        }
    }

    /// Ejects an executor to which a connection failed that no attempt or probe waited for any more.
    pub(super) fn handle_connect_failed(&mut self, executor: ExecutorId) {
        if let Some(index) = self.executors.position(executor) {
            self.eject(index, EjectionReason::ConnectFailed);
        }
    }

    /// Handles the end of a probe. A response resumes requests that wait for probes; a missing one ejects the
    /// executor.
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
