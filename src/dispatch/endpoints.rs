//! The executors of the list, and news of them.

use super::{Command, Dispatch};
use crate::api::{Endpoint, EndpointListKind, Event, ExecutorId, Micros, Readiness};

/// An executor as the list has it.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedExecutor {
    /// Which executor.
    pub executor: ExecutorId,
    /// Its zone, an index.
    pub zone: usize,
    /// Its kind, an index.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// What it does.
    pub state: ExecutorState,
    /// Relative size.
    pub size: f64,
    /// Unix time of a late start.
    pub started: Option<Micros>,
    /// Share of the work beside others of its kind; `None` is the usual, 1.
    pub weight: Option<f64>,
}

/// What an executor's process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutorState {
    /// Takes requests.
    Up,
    /// Completes its work.
    Draining,
    /// Its process is gone.
    Removed,
}

/// Why a list comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchEvent {
    /// As last known before the start.
    Restored,
    /// The whole list.
    Replaced,
    /// What changed.
    Changed,
}

/// The fleet as the decisions see it, in cores.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetCapacity {
    /// Of all executors that the list has as up.
    pub listed: f64,
    /// Of those that are healthy.
    pub usable: f64,
    /// Of those, each counted by how warm it is.
    pub warm: f64,
}

impl<R> Dispatch<R> {
    /// The fleet now.
    pub fn fleet_capacity(&self, now: Micros) -> FleetCapacity {
        let [listed, usable, warm] = self.balancer.fleet(now);
        FleetCapacity { listed, usable, warm }
    }

    /// Cores that work, of all executors on the list, as far as they were heard.
    pub fn busy_cores(&self, now: Micros) -> f64 {
        self.balancer.occupancy * self.fleet_capacity(now).listed
    }

    /// Executors on the list, and of these how many are avoided now: draining, silent or ejected.
    pub fn listed_and_avoided(&self, now: Micros) -> (usize, usize) {
        self.balancer.avoided(now)
    }

    /// News of the executors.
    pub fn apply_watch_event(
        &mut self,
        now: Micros,
        news: WatchEvent,
        members: &[ListedExecutor],
    ) -> Vec<Command<R>> {
        let kind = match news {
            WatchEvent::Restored => EndpointListKind::Restored,
            WatchEvent::Replaced => EndpointListKind::Replace,
            WatchEvent::Changed => EndpointListKind::Update,
        };
        let endpoint = |m: &ListedExecutor| Endpoint {
            executor: m.executor,
            zone: m.zone,
            kind: m.kind,
            cell: m.cell,
            readiness: match m.state {
                ExecutorState::Up => Readiness::Active,
                ExecutorState::Draining => Readiness::Leaving,
                ExecutorState::Removed => Readiness::Left,
            },
            rating: m.size,
            started: m.started,
            weight: m.weight,
        };
        self.run(now, Event::EndpointList { kind, endpoints: members.iter().map(endpoint).collect() })
    }
}
