//! Applies endpoint list updates, from the coordinator or from files, to the dispatch logic. Operators' bans
//! and start times on this process's clock are merged in.

use super::DispatcherServer;
use super::endpoint_lists::{self, EndpointLists};
use super::executors::Executors;
use crate::api::Micros;
use crate::clock;
use crate::codec::coordinator::{State, Target, Update};
use crate::dispatch::{ExecutorState, ListedExecutor, WatchEvent, executor_id};

impl DispatcherServer {
    /// Applies an event from the coordinator.
    pub(super) fn apply_update(&mut self, now: Micros, update: Update) {
        let Some(endpoints) = update.endpoints else { return };
        if self.endpoint_lists.is_some() {
            return self
                .with_endpoint_lists(now, |lists, _| lists.feed(now, endpoints.all, &endpoints.targets));
        }
        let event = if endpoints.all { WatchEvent::Replaced } else { WatchEvent::Changed };
        self.apply_endpoint_list(now, event, &endpoints.targets);
    }

    /// Runs `action` on the file-based endpoint lists, then applies a bounded number of pending entries.
    pub(super) fn with_endpoint_lists(
        &mut self,
        now: Micros,
        action: impl FnOnce(&mut EndpointLists, &Executors),
    ) {
        let Some(lists) = &mut self.endpoint_lists else { return };
        let started = std::time::Instant::now();
        action(lists, &self.executors);
        let next = lists.take(endpoint_lists::MAX_TARGETS_PER_TURN);
        if !next.is_empty() {
            self.apply_endpoint_list(now, WatchEvent::Changed, &next);
        }
        let took = started.elapsed().as_micros() as Micros;
        if let Some(lists) = &mut self.endpoint_lists {
            lists.counters.longest_turn = lists.counters.longest_turn.max(took);
        }
    }

    /// Applies a watch event, converting wall clock start times to this process's clock.
    pub(super) fn apply_endpoint_list(&mut self, now: Micros, event: WatchEvent, targets: &[Target]) {
        self.wall_clock.observe(now, clock::unix());
        let start_times = &mut self.start_times;
        let with_monotonic_start = |target: &Target| {
            let started = start_times.started_at(&target.uid, target.boot_ms, now, &self.wall_clock);
            // Rounded to the nearest millisecond, the unit on the wire.
            Target { boot_ms: started.map_or(0, |at| (at + 500) / 1_000), ..target.clone() }
        };
        let targets: Vec<Target> = targets.iter().map(with_monotonic_start).collect();
        self.update_endpoints(now, event, &targets);
    }

    /// Applies entries whose start times are already on this process's clock.
    pub(super) fn update_endpoints(&mut self, now: Micros, event: WatchEvent, targets: &[Target]) {
        let applies = |target: &&Target| event != WatchEvent::Restored || target.state != State::Removed;
        let listed: Vec<ListedExecutor> =
            targets.iter().filter(applies).filter_map(|target| self.listed_executor(target)).collect();
        self.store_endpoints(event, targets);
        self.executors.apply_endpoints(targets, event != WatchEvent::Changed, now, &self.poll);
        let commands = self.dispatch.apply_watch_event(now, event, &listed);
        self.execute(commands);
    }

    /// Converts an entry for the dispatch logic. Logs an error and returns `None` if the entry is unusable.
    fn listed_executor(&self, target: &Target) -> Option<ListedExecutor> {
        // A removal may contain only the uid; the other fields are taken from the last known entry.
        let known = self.endpoints.get(&target.uid).filter(|_| target.state == State::Removed);
        let completed = known.map(|known| Target { state: target.state, ..known.clone() });
        let target = completed.as_ref().unwrap_or(target);
        let zone = self.names.zones.get(&target.az);
        let kind = self.names.kinds.get(&target.model);
        let is_removed = target.state == State::Removed;
        if !is_removed && (zone.is_none() || kind.is_none() || target.endpoint.is_none()) {
            tracing::error!(executor = target.uid, "executor ignored: unknown zone or kind, or no address");
            return None;
        }
        Some(ListedExecutor {
            executor: executor_id(&target.uid),
            zone: zone.copied().unwrap_or(0),
            kind: kind.copied().unwrap_or(0),
            cell: target.pod_group,
            state: self.executor_state(target),
            size: target.capacity_hint.unwrap_or(1.0),
            started: self.started_at(target),
            weight: target.weight,
        })
    }

    /// The effective state of an executor: one that is banned or out for maintenance is draining, whatever
    /// the list says.
    fn executor_state(&self, target: &Target) -> ExecutorState {
        match target.state {
            State::Up if self.bans.banned(&target.uid) || self.is_withheld_by_maintenance(&target.uid) => {
                ExecutorState::Draining
            }
            State::Up => ExecutorState::Up,
            State::Draining => ExecutorState::Draining,
            State::Removed => ExecutorState::Removed,
        }
    }

    /// The effective start time of an executor, in microseconds. An executor that an operator or the
    /// maintenance plan put back into service goes through slow start from then on, whatever the list says.
    fn started_at(&self, target: &Target) -> Option<Micros> {
        let listed_ms = target.boot_ms;
        let onlined_ms = self.onlined_at_ms.get(&target.uid).copied().unwrap_or(0);
        let started_ms = listed_ms.max(onlined_ms).max(self.returned_from_maintenance_ms(&target.uid));
        Some(started_ms).filter(|ms| *ms > 0).map(|ms| ms * 1000)
    }

    /// Stores the latest entry of each listed executor, and drops the state of executors that are gone.
    fn store_endpoints(&mut self, event: WatchEvent, targets: &[Target]) {
        if event != WatchEvent::Changed {
            self.endpoints.clear();
        }
        for target in targets {
            match target.state {
                State::Removed => {
                    self.onlined_at_ms.remove(&target.uid);
                    self.endpoints.remove(&target.uid)
                }
                _ => self.endpoints.insert(target.uid.clone(), target.clone()),
            };
        }
        self.onlined_at_ms.retain(|uid, _| self.endpoints.contains_key(uid));
        if self.start_times.len() > self.endpoints.len() {
            self.start_times.retain(|uid| self.endpoints.contains_key(uid));
        }
    }
}
