//! The table of executors, and what is written down in it of attempts and reports.

use super::*;
use std::collections::BTreeSet;

/// A table of up to so many executors is last_sweep with every event that brings a new one, a larger one once this part of it
/// is not listed.
const SWEEP_ALWAYS_UP_TO: usize = 128;
const SWEEP_UNLISTED_FRACTION: usize = 8;

impl Balancer {
    /// Marks all executors absent that a whole list does not name.
    pub(crate) fn mark_absent_except(&mut self, endpoints: &[Endpoint]) {
        let named: BTreeSet<ExecutorId> = endpoints.iter().map(|n| n.executor).collect();
        self.executors.iter_mut().for_each(|e| e.present = named.contains(&e.endpoint.executor));
    }

    /// Takes executors out of the table that are gone and that no open request was sent to: on a long day they would
    /// outnumber the rest, and whatever counts executors would count them.
    fn remove_departed(&mut self) {
        // The sweep walks the whole table: a large one is left until there is enough to sweep.
        let unlisted = self.executors.len() - self.executor_index.listed().min(self.executors.len());
        if self.executors.len() > SWEEP_ALWAYS_UP_TO
            && unlisted * SWEEP_UNLISTED_FRACTION < self.executors.len()
        {
            return;
        }
        let sent: BTreeSet<usize> =
            self.requests.values().flat_map(|q| q.attempts.iter().map(|a| a.executor)).collect();
        let gone = |i: usize, e: &Executor| {
            (!e.present || e.endpoint.readiness == Readiness::Left)
                && e.attempts_in_flight.is_empty()
                && !sent.contains(&i)
        };
        let kept: Vec<bool> = self.executors.iter().enumerate().map(|(i, e)| !gone(i, e)).collect();
        if kept.iter().all(|k| *k) {
            return;
        }
        let places: Vec<usize> = kept
            .iter()
            .scan(0, |next, k| {
                *next += usize::from(*k);
                Some(*next)
            })
            .collect();
        let mut keep = kept.iter();
        self.executors.retain(|_| keep.next().is_some_and(|k| *k));
        for a in self.requests.values_mut().flat_map(|q| &mut q.attempts) {
            a.executor = places[a.executor] - 1;
        }
        self.index = self.executors.iter().enumerate().map(|(i, e)| (e.endpoint.executor, i)).collect();
        let active = std::mem::take(&mut self.executor_index.active);
        self.executor_index.active = active.into_iter().filter(|i| kept[*i]).map(|i| places[i] - 1).collect();
        self.rebuild_index();
    }

    /// Enters an executor in the table, or what changed of it; `restarted` is when it started, if it did.
    pub(crate) fn enter(&mut self, endpoint: Endpoint, restarted: Option<Micros>) -> usize {
        let Some(&i) = self.index.get(&endpoint.executor) else {
            // A list is one event: what is gone is looked for once in it, not for each of its executors.
            if std::mem::replace(&mut self.last_sweep, self.now) != self.now {
                self.remove_departed();
            }
            self.index.insert(endpoint.executor, self.executors.len());
            let cores = self.settings.kinds[endpoint.kind].cores;
            self.executors.push(Executor::new(endpoint, cores, self.now, restarted));
            return self.executors.len() - 1;
        };
        let e = &mut self.executors[i];
        if restarted.is_some() {
            e.restarted(self.now, restarted);
        }
        (e.endpoint, e.present) = (endpoint, true);
        i
    }

    pub(crate) fn reported(&mut self, executor: ExecutorId, report: Option<Report>) {
        if let Some((&i, r)) = self.index.get(&executor).zip(report) {
            self.load.reports_tell_load = Some(r.util.or(r.inflight).or(r.memory).or(r.disks).is_some());
            self.executors[i].reported(r.sane(), self.now);
            self.mark_active(i);
        }
    }

    /// Records an attempt that is sent now, with its request and its executor.
    pub(crate) fn record_attempt(&mut self, id: RequestId, index: usize, memory_grant_mb: f64, priority: u8) {
        let now = self.now;
        let request = self.request_mut(id);
        (request.memory_grant_mb, request.priority) = (memory_grant_mb, priority);
        let number = request.attempts.len() as u32;
        let class = request.class;
        request.attempts.push(Attempt::sent(index, now, memory_grant_mb));
        self.mark_active(index);
        let threads = f64::from(self.settings.classes[class].threads);
        self.executors[index].start_attempt((id, number), threads, memory_grant_mb);
    }

    /// Records the outcome of an attempt with its request and its executor, and returns the executor's index;
    /// `None` if the attempt is unknown or has an outcome already.
    pub(crate) fn record_attempt_outcome(
        &mut self,
        id: RequestId,
        number: u32,
        outcome: Outcome,
    ) -> Option<usize> {
        let request = self.requests.get_mut(&id)?;
        let threads = f64::from(self.settings.classes[request.class].threads);
        let attempt = request.attempts.get_mut(number as usize)?;
        if attempt.outcome.is_some() {
            return None;
        }
        attempt.outcome = Some(outcome);
        let (index, memory_grant_mb) = (attempt.executor, attempt.memory_grant_mb);
        self.cost_model.classes[request.class].finished_attempts += 1;
        self.executors[index].finish_attempt((id, number), threads, memory_grant_mb);
        Some(index)
    }
}
