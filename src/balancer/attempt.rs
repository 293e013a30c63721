//! Sending attempts: whether a request may be sent now, with which memory grant and priority.

use crate::api::{Action, Idempotency, RequestId, TimestampUs};
use crate::state::{Balancer, Executor, Request};

/// Highest priority of an attempt.
const HIGHEST_PRIORITY: u8 = 3;
/// Multiples of the mean cost of all requests. A request's priority rises by one for each that its cost is
/// below.
const PRIORITY_COST_MULTIPLES: [f64; 3] = [4.0, 1.5, 0.5];
/// Bound of the absolute value of the learned memory bias (a natural logarithm) when a grant is computed.
const MAX_MEMORY_BIAS: f64 = 1.5;

impl Balancer {
    /// Sends an attempt of a request if the request's state, the order of its key and the retry budget allow
    /// it and an executor can be selected. All attempts are sent here; executor selection checks which
    /// executors are permitted. With `may_probe`, the request may wait for probes instead.
    pub(super) fn send_attempt(&mut self, id: RequestId, may_probe: bool) -> bool {
        let reserved = self.release_reservation(id);
        if !self.may_send(id) {
            return false;
        }
        let reserved = reserved.and_then(|executor| self.position_of_reserved(id, executor));
        let Some(index) = reserved.or_else(|| self.draw_executor(id, may_probe)) else { return false };
        let request = &self.requests[&id];
        let memory_grant_mb = self.memory_grant_mb(request, &self.executors[index]);
        let priority = self.priority(request);
        let is_retry = !request.attempts.is_empty();
        if self.settings.memory_grants || self.settings.priorities {
            self.actions.push(Action::SetTerms { request: id, memory_mb: memory_grant_mb, priority });
        }
        if is_retry {
            self.retry_limiter.record_retry(self.now);
        }
        self.record_attempt(id, index, memory_grant_mb, priority);
        let executor = self.executors[index].endpoint.executor;
        self.actions.push(Action::Send { request: id, executor, timeout: None });
        true
    }

    /// Whether a request may be sent now, regardless of the executor.
    fn may_send(&mut self, id: RequestId) -> bool {
        let would_hedge = self.requests[&id].attempts_in_flight() > 0;
        (self.settings.hedging || !would_hedge) && self.may_send_next(id)
    }

    /// Whether a request may be sent once it has no attempt in flight, regardless of the executor.
    pub(super) fn may_send_next(&mut self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let is_over = request.answered || request.streaming || self.now >= request.deadline;
        let is_last = request.attempts.len() >= request.max_attempts as usize;
        if is_over || is_last {
            return false;
        }
        let is_retry = !request.attempts.is_empty();
        self.has_turn(id) && (!is_retry || self.retry_budget_allows())
    }

    /// Priority of a request, 0 to 3. Late requests get the lowest priority, cheap requests a higher one than
    /// expensive ones, and a request that has used half of its latency objective is raised by one.
    pub(super) fn priority(&self, request: &Request) -> u8 {
        if self.is_lost_on_shutdown(request) {
            return HIGHEST_PRIORITY;
        }
        if self.now > request.objective_ends_at {
            return 0;
        }
        let cost_multiple = self.cost_multiple(request);
        let is_below = |multiple: &&f64| cost_multiple < **multiple;
        let by_cost = PRIORITY_COST_MULTIPLES.iter().filter(is_below).count() as u8;
        let is_urgent = is_half_over(self.now, request.arrived_at, request.objective_ends_at);
        (by_cost + u8::from(is_urgent)).min(HIGHEST_PRIORITY)
    }

    /// Whether a request would be lost if this dispatcher shut down before it finishes, as it must not be
    /// retried.
    fn is_lost_on_shutdown(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        self.shutdown_deadline < TimestampUs::MAX && class.idempotency == Idempotency::NotIdempotent
    }

    /// Predicted cost as a multiple of the mean of all requests. For a request with others queued behind its
    /// key, the cost is divided by the length of the queue.
    fn cost_multiple(&self, request: &Request) -> f64 {
        let queued = request.key.map_or(1, |key| self.key_queues.len(key).max(1));
        let mean_cost = self.cost_model.mean_cost.value_or(request.predicted_cost);
        request.predicted_cost / queued as f64 / mean_cost.max(1e-9)
    }

    /// Memory grant of an attempt in MB: the corrected estimate, or else the learned need, up to a fraction
    /// of the executor's memory. 0 leaves the amount to the executor. Unused if executors do not support
    /// grants.
    fn memory_grant_mb(&self, request: &Request, executor: &Executor) -> f64 {
        let model = &self.cost_model.classes[request.class];
        let corrected =
            |estimate: f64| estimate * model.memory_bias.clamp(-MAX_MEMORY_BIAS, MAX_MEMORY_BIAS).exp();
        let need_mb = request.estimated_memory_mb.map_or(model.memory_mb.value_or(0.0), corrected);
        let executor_memory_mb = self.settings.kinds[executor.endpoint.kind].memory_mb;
        let max_grant_mb = executor_memory_mb * self.settings.max_grant_fraction;
        if max_grant_mb > 0.0 { need_mb.min(max_grant_mb) } else { need_mb }
    }

    /// Cancels an attempt.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, attempt: u32) {
        self.request_mut(id).attempts[attempt as usize].cancelled = true;
        self.actions.push(Action::Cancel { request: id, attempt });
    }
}

/// Whether more than half of the time between two timestamps has passed.
fn is_half_over(now: TimestampUs, from: TimestampUs, to: TimestampUs) -> bool {
    (now - from) * 2 > to - from
}
