//! Progress and outcomes of attempts, and the decision whether a failed attempt is retried.

use crate::api::{AttemptFinished, AttemptProgress, EndReason, Outcome, RequestId};
use crate::balancer::RETRY_AFTER_US;
use crate::state::Balancer;

/// Weight of one spill in a class's memory bias.
const SPILL_WEIGHT: f64 = 0.3;
/// Bounds of reported progress. The lower bound keeps the projected run time finite.
const PROGRESS_RANGE: (f64, f64) = (0.001, 1.0);

impl Balancer {
    /// Handles a progress message of an attempt in flight.
    pub(super) fn handle_progress(&mut self, id: RequestId, attempt: u32, progress: AttemptProgress) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(attempt as usize) else { return };
        attempt.last_message_at = now;
        self.executors[attempt.executor].record_message(now);
        match progress {
            AttemptProgress::Progress(done) if done.is_finite() => {
                let (min, max) = PROGRESS_RANGE;
                let seconds = attempt.record_progress(now, done.clamp(min, max));
                let index = attempt.executor;
                let threads = f64::from(self.settings.classes[request.class].threads);
                let expected_s = request.predicted_cost.max(1e-6) / threads;
                self.record_latency_ratio(index, seconds / expected_s);
            }
            AttemptProgress::Spill(missing_mb) if !attempt.spilled && missing_mb.is_finite() => {
                attempt.spilled = true;
                if let Some(estimate_mb) = request.estimated_memory_mb {
                    let needed_mb = attempt.memory_grant_mb + missing_mb;
                    let needed_bias = (needed_mb.max(1.0) / estimate_mb.max(1.0)).ln();
                    let model = &mut self.cost_model.classes[request.class];
                    model.memory_bias += SPILL_WEIGHT * (needed_bias - model.memory_bias).max(0.0);
                }
            }
            AttemptProgress::Progress(_) | AttemptProgress::Spill(_) | AttemptProgress::Waits => {}
        }
    }

    /// Handles the end of an attempt: records the outcome for its executor, then finishes, retries or ends
    /// the request.
    pub(super) fn handle_attempt_finished(&mut self, finished: AttemptFinished) {
        let (id, outcome) = (finished.request, finished.outcome);
        self.record_report(finished.executor, finished.report);
        let Some(index) = self.record_attempt_outcome(id, finished.attempt, outcome) else { return };
        self.keep_key_quiet_after(id, outcome);
        self.record_executor_outcome(index, outcome);
        if outcome == Outcome::Ok {
            self.learn_from_success(&finished);
        }
        if finished.request_done {
            return self.finish_request(id);
        }
        self.retry_if_none_in_flight(id);
        self.remove_finished_request(id);
    }

    /// Starts a quiet period for the request's key if the attempt may still be running.
    fn keep_key_quiet_after(&mut self, id: RequestId, outcome: Outcome) {
        let may_still_run = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        if let Some(key) = self.requests[&id].key.filter(|_| may_still_run) {
            self.start_quiet_period(key);
        }
    }

    fn learn_from_success(&mut self, finished: &AttemptFinished) {
        let id = finished.request;
        self.learn_cost(id, finished.attempt as usize, finished.latency, finished.reported_cost);
        self.attribute_errors(id);
        let request = &self.requests[&id];
        if self.now > request.objective_ends_at && !request.counted_late && !request.answered {
            self.record_late(request.class);
        }
    }

    /// If a request has no answer and no attempt in flight, retries it or, if no retry is allowed, ends it.
    fn retry_if_none_in_flight(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        let needs_attempt = !request.answered && !request.streaming && request.attempts_in_flight() == 0;
        if needs_attempt && !self.send_attempt(id, false) {
            self.reject_or_fail_request(id, RETRY_AFTER_US, EndReason::NoFurtherAttempt);
        }
    }
}
