//! The dispatcher on real sockets: one loop, clients on one side, executors and the coordinator on the other.
//!
//! - `setup`: how a [`DispatcherServer`] comes to be.
//! - `event_loop`: the order in which everything is done.
//! - `clients`: clients' connections, and what becomes of a request until the decisions have it.
//! - `executors`: connections to executors, and the attempts on them.
//! - `coordinator_watch`, `endpoint_lists`: where the endpoint list comes from.
//! - `commands`: executes the commands of the decisions.
//! - `endpoint_updates`: the endpoint list on its way to the decisions.
//! - `admin`, `maintenance`: operators' calls and what they change.
//! - `in_flight`, `peers`, `policy`, `rules`, `control_plane`: other dispatchers, and the control group.
//! - `signals`, `reload`, `shutdown`: SIGHUP and SIGTERM.
//! - `counters`: what is logged every 10 s.
//! - `sockets`: what all sides need of sockets.

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
mod in_flight;
mod limits;
mod maintenance;
mod peers;
mod policy;
mod policy_calls;
mod policy_status;
mod reload;
mod rules;
mod setup;
mod shutdown;
pub mod signals;
mod sockets;

#[cfg(test)]
mod tests;

use crate::api::Micros;
use crate::clock::{Clock, ExecutorStartTimes, WallClock};
use crate::codec::coordinator::Target;
use crate::dispatch::Dispatch;
use crate::operator::bans::Bans;
use crate::operator::figures::Figures;
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
use in_flight::InFlight;
use rules::Rules;
use shutdown::Shutdown;
use signals::Signals;
use sockets::buffers::Pool;
use sockets::descriptors::DescriptorShares;
use std::collections::BTreeMap;

/// Reads the configuration, when SIGHUP asks for it again.
pub type LoadConfig = fn() -> Result<Config, ConfigError>;

/// A dispatcher: its listener takes connections from [`DispatcherServer::new`] on, and [`DispatcherServer::run`]
/// serves.
pub struct DispatcherServer {
    poll: Poll,
    poll_times: PollTimes,
    schedule: Schedule,
    clock: Clock,
    wall_clock: WallClock,
    /// When executors started, as the endpoint list says, by this process's clock.
    start_times: ExecutorStartTimes,
    pool: Pool,
    descriptors: DescriptorShares,
    names: Names,
    dispatch: Dispatch<Rows>,
    listener: ClientListener,
    sessions: Sessions,
    client_counters: ClientCounters,
    /// Requests that have no answer yet.
    requests: Requests,
    executors: Executors,
    /// The connection to the coordinator, unless endpoint lists from files stand instead of it.
    coordinator_watch: Option<CoordinatorWatch>,
    endpoint_lists: Option<EndpointLists>,
    storm: Option<Storm>,
    /// Replicated requests of a fleet, where our settings name peers.
    in_flight: Option<InFlight>,
    /// The connection to a member of the control group, where our settings name one.
    control: Option<ControlLink>,
    /// The policy by which all dispatchers admit requests, where our settings say that it is agreed on.
    rules: Option<Rules>,
    signals: (Key, Signals),
    load_config: LoadConfig,
    shutdown: Shutdown,
    /// The operators' address, where the configuration names one.
    admin_listener: Option<AdminListener>,
    /// Since when `LEAVE` holds, until `JOIN`.
    leaving: Option<Micros>,
    figures: Figures,
    bans: Bans,
    /// The file that hands bans to the next process.
    bans_file: BansFile,
    /// The last entry of each executor on the endpoint list, by uid.
    endpoints: BTreeMap<String, Target>,
    /// When executors on the list were let back by `ONLINE`, by uid, in milliseconds.
    onlined_at_ms: BTreeMap<String, u64>,
}
