//! The listed executors, and watch events on them.

use super::{Command, Dispatch};
use crate::api::{Endpoint, EndpointListKind, Event, ExecutorId, Micros, Readiness};

/// An executor as the endpoint list has it.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedExecutor {
    /// Its id.
    pub executor: ExecutorId,
    /// Its zone, an index.
    pub zone: usize,
    /// Its kind, an index.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// Whether it takes requests.
    pub state: ExecutorState,
    /// Its size relative to others of its kind.
    pub size: f64,
    /// The point at which its process started, in microseconds of this process's clock, if it started late.
    pub started: Option<Micros>,
    /// Its share of the work beside others of its kind; `None` is the usual, 1.
    pub weight: Option<f64>,
}

impl ListedExecutor {
    /// The same as the decisions take it.
    fn endpoint(&self) -> Endpoint {
        Endpoint {
            executor: self.executor,
            zone: self.zone,
            kind: self.kind,
            cell: self.cell,
            readiness: match self.state {
                ExecutorState::Up => Readiness::Active,
                ExecutorState::Draining => Readiness::Draining,
                ExecutorState::Removed => Readiness::Removed,
            },
            rating: self.size,
            started: self.started,
            weight: self.weight,
        }
    }
}

/// Whether an executor takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutorState {
    /// It takes requests.
    Up,
    /// It takes no new requests and completes its work.
    Draining,
    /// Its process is gone.
    Removed,
}

/// What an endpoint list is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchEvent {
    /// The list as it was last known before the start.
    Restored,
    /// The whole list: who is not on it is gone.
    Replaced,
    /// The executors that changed.
    Changed,
}

/// The executors' capacity as the decisions see it, in cores.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetCapacity {
    /// Of all executors that are listed as up.
    pub listed: f64,
    /// Of those that are healthy.
    pub usable: f64,
    /// Of those that are healthy, each reduced while it is warming up.
    pub warm: f64,
}

impl<R> Dispatch<R> {
    /// The executors' capacity now.
    pub fn fleet_capacity(&self, now: Micros) -> FleetCapacity {
        let cores = self.balancer.fleet_cores(now);
        FleetCapacity { listed: cores.listed, usable: cores.healthy, warm: cores.warm }
    }

    /// Busy cores of all listed executors, by their load reports.
    pub fn busy_cores(&self, now: Micros) -> f64 {
        self.balancer.load.mean_load * self.fleet_capacity(now).listed
    }

    /// The number of listed executors, and of those that are avoided now: draining, unresponsive or ejected.
    pub fn listed_and_avoided(&self, now: Micros) -> (usize, usize) {
        self.balancer.listed_and_avoided(now)
    }

    /// Applies a watch event.
    pub fn apply_watch_event(
        &mut self,
        now: Micros,
        event: WatchEvent,
        executors: &[ListedExecutor],
    ) -> Vec<Command<R>> {
        let kind = match event {
            WatchEvent::Restored => EndpointListKind::Restored,
            WatchEvent::Replaced => EndpointListKind::Replace,
            WatchEvent::Changed => EndpointListKind::Update,
        };
        let endpoints = executors.iter().map(ListedExecutor::endpoint).collect();
        self.run(now, Event::EndpointList { kind, endpoints })
    }
}
