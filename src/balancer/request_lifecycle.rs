//! The life cycle of a request: arrival, waiting for probes, final answer and removal.

use crate::api::{Action, Arrival, ClassId, DurationUs, EndReason, Idempotency, KeyScope, RequestId};
use crate::balancer::selection::PROBE_WAIT_US;
use crate::balancer::{PROBE_WAIT_TIMER, RETRY_AFTER_US, TICK_US};
use crate::state::{Balancer, Request};

impl Balancer {
    /// Handles the arrival of a request: admits, queues and starts it, or rejects it.
    pub(super) fn handle_arrival(&mut self, arrival: Arrival) {
        self.retry_limiter.record_arrival(self.now);
        self.probe_budget.add_request(self.settings.probe_price);
        let predicted_cost = self.cost_model.predict(&arrival, &self.settings);
        self.count_arrival(&arrival, predicted_cost);
        let admission = self.admit(&arrival, predicted_cost);
        self.open_request(&arrival, predicted_cost);
        let id = arrival.request;
        if let Err(retry_after) = admission {
            return self.reject_or_fail_request(id, retry_after, EndReason::OverLimit);
        }
        match self.join_key_queue(id, arrival.held_by_client) {
            Ok(()) => self.start_request(id),
            Err(overrun) => self.reject_or_fail_request(id, overrun, EndReason::KeyQueueTooLong),
        }
    }

    /// Records an arrival in the statistics of its class and tenant.
    fn count_arrival(&mut self, arrival: &Arrival, predicted_cost: f64) {
        self.cost_model.record_arrival(arrival, predicted_cost);
        self.pressure.record_arrival(arrival.class);
        self.admission.record_arrival(arrival.tenant);
    }

    /// Adds a request to the open requests.
    fn open_request(&mut self, arrival: &Arrival, predicted_cost: f64) {
        let preferred_executors = self.preferred_executors(arrival.class, arrival.table_group);
        let latency_objective = self.latency_objective(arrival.class, predicted_cost);
        let class = &self.settings.classes[arrival.class];
        let max_attempts = self.settings.max_attempts;
        let request = Request::new(
            arrival,
            self.now,
            predicted_cost,
            latency_objective,
            preferred_executors,
            class,
            max_attempts,
        );
        self.requests.insert(arrival.request, request);
    }

    /// Time from arrival within which an answer scores the full weight; longer for more expensive requests.
    fn latency_objective(&self, class: ClassId, predicted_cost: f64) -> DurationUs {
        let class = &self.settings.classes[class];
        let stretch = class.latency_objective_stretch * predicted_cost / f64::from(class.threads);
        class.latency_objective + (stretch * 1e6) as DurationUs
    }

    /// Sends a request's first attempt if the order of its key allows it. The request may wait for probes
    /// first.
    pub(super) fn start_request(&mut self, id: RequestId) {
        if let Some(reason) = self.cannot_finish_in_time(id) {
            return self.reject_or_fail_request(id, RETRY_AFTER_US, reason);
        }
        let waited_before = self.requests[&id].probe_wait_until.is_some();
        let may_probe = self.may_wait_for_probes(id);
        if !self.has_turn(id) || self.send_attempt(id, may_probe) {
            return;
        }
        let probe_wait_until = self.requests[&id].probe_wait_until.unwrap_or(0);
        if !may_probe || self.now >= probe_wait_until {
            self.reject_or_fail_request(id, RETRY_AFTER_US, EndReason::NoExecutor);
        } else if !waited_before {
            self.awaiting_probes.push(id);
            self.actions.push(Action::SetTimer { token: PROBE_WAIT_TIMER, after: PROBE_WAIT_US });
        }
    }

    /// Whether a request may wait for probes: its wait has not ended, or it has not waited yet and has time
    /// for twice the wait.
    fn may_wait_for_probes(&self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        match request.probe_wait_until {
            Some(until) => self.now < until,
            None => self.now + 2 * PROBE_WAIT_US < request.deadline,
        }
    }

    /// Starts the requests that wait for probes, after a response to a probe or at the end of the wait.
    pub(super) fn resume_after_probes(&mut self) {
        let is_waiting = |request: &Request| !request.answered && request.attempts.is_empty();
        let mut waiting = std::mem::take(&mut self.awaiting_probes);
        waiting.retain(|id| {
            if self.requests.get(id).is_some_and(is_waiting) {
                self.start_request(*id);
            }
            self.requests.get(id).is_some_and(is_waiting)
        });
        // Requests that began to wait in the loop above come first.
        self.awaiting_probes.append(&mut waiting);
    }

    /// Ends a request without a response from an executor; the only function that does so. The request is
    /// rejected if the client may safely retry it, and fails otherwise.
    pub(super) fn reject_or_fail_request(
        &mut self,
        id: RequestId,
        retry_after: DurationUs,
        reason: EndReason,
    ) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.answered) else { return };
        let action = if self.is_safe_to_retry(request) {
            let retry_after = self.bounded_retry_after(retry_after);
            Action::Reject { request: id, retry_after, reason }
        } else {
            Action::Fail { request: id, reason }
        };
        self.actions.push(action);
        self.finish_request(id);
    }

    /// Whether a client may safely retry a request whatever the state of its attempts: it is idempotent on
    /// all executors, or none of its attempts ran.
    fn is_safe_to_retry(&self, request: &Request) -> bool {
        let is_idempotent_everywhere = matches!(
            self.settings.classes[request.class].idempotency,
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. }
        );
        is_idempotent_everywhere || request.never_ran()
    }

    /// Limits a Retry-After to the range from one tick to the maximum; `None` if Retry-After is not
    /// supported.
    fn bounded_retry_after(&self, retry_after: DurationUs) -> Option<DurationUs> {
        let max_retry_after = self.settings.max_retry_after?;
        Some(retry_after.clamp(TICK_US, max_retry_after.max(TICK_US)))
    }

    /// Marks a request as answered (or its client as disconnected) and cancels its attempts if that is
    /// allowed.
    pub(super) fn finish_request(&mut self, id: RequestId) {
        self.release_reservation(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let may_cancel = self.settings.cancellation
            && !request.streaming
            && self.settings.classes[request.class].idempotency != Idempotency::NotIdempotent;
        let was_answered = std::mem::replace(&mut request.answered, true);
        if may_cancel && !was_answered {
            for attempt in request.live_attempts() {
                self.cancel_attempt(id, attempt);
            }
        }
        self.remove_finished_request(id);
    }

    /// Removes a request once it is answered and has no attempts in flight.
    pub(super) fn remove_finished_request(&mut self, id: RequestId) {
        let is_over = |request: &Request| request.answered && request.attempts_in_flight() == 0;
        if !self.requests.get(&id).is_some_and(is_over) {
            return;
        }
        if let Some(request) = self.requests.remove(&id) {
            self.leave_key_queue(id, &request);
        }
    }

    /// Marks a request as streaming: the client receives its response, so it is neither cancelled nor
    /// retried.
    pub(super) fn start_streaming(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.streaming = true;
        }
    }
}
