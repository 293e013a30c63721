//! Attempts that take too long: which are sent to another executor as well, or instead, and which requests
//! are given up.

use crate::api::{Action, ClassId, EndReason, Idempotency, RequestId, TimestampUs};
use crate::balancer::RETRY_AFTER_US;
use crate::state::{Attempt, Balancer, Request};

/// An attempt runs away, as with a bad query plan, once it looks this many times longer than expected.
const RUNAWAY_MULTIPLE: f64 = 4.0;
/// Expected seconds of an attempt below which a multiple tells nothing.
const MIN_EXPECTED_S: f64 = 0.05;
/// Progress from which an attempt is left alone: the rest is shorter than a retry.
const NEARLY_DONE_PROGRESS: f64 = 0.5;
/// The least progress that the length of an attempt is worked out from.
const MIN_PROGRESS: f64 = 0.01;
/// Idempotent requests that are late are given up above this pressure of their class.
const GIVE_UP_PRESSURE: f64 = 0.5;
/// Attempts in flight that a tick looks at, so that no tick takes long; the next one goes on from there.
const CHECKED_PER_TICK: usize = 512;

/// What a tick finds of a request with an attempt in flight.
struct AttemptCheck {
    class: ClassId,
    /// It is past its latency objective, and was not counted as late yet.
    became_late: bool,
    /// It is late in an overload: its answer earns little, and its threads can serve others.
    is_given_up: bool,
    /// The priority that it is to have, where that has changed.
    new_priority: Option<u8>,
    /// The attempt is unresponsive or runs away, and another one can still finish before the deadline.
    needs_retry: bool,
}

impl Balancer {
    /// Looks at the attempts in flight: counts late requests, gives up those that an overload made late, sets
    /// priorities anew and retries attempts that are unresponsive or run away.
    pub(super) fn check_attempts(&mut self) {
        for (id, attempt) in self.attempts_to_check() {
            // Looked up once for each attempt: a tick has hundreds of them.
            let request = self.requests.get(&id);
            let running = request.filter(|request| !request.answered && !request.streaming);
            if let Some(check) = running.map(|request| self.check_attempt(request, attempt)) {
                self.act_on_check(id, attempt, &check);
            }
        }
    }

    fn check_attempt(&self, request: &Request, attempt: u32) -> AttemptCheck {
        let is_late = self.now > request.objective_ends_at;
        let is_overloaded = self.pressure.of(request.class) > GIVE_UP_PRESSURE;
        AttemptCheck {
            class: request.class,
            became_late: is_late && !request.counted_late,
            is_given_up: is_late && is_overloaded && self.is_idempotent(request),
            new_priority: self.changed_priority(request),
            needs_retry: self.needs_retry(request, attempt),
        }
    }

    fn act_on_check(&mut self, id: RequestId, attempt: u32, check: &AttemptCheck) {
        if check.became_late {
            self.request_mut(id).counted_late = true;
            self.record_late(check.class);
        }
        if check.is_given_up {
            return self.reject_or_fail_request(id, RETRY_AFTER_US, EndReason::Overloaded);
        }
        if let Some(priority) = check.new_priority {
            self.set_priority(id, priority);
        }
        if check.needs_retry {
            self.retry_in_place_of(id, attempt);
        }
    }

    /// Attempts that a tick looks at: all that are in flight, or a bounded number, from where the tick before
    /// ended.
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

    /// The priority that a request is to have, where priorities are heeded and it has changed.
    fn changed_priority(&self, request: &Request) -> Option<u8> {
        let priority = self.priority(request);
        (self.settings.priorities && priority != request.priority).then_some(priority)
    }

    /// Sets the priority of what is in flight.
    fn set_priority(&mut self, id: RequestId, priority: u8) {
        let request = self.request_mut(id);
        request.priority = priority;
        let memory_mb = request.memory_grant_mb;
        self.actions.push(Action::SetTerms { request: id, memory_mb, priority });
    }

    /// Whether an attempt is unresponsive or runs away, and another one can still finish before the deadline.
    fn needs_retry(&self, request: &Request, attempt: u32) -> bool {
        let attempt = &request.attempts[attempt as usize];
        let expected_s = self.expected_latency_s(request).max(MIN_EXPECTED_S);
        let expected_end = self.now + (expected_s * 1e6) as TimestampUs;
        if expected_end > request.deadline {
            return false;
        }
        // Each retry may have met the same bad plan: later ones get more time.
        let runaway_s = RUNAWAY_MULTIPLE * request.attempts.len() as f64 * expected_s;
        attempt.is_unresponsive(self.now, self.settings.progress_interval)
            || self.projected_seconds(attempt) > runaway_s
    }

    /// Seconds that a whole attempt will take, by its progress; without progress messages, what it has taken
    /// so far. 0 if it is nearly done.
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

    /// Sends a request anew and cancels its attempt, where attempts may be cancelled and nothing else of the
    /// request is in flight.
    pub(super) fn retry_in_place_of(&mut self, id: RequestId, attempt: u32) {
        let request = &self.requests[&id];
        let may_cancel = self.settings.cancellation && self.is_idempotent(request);
        if !may_cancel || !request.may_replace(attempt) {
            return;
        }
        // Without hedging the next attempt is sent when the cancel is confirmed.
        let is_sent = self.send_attempt(id, false);
        if is_sent || !self.settings.hedging {
            self.cancel_attempt(id, attempt);
        }
    }

    /// Sends a hedged request beside an attempt whose executor is unresponsive, if nothing else of the
    /// request is in flight.
    pub(super) fn hedge(&mut self, id: RequestId, attempt: u32) {
        if self.requests[&id].may_replace(attempt) {
            self.send_attempt(id, false);
        }
    }
}
