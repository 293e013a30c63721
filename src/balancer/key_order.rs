//! Per-key ordering: whether a request joins its key's queue, when it may start, and when it is rejected
//! because it cannot finish in time.

use crate::api::{DurationUs, EndReason, RequestId};
use crate::balancer::RETRY_AFTER_US;
use crate::state::{Balancer, Request};

/// A queued request is rejected once less than this is left of its time budget. It is two and a half ticks,
/// because queues are only checked on ticks.
const MIN_TIME_LEFT_US: DurationUs = 250_000;
/// Number of queued requests checked per tick, to bound its duration. A longer backlog is checked over
/// several ticks; a request that is not checked in time still ends at its deadline.
const CHECKED_PER_TICK: usize = 512;

impl Balancer {
    /// Appends an arrived request to its key's queue.
    ///
    /// A request that its client may have delayed joins only if it is expected to finish in time, because it
    /// is uncertain how long its client still waits. The error is the time by which it would be too late.
    pub(super) fn join_key_queue(&mut self, id: RequestId, held_by_client: bool) -> Result<(), DurationUs> {
        let request = &self.requests[&id];
        let Some(key) = request.key else { return Ok(()) };
        let expected_run = self.expected_run(request);
        let expected_end = self.now.saturating_add(self.key_queue_wait(key)).saturating_add(expected_run);
        let overrun = expected_end.saturating_sub(request.deadline);
        if held_by_client && self.key_queues.len(key) > 0 && overrun > 0 {
            return Err(overrun);
        }
        self.request_mut(id).expected_run = expected_run;
        self.key_queues.push(key, id, expected_run);
        Ok(())
    }

    /// Expected remaining run time of all requests in a key's queue.
    fn key_queue_wait(&self, key: u64) -> DurationUs {
        let head = self.key_queues.head(key).map(|id| &self.requests[&id]);
        let first_attempt = head.and_then(|head| Some((head, head.attempts.first()?)));
        let done = first_attempt
            .map_or(0, |(head, attempt)| self.now.saturating_sub(attempt.sent_at).min(head.expected_run));
        self.key_queues.expected_work(key) - done
    }

    /// Removes a finished request from its key's queue and starts the next one.
    pub(super) fn leave_key_queue(&mut self, id: RequestId, request: &Request) {
        let Some(key) = request.key else { return };
        self.key_queues.remove(key, id, request.expected_run);
        self.advance_key_queue(key);
        self.key_queues.remove_if_idle(key, self.now);
    }

    /// Starts a quiet period for a key: an attempt that was cancelled or lost may still be running, and a new
    /// one could overtake it.
    pub(super) fn start_quiet_period(&mut self, key: u64) {
        let until = self.now + self.settings.key_quiet_period.unwrap_or(0);
        self.key_queues.extend_quiet_period(key, until);
    }

    /// Whether the order of its key allows a request to be sent: it is at the head of the queue, and its
    /// first attempt is not sent during a quiet period.
    pub(super) fn has_turn(&self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let Some(key) = request.key else { return true };
        let may_start = !request.attempts.is_empty() || !self.key_queues.is_quiet(key, self.now);
        self.key_queues.head(key) == Some(id) && may_start
    }

    /// Expected run time of a request on an executor.
    fn expected_run(&self, request: &Request) -> DurationUs {
        (self.expected_latency_s(request) * 1e6) as DurationUs
    }

    /// Whether, and for which reason, a request without attempts cannot finish in time: it takes longer than
    /// the time until this dispatcher shuts down, or it is queued with too little of its time budget left.
    pub(super) fn cannot_finish_in_time(&self, id: RequestId) -> Option<EndReason> {
        let request = &self.requests[&id];
        if !request.attempts.is_empty() {
            return None;
        }
        let expected_run = self.expected_run(request);
        if self.now.saturating_add(expected_run) > self.shutdown_deadline {
            return Some(EndReason::Stopping);
        }
        let waits = request.key.is_some() && !self.has_turn(id);
        let too_late = self.now + expected_run.max(MIN_TIME_LEFT_US) > request.deadline;
        (waits && too_late).then_some(EndReason::KeyQueueTimedOut)
    }

    /// Starts the request at the head of a key's queue if it may start. If it ends immediately, starts the
    /// next one, and so on.
    pub(super) fn advance_key_queue(&mut self, key: u64) {
        if !self.key_queues.begin_advancing() {
            return;
        }
        let mut started = None;
        while let Some(id) = self.key_queues.head(key) {
            if started.replace(id) == Some(id) || !self.requests[&id].attempts.is_empty() {
                break;
            }
            self.start_request(id);
        }
        self.key_queues.end_advancing();
    }

    /// Advances queues whose quiet period is over, and rejects queued requests that cannot finish in time.
    /// All queues are checked at once after the shutdown deadline has changed.
    pub(super) fn check_key_queues(&mut self) {
        let check_all = std::mem::take(&mut self.shutdown_deadline_changed);
        let limit = if check_all { usize::MAX } else { CHECKED_PER_TICK };
        for key in self.key_queues.keys_to_check(self.now, limit) {
            for id in self.key_queues.first_requests(key, limit) {
                self.reject_if_too_late(id);
            }
            self.advance_key_queue(key);
            self.key_queues.remove_if_idle(key, self.now);
        }
    }

    /// Rejects a queued request if it cannot finish in time. The request may already be gone, because the end
    /// of a request starts the next one in its queue.
    fn reject_if_too_late(&mut self, id: RequestId) {
        if !self.requests.contains_key(&id) {
            return;
        }
        if let Some(reason) = self.cannot_finish_in_time(id) {
            self.reject_or_fail_request(id, RETRY_AFTER_US, reason);
        }
    }
}
