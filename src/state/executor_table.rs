//! The table of executors, with lookup by id or position, and removal of departed executors.

use super::Balancer;
use super::executor::Executor;
use super::request::Attempt;
use crate::api::{Endpoint, ExecutorId, Outcome, Report, RequestId, TimestampUs};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

/// A table of up to this many executors is swept on every event that adds an executor.
const SWEEP_ALWAYS_UP_TO: usize = 128;
/// A larger table is swept when at least one in this many of its executors is not listed.
const SWEEP_ONE_UNLISTED_IN: usize = 8;

/// All known executors. Positions in the table change with a sweep; ids never change.
#[derive(Debug, Default)]
pub(crate) struct ExecutorTable {
    executors: Vec<Executor>,
    positions: BTreeMap<ExecutorId, usize>,
    /// Positions of executors that sent or were sent anything. The others have no state beyond the list entry.
    pub(crate) active: BTreeSet<usize>,
    /// Time of the last check whether a sweep is due.
    last_sweep: Option<TimestampUs>,
}

impl Index<usize> for ExecutorTable {
    type Output = Executor;

    fn index(&self, position: usize) -> &Executor {
        &self.executors[position]
    }
}

impl IndexMut<usize> for ExecutorTable {
    fn index_mut(&mut self, position: usize) -> &mut Executor {
        &mut self.executors[position]
    }
}

impl ExecutorTable {
    /// Number of executors in the table, listed or not.
    pub(crate) fn len(&self) -> usize {
        self.executors.len()
    }

    /// All executors in order of position.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Executor> + Clone {
        self.executors.iter()
    }

    /// Position of an executor.
    pub(crate) fn position(&self, executor: ExecutorId) -> Option<usize> {
        self.positions.get(&executor).copied()
    }

    /// Applies a change to each active executor.
    pub(crate) fn for_each_active(&mut self, mut change: impl FnMut(&mut Executor)) {
        for position in &self.active {
            change(&mut self.executors[*position]);
        }
    }

    /// Marks executors as present or absent according to a complete list.
    pub(crate) fn mark_absent_except(&mut self, endpoints: &[Endpoint]) {
        let named: BTreeSet<ExecutorId> = endpoints.iter().map(|endpoint| endpoint.executor).collect();
        for executor in &mut self.executors {
            executor.present = named.contains(&executor.endpoint.executor);
        }
    }

    /// Adds an executor and returns its position.
    fn push(&mut self, executor: Executor) -> usize {
        let position = self.executors.len();
        self.positions.insert(executor.endpoint.executor, position);
        self.executors.push(executor);
        position
    }

    /// Whether a sweep is due at `now`: at most one per event and, as a sweep walks the whole table, for a large table
    /// only if enough executors are not listed.
    fn is_sweep_due(&mut self, listed: usize, now: TimestampUs) -> bool {
        if self.last_sweep.replace(now) == Some(now) {
            return false;
        }
        let unlisted = self.len() - listed.min(self.len());
        self.len() <= SWEEP_ALWAYS_UP_TO || unlisted * SWEEP_ONE_UNLISTED_IN >= self.len()
    }

    /// Removes departed executors that are not in use. Returns the new position for each old one, with `None` for
    /// removed executors, or `None` altogether if nothing was removed.
    fn remove_departed(&mut self, in_use: &BTreeSet<usize>) -> Option<Vec<Option<usize>>> {
        let is_kept = |(position, executor): (usize, &Executor)| {
            !executor.has_departed() || !executor.attempts_in_flight.is_empty() || in_use.contains(&position)
        };
        let kept: Vec<bool> = self.executors.iter().enumerate().map(is_kept).collect();
        if kept.iter().all(|is_kept| *is_kept) {
            return None;
        }
        let mut next_position = 0..;
        let moved: Vec<Option<usize>> =
            kept.iter().map(|is_kept| if *is_kept { next_position.next() } else { None }).collect();
        let mut keep = kept.iter();
        self.executors.retain(|_| keep.next().is_some_and(|is_kept| *is_kept));
        let ids = self.executors.iter().map(|executor| executor.endpoint.executor);
        self.positions = ids.enumerate().map(|(position, id)| (id, position)).collect();
        self.active = self.active.iter().filter_map(|position| moved[*position]).collect();
        Some(moved)
    }
}

impl Balancer {
    /// Adds an executor to the table or updates its entry, and returns its position. `restarted` is its start time, if
    /// the list reports a new start.
    pub(crate) fn update_executor(&mut self, endpoint: Endpoint, restarted: Option<TimestampUs>) -> usize {
        let Some(position) = self.executors.position(endpoint.executor) else {
            if self.executors.is_sweep_due(self.executor_index.listed_count(), self.now) {
                self.sweep_executors();
            }
            let cores = self.settings.kinds[endpoint.kind].cores;
            return self.executors.push(Executor::new(endpoint, cores, self.now, restarted));
        };
        let executor = &mut self.executors[position];
        if restarted.is_some() {
            executor.restart(self.now, restarted);
        }
        executor.endpoint = endpoint;
        executor.present = true;
        position
    }

    /// Removes departed executors once no open request refers to them. Otherwise the table, and everything that counts
    /// its entries, would grow without bound as executors are replaced.
    fn sweep_executors(&mut self) {
        let attempts = self.requests.values().flat_map(|request| &request.attempts);
        let in_use = attempts.map(|attempt| attempt.executor).collect();
        let Some(moved) = self.executors.remove_departed(&in_use) else { return };
        for attempt in self.requests.values_mut().flat_map(|request| &mut request.attempts) {
            attempt.executor = moved[attempt.executor].expect("an executor in use is kept");
        }
        self.rebuild_index();
    }

    /// Stores the load report of an executor.
    pub(crate) fn record_report(&mut self, executor: ExecutorId, report: Option<Report>) {
        let Some((position, report)) = self.executors.position(executor).zip(report) else { return };
        let load = report.util.or(report.inflight).or(report.memory).or(report.disks);
        self.load.reports_state_load = Some(load.is_some());
        self.executors[position].record_report(report.sanitized(), self.now);
        self.mark_active(position);
    }

    /// Marks an executor as active, because something was sent to it or received from it.
    pub(crate) fn mark_active(&mut self, position: usize) {
        self.executors.active.insert(position);
    }

    /// Records a new attempt in its request and its executor.
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

    /// Records the outcome of an attempt in its request and its executor, and returns the executor's index. Returns
    /// `None` if the attempt is unknown or already has an outcome.
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
