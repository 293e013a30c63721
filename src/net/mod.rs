//! The dispatcher on real sockets: one loop, clients on one side, executors and the coordinator on the other.

mod buffers;
mod dial;
mod executors;
mod feed;
mod lists;
mod operator;
mod poll;
mod session;
pub mod signals;
mod timers;

use crate::api::Micros;
use crate::config::{Config, ConfigError};
use crate::coordinator::{State, Target, Update};
use crate::dispatch::{Answer, Dispatch, End, Member, News, Order, Report, Standing, executor_id};
use crate::invariant;
use crate::membership::check::Catalog;
use crate::mysql::Error;
use crate::operator::bans::Bans;
use crate::operator::figures::{Disposition, Figures};
use crate::operator::{self as ops, Call, Fault, Readiness};
use crate::options::Options;
use crate::settings::Names;
use crate::storm::{self, Storm, Verdict};
use buffers::Pool;
use executors::{Executors, Job, Rows};
use feed::Feed;
use lists::Lists;
use operator::Operators;
use poll::{Key, Poll};
use session::{Asked, Session, Sessions};
use signals::Signals;
use std::collections::{BTreeMap, VecDeque};
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
        let dispatch =
            Dispatch::new(settings, transport.most_held, seed).map_err(context("configuration"))?;
        let poll = Poll::new().map_err(context("poller"))?;
        let listen = config.listen;
        let listener = bind_shared(listen).map_err(context(&format!("listen on {listen}")))?;
        let (listener_key, address) = (poll.add(&listener, false)?, listener.local_addr()?);
        let signal_key = poll.add(&signals.stream, false)?;
        let pool = Pool::new((config.limits.memory_mb / KEPT_PART * 1024.0 * 1024.0) as usize);
        let operators = match operator {
            Some(at) => Some(Operators::bind(at, &poll, &pool).map_err(context(&format!("listen on {at}")))?),
            None => None,
        };
        let figures = Figures::new();
        names.classes.keys().for_each(|c| figures.class(c));
        let bans_file = std::env::temp_dir().join(format!("ottercroft-{}.bans", file_name(&config.name)));
        let bans = handed_over(&bans_file, &config.name);
        let mut clock = Clock::default();
        let now = clock.now();
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
        self.count();
        tracing::info!("stopped");
        Ok(())
    }

    fn next_due(&self) -> Micros {
        let feed = self.feed.as_ref().map(Feed::next_due);
        let lists = self.lists.as_ref().filter(|l| l.pending()).map(|_| self.clock.last());
        let operators = self.operators.as_ref().and_then(Operators::next_due);
        let due =
            [self.dispatch.next_due(), self.executors.next_due(), self.accept_at, feed, lists, operators];
        // While stopping, a look every now and then is near enough to each of its limits.
        let own = if self.stopping.is_some() { self.clock.last() + STOP_LOOK } else { self.clients_at };
        due.into_iter().flatten().fold(own, Micros::min)
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
                let answer = self.call(now, line);
                if let Some(asked) = asked {
                    tracing::debug!(asked, answer = answer.lines().next(), "operator call");
                }
                if let Some(o) = &mut self.operators {
                    o.answer(caller, &answer, &self.poll);
                }
            }
        } else if self.feed.as_ref().is_some_and(|f| f.owns(key)) {
            let updates = self.feed.as_mut().map(|f| f.ready(now, &self.poll));
            updates.into_iter().flatten().for_each(|update| self.update(now, update));
        } else if self.lists.as_ref().is_some_and(|l| l.owns(key)) {
            self.with_lists(now, |lists, _| lists.ready(now));
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

    // ---- Decisions ---------------------------------------------------------------------------------

    /// Carries orders out, and hands on what comes of them, until nothing is left.
    fn settle(&mut self, now: Micros, orders: Vec<Order<Rows>>) {
        let mut orders = VecDeque::from(orders);
        loop {
            if let Some(order) = orders.pop_front() {
                self.carry_out(now, order);
            } else if let Some(report) = self.executors.reports.pop_front() {
                orders.extend(self.dispatch.report(now, report));
            } else {
                break;
            }
        }
    }

    fn carry_out(&mut self, now: Micros, order: Order<Rows>) {
        match order {
            Order::Start { ticket, executor, memory_mb, priority, until } => {
                // The client may have left since this was decided: then nothing goes out, and that is told.
                let Some((_, job)) = self.jobs.get(&ticket.request) else {
                    return self.executors.reports.push_back(Report::Ended(ticket, End::NeverSent, None));
                };
                let job = job.clone();
                self.executors.start(ticket, executor, job, memory_mb, priority, until, now, &self.poll);
            }
            Order::Stop(ticket) => self.executors.stop(ticket, now, &self.poll),
            Order::Boost(ticket, priority) => self.executors.boost(ticket, priority, now, &self.poll),
            Order::Probe(executor) => self.executors.probe(executor, now, &self.poll),
            Order::Answer(request, mut answer) => {
                let Some((key, job)) = self.jobs.remove(&request) else { return };
                self.figures.ended(
                    &job.kind,
                    match answer {
                        Answer::Served(_) => Disposition::Succeeded,
                        Answer::Failed => Disposition::Aborted,
                        Answer::Refused(_) => Disposition::Declined,
                    },
                );
                if let Some(storm) = &mut self.storm {
                    match &mut answer {
                        Answer::Served(_) => storm.served(),
                        Answer::Failed => storm.failed(),
                        Answer::Refused(ms) => {
                            let wait = storm.refused(now, asker(&job), *ms * 1_000);
                            *ms = wait.div_ceil(1_000);
                        }
                    }
                }
                if let Some(s) = self.sessions.by_key.get_mut(&key).filter(|s| s.open == Some(request)) {
                    s.answer(&answer);
                    s.touched = now;
                    self.flush(key);
                    self.advance(key, now);
                    self.send_away(key, now);
                }
            }
        }
    }

    fn update(&mut self, now: Micros, update: Update) {
        let Some(e) = update.endpoints else { return };
        if self.lists.is_some() {
            return self.with_lists(now, |lists, _| lists.feed(now, e.all, &e.targets));
        }
        let news = if e.all { News::Whole } else { News::Changes };
        self.members(now, news, &e.targets);
    }

    fn watch_storm(&mut self, now: Micros) {
        let Some(storm) = &mut self.storm else { return };
        let fleet = self.dispatch.fleet(now);
        if let Some((phase, was)) = storm.tick(now, fleet) {
            let (arrivals, baseline) = storm.arrivals();
            tracing::warn!(
                ?phase,
                ?was,
                arrivals_per_s = arrivals.round(),
                baseline_per_s = baseline.map(f64::round),
                room_per_s = storm.room(now).round(),
                usable_cores = fleet.usable,
                listed_cores = fleet.listed,
                "storm phase"
            );
        }
    }

    /// Has the lists do something, and hands some of the entries on that wait.
    fn with_lists(&mut self, now: Micros, what: impl FnOnce(&mut Lists, &Executors)) {
        let Some(lists) = &mut self.lists else { return };
        let begun = std::time::Instant::now();
        what(lists, &self.executors);
        let next = lists.take(lists::SLICE);
        if !next.is_empty() {
            self.members(now, News::Changes, &next);
        }
        let took = begun.elapsed().as_micros() as Micros;
        if let Some(lists) = &mut self.lists {
            lists.tally.slowest = lists.tally.slowest.max(took);
        }
    }

    fn members(&mut self, now: Micros, news: News, targets: &[Target]) {
        let member = |t: &Target| {
            let (zone, kind) = (self.names.zones.get(&t.az), self.names.kinds.get(&t.model));
            let gone = t.state == State::Removed;
            if !gone && (zone.is_none() || kind.is_none() || t.endpoint.is_none()) {
                tracing::error!(motor = t.uid, "motor left out: unknown zone or kind, or no address");
                return None;
            }
            Some(Member {
                executor: executor_id(&t.uid),
                zone: zone.copied().unwrap_or(0),
                kind: kind.copied().unwrap_or(0),
                cell: t.pod_group,
                // An executor taken out by hand stays out, whatever the list says of it meanwhile.
                standing: match t.state {
                    State::Up if self.bans.banned(&t.uid) => Standing::Draining,
                    State::Up => Standing::Up,
                    State::Draining => Standing::Draining,
                    State::Removed => Standing::Gone,
                },
                size: t.capacity_hint.unwrap_or(1.0),
                // One let back by hand was restarted meanwhile: it is cold from then, whatever the list knew.
                started: Some(t.boot_ms.max(self.onlined.get(&t.uid).copied().unwrap_or(0)))
                    .filter(|ms| *ms > 0)
                    .map(|ms| ms * 1000),
                weight: t.weight,
            })
        };
        let restored = |t: &&Target| news != News::Restored || t.state != State::Removed;
        let members: Vec<Member> = targets.iter().filter(restored).filter_map(member).collect();
        if news != News::Changes {
            self.targets.clear();
        }
        for t in targets {
            match t.state {
                State::Removed => {
                    self.onlined.remove(&t.uid);
                    self.targets.remove(&t.uid)
                }
                _ => self.targets.insert(t.uid.clone(), t.clone()),
            };
        }
        self.onlined.retain(|uid, _| self.targets.contains_key(uid));
        self.executors.listed(targets, news != News::Changes, now, &self.poll);
        let orders = self.dispatch.members(now, news, &members);
        self.settle(now, orders);
    }

    // ---- Operators ---------------------------------------------------------------------------------

    /// Carries out an operator's call; the answer to write.
    fn call(&mut self, now: Micros, line: Result<Call, Fault>) -> String {
        let call = match line {
            Ok(call) => call,
            Err(fault) => return ops::refusal(&fault),
        };
        match call {
            Call::Health => self.readiness().answer(),
            Call::Dump => format!("+OK figures\n{}.", self.dump(now)),
            Call::Leave => {
                if self.leaving.is_none() {
                    tracing::warn!(clients = self.sessions.by_key.len(), open = self.jobs.len(), "LEAVE");
                    self.leaving = Some(now);
                    self.close_door(now);
                }
                self.send_all_away(now);
                "+OK leaving".into()
            }
            Call::Join => {
                if self.leaving.take().is_some() {
                    tracing::warn!("JOIN");
                }
                match self.open_door(now) {
                    Ok(()) => "+OK joined".into(),
                    Err(e) => format!("-ERR joined, but can't listen on {}: {e}", self.address),
                }
            }
            Call::Offline(id) => match self.bans.offline(&id, self.targets.contains_key(&id)) {
                Ok(new) => {
                    if new {
                        tracing::warn!(motor = id, "OFFLINE: no new work for it until ONLINE");
                        self.banned(now, &id);
                    }
                    format!("+OK offline {id}")
                }
                Err(e) => format!("-ERR {e}"),
            },
            Call::Online(id) => match self.bans.online(&id, self.targets.contains_key(&id)) {
                Ok(was) => {
                    if was {
                        tracing::warn!(motor = id, "ONLINE: it serves again, cold");
                        self.onlined.insert(id.clone(), now / 1000);
                        self.banned(now, &id);
                    }
                    format!("+OK online {id}")
                }
                Err(e) => format!("-ERR {e}"),
            },
        }
    }

    /// While leaving, a front that asks the client port is told no: the listener is closed, after what waits at
    /// it was taken in.
    fn close_door(&mut self, now: Micros) {
        self.accept(now);
        if let Some((_, listener)) = self.listener.take() {
            self.poll.remove(&listener);
        }
        self.paused = None;
        self.accept_at = None;
    }

    /// Listens for clients again, beside any other process on the port.
    fn open_door(&mut self, now: Micros) -> io::Result<()> {
        if self.listener.is_some() || self.paused.is_some() || self.stopping.is_some() {
            return Ok(());
        }
        let listener = bind_shared(self.address).inspect_err(|e| {
            tracing::error!(address = %self.address, error = %e, "JOIN: can't listen");
        })?;
        let key = self.poll.add(&listener, false)?;
        self.listener = Some((key, listener));
        self.accept(now);
        Ok(())
    }

    fn readiness(&self) -> Readiness {
        match (self.stopping, self.leaving) {
            (Some(_), _) => Readiness::Stopping,
            (None, Some(_)) => Readiness::Leaving,
            (None, None) => Readiness::Ready,
        }
    }

    /// A ban was put on or lifted: the module hears of the executor anew, and the next process of it.
    fn banned(&mut self, now: Micros, id: &str) {
        if let Some(target) = self.targets.get(id).cloned() {
            self.members(now, News::Changes, &[target]);
        }
        save_bans(&self.bans_file, &self.bans, &self.name);
    }

    fn dump(&self, now: Micros) -> String {
        let f = &self.figures;
        f.forwards.inc_by(self.executors.wire.forwards.saturating_sub(f.forwards.get()));
        f.outstanding.set(self.jobs.len() as i64);
        let (listed, avoided) = self.dispatch.avoided(now);
        f.discovered.set(listed as i64);
        f.ejected.set(avoided as i64);
        f.text()
    }

    /// After `LEAVE`: a client that has nothing open and nothing in part is taken nothing more from; it closes
    /// once its last answer is written, so that it connects again elsewhere.
    fn send_away(&mut self, key: Key, now: Micros) {
        if self.leaving.is_none() {
            return;
        }
        let Some(s) = self.sessions.by_key.get_mut(&key) else { return };
        if s.done_with(now, LEAVE_PATIENCE) {
            s.finish(now);
            self.flush(key);
        }
    }

    fn send_all_away(&mut self, now: Micros) {
        // Looked at ten times a second: nothing to collect unless a drain holds.
        if self.leaving.is_none() {
            return;
        }
        let keys: Vec<Key> = self.sessions.by_key.keys().copied().collect();
        keys.into_iter().for_each(|key| self.send_away(key, now));
    }

    // ---- Clients -----------------------------------------------------------------------------------

    fn accept(&mut self, now: Micros) {
        for _ in 0..ACCEPTS {
            let Some((_, listener)) = &self.listener else { return };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => continue,
                Err(e) if out_of_descriptors(&e) && self.shed(now) => continue,
                Err(e) => {
                    tracing::error!(error = %e, "accept: pausing");
                    self.pause_accepting(now);
                    return;
                }
            };
            let id = self.next_id;
            self.next_id = self.next_id.wrapping_add(1);
            let mut scramble = [0; 20];
            (0u32..).zip(&mut scramble).for_each(|(i, b)| *b = 33 + (id.rotate_left(i) % 90) as u8);
            let full = self.sessions.by_key.len() >= self.most_sessions && !self.make_room(now);
            if full && self.sessions.by_key.len() >= self.most_sessions + LINGERERS {
                self.refused_clients += 1;
                continue;
            }
            match Session::new(stream, &self.poll, &self.pool, id, &scramble, now) {
                Ok(mut s) => {
                    if full {
                        self.refused_clients += 1;
                        let wait = match &mut self.storm {
                            Some(storm) => storm.connection_refused(CLIENT_BACKOFF),
                            None => CLIENT_BACKOFF,
                        };
                        let text = format!("too many connections: backoff={}", wait.div_ceil(1_000));
                        s.dismiss(&Error::new(1040, "08004", text), now);
                    }
                    let key = self.sessions.insert(s);
                    // What the client wrote ahead is read now: its request came before later ones.
                    self.flush(key);
                    self.read(key, now);
                }
                Err(e) => tracing::warn!(client = id, error = %e, "client lost at its start"),
            }
        }
    }

    fn pause_accepting(&mut self, now: Micros) {
        // The listener stays readable: it must not be watched meanwhile, or the loop would spin.
        if let Some((_, listener)) = self.listener.take() {
            self.poll.remove(&listener);
            self.paused = Some(listener);
            self.accept_at = Some(now + ACCEPT_PAUSE);
        }
    }

    fn accept_again(&mut self, now: Micros) {
        let Some(listener) = self.paused.take() else { return };
        match self.poll.add(&listener, false) {
            Ok(key) => {
                self.listener = Some((key, listener));
                self.accept(now);
            }
            Err(e) => {
                tracing::error!(error = %e, "accept: pausing");
                self.paused = Some(listener);
                self.accept_at = Some(now + ACCEPT_PAUSE);
            }
        }
    }

    fn read(&mut self, key: Key, now: Micros) {
        let Some(s) = self.sessions.by_key.get_mut(&key) else { return };
        if !s.read(now) || s.leaves() {
            return self.hang_up(key, now);
        }
        if s.open.is_some() && s.overruns() {
            return self.overrun(key, now);
        }
        self.advance(key, now);
    }

    /// A client that sends on while its request is open gets no answer but this one, whatever comes of it.
    fn overrun(&mut self, key: Key, now: Micros) {
        let Some(s) = self.sessions.by_key.get_mut(&key) else { return };
        tracing::info!(client = s.id, "client closed: sends on without waiting for its answer");
        let open = s.open.take();
        s.dismiss(&Error::new(1105, "HY000", "one request at a time on a connection"), now);
        if let Some(request) = open {
            self.left(request, now);
        }
        self.flush(key);
    }

    /// Out of descriptors: closes the newest client that has nothing open, unwritten or unread, so that the one
    /// that waits can come in; false if none can be spared.
    fn shed(&mut self, now: Micros) -> bool {
        let spare = |(k, s): (&Key, &Session)| s.spare(now, PATIENCE).map(|_| *k);
        let Some(key) = self.sessions.by_key.iter().filter_map(spare).max() else { return false };
        self.shed += 1;
        tracing::warn!(
            clients = self.sessions.by_key.len(),
            shed = self.shed,
            "out of descriptors: newest idle client closed"
        );
        self.hang_up(key, now);
        true
    }

    /// Closes the client that can be spared best, for another to come in; false if none can.
    fn make_room(&mut self, now: Micros) -> bool {
        let spare = |(k, s): (&Key, &Session)| s.spare(now, PATIENCE).map(|rank| (rank, *k));
        let Some((_, key)) = self.sessions.by_key.iter().filter_map(spare).min() else { return false };
        self.made_room += 1;
        self.hang_up(key, now);
        true
    }

    /// What time does to clients: pauses end, and who owes something for too long goes.
    fn look_after_clients(&mut self, now: Micros) {
        let keys: Vec<Key> = self.sessions.by_key.keys().copied().collect();
        for key in keys {
            let Some(s) = self.sessions.by_key.get_mut(&key) else { continue };
            let paused = s.paused();
            if !s.tick(now) {
                self.hang_up(key, now);
            } else if paused && !s.paused() {
                self.advance(key, now);
            } else if s.dismissed() {
                self.flush(key);
            }
        }
    }

    /// Takes what the client wants, until a request is open or nothing is left.
    fn advance(&mut self, key: Key, now: Micros) {
        while let Some(s) = self.sessions.by_key.get_mut(&key) {
            match s.next(&self.names, now) {
                None => break,
                Some(Asked::Close) => return self.hang_up(key, now),
                Some(Asked::Kill(id)) => self.kill(key, id, now),
                Some(Asked::Request(mut request, kind, statement)) => {
                    request.budget = request.budget.saturating_sub(self.behind);
                    let id = request.id;
                    if s.overruns() {
                        return self.overrun(key, now);
                    }
                    if self.jobs.contains_key(&id) {
                        s.at_fault(&Error::new(1105, "HY000", "a request with this rid is open"), now);
                        continue;
                    }
                    let job = Job { kind, statement };
                    let storm = self.storm.as_mut().map(|s| s.ask(now, asker(&job), request.repeated));
                    if let Some(Verdict::Refuse(wait)) = storm {
                        match self.dispatch.turn_away(&request) {
                            Ok(()) => {
                                self.figures.ended(&job.kind, Disposition::Declined);
                                s.answer(&Answer::Refused(wait.div_ceil(1_000)));
                            }
                            Err(e) => s.at_fault(&Error::new(1105, "HY000", e), now),
                        }
                        continue;
                    }
                    s.open = Some(id);
                    self.jobs.insert(id, (key, job));
                    match self.dispatch.pick(now, &request) {
                        Ok(orders) => self.settle(now, orders),
                        Err(e) => {
                            self.jobs.remove(&id);
                            if let Some(s) = self.sessions.by_key.get_mut(&key) {
                                s.open = None;
                                s.at_fault(&Error::new(1105, "HY000", e), now);
                            }
                        }
                    }
                }
            }
        }
        self.flush(key);
    }

    /// KILL QUERY: the client of that request has left; its session goes on.
    fn kill(&mut self, from: Key, id: u32, now: Micros) {
        let target = self.sessions.by_id.get(&id).copied();
        if let Some(s) = self.sessions.by_key.get_mut(&from) {
            match target {
                Some(_) => s.ok(),
                None => s.error(&Error::new(1094, "HY000", format!("unknown thread id: {id}"))),
            }
        }
        let Some(key) = target else { return };
        let Some(s) = self.sessions.by_key.get_mut(&key) else { return };
        let Some(request) = s.open.take() else { return };
        s.error(&Error::new(1317, "70100", "query execution was interrupted"));
        self.left(request, now);
        self.flush(key);
        if key != from {
            self.advance(key, now);
        }
    }

    fn left(&mut self, request: u64, now: Micros) {
        self.jobs.remove(&request);
        let orders = self.dispatch.report(now, Report::Left(request));
        self.settle(now, orders);
    }

    fn hang_up(&mut self, key: Key, now: Micros) {
        let Some(s) = self.sessions.remove(key) else { return };
        let open = s.open;
        s.close(&self.poll);
        if let Some(request) = open {
            self.left(request, now);
        }
    }

    fn flush(&mut self, key: Key) {
        let now = self.clock.last();
        let Some(s) = self.sessions.by_key.get_mut(&key) else { return };
        if !s.flush(&self.poll) {
            self.hang_up(key, now);
        }
    }

    // ---- Housekeeping and the end ------------------------------------------------------------------

    fn sweep(&mut self, now: Micros) {
        self.executors.sweep(now, &self.poll);
    }

    fn count(&self) {
        let t = &self.dispatch.tally;
        let w = &self.executors.wire;
        let feed = self.feed.as_ref();
        tracing::info!(
            taken = t.taken,
            served = t.served,
            refused = t.refused,
            failed = t.failed,
            left = t.left,
            open = self.dispatch.waiting(),
            attempts = t.attempts,
            expired = t.expired,
            lost = t.lost,
            never_sent = t.never_sent,
            probes = t.probes,
            dials = w.dials,
            conns = self.executors.connections(),
            clients = self.sessions.by_key.len(),
            clients_refused = self.refused_clients,
            made_room = self.made_room,
            shed = self.shed,
            stray = w.stray,
            bad_lines = w.bad_lines,
            mute = w.mute,
            feed_dials = feed.map_or(0, |f| f.dials),
            feed_bad_lines = feed.map_or(0, |f| f.bad_lines),
            free_buffers = self.pool.free(),
            broken = invariant::broken(),
            "counters"
        );
        if let Some(s) = &self.storm {
            let t = s.tally;
            tracing::info!(
                phase = ?s.phase(),
                refused = t.refused,
                early = t.early,
                promised = t.promised,
                kept = t.kept,
                repeats = t.repeats,
                remembered = s.remembered(),
                "storm counters"
            );
        }
        if let Some(l) = self.lists.as_ref().map(|l| &l.tally) {
            let (taken, refused, held) = (l.taken, l.refused, l.held);
            tracing::info!(
                taken,
                refused,
                held,
                unreadable = l.unreadable,
                slowest_us = l.slowest,
                "list counters"
            );
        }
    }

    /// SIGHUP: follows the coordinator that the file names now. All that is open stays, and so does the rest of
    /// the configuration, which takes a restart. A file that can't be used changes nothing.
    fn reread(&mut self, now: Micros) {
        let usable = |c: Config| c.settings.settings().map(|_| c.coordinator).map_err(|e| e.to_string());
        match (self.load)().map_err(|e| e.to_string()).and_then(usable) {
            Ok(coordinator) => {
                self.figures.sighup_applied.inc();
                tracing::info!(%coordinator, "SIGHUP: configuration read again");
                if let Some(feed) = &mut self.feed {
                    feed.move_to(coordinator, now, &self.poll);
                }
                if let Some(lists) = &self.lists {
                    lists.look();
                }
            }
            Err(e) => {
                self.figures.sighup_rejected.inc();
                tracing::error!(error = e.replace('\n', " "), "SIGHUP: the old configuration stays");
            }
        }
    }

    fn stop(&mut self, now: Micros) {
        if self.stopping.is_none() {
            tracing::info!(open = self.dispatch.waiting(), "SIGTERM");
            self.stopping = Some(now);
        }
    }

    /// Whether the dispatcher is at its end; on the way there it takes less and less.
    fn over(&mut self, now: Micros) -> bool {
        let Some(since) = self.stopping else { return false };
        if now < since + TAKES_ON {
            return false;
        }
        if self.listener.is_some() {
            self.accept(now);
            if let Some((_, listener)) = self.listener.take() {
                self.poll.remove(&listener);
            }
            // The last look at what was written in time.
            let all: Vec<Key> = self.sessions.by_key.keys().copied().collect();
            all.into_iter().for_each(|key| self.read(key, now));
        }
        if now >= since + GIVES_UP && !self.given_up {
            self.given_up = true;
            let orders = self.dispatch.give_up(now);
            self.settle(now, orders);
        }
        let done = |s: &Session| s.open.is_none() && s.flushed();
        let idle: Vec<Key> = self.sessions.by_key.iter().filter(|(_, s)| done(s)).map(|(k, _)| *k).collect();
        idle.into_iter().for_each(|key| self.hang_up(key, now));
        self.sessions.by_key.is_empty() || now >= since + ENDS
    }
}

