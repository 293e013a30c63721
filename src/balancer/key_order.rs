//! Order of a key: whether a request joins its key's queue, when it has its turn, and when it is given up
//! because it cannot finish in time.

use crate::api::{DurationUs, EndReason, RequestId};
use crate::balancer::RETRY_AFTER_US;
use crate::state::{Balancer, Request};

/// A request that waits for its turn is given up once less than this is left of its time, as only ticks look
/// at it: two ticks and a half.
const MIN_TIME_LEFT_US: DurationUs = 250_000;
/// Requests in queues that a tick looks at. A longer backlog is looked at over several ticks, so that no tick
/// takes long; whoever a tick doesn't come to still has its deadline.
const CHECKED_PER_TICK: usize = 512;

impl Balancer {
    /// Puts a request that has arrived at the end of its key's queue.
    ///
    /// One whose client may have held it back joins only if it is expected to finish in its time, as how long
    /// its client still waits is not known well. The error is how much longer it would take.
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

    /// How long the requests in a key's queue are expected to take from now on.
    fn key_queue_wait(&self, key: u64) -> DurationUs {
        let head = self.key_queues.head(key).map(|id| &self.requests[&id]);
        let first_attempt = head.and_then(|head| Some((head, head.attempts.first()?)));
        let done = first_attempt
            .map_or(0, |(head, attempt)| self.now.saturating_sub(attempt.sent_at).min(head.expected_run));
        self.key_queues.expected_work(key) - done
    }

    /// Takes a request that is over out of its key's queue; the next one has its turn.
    pub(super) fn leave_key_queue(&mut self, id: RequestId, request: &Request) {
        let Some(key) = request.key else { return };
        self.key_queues.remove(key, id, request.expected_run);
        self.advance_key_queue(key);
        self.key_queues.remove_if_idle(key, self.now);
    }

    /// Keeps a key quiet: an attempt of it that was stopped or lost may still run, and a new one could
    /// overtake it.
    pub(super) fn start_quiet_period(&mut self, key: u64) {
        let until = self.now + self.settings.key_quiet_period.unwrap_or(0);
        self.key_queues.extend_quiet_period(key, until);
    }

    /// Whether the order of its key lets a request be sent: it is first, and its first attempt waits until
    /// the key is no longer quiet.
    pub(super) fn has_turn(&self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let Some(key) = request.key else { return true };
        let may_start = !request.attempts.is_empty() || !self.key_queues.is_quiet(key, self.now);
        self.key_queues.head(key) == Some(id) && may_start
    }

    /// What a request is expected to take on an executor.
    fn expected_run(&self, request: &Request) -> DurationUs {
        (self.expected_latency_s(request) * 1e6) as DurationUs
    }

    /// Whether a request that was not sent yet cannot finish in time, and why: it needs longer than this
    /// dispatcher has until its shutdown, or waits for its turn with too little of its own time left.
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

    /// Starts the first request in a key's queue, if it may start. If it ends at once, the next one is
    /// started, and so on.
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

    /// Advances queues whose quiet period is over, and gives up requests that wait in vain. All are looked
    /// at once when the time of the shutdown has changed.
    pub(super) fn check_key_queues(&mut self) {
        let check_all = std::mem::take(&mut self.shutdown_deadline_changed);
        let limit = if check_all { usize::MAX } else { CHECKED_PER_TICK };
        for key in self.key_queues.keys_to_check(self.now, limit) {
            for id in self.key_queues.first_requests(key, limit) {
                self.give_up_if_too_late(id);
            }
            self.advance_key_queue(key);
            self.key_queues.remove_if_idle(key, self.now);
        }
    }

    /// Gives a waiting request up if it cannot finish in time. It may be gone: one that ends starts the next.
    fn give_up_if_too_late(&mut self, id: RequestId) {
        if !self.requests.contains_key(&id) {
            return;
        }
        if let Some(reason) = self.cannot_finish_in_time(id) {
            self.reject_or_fail_request(id, RETRY_AFTER_US, reason);
        }
    }
}
