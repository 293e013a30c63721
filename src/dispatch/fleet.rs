//! The executors of the list, and news of them.

use super::{Dispatch, Order};
use crate::api::{Endpoint, EndpointListKind, Event, ExecutorId, Micros, Readiness};

/// An executor as the list has it.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Which executor.
    pub executor: ExecutorId,
    /// Its zone, an index.
    pub zone: usize,
    /// Its kind, an index.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// What it does.
    pub standing: Standing,
    /// Relative size.
    pub size: f64,
    /// Unix time of a late start.
    pub started: Option<Micros>,
    /// Share of the work beside others of its kind; `None` is the usual, 1.
    pub weight: Option<f64>,
}

/// What an executor's process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Takes requests.
    Up,
    /// Completes its work.
    Draining,
    /// Gone.
    Gone,
}

/// Why a list comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// As last known before the start.
    Restored,
    /// The whole list.
    Whole,
    /// What changed.
    Changes,
}

/// The fleet as the decisions see it, in cores.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Fleet {
    /// Of all executors that the list has as up.
    pub listed: f64,
    /// Of those that are healthy.
    pub usable: f64,
    /// Of those, each counted by how warm it is.
    pub warm: f64,
}

impl<R> Dispatch<R> {
    /// The fleet now.
    pub fn fleet(&self, now: Micros) -> Fleet {
        let [listed, usable, warm] = self.dispatcher.fleet(now);
        Fleet { listed, usable, warm }
    }

    /// Cores that work, of all executors on the list, as far as they were heard.
    pub fn busy(&self, now: Micros) -> f64 {
        self.dispatcher.load.mean_load * self.fleet(now).listed
    }

    /// Executors on the list, and of these how many are avoided now: draining, silent or ejected.
    pub fn avoided(&self, now: Micros) -> (usize, usize) {
        self.dispatcher.avoided(now)
    }

    /// News of the executors.
    pub fn members(&mut self, now: Micros, news: News, members: &[Member]) -> Vec<Order<R>> {
        let kind = match news {
            News::Restored => EndpointListKind::Restored,
            News::Whole => EndpointListKind::Replace,
            News::Changes => EndpointListKind::Update,
        };
        let endpoint = |m: &Member| Endpoint {
            executor: m.executor,
            zone: m.zone,
            kind: m.kind,
            cell: m.cell,
            readiness: match m.standing {
                Standing::Up => Readiness::Active,
                Standing::Draining => Readiness::Leaving,
                Standing::Gone => Readiness::Left,
            },
            rating: m.size,
            started: m.started,
            weight: m.weight,
        };
        self.run(now, Event::EndpointList { kind, endpoints: members.iter().map(endpoint).collect() })
    }
}
