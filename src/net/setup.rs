//! Construction of a dispatcher from its configuration.

use super::admin::bans_file::BansFile;
use super::admin::listener::AdminListener;
use super::clients::ClientCounters;
use super::clients::listener::ClientListener;
use super::clients::request_intake::Requests;
use super::clients::session::{Sessions, first_connection_id};
use super::control_plane::ControlLink;
use super::coordinator_watch::CoordinatorWatch;
use super::endpoint_lists::EndpointLists;
use super::event_loop::poll::Poll;
use super::event_loop::poll_times::PollTimes;
use super::event_loop::schedule::Schedule;
use super::executors::Executors;
use super::fleet_policy::FleetPolicy;
use super::in_flight::{Classes, InFlight};
use super::shutdown::{Shutdown, ShutdownDeadlines};
use super::siblings::{Siblings, StartList};
use super::signals::Signals;
use super::sockets::buffers::Pool;
use super::sockets::descriptors::DescriptorShares;
use super::sockets::listen;
use super::{DispatcherServer, LoadConfig, temporary_files};
use crate::api::{Micros, Settings};
use crate::clock::{Clock, ExecutorStartTimes, WallClock};
use crate::codec::coordinator::Target;
use crate::dispatch::{Dispatch, WatchEvent};
use crate::logging::DroppedLines;
use crate::membership::check::Catalog;
use crate::operator::metrics::Metrics;
use crate::operator::shared_bans::SharedBans;
use crate::settings::config::Config;
use crate::settings::options::{self, Options};
use crate::storm::{self, Storm};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::io;
use std::net::SocketAddr;

/// Free buffers may use this fraction of the configured memory (divisor).
const BUFFER_MEMORY_DIVISOR: f64 = 8.0;
/// Default for the longest backoff that clients honour, in microseconds, if neither the settings nor the
/// configuration define it.
const DEFAULT_LONGEST_WAIT: Micros = 1_000_000;

/// Prefixes an error with the operation that failed.
pub(super) fn context<E: Display>(what: &str) -> impl Fn(E) -> io::Error + '_ {
    move |e| io::Error::other(format!("{what}: {e}"))
}

impl DispatcherServer {
    /// Creates a dispatcher, whose address accepts connections from then on. `load_config` reads the
    /// configuration again on SIGHUP.
    pub fn new(
        config: Config,
        options: Options,
        signals: Signals,
        load_config: LoadConfig,
    ) -> io::Result<DispatcherServer> {
        let seed = config.seed();
        let operator_address = config.operator().map_err(context("configuration: operator"))?;
        let transport = config.settings.transport().map_err(context("configuration"))?;
        let (settings, names) = config.settings.settings().map_err(context("configuration"))?;
        let catalog = Catalog::from_settings(&settings, &names);
        let storm = options.storms.as_ref().map(|storms| new_storm(storms, &settings, seed));
        let shutdown = Shutdown::new(shutdown_deadlines(&settings));
        let classes = Classes::of(&settings, &names);
        let agreed = agreed_policy(&options);
        let base_settings = settings.clone();
        let mut dispatch =
            Dispatch::new(settings, transport.max_open_requests, seed).map_err(context("configuration"))?;

        let mut clock = Clock::default();
        let poll = Poll::new().map_err(context("poller"))?;
        let listen_failed = format!("listen on {}", config.listen);
        let reserved = listen::reserve_shared(config.listen).map_err(context(&listen_failed))?;
        let address = reserved.address().map_err(context(&listen_failed))?;
        let start_list = StartList { digest: config.known.digest(), last_event: config.known.index };
        let now = clock.now();
        // Before clients may connect: it writes to a directory, and on a busy disk that may take long.
        let siblings = start_siblings(&config.name, address, seed ^ now, start_list, now, &poll);
        let listener =
            ClientListener::listen(reserved, &poll, clock.now()).map_err(context(&listen_failed))?;
        let signal_key = poll.add(&signals.stream, false)?;
        let pool = Pool::new((config.limits.memory_mb / BUFFER_MEMORY_DIVISOR * 1024.0 * 1024.0) as usize);
        let descriptors = DescriptorShares::new(config.limits.sockets);
        let admin_listener = bind_operators(operator_address, &descriptors, &poll, &pool)?;
        let metrics = Metrics::new();
        names.classes.keys().for_each(|class| metrics.class(class));
        let bans_file = BansFile::new(&std::env::temp_dir(), &config.name);
        let bans = SharedBans::new(bans_file.load());

        let now = clock.now();
        let in_flight = start_in_flight(options.peers.as_ref(), classes, seed, now, &poll)?;
        if in_flight.is_some() {
            dispatch.report_abandoned();
        }
        let control = options.control.as_ref().map(|c| ControlLink::new(c, &config.name, seed ^ now, now));
        let me = in_flight.as_ref().map_or(0, InFlight::me);
        let fleet_policy =
            agreed.map(|(terms, backoff_ms)| FleetPolicy::new(terms, me, backoff_ms, base_settings));
        let mut server = DispatcherServer {
            poll,
            poll_times: PollTimes::new(now),
            schedule: Schedule::new(now),
            names,
            dispatch,
            listener,
            sessions: Sessions::new(first_connection_id(seed, now)),
            client_counters: ClientCounters::default(),
            requests: Requests::default(),
            executors: Executors::new(transport, descriptors.executors, seed, &pool, clock.clone()),
            coordinator_watch: Some(CoordinatorWatch::new(config.coordinator, config.known.index)),
            endpoint_lists: None,
            storm,
            in_flight,
            control,
            fleet_policy,
            siblings,
            signals: (signal_key, signals),
            load_config,
            descriptors,
            shutdown,
            admin_listener,
            leaving: None,
            metrics,
            dropped_lines: DroppedLines::default(),
            bans,
            bans_file,
            endpoints: BTreeMap::new(),
            onlined_at_ms: BTreeMap::new(),
            pool,
            clock,
            wall_clock: WallClock::default(),
            start_times: ExecutorStartTimes::default(),
        };
        let known = server.start_lists(options.lists, catalog, config.known.targets(), now)?;
        server.log_addresses(&config.name, known.len())?;
        server.apply_endpoint_list(now, WatchEvent::Restored, &known);
        Ok(server)
    }

