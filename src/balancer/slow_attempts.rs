//! Slow attempts: which are hedged or retried on another executor, and which requests are shed.

use crate::api::{Action, ClassId, EndReason, Idempotency, RequestId, TimestampUs};
use crate::balancer::RETRY_AFTER_US;
use crate::state::{Attempt, Balancer, Request};

/// An attempt counts as a runaway, for example due to a bad query plan, if its projected run time exceeds the
/// expected one by this factor.
const RUNAWAY_MULTIPLE: f64 = 4.0;
/// Lower bound of the expected run time in seconds; multiples of shorter times are not meaningful.
const MIN_EXPECTED_S: f64 = 0.05;
/// Progress from which an attempt is never retried, because the remainder is shorter than a retry.
const NEARLY_DONE_PROGRESS: f64 = 0.5;
/// Lower bound of the progress from which a run time is projected.
const MIN_PROGRESS: f64 = 0.01;
/// Pressure of a class above which its late idempotent requests are shed.
const SHEDDING_PRESSURE: f64 = 0.5;
/// Number of attempts in flight checked per tick, to bound its duration. The next tick continues from there.
const CHECKED_PER_TICK: usize = 512;

/// Result of the periodic check of an attempt in flight and its request.
struct AttemptCheck {
    class: ClassId,
    /// The request has passed its latency objective and was not counted as late before.
    became_late: bool,
    /// The request is late in an overload. Its answer scores little, and its threads can serve other
    /// requests.
    is_shed: bool,
    /// The request's new priority, if it has changed.
    new_priority: Option<u8>,
    /// The attempt is unresponsive or a runaway, and another one can still finish before the deadline.
    needs_retry: bool,
}

impl Balancer {
    /// Checks the attempts in flight: counts late requests, sheds late requests in an overload, updates
    /// priorities and retries unresponsive and runaway attempts.
    pub(super) fn check_attempts(&mut self) {
        for (id, attempt) in self.attempts_to_check() {
            // The request is looked up only once per attempt, as a tick checks hundreds of them.
            let request = self.requests.get(&id);
            let running = request.filter(|request| !request.answered && !request.streaming);
            if let Some(check) = running.map(|request| self.check_attempt(request, attempt)) {
                self.act_on_check(id, attempt, &check);
            }
        }
    }

    fn check_attempt(&self, request: &Request, attempt: u32) -> AttemptCheck {
        let is_late = self.now > request.objective_ends_at;
        let is_overloaded = self.pressure.of(request.class) > SHEDDING_PRESSURE;
        AttemptCheck {
            class: request.class,
            became_late: is_late && !request.counted_late,
            is_shed: is_late && is_overloaded && self.is_idempotent(request),
            new_priority: self.changed_priority(request),
            needs_retry: self.needs_retry(request, attempt),
        }
    }

    fn act_on_check(&mut self, id: RequestId, attempt: u32, check: &AttemptCheck) {
        if check.became_late {
            self.request_mut(id).counted_late = true;
            self.record_late(check.class);
        }
        if check.is_shed {
            return self.reject_or_fail_request(id, RETRY_AFTER_US, EndReason::Overloaded);
        }
        if let Some(priority) = check.new_priority {
            self.set_priority(id, priority);
        }
        if check.needs_retry {
            self.retry_in_place_of(id, attempt);
        }
    }

    /// The attempts to check in this tick: all attempts in flight or, if there are too many, a bounded number
    /// from where the previous tick ended.
    fn attempts_to_check(&mut self) -> Vec<(RequestId, u32)> {
        let active = self.executors.active.iter();
        let in_flight = active.flat_map(|index| self.executors[*index].attempts_in_flight.iter());
        let mut attempts: Vec<(RequestId, u32)> = in_flight.copied().collect();
        if attempts.len() > CHECKED_PER_TICK {
            let begin = self.attempts_checked % attempts.len();
            attempts.rotate_left(begin);
            attempts.truncate(CHECKED_PER_TICK);
            self.attempts_checked = begin + CHECKED_PER_TICK;
        }
        attempts
    }

    fn is_idempotent(&self, request: &Request) -> bool {
        self.settings.classes[request.class].idempotency == Idempotency::Idempotent
    }

    /// The new priority of a request, if it has changed and executors support priorities.
    fn changed_priority(&self, request: &Request) -> Option<u8> {
        let priority = self.priority(request);
        (self.settings.priorities && priority != request.priority).then_some(priority)
    }

    /// Sets the priority of a request's attempts in flight.
    fn set_priority(&mut self, id: RequestId, priority: u8) {
        let request = self.request_mut(id);
        request.priority = priority;
        let memory_mb = request.memory_grant_mb;
        self.actions.push(Action::SetTerms { request: id, memory_mb, priority });
    }

    /// Whether an attempt is unresponsive or a runaway, and another one can still finish before the deadline.
    fn needs_retry(&self, request: &Request, attempt: u32) -> bool {
        let attempt = &request.attempts[attempt as usize];
        let expected_s = self.expected_latency_s(request).max(MIN_EXPECTED_S);
        let expected_end = self.now + (expected_s * 1e6) as TimestampUs;
        if expected_end > request.deadline {
            return false;
        }
        // A retry may get the same bad query plan, so later attempts are given more time.
        let runaway_s = RUNAWAY_MULTIPLE * request.attempts.len() as f64 * expected_s;
        attempt.is_unresponsive(self.now, self.settings.progress_interval)
            || self.projected_seconds(attempt) > runaway_s
    }

    /// Projected total run time of an attempt in seconds, by its progress; its run time so far if there are
    /// no progress messages; 0 if it is nearly done.
    fn projected_seconds(&self, attempt: &Attempt) -> f64 {
        let seconds_until = |time: TimestampUs| (time - attempt.sent_at) as f64 / 1e6;
        if self.settings.progress_interval.is_none() {
            return seconds_until(self.now);
        }
        if attempt.progress < NEARLY_DONE_PROGRESS {
            seconds_until(attempt.progress_at) / attempt.progress.max(MIN_PROGRESS)
        } else {
            0.0
        }
    }

    /// Cancels an attempt and sends another one in its place, if cancellation is allowed and the request has
    /// no other attempt in flight.
    pub(super) fn retry_in_place_of(&mut self, id: RequestId, attempt: u32) {
        let request = &self.requests[&id];
        let may_cancel = self.settings.cancellation && self.is_idempotent(request);
        if !may_cancel || !request.may_replace(attempt) {
            return;
        }
        if !self.settings.hedging {
            self.replace_attempt(id, attempt);
        } else if self.send_attempt(id, false) {
            self.cancel_attempt(id, attempt);
        }
    }

    /// Sends a hedged request in addition to an attempt on an unresponsive executor, if the request has no
    /// other attempt in flight.
    pub(super) fn hedge(&mut self, id: RequestId, attempt: u32) {
        if self.requests[&id].may_replace(attempt) {
            self.send_attempt(id, false);
        }
    }
}
