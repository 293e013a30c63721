//! How a dispatcher is set up.

use super::bans_file::BansFile;
use super::buffers::Pool;
use super::control_plane::ControlLink;
use super::descriptors::Descriptors;
use super::executors::Executors;
use super::feed::Feed;
use super::in_flight::{Classes, InFlight};
use super::limits::{CLIENTS, COUNTERS, KEPT_PART, LONGEST_WAIT, SWEEP};
use super::lists::Lists;
use super::operator::Operators;
use super::poll::Poll;
use super::rules::Rules;
use super::session::Sessions;
use super::shutdown::Shutdown;
use super::signals::Signals;
use super::{Node, listen};
use crate::api::Micros;
use crate::arrivals::KeySpacing;
use crate::clock::{BootTimes, Clock, WallClock};
use crate::dispatch::{Dispatch, WatchEvent};
use crate::membership::check::Catalog;
use crate::operator::figures::Figures;
use crate::settings::config::{Config, ConfigError};
use crate::settings::options::Options;
use crate::storm::{self, Storm};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Display;
use std::io;

pub(super) fn context<E: Display>(what: &str) -> impl Fn(E) -> io::Error + '_ {
    move |e| io::Error::other(format!("{what}: {e}"))
}

impl Node {
    /// Sets a dispatcher up: from here on its address takes connections.
    /// `load` reads the configuration again when SIGHUP asks for it.
    pub fn new(
        config: Config,
        options: Options,
        signals: Signals,
        load: fn() -> Result<Config, ConfigError>,
    ) -> io::Result<Node> {
        let seed = config.seed();
        let operator = config.operator().map_err(context("configuration: operator"))?;
        let transport = config.settings.transport().map_err(context("configuration"))?;
        let (settings, names) = config.settings.settings().map_err(context("configuration"))?;
        let catalog = Catalog::of(&settings, &names);
        let storm = options.storms.map(|o| {
            let honoured = o.longest_wait.map(|d| d.as_micros() as Micros).or(settings.max_retry_after);
            let (longest_wait, ramp) = (honoured.unwrap_or(LONGEST_WAIT), settings.cold.ramp);
            Storm::new(
                storm::Terms { longest_wait, repeats: o.repeats, remembered: o.remembered, ramp },
                seed,
            )
        });
        let limits = Shutdown::of(settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0));
        let classes = options.peers.as_ref().map(|_| Classes::of(&settings, &names));
        let policy_terms = match (&options.control, &options.peers) {
            (Some(control), _) => Some((control.policy, control.timing.follower_lease / 1_000)),
            (None, Some(peers)) => peers.policy.map(|p| (p, peers.lease.as_millis() as u64)),
            (None, None) => None,
        };
        let base = policy_terms.map(|_| settings.clone());
        let mut dispatch =
            Dispatch::new(settings, transport.most_held, seed).map_err(context("configuration"))?;
        let poll = Poll::new().map_err(context("poller"))?;
        let listen_at = config.listen;
        let listener = listen::bind_shared(listen_at).map_err(context(&format!("listen on {listen_at}")))?;
        let (listener_key, address) = (poll.add(&listener, false)?, listener.local_addr()?);
        let signal_key = poll.add(&signals.stream, false)?;
        let pool = Pool::new((config.limits.memory_mb / KEPT_PART * 1024.0 * 1024.0) as usize);
        let descriptors = Descriptors::of(config.limits.sockets);
        let operators = match operator {
            Some(at) => Some(
                Operators::bind(at, descriptors.callers, &poll, &pool)
                    .map_err(context(&format!("listen on {at}")))?,
            ),
            None => None,
        };
        let figures = Figures::new();
        names.classes.keys().for_each(|c| figures.class(c));
        let bans_file = BansFile::of(&std::env::temp_dir(), &config.name);
        let bans = bans_file.handed_over();
        let mut clock = Clock::default();
        let now = clock.now();
        let in_flight = match (&options.peers, classes) {
            (Some(o), Some(classes)) => {
                dispatch.report_abandoned();
                let in_flight = InFlight::start(o, classes, seed, now, &poll);
                Some(in_flight.map_err(context(&format!("peers: listen on {}", o.listen)))?)
            }
            _ => None,
        };
        let control = options.control.as_ref().map(|c| ControlLink::new(c, &config.name, seed ^ now, now));
        let me = in_flight.as_ref().map_or(0, InFlight::me);
        let rules =
            policy_terms.zip(base).map(|((terms, backoff_ms), base)| Rules::new(terms, me, backoff_ms, base));
        let mut node = Node {
            poll,
            names,
            dispatch,
            sessions: Sessions::default(),
            executors: Executors::new(transport, descriptors.executors, seed, &pool, clock.clone()),
            feed: Some(Feed::new(config.coordinator, config.known.index)),
            lists: None,
            storm,
            in_flight,
            control,
            rules,
            open: BTreeMap::new(),
            key_spacing: KeySpacing::default(),
            arrived: VecDeque::new(),
            listener: Some((listener_key, listener)),
            paused: None,
            signals: (signal_key, signals),
            load,
            descriptors,
            limits,
            // Connection ids start anywhere: a KILL meant for another life or dispatcher must not hit.
            next_id: (seed ^ (seed >> 32) ^ now) as u32,
            accept_at: None,
            // The listener is there since before this.
            woke: now,
            found_since: now,
            heard_until: now,
            backlog_since: Some(now),
            sweep_at: now + SWEEP,
            clients_at: now + CLIENTS,
            counters_at: now + COUNTERS,
            stopping: None,
            given_up: false,
            refused_clients: 0,
            evicted: 0,
            shed: 0,
            operators,
            leaving: None,
            figures,
            bans,
            bans_file,
            address,
            targets: BTreeMap::new(),
            onlined: BTreeMap::new(),
            pool,
            clock,
            wall: WallClock::default(),
            boots: BootTimes::default(),
        };
        let mut known = config.known.targets();
        if let Some(lists) = options.lists {
            let mut lists = Lists::start(lists, catalog, &known, now, &node.poll)?;
            known = lists.take(usize::MAX);
            if !lists.follows_feed() {
                node.feed = None;
            }
            node.lists = Some(lists);
        }
        tracing::info!(name = config.name, executors = known.len(), "{} listens on {address}", config.name);
        if let Some(o) = &node.operators {
            tracing::info!("operators' address {}", o.address()?);
        }
        if let Some(h) = &node.in_flight {
            tracing::info!("peers' address {}", h.peers.address()?);
        }
        node.members(now, WatchEvent::Restored, &known);
        Ok(node)
    }
}
