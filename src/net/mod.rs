//! The networked dispatcher: a single event loop that serves clients and talks to executors and the
//! coordinator.
//!
//! - `setup`: construction of a [`DispatcherServer`].
//! - `event_loop`: polling, and the order in which events are processed.
//! - `clients`: client connections, and request intake up to the dispatch logic.
//! - `executors`: executor connections and their attempts.
//! - `coordinator_watch`, `endpoint_lists`: sources of the endpoint list.
//! - `commands`: execution of the dispatch logic's commands.
//! - `endpoint_updates`: applying the endpoint list to the dispatch logic.
//! - `admin`, `maintenance`: operators' calls and maintenance.
//! - `in_flight`, `peers`, `policy`, `fleet_policy`, `control_plane`: other dispatchers, and the control group.
//! - `siblings`: other processes of this dispatcher, during an upgrade.
//! - `signals`, `reload`, `shutdown`: SIGHUP and SIGTERM.
//! - `counters`: counters logged every 10 s.
//! - `sockets`: shared socket infrastructure.
//! - `temporary_files`: names of files that outlive a process.

mod admin;
mod clients;
mod commands;
pub mod control_plane;
mod coordinator_watch;
mod counters;
mod endpoint_lists;
mod endpoint_updates;
pub mod event_loop;
mod executors;
mod fleet_policy;
mod in_flight;
mod limits;
mod maintenance;
mod peers;
mod policy;
mod policy_calls;
mod policy_status;
mod reload;
mod setup;
mod shutdown;
mod siblings;
pub mod signals;
mod sockets;
mod temporary_files;

#[cfg(test)]
mod tests;

use crate::api::Micros;
use crate::clock::{Clock, ExecutorStartTimes, WallClock};
use crate::codec::coordinator::Target;
use crate::dispatch::Dispatch;
use crate::logging::DroppedLines;
use crate::operator::metrics::Metrics;
use crate::operator::shared_bans::SharedBans;
use crate::settings::Names;
use crate::settings::config::{Config, ConfigError};
use crate::storm::Storm;
use admin::bans_file::BansFile;
use admin::listener::AdminListener;
use clients::ClientCounters;
use clients::listener::ClientListener;
use clients::request_intake::Requests;
use clients::session::Sessions;
use control_plane::ControlLink;
use coordinator_watch::CoordinatorWatch;
use endpoint_lists::EndpointLists;
use event_loop::poll::{Key, Poll};
use event_loop::poll_times::PollTimes;
use event_loop::schedule::Schedule;
use executors::{Executors, Rows};
use fleet_policy::FleetPolicy;
use in_flight::InFlight;
use shutdown::Shutdown;
use siblings::Siblings;
use signals::Signals;
use sockets::buffers::Pool;
use sockets::descriptors::DescriptorShares;
use std::collections::BTreeMap;

/// Reads the configuration again on SIGHUP.
pub type LoadConfig = fn() -> Result<Config, ConfigError>;

/// A dispatcher. Its listener accepts connections once [`DispatcherServer::new`] returns;
/// [`DispatcherServer::run`] serves them.
pub struct DispatcherServer {
    poll: Poll,
    poll_times: PollTimes,
    schedule: Schedule,
    clock: Clock,
    wall_clock: WallClock,
    /// Executor start times from the endpoint list, on this process's clock.
    start_times: ExecutorStartTimes,
    pool: Pool,
    descriptors: DescriptorShares,
    names: Names,
    dispatch: Dispatch<Rows>,
    listener: ClientListener,
    sessions: Sessions,
    client_counters: ClientCounters,
    /// Requests without a final answer.
    requests: Requests,
    executors: Executors,
    /// The connection to the coordinator, unless file-based endpoint lists replace it.
    coordinator_watch: Option<CoordinatorWatch>,
    endpoint_lists: Option<EndpointLists>,
    storm: Option<Storm>,
    /// Replicated requests of the fleet, if the settings name peers.
    in_flight: Option<InFlight>,
    /// The connection to a member of the control group, if the settings name one.
    control: Option<ControlLink>,
    /// The fleet-wide admission policy, if the settings enable it.
    fleet_policy: Option<FleetPolicy>,
    /// The other processes of this dispatcher; `None` if there is no directory to meet them in.
    siblings: Option<Siblings>,
    signals: (Key, Signals),
    load_config: LoadConfig,
    shutdown: Shutdown,
    /// The listener for operators, if the configuration names an address.
    admin_listener: Option<AdminListener>,
    /// When `LEAVE` was received; `None` after `JOIN`.
    leaving: Option<Micros>,
    metrics: Metrics,
    dropped_lines: DroppedLines,
    bans: SharedBans,
    /// The file that carries bans over to the next process.
    bans_file: BansFile,
    /// The latest endpoint list entry of each executor, by uid.
    endpoints: BTreeMap<String, Target>,
    /// When executors on the list were put back into service by `ONLINE`, by uid, in milliseconds.
    onlined_at_ms: BTreeMap<String, u64>,
}
