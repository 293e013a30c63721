//! Work in hand and the fleet's record of it, where our settings name peers: requests pass by here on their way
//! to the decisions and back.
//!
//! `requests` is their way past the record, `moves` what the record has done of itself.

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

/// The record of work in hand, and the links that it is agreed on.
pub struct InFlight {
    pub(super) takeover: Takeover,
    pub(super) peers: Peers,
    /// The names of the classes, by index.
    classes: Vec<Rc<str>>,
    /// Which classes may repeat, by index.
    repeats: Vec<bool>,
    /// Cores of each kind, by index.
    cores: Vec<f64>,
    /// Machines that are taken out for work.
    pub(super) maintenance: Maintenance,
}

/// What the settings know of the classes: names and whether they may repeat, by index.
pub struct Classes {
    /// Names.
    pub names: Vec<Rc<str>>,
    /// Whether a class may run more than once.
    pub repeats: Vec<bool>,
    /// Most attempts for a request.
    pub attempts: usize,
    /// Cores of each kind of machine, by index.
    pub cores: Vec<f64>,
    /// How long a machine warms up.
    pub ramp: Micros,
}

impl Classes {
    /// Of the platform's settings.
    pub fn of(settings: &Settings, names: &Names) -> Classes {
        let name =
            |i: usize| names.classes.iter().find(|(_, n)| **n == i).map_or("", |(name, _)| name.as_str());
        Classes {
            names: (0..settings.classes.len()).map(|i| name(i).into()).collect(),
            repeats: settings.classes.iter().map(|c| c.idempotency == Idempotency::Idempotent).collect(),
            attempts: settings.max_attempts as usize,
            cores: settings.kinds.iter().map(|k| k.cores).collect(),
            ramp: settings.slow_start.ramp,
        }
    }
}

impl InFlight {
    /// Which of the peers this is.
    pub(super) fn me(&self) -> Peer {
        self.takeover.fleet.me()
    }

    /// Listens for peers.
    pub fn start(
        o: &options::Peers,
        classes: Classes,
        seed: u64,
        now: Micros,
        poll: &Poll,
    ) -> io::Result<InFlight> {
        let micros = |d: std::time::Duration| d.as_micros() as Micros;
        let place = |n: usize| (n + 1) as Peer;
        let named: Vec<(Peer, &str, SocketAddr)> =
            o.peers.iter().enumerate().map(|(n, (name, at))| (place(n), name.as_str(), *at)).collect();
        let me = named.iter().find(|(_, name, _)| *name == o.me).map(|(p, _, _)| *p);
        let me = me.ok_or_else(|| io::Error::other(format!("peers: no peer block is named {:?}", o.me)))?;
        let others: Vec<(Peer, SocketAddr)> =
            named.iter().filter(|(p, _, _)| *p != me).map(|(p, _, at)| (*p, *at)).collect();
        let config = FleetConfig {
            me,
            peers: named.iter().map(|(p, _, _)| *p).collect(),
            lease: micros(o.lease),
            margin: micros(o.margin),
            tick: micros(o.tick),
            batch: micros(o.batch),
            give_up: micros(o.give_up),
            limits: Limits { records: o.most_records as u32, remember: micros(o.remember) },
        };
        let bounds = Bounds {
            statement: o.most_statement as usize,
            result: o.most_result as usize,
            adopted: o.most_taken_over,
            attempts: classes.attempts,
            backoff_ms: o.lease.as_millis() as u64,
            fetch: micros(o.lease) / 5,
        };
        let peers = Peers::bind(o.listen, &others, o.most_frame as usize, now, poll)?;
        let takeover = Takeover::new(Fleet::new(config, seed, now), bounds);
        let budget = Budget {
            machines: o.min_executors,
            headroom: o.headroom,
            at_once: o.at_once,
            drain_limit: micros(o.drain_limit),
            out_limit: micros(o.out_limit),
            ramp: classes.ramp,
        };
        let (maintenance, Classes { names, repeats, cores, .. }) =
            (Maintenance::new(budget, 2 * micros(o.lease), now), classes);
        Ok(InFlight { takeover, peers, classes: names, repeats, cores, maintenance })
    }

    /// Cores of a machine of a kind; those of the smallest where its kind is not known.
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
