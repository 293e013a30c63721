//! State changes of a request: start, removal, and release of the next one of its key.

use crate::queue::Queue;
use crate::{Id, Micros, sane};
use rand_core::RngCore;

impl Queue {
    pub(crate) fn start(&mut self, now: Micros, id: Id) {
        let Some(e) = self.jobs.get_mut(&id) else { return };
        let (tenant, seq, span) = (e.tenant, e.seq, e.job.span_s());
        let flow = self.flows.get(tenant);
        let charge = sane(span * flow.bias);
        (flow.waiting, flow.running) = (flow.waiting.saturating_sub(1), flow.running + 1);
        flow.ready.remove(&seq);
        e.runs = Some((now, charge));
        self.order.remove(&seq);
        self.running += 1;
        self.flows.charge(tenant, charge, true);
        self.settle();
    }

    /// Removes a request and releases the next one of its key.
    pub(crate) fn forget(&mut self, id: Id) {
        let Some(e) = self.jobs.remove(&id) else { return };
        let flow = self.flows.get(e.tenant);
        if e.runs.is_some() {
            flow.running = flow.running.saturating_sub(1);
            self.running = self.running.saturating_sub(1);
        } else {
            flow.waiting = flow.waiting.saturating_sub(1);
            flow.ready.remove(&e.seq);
            self.order.remove(&e.seq);
        }
        let Some(key) = e.job.key else { return };
        let Some(line) = self.keys.get_mut(&key) else { return };
        line.retain(|i| *i != id);
        match line.front().and_then(|i| self.jobs.get(i)) {
            Some(first) if first.runs.is_none() => {
                self.flows.get(first.tenant).ready.insert(first.seq);
            }
            Some(_) => {}
            None => {
                self.keys.remove(&key);
            }
        }
    }

    /// Retry delay in milliseconds for a request that would be late by `late`, with jitter against synchronized retries.
    pub(crate) fn later(&mut self, late: Micros) -> u64 {
        let ms = (late / 1_000).max(1);
        let spread = self.rng.next_u64() % (ms / 4 + 1);
        (ms + spread).min(self.terms.max_retry_after_ms.max(1))
    }
}