/// Who asks, as far as a request tells: repeats bring the same statement under a new id.
fn asker(job: &Job) -> storm::Asker {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    (&*job.kind, &*job.statement).hash(&mut hasher);
    hasher.finish()
}

/// Listens on the client address, beside a process of the next version during an upgrade (`SO_REUSEPORT`).
fn bind_shared(address: SocketAddr) -> io::Result<TcpListener> {
    listen(address, true)
}

/// Listens on an address of this process alone; a restart finds it free.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    listen(address, false)
}

fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    if shared {
        socket.set_reuse_port(true)?;
    }
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(1024)?;
    Ok(socket.into())
}

/// A dispatcher's name as a part of a file name.
fn file_name(name: &str) -> String {
    let safe: String =
        name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect();
    if safe.is_empty() { "dispatcher".into() } else { safe }
}

/// The bans that the process before this one handed over, if its file is there and can be used.
fn handed_over(path: &std::path::Path, name: &str) -> Bans {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Bans::default(),
        Err(e) => {
            tracing::warn!(file = %path.display(), error = %e, "bans: hand-over file ignored");
            return Bans::default();
        }
    };
    match Bans::decode(&text, name) {
        Ok(bans) => {
            if !bans.is_empty() {
                let ids: Vec<&str> = bans.ids().collect();
                tracing::warn!(file = %path.display(), offline = ?ids, "bans: handed over");
            }
            bans
        }
        Err(e) => {
            tracing::warn!(file = %path.display(), error = %e, "bans: hand-over file ignored");
            Bans::default()
        }
    }
}

/// Writes the bans for the next process: whole or not at all, by a file renamed over the old.
fn save_bans(path: &std::path::Path, bans: &Bans, name: &str) {
    let part = path.with_extension(format!("part{}", std::process::id()));
    let written = std::fs::write(&part, bans.encode(name)).and_then(|()| std::fs::rename(&part, path));
    if let Err(e) = written {
        let _ = std::fs::remove_file(&part);
        tracing::error!(file = %path.display(), error = %e, "bans: can't hand over; the next process starts without");
    }
}

/// Whether an error of accept means that this process or the system has no descriptor left.
fn out_of_descriptors(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}
