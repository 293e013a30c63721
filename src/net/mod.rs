//! The dispatcher on real sockets: one loop, clients on one side, executors and the coordinator on the other.

mod buffers;
mod calls;
mod clients;
mod connection;
mod dial;
mod ending;
mod executors;
mod feed;
mod hands;
mod listen;
mod lists;
mod operator;
mod orders;
mod peers;
mod policy;
mod policy_calls;
mod poll;
mod room;
mod rules;
mod session;
pub mod signals;
mod timers;
mod upkeep;

use crate::api::Micros;
use crate::codec::coordinator::Target;
use crate::dispatch::{Dispatch, News};
use crate::membership::check::Catalog;
use crate::operator::bans::Bans;
use crate::operator::figures::Figures;
use crate::settings::Names;
use crate::settings::config::{Config, ConfigError};
use crate::settings::options::Options;
use crate::storm::{self, Storm};
use buffers::Pool;
use executors::{Executors, Job, Rows};
use feed::Feed;
use hands::{Classes, Hands};
use lists::Lists;
use operator::Operators;
use poll::{Key, Poll};
use room::Room;
use session::Sessions;
use signals::Signals;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;
use timers::Clock;

/// Housekeeping: idle connections, counters.
const SWEEP: Micros = 1_000_000;
const COUNTERS: Micros = 10_000_000;
/// A turn of the loop that takes longer than this, or oversleeps so much, is logged.
const SLOW_TURN: Micros = 20_000;
/// Accepting pauses this long when descriptors have run out.
const ACCEPT_PAUSE: Micros = 100_000;
/// Clients honour waits up to this where nothing is said.
const LONGEST_WAIT: Micros = 1_000_000;
/// What a client too many is told to wait.
const CLIENT_BACKOFF: Micros = 200_000;
/// Connections accepted in one turn at most.
const ACCEPTS: usize = 64;
/// Clients are looked after this often: pauses, and what they owe.
const CLIENTS: Micros = 100_000;
/// A client that just connected has this long to say something before it may have to make room.
const PATIENCE: Micros = 100_000;
/// Clients too many that may wait to read that they are.
const LINGERERS: usize = 16;
/// Free buffers are kept up to this part of the memory.
const KEPT_PART: f64 = 8.0;
/// Descriptors for everything but clients and engines.
const OWN: usize = 24;
/// After SIGTERM: how long new work is taken, when what is open is given up, and the end.
const TAKES_ON: Micros = 700_000;
const GIVES_UP: Micros = 3_100_000;
const ENDS: Micros = 3_400_000;
const STOP_LOOK: Micros = 20_000;
/// After `LEAVE`, a client that has not asked anything yet is let be this long before it may be closed.
const LEAVE_PATIENCE: Micros = 1_000_000;

/// A dispatcher that is set up and has not begun to serve.
pub struct Node {
    poll: Poll,
    clock: Clock,
    pool: Pool,
    names: Names,
    dispatch: Dispatch<Rows>,
    sessions: Sessions,
    executors: Executors,
    /// The coordinator's, unless lists from files stand instead of it.
    feed: Option<Feed>,
    lists: Option<Lists>,
    storm: Option<Storm>,
    /// Work in hand on the record of a fleet, where our settings name peers.
    hands: Option<Hands>,
    jobs: BTreeMap<u64, (Key, Job)>,
    listener: Option<(Key, TcpListener)>,
    /// The listener while accepting pauses.
    paused: Option<TcpListener>,
    signals: (Key, Signals),
    /// Reads the configuration again.
    load: fn() -> Result<Config, ConfigError>,
    most_sessions: usize,
    next_id: u32,
    accept_at: Option<Micros>,
    /// How long ago what is read now may have come.
    behind: Micros,
    sweep_at: Micros,
    clients_at: Micros,
    counters_at: Micros,
    stopping: Option<Micros>,
    given_up: bool,
    refused_clients: u64,
    /// Clients closed to make room for others.
    made_room: u64,
    /// Idle clients closed because descriptors ran out.
    shed: u64,
    /// The operators' address, where the configuration names one.
    operators: Option<Operators>,
    /// Since when `LEAVE` holds, until `JOIN`.
    leaving: Option<Micros>,
    figures: Figures,
    bans: Bans,
    /// Where bans are handed to the next process.
    bans_file: PathBuf,
    /// This dispatcher's name, the same in the next process.
    name: String,
    /// Where clients connect; the listener is closed while leaving, and bound here again on `JOIN`.
    address: SocketAddr,
    /// The last that the list said of each executor on it, by uid.
    targets: BTreeMap<String, Target>,
    /// When executors on the list were let back by hand, in milliseconds.
    onlined: BTreeMap<String, u64>,
}

