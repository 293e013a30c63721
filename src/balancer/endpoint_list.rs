//! The endpoint list: which executors exist, and which of them enter slow start.

use crate::api::{Action, Endpoint, EndpointListKind, Readiness, TimestampUs};
use crate::state::Balancer;

impl Balancer {
    /// Applies an endpoint list or an update of it. If the list is unavailable, the known one stays in effect
    /// and is watched again.
    pub(super) fn apply_endpoint_list(&mut self, kind: EndpointListKind, endpoints: Vec<Endpoint>) {
        if kind == EndpointListKind::Unavailable {
            return self.actions.push(Action::Watch);
        }
        let is_first_list = !std::mem::replace(&mut self.endpoint_list_loaded, true);
        let is_complete = kind != EndpointListKind::Update;
        if is_complete {
            self.executors.mark_absent_except(&endpoints);
        }
        for endpoint in endpoints {
            let index = self.apply_endpoint(endpoint, is_first_list);
            if !is_complete {
                self.update_index(index);
            }
        }
        if is_complete {
            self.rebuild_index();
        }
    }

    /// Adds or updates an executor and returns its index in the table.
    fn apply_endpoint(&mut self, endpoint: Endpoint, is_first_list: bool) -> usize {
        let warming_since = self.new_slow_start(&endpoint, is_first_list);
        let index = self.update_executor(endpoint, warming_since);
        self.executors[index].pool = self.pool_of(&self.executors[index]);
        index
    }

    /// The beginning of a new slow start that follows from this entry, if any: the executor's start time, if
    /// its ramp is not over. An executor that appears or returns without a recent start time begins its slow
    /// start now, except in the first list.
    fn new_slow_start(&self, endpoint: &Endpoint, is_first_list: bool) -> Option<TimestampUs> {
        let known = self.executors.position(endpoint.executor).map(|index| &self.executors[index]);
        let is_new = match known {
            Some(executor) => !executor.present || executor.endpoint.readiness == Readiness::Removed,
            None => !is_first_list,
        };
        let has_new_start = known.is_none_or(|executor| executor.endpoint.started != endpoint.started);
        if !is_new && !has_new_start {
            return None;
        }
        let ramp = self.settings.slow_start.ramp;
        let recent_start = endpoint.started.filter(|started| self.now.saturating_sub(*started) < ramp);
        recent_start.or(is_new.then_some(self.now))
    }
}
