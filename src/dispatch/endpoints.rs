//! Listed executors and their watch events.

use super::{Command, Dispatch};
use crate::api::{Endpoint, EndpointListKind, Event, ExecutorId, Micros, Readiness};

/// An executor in the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedExecutor {
    /// Its id.
    pub executor: ExecutorId,
    /// Index of its zone.
    pub zone: usize,
    /// Index of its kind.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// Whether it accepts requests.
    pub state: ExecutorState,
    /// Its size relative to others of its kind.
    pub size: f64,
    /// Start time of its process, in microseconds of this process's clock, if it started recently.
    pub started: Option<Micros>,
    /// Traffic weight relative to other executors of its kind; `None` means 1.
    pub weight: Option<f64>,
}

impl ListedExecutor {
    /// The entry as the balancer takes it.
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

/// Whether an executor accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutorState {
    /// It accepts requests.
    Up,
    /// It completes its current work and accepts no new requests.
    Draining,
    /// It is no longer part of the fleet.
    Removed,
}

/// How an endpoint list relates to the known list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchEvent {
    /// The list as last known before the start.
    Restored,
    /// The complete list: executors that are not in it are removed.
    Replaced,
    /// Only the executors that changed.
    Changed,
}

/// The executors' capacity as seen by the balancer, in cores.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetCapacity {
    /// Capacity of all executors that are listed as up.
    pub listed: f64,
    /// Capacity of the healthy ones.
    pub usable: f64,
    /// Current capacity of the healthy ones, reduced for those in slow start.
    pub warm: f64,
}

impl<R> Dispatch<R> {
    /// The current capacity of the executors.
    pub fn fleet_capacity(&self, now: Micros) -> FleetCapacity {
        let cores = self.balancer.fleet_cores(now);
        FleetCapacity { listed: cores.listed, usable: cores.healthy, warm: cores.warm }
    }

    /// Estimated number of busy cores of all listed executors, based on load reports.
    pub fn busy_cores(&self, now: Micros) -> f64 {
        self.balancer.load.mean_load * self.fleet_capacity(now).listed
    }

    /// The number of listed executors, and of those that are currently avoided: draining, unresponsive or ejected.
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