fn context<E: Display>(what: &str) -> impl Fn(E) -> io::Error + '_ {
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
        let classes = options.peers.as_ref().map(|_| Classes::of(&settings, &names));
        let mut dispatch =
            Dispatch::new(settings, transport.most_held, seed).map_err(context("configuration"))?;
        let poll = Poll::new().map_err(context("poller"))?;
        let listen_at = config.listen;
        let listener = listen::bind_shared(listen_at).map_err(context(&format!("listen on {listen_at}")))?;
        let (listener_key, address) = (poll.add(&listener, false)?, listener.local_addr()?);
        let signal_key = poll.add(&signals.stream, false)?;
        let pool = Pool::new((config.limits.memory_mb / KEPT_PART * 1024.0 * 1024.0) as usize);
        let operators = match operator {
            Some(at) => Some(Operators::bind(at, &poll, &pool).map_err(context(&format!("listen on {at}")))?),
            None => None,
        };
        let figures = Figures::new();
        names.classes.keys().for_each(|c| figures.class(c));
        let bans_file =
            std::env::temp_dir().join(format!("ottercroft-{}.bans", calls::file_name(&config.name)));
        let bans = calls::handed_over(&bans_file, &config.name);
        let mut clock = Clock::default();
        let now = clock.now();
        let hands = match (&options.peers, classes) {
            (Some(o), Some(classes)) => {
                dispatch.follow_left();
                let hands = Hands::start(o, classes, seed, now, &poll);
                Some(hands.map_err(context(&format!("peers: listen on {}", o.listen)))?)
            }
            _ => None,
        };
        // Clients hold a third of the descriptors at most as a rule; the rest of their half is for others.
        let sockets = config.limits.sockets;
        let (most_sessions, most_conns) =
            ((sockets / 2).max(16), (sockets * 3 / 8).saturating_sub(OWN).max(8));
        let mut node = Node {
            poll,
            names,
            dispatch,
            sessions: Sessions::default(),
            executors: Executors::new(transport, most_conns, seed, &pool),
            feed: Some(Feed::new(config.coordinator, config.known.index)),
            lists: None,
            storm,
            hands,
            jobs: BTreeMap::new(),
            listener: Some((listener_key, listener)),
            paused: None,
            signals: (signal_key, signals),
            load,
            most_sessions,
            // Connection ids start anywhere: a KILL meant for another life or dispatcher must not hit.
            next_id: (seed ^ (seed >> 32) ^ now) as u32,
            accept_at: None,
            behind: 0,
            sweep_at: now + SWEEP,
            clients_at: now + CLIENTS,
            counters_at: now + COUNTERS,
            stopping: None,
            given_up: false,
            refused_clients: 0,
            made_room: 0,
            shed: 0,
            operators,
            leaving: None,
            figures,
            bans,
            bans_file,
            name: config.name.clone(),
            address,
            targets: BTreeMap::new(),
            onlined: BTreeMap::new(),
            pool,
            clock,
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
        tracing::info!(name = config.name, motores = known.len(), "{} listens on {address}", config.name);
        if let Some(o) = &node.operators {
            tracing::info!("operators' address {}", o.address()?);
        }
        if let Some(h) = &node.hands {
            tracing::info!("peers' address {}", h.peers.address()?);
        }
        node.members(now, News::Restored, &known);
        Ok(node)
    }

    /// Serves until SIGTERM, then until all that was taken has its answer.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = polling::Events::new();
        let mut worked = 0;
        loop {
            let now = self.clock.now();
            if self.over(now) {
                break;
            }
            let wait = self.next_due().saturating_sub(now);
            self.poll.wait(&mut events, Duration::from_micros(wait)).map_err(context("poller"))?;
            let woke = self.clock.now();
            // What came while this process did not look came at any time since it last did.
            self.behind = (woke - now).saturating_sub(wait) + worked;
            self.keep_hands(woke);
            for event in events.iter() {
                self.ready(event.key, event.readable, event.writable, woke);
            }
            self.tick();
            let (asleep, busy) = (woke - now, self.clock.now() - woke);
            if busy > SLOW_TURN || asleep > wait + SLOW_TURN {
                tracing::warn!(slept_us = asleep, wanted_us = wait, worked_us = busy, "slow turn");
            }
            worked = busy;
        }
        self.leave_fleet(self.clock.last());
        self.count();
        tracing::info!("stopped");
        Ok(())
    }

    /// The sides that have sockets and timers of their own.
    fn rooms(&self) -> impl Iterator<Item = &dyn Room> {
        let feed = self.feed.as_ref().map(|f| f as &dyn Room);
        let hands = self.hands.as_ref().map(|h| h as &dyn Room);
        let operators = self.operators.as_ref().map(|o| o as &dyn Room);
        std::iter::once(&self.executors as &dyn Room).chain(feed).chain(operators).chain(hands)
    }

    fn next_due(&self) -> Micros {
        let lists = self.lists.as_ref().filter(|l| l.pending()).map(|_| self.clock.last());
        let rooms = self.rooms().map(Room::next_due);
        let due = [self.dispatch.next_due(), self.accept_at, lists].into_iter().chain(rooms);
        // While stopping, a look every now and then is near enough to each of its limits.
        let own = if self.stopping.is_some() { self.clock.last() + STOP_LOOK } else { self.clients_at };
        due.flatten().fold(own, Micros::min)
    }

    fn ready(&mut self, key: Key, readable: bool, writable: bool, now: Micros) {
        if self.listener.as_ref().is_some_and(|(k, _)| *k == key) {
            self.accept(now);
        } else if key == self.signals.0 {
            let (stop, reread) = self.signals.1.take();
            if reread {
                self.reread(now);
            }
            if stop {
                self.stop(now);
            }
        } else if self.operators.as_ref().is_some_and(|o| o.owns(key)) {
            let lines = self.operators.as_mut().map(|o| o.ready(key, now, &self.poll)).unwrap_or_default();
            for (caller, line) in lines {
                let asked = tracing::enabled!(tracing::Level::DEBUG).then(|| format!("{line:?}"));
                let answer = self.call(caller, now, line);
                if let Some(asked) = asked {
                    let answer = answer.as_ref().and_then(|a| a.lines().next());
                    tracing::debug!(asked, answer, "operator call");
                }
                if let (Some(o), Some(answer)) = (&mut self.operators, answer) {
                    o.answer(caller, &answer, &self.poll);
                }
            }
        } else if self.feed.as_ref().is_some_and(|f| f.owns(key)) {
            let updates = self.feed.as_mut().map(|f| f.ready(now, &self.poll));
            updates.into_iter().flatten().for_each(|update| self.update(now, update));
        } else if self.lists.as_ref().is_some_and(|l| l.owns(key)) {
            self.with_lists(now, |lists, _| lists.ready(now));
        } else if self.hands.as_ref().is_some_and(|h| h.owns(key)) {
            if let Some(h) = &mut self.hands {
                h.peers.ready(key, now, &self.poll);
            }
            self.move_hands(now);
        } else if self.executors.owns(key) {
            self.executors.ready(key, readable, writable, now, &self.poll);
            self.settle(now, Vec::new());
        } else if self.sessions.by_key.contains_key(&key) {
            if readable {
                self.read(key, now);
            }
            if writable {
                self.flush(key);
            }
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let orders = self.dispatch.tick(now);
        self.settle(now, orders);
        self.executors.tick(now, &self.poll);
        self.settle(now, Vec::new());
        if let Some(feed) = &mut self.feed {
            feed.tick(now, &self.poll);
        }
        if self.lists.as_ref().is_some_and(Lists::pending) {
            self.with_lists(now, |_, _| ());
        }
        if self.accept_at.is_some_and(|t| t <= now) {
            self.accept_at = None;
            self.accept_again(now);
        }
        if let Some(o) = &mut self.operators {
            o.tick(now, &self.poll);
        }
        if let Some(h) = &mut self.hands {
            h.tick(now, &self.poll);
        }
        self.keep_hands(now);
        self.keep_plan(now);
        self.keep_policy(now);
        if self.clients_at <= now {
            self.clients_at = now + CLIENTS;
            self.look_after_clients(now);
            self.send_all_away(now);
            self.watch_storm(now);
            self.with_lists(now, |lists, executors| lists.tick(now, &|uid| executors.busy(uid)));
        }
        if self.sweep_at <= now {
            self.sweep_at = now + SWEEP;
            self.sweep(now);
        }
        if self.counters_at <= now {
            self.counters_at = now + COUNTERS;
            self.count();
        }
    }
}
