//! The endpoint list: which executors there are, and which of them begin a slow start.

use crate::api::{Action, Endpoint, EndpointListKind, Readiness, TimestampUs};
use crate::state::Balancer;

impl Balancer {
    /// Applies an endpoint list or a change of it. If the list can't be had the old one holds, and it is
    /// watched again.
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

    /// Enters an executor or what has changed of it; its index in the table.
    fn apply_endpoint(&mut self, endpoint: Endpoint, is_first_list: bool) -> usize {
        let warming_since = self.new_slow_start(&endpoint, is_first_list);
        let index = self.update_executor(endpoint, warming_since);
        self.executors[index].pool = self.pool_of(&self.executors[index]);
        index
    }

    /// When the slow start began that this entry tells of, if it tells of a new one: the executor's start, if
    /// its ramp is not over. One that appears or comes back without a time of start begins now; in the first
    /// list it is as usual.
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
