//! The table of executors: found by id or by position, swept of those that are gone.

use super::Balancer;
use super::executor::Executor;
use super::request::Attempt;
use crate::api::{Endpoint, ExecutorId, Outcome, Report, RequestId, TimestampUs};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

/// A table of up to so many executors is swept with every event that brings a new one.
const SWEEP_ALWAYS_UP_TO: usize = 128;
/// A larger table is swept once one in so many of its executors is not listed.
const SWEEP_ONE_UNLISTED_IN: usize = 8;

/// All executors that are known. Positions in the table change with a sweep, ids never do.
#[derive(Debug, Default)]
pub(crate) struct ExecutorTable {
    executors: Vec<Executor>,
    positions: BTreeMap<ExecutorId, usize>,
    /// Positions of executors that anything was sent to or reported by; the others are as the list has them.
    pub(crate) active: BTreeSet<usize>,
    /// When departed executors were last looked for.
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
    /// How many executors are in the table, listed or not.
    pub(crate) fn len(&self) -> usize {
        self.executors.len()
    }

    /// All executors, by position.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Executor> + Clone {
        self.executors.iter()
    }

    /// Position of an executor.
    pub(crate) fn position(&self, executor: ExecutorId) -> Option<usize> {
        self.positions.get(&executor).copied()
    }

    /// Changes each active executor.
    pub(crate) fn for_each_active(&mut self, mut change: impl FnMut(&mut Executor)) {
        for position in &self.active {
            change(&mut self.executors[*position]);
        }
    }

    /// Marks all executors absent that a complete list does not name.
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

    /// Whether a sweep is due at `now`: one for each event, and for a large table only if enough is to be
    /// removed, as a sweep walks the whole table.
    fn is_sweep_due(&mut self, listed: usize, now: TimestampUs) -> bool {
        if self.last_sweep.replace(now) == Some(now) {
            return false;
        }
        let unlisted = self.len() - listed.min(self.len());
        self.len() <= SWEEP_ALWAYS_UP_TO || unlisted * SWEEP_ONE_UNLISTED_IN >= self.len()
    }

    /// Removes the executors that are gone and not in use. Returns the new position of each former one,
    /// `None` for those removed; nothing if all stay.
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
    /// Adds an executor to the table or updates its entry, and returns its position. `restarted` is when it
    /// started, if the list tells of a start.
    pub(crate) fn update_executor(&mut self, endpoint: Endpoint, restarted: Option<TimestampUs>) -> usize {
        let Some(position) = self.executors.position(endpoint.executor) else {
            if self.executors.is_sweep_due(self.executor_index.listed(), self.now) {
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

    /// Guards against a table that grows all day as executors are replaced, and with it whatever counts them:
    /// those that are gone are removed once no open request refers to them.
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
        self.executors[position].record_report(report.sane(), self.now);
        self.mark_active(position);
    }

    /// Something was sent to an executor or came from it.
    pub(crate) fn mark_active(&mut self, position: usize) {
        self.executors.active.insert(position);
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
