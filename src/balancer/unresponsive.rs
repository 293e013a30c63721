//! Detection of unresponsive executors and attempts by the time since their last message.

use crate::api::{DurationUs, RequestId, TimestampUs};
use crate::balancer::outlier_detection::EjectionReason;
use crate::state::{Attempt, Balancer, Executor};

/// Tolerated silence as a multiple of the time until the next expected message.
const EXPECTED_MESSAGE_MULTIPLE: f64 = 3.0;
/// Lower bound of the tolerated silence.
const MIN_SILENCE_US: DurationUs = 700_000;
/// Tolerated silence as a multiple of the executor's usual interval between messages.
const MESSAGE_INTERVAL_MULTIPLE: f64 = 8.0;
/// Upper bound of the usual interval in seconds, so that rare use of an executor does not prolong the
/// tolerance.
const MAX_MESSAGE_INTERVAL_S: f64 = 0.3;
/// Weight of a new interval in the usual interval.
const MESSAGE_INTERVAL_WEIGHT: f64 = 0.1;

impl Executor {
    /// Records a message from the executor and the interval since the previous one.
    pub(crate) fn record_message(&mut self, now: TimestampUs) {
        let interval_s = (now - self.last_message_at) as f64 / 1e6;
        self.message_interval.add(interval_s, MESSAGE_INTERVAL_WEIGHT);
        self.last_message_at = now;
    }
}

impl Attempt {
    /// Whether an attempt has missed several progress messages. This depends on the attempt alone, because
    /// the executor may respond to all others and never have received this one.
    pub(super) fn is_unresponsive(&self, now: TimestampUs, progress_interval: Option<DurationUs>) -> bool {
        let silence = now.saturating_sub(self.last_message_at);
        let allowed = |interval: DurationUs| {
            ((interval as f64 * EXPECTED_MESSAGE_MULTIPLE) as DurationUs).max(MIN_SILENCE_US)
        };
        progress_interval.is_some_and(|interval| silence > allowed(interval))
    }
}

impl Balancer {
    /// Ejects executors that have become unresponsive. Their attempts in flight are hedged if that is
    /// allowed, and otherwise cancelled and retried.
    pub(super) fn check_responsiveness(&mut self) {
        self.count_examined(self.executors.active.len());
        for index in Vec::from_iter(self.executors.active.iter().copied()) {
            if self.is_unresponsive(&self.executors[index]) {
                self.executors[index].health.unresponsive = true;
                self.eject(index, EjectionReason::Unresponsive);
                self.retry_all_in_flight(index);
            }
        }
    }

    fn retry_all_in_flight(&mut self, index: usize) {
        for (id, attempt) in Vec::from_iter(self.executors[index].attempts_in_flight.iter().copied()) {
            if self.settings.hedging {
                self.hedge(id, attempt);
            } else {
                self.retry_in_place_of(id, attempt);
            }
        }
    }

    /// Whether a listed executor has sent nothing, although a message about one of its attempts is overdue.
    fn is_unresponsive(&self, executor: &Executor) -> bool {
        let in_flight = &executor.attempts_in_flight;
        executor.present
            && !executor.health.unresponsive
            && in_flight.iter().any(|(id, attempt)| self.is_message_overdue(executor, *id, *attempt))
    }

    fn is_message_overdue(&self, executor: &Executor, id: RequestId, attempt: u32) -> bool {
        let request = &self.requests[&id];
        let silent_since = executor.last_message_at.max(request.attempts[attempt as usize].sent_at);
        let expected_run = (self.expected_latency_s(request) * 1e6) as DurationUs;
        let next_message =
            self.settings.progress_interval.map_or(expected_run, |interval| expected_run.min(interval));
        let by_attempt = (next_message as f64 * EXPECTED_MESSAGE_MULTIPLE) as DurationUs;
        let allowed = by_attempt.max(MIN_SILENCE_US).max(usual_silence(executor));
        self.now > silent_since + allowed
    }
}

/// Tolerated silence of an executor by the usual interval between its messages.
fn usual_silence(executor: &Executor) -> DurationUs {
    let interval_s = executor.message_interval.value.min(MAX_MESSAGE_INTERVAL_S);
    (interval_s * MESSAGE_INTERVAL_MULTIPLE * 1e6) as DurationUs
}
