//! Replacing an attempt where hedging is not allowed: its successor is sent once the cancellation is
//! confirmed, so what the successor needs is reserved before. Otherwise, the request could lose a running
//! attempt and get none in its place.

use crate::api::{ExecutorId, RequestId};
use crate::state::Balancer;

impl Balancer {
    /// Cancels an attempt if its successor can be sent once the cancellation is confirmed. If not, the
    /// attempt goes on.
    pub(super) fn replace_attempt(&mut self, id: RequestId, attempt: u32) {
        if !self.may_send_next(id) {
            return;
        }
        let Some(index) = self.draw_executor(id, false) else { return };
        let executor = self.executors[index].endpoint.executor;
        self.request_mut(id).reserved_executor = Some(executor);
        self.retry_limiter.reserve_retry();
        self.cancel_attempt(id, attempt);
    }

    /// Ends a request's reservation, if it has one, and returns the reserved executor.
    pub(super) fn release_reservation(&mut self, id: RequestId) -> Option<ExecutorId> {
        let reserved = self.requests.get_mut(&id)?.reserved_executor.take()?;
        self.retry_limiter.release_retry();
        Some(reserved)
    }

    /// The position of a reserved executor, if an attempt of the request may still be sent to it.
    pub(super) fn position_of_reserved(&self, id: RequestId, executor: ExecutorId) -> Option<usize> {
        let index = self.executors.position(executor)?;
        let is_usable = self.healthy(&self.executors[index]) && self.is_permitted(&self.requests[&id], index);
        is_usable.then_some(index)
    }
}
