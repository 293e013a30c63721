//! A request's way: arrival, the wait for probes, its end.

use super::selection::PROBE_WAIT;
use super::*;

impl Balancer {
    pub(super) fn arrival(&mut self, a: Arrival) {
        self.taken.push_back(self.now);
        self.probe_budget.add_request(self.s.probe_price);
        let cost = self.predict(&a);
        self.overall.add(cost, LEARN);
        let m = &mut self.models[a.class];
        m.arrived += 1.0;
        a.estimate_s.into_iter().for_each(|e| m.estimate.add(e, LEARN));
        a.tenant.into_iter().for_each(|t| self.tenants[t] += 1.0); // a running count, see tick
        let admitted = self.admit(&a, cost);
        let (preferred_executors, c) = (self.preferred_executors(a.class, a.group), &self.s.classes[a.class]);
        let latency_objective =
            c.latency_objective + (c.latency_objective_stretch * cost / f64::from(c.threads) * 1e6) as Micros;
        let q =
            Request::new(&a, self.now, cost, latency_objective, preferred_executors, c, self.s.max_attempts);
        self.requests.insert(a.request, q);
        if let Err(wait) = admitted {
            return self.end(a.request, wait, EndReason::OverLimit);
        }
        match self.join_line(a.request, a.held_back) {
            Ok(()) => self.start(a.request),
            Err(wait) => self.end(a.request, wait, EndReason::LineTooLong),
        }
    }

    /// First attempt, once it is the request's turn; it waits for probes at most `PROBE_WAIT`.
    pub(super) fn start(&mut self, id: RequestId) {
        if let Some(reason) = self.hopeless(id) {
            return self.end(id, SECOND, reason);
        }
        let (probe_wait_until, deadline) = (self.requests[&id].probe_wait_until, self.requests[&id].deadline);
        let ask = probe_wait_until.map_or(self.now + 2 * PROBE_WAIT < deadline, |t| self.now < t);
        if !self.has_turn(id) || self.send(id, ask) {
            return;
        }
        if !ask || self.now >= self.requests[&id].probe_wait_until.unwrap_or(0) {
            self.end(id, SECOND, EndReason::NoExecutor);
        } else if probe_wait_until.is_none() {
            self.awaiting_probes.push(id);
            self.actions.push(Action::SetTimer { token: 1, after: PROBE_WAIT });
        }
    }

    /// Requests that wait for probes go on once there are candidates or the wait is over.
    pub(super) fn go_on(&mut self) {
        let waits = |q: &Request| !q.done && q.attempts.is_empty();
        let mut awaiting_probes = std::mem::take(&mut self.awaiting_probes);
        awaiting_probes.retain(|id| {
            if self.requests.get(id).is_some_and(waits) {
                self.start(*id);
            }
            self.requests.get(id).is_some_and(waits)
        });
        self.awaiting_probes.append(&mut awaiting_probes);
    }

    /// The one place that ends a request: refused where that is harmless, else failed.
    pub(super) fn end(&mut self, id: RequestId, wait: Micros, reason: EndReason) {
        let Some(q) = self.requests.get(&id).filter(|q| !q.done) else { return };
        let idempotency = self.s.classes[q.class].idempotency;
        let free = matches!(
            idempotency,
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. }
        );
        let retry_after = self.s.max_retry_after.map(|most| wait.clamp(TICK, most.max(TICK)));
        let refuse = Action::Reject { request: id, retry_after, reason };
        let fail = Action::Fail { request: id, reason };
        self.actions.push(if free || q.never_ran() { refuse } else { fail });
        self.close(id);
    }

    /// The request has its answer: call off what is out, let the next of its key go.
    pub(super) fn close(&mut self, id: RequestId) {
        let Some(q) = self.requests.get_mut(&id) else { return };
        let stoppable = self.s.cancel
            && !q.streaming
            && self.s.classes[q.class].idempotency != Idempotency::NotIdempotent;
        let stop = !std::mem::replace(&mut q.done, true) && stoppable;
        q.live().into_iter().filter(|_| stop).for_each(|n| self.cancel(id, n));
        self.forget(id);
    }

    /// Drops a request once it is over and none of its attempts is out.
    pub(super) fn forget(&mut self, id: RequestId) {
        let over = self.requests.get(&id).is_some_and(|q| q.done && q.out() == 0);
        if let Some(q) = over.then(|| self.requests.remove(&id)).flatten() {
            self.leave_line(id, &q);
        }
    }
}
