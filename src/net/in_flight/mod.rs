//! In-flight requests and the fleet's replicated record of them, if the settings name peers. Requests are
//! recorded here on their way to the dispatch logic, and their results on the way back.
//!
//! - `requests`: recording of requests, attempts and results.
//! - `moves`: actions that the record itself initiates.

mod moves;
mod requests;

use super::maintenance::Maintenance;
use super::peers::Peers;
use crate::api::{Idempotency, Micros, Settings};
use crate::net::event_loop::event_source::EventSource;
use crate::net::event_loop::poll::{Key, Poll};
use crate::settings::{Names, options};
use crate::takeover::{Bounds, Takeover};
use fleet::ledger::Limits;
use fleet::plan::Budget;
use fleet::{Fleet, FleetConfig, Peer};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// The replicated record of in-flight requests, and the connections to the peers that agree on it.
pub struct InFlight {
    pub(super) takeover: Takeover,
    pub(super) peers: Peers,
    /// Class names, by index.
    classes: Vec<Rc<str>>,
    /// Tenant names, by index.
    tenants: Vec<Rc<str>>,
    /// Whether a class may run more than once, by index.
    repeats: Vec<bool>,
    /// Cores of each kind of machine, by index.
    cores: Vec<f64>,
    /// Machines taken out for maintenance.
    pub(super) maintenance: Maintenance,
}

/// Request classes, tenants and machine kinds, as the settings define them.
pub struct Classes {
    /// Class names, by index.
    pub names: Vec<Rc<str>>,
    /// Tenant names, by index.
    pub tenants: Vec<Rc<str>>,
    /// Whether a class may run more than once, by index.
    pub repeats: Vec<bool>,
    /// Maximum number of attempts per request.
    pub attempts: usize,
    /// Cores of each kind of machine, by index.
    pub cores: Vec<f64>,
    /// Duration of slow start.
    pub ramp: Micros,
}

impl Classes {
    /// Extracts them from the platform's settings.
    pub fn of(settings: &Settings, names: &Names) -> Classes {
        let name =
            |i: usize| names.classes.iter().find(|(_, n)| **n == i).map_or("", |(name, _)| name.as_str());
        let tenant =
            |i: usize| names.tenants.iter().find(|(_, n)| **n == i).map_or("", |(name, _)| name.as_str());
        Classes {
            tenants: (0..settings.tenants.len()).map(|i| tenant(i).into()).collect(),
            names: (0..settings.classes.len()).map(|i| name(i).into()).collect(),
            repeats: settings.classes.iter().map(|c| c.idempotency == Idempotency::Idempotent).collect(),
            attempts: settings.max_attempts as usize,
            cores: settings.kinds.iter().map(|k| k.cores).collect(),
            ramp: settings.slow_start.ramp,
        }
    }
}

impl InFlight {
    /// This dispatcher's peer number.
    pub(super) fn me(&self) -> Peer {
        self.takeover.fleet.me()
    }

    /// Starts listening for peers.
    pub fn start(
        settings: &options::Peers,
        classes: Classes,
        seed: u64,
        now: Micros,
        poll: &Poll,
    ) -> io::Result<InFlight> {
        let micros = |d: std::time::Duration| d.as_micros() as Micros;
        let peer_number = |n: usize| (n + 1) as Peer;
        let named: Vec<(Peer, &str, SocketAddr)> = settings
            .peers
            .iter()
            .enumerate()
            .map(|(n, (name, at))| (peer_number(n), name.as_str(), *at))
            .collect();
        let me = named.iter().find(|(_, name, _)| *name == settings.me).map(|(p, _, _)| *p);
        let me =
            me.ok_or_else(|| io::Error::other(format!("peers: no peer block is named {:?}", settings.me)))?;
        let others: Vec<(Peer, SocketAddr)> =
            named.iter().filter(|(p, _, _)| *p != me).map(|(p, _, at)| (*p, *at)).collect();
        let config = FleetConfig {
            me,
            peers: named.iter().map(|(p, _, _)| *p).collect(),
            lease: micros(settings.lease),
            margin: micros(settings.margin),
            tick: micros(settings.tick),
            batch_delay: micros(settings.batch),
            abandon_after: micros(settings.give_up),
            limits: Limits { records: settings.max_records as u32, retention: micros(settings.remember) },
        };
        let bounds = Bounds {
            statement: settings.max_statement as usize,
            result: settings.max_result as usize,
            adopted: settings.max_taken_over,
            attempts: classes.attempts,
            backoff_ms: settings.lease.as_millis() as u64,
            fetch: micros(settings.lease) / 5,
        };
        let peers = Peers::bind(settings.listen, &others, settings.max_frame as usize, now, poll)?;
        let takeover = Takeover::new(Fleet::new(config, seed, now), bounds);
        let budget = Budget {
            min_executors: settings.min_executors,
            headroom: settings.headroom,
            at_once: settings.at_once,
            drain_limit: micros(settings.drain_limit),
            out_limit: micros(settings.out_limit),
            ramp: classes.ramp,
        };
        let (maintenance, Classes { names, tenants, repeats, cores, .. }) =
            (Maintenance::new(budget, 2 * micros(settings.lease), now), classes);
        Ok(InFlight { takeover, peers, classes: names, tenants, repeats, cores, maintenance })
    }

    /// Cores of a machine of this kind; if the kind is unknown, those of the smallest kind.
    pub(super) fn cores_of(&self, kind: Option<usize>) -> f64 {
        let known = kind.and_then(|k| self.cores.get(k)).copied();
        known.unwrap_or_else(|| self.cores.iter().copied().fold(f64::MAX, f64::min).min(1e6))
    }
}

impl EventSource for InFlight {
    fn owns(&self, key: Key) -> bool {
        self.peers.owns(key)
    }

    fn next_due(&self) -> Option<Micros> {
        let own = self.takeover.next_due();
        [self.peers.next_due(), self.maintenance.next_due(), Some(own)].into_iter().flatten().min()
    }

    fn tick(&mut self, now: Micros, poll: &Poll) {
        self.peers.hello = fleet::wire::encode_frame(&self.takeover.fleet.hello());
        self.peers.tick(now, poll);
    }
}