    /// Starts the file-based endpoint lists, if the settings name any. Returns the initial endpoints: those
    /// of the lists, or otherwise `known` from the coordinator.
    fn start_lists(
        &mut self,
        lists: Option<options::Lists>,
        catalog: Catalog,
        known: Vec<Target>,
        now: Micros,
    ) -> io::Result<Vec<Target>> {
        let Some(lists) = lists else { return Ok(known) };
        let mut lists = EndpointLists::start(lists, catalog, &known, now, &self.poll)?;
        let known = lists.take(usize::MAX);
        if !lists.follows_coordinator() {
            self.coordinator_watch = None;
        }
        self.endpoint_lists = Some(lists);
        Ok(known)
    }

    fn log_addresses(&self, name: &str, executors: usize) -> io::Result<()> {
        tracing::info!(name, executors, "{name} listens on {}", self.listener.address());
        if let Some(operators) = &self.admin_listener {
            tracing::info!("operators' address {}", operators.address()?);
        }
        if let Some(in_flight) = &self.in_flight {
            tracing::info!("peers' address {}", in_flight.peers.address()?);
        }
        Ok(())
    }
}

fn new_storm(storms: &options::Storms, settings: &Settings, seed: u64) -> Storm {
    let honoured = storms.longest_wait.map(|d| d.as_micros() as Micros).or(settings.max_retry_after);
    let terms = storm::StormSettings {
        longest_wait: honoured.unwrap_or(DEFAULT_LONGEST_WAIT),
        repeats: storms.repeats,
        remembered: storms.remembered,
        ramp: settings.slow_start.ramp,
    };
    Storm::new(terms, seed)
}

fn shutdown_deadlines(settings: &Settings) -> ShutdownDeadlines {
    ShutdownDeadlines::new(settings.classes.iter().map(|class| class.client_timeout).max().unwrap_or(0))
}

/// The terms of the fleet-wide policy, and the backoff of clients that are rejected without a lease, in
/// milliseconds: the duration of a lease. A control group takes precedence over peers; `None` if no policy is
/// configured.
fn agreed_policy(options: &Options) -> Option<(options::PolicyTerms, u64)> {
    if let Some(control) = &options.control {
        return Some((control.policy, control.timing.follower_lease / 1_000));
    }
    let peers = options.peers.as_ref()?;
    Some((peers.policy?, peers.lease.as_millis() as u64))
}

fn bind_operators(
    address: Option<SocketAddr>,
    descriptors: &DescriptorShares,
    poll: &Poll,
    pool: &Pool,
) -> io::Result<Option<AdminListener>> {
    let Some(address) = address else { return Ok(None) };
    AdminListener::bind(address, descriptors.callers, poll, pool)
        .map(Some)
        .map_err(context(&format!("listen on {address}")))
}

/// Meets the other processes of this dispatcher. Without them an upgrade still works, but each process knows only
/// what it was told itself.
fn start_siblings(
    name: &str,
    address: SocketAddr,
    first_id: u64,
    start_list: StartList,
    now: Micros,
    poll: &Poll,
) -> Option<Siblings> {
    let directory = temporary_files::path(&std::env::temp_dir(), name, "processes");
    let started = Siblings::start(directory.clone(), address, first_id, now, poll);
    started
        .map(|siblings| siblings.starting_from(start_list))
        .inspect_err(|e| {
            let directory = directory.display();
            tracing::warn!(%directory, error = %e, "siblings: other processes of this dispatcher are not known");
        })
        .ok()
}

fn start_in_flight(
    peers: Option<&options::Peers>,
    classes: Classes,
    seed: u64,
    now: Micros,
    poll: &Poll,
) -> io::Result<Option<InFlight>> {
    let Some(peers) = peers else { return Ok(None) };
    InFlight::start(peers, classes, seed, now, poll)
        .map(Some)
        .map_err(context(&format!("peers: listen on {}", peers.listen)))
}
