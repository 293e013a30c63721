//! The dispatcher on real sockets: one loop, clients on one side, executors and the coordinator on the other.

mod bans_file;
mod calls;
mod clients;
pub mod control_plane;
pub mod event_loop;
mod executors;
mod feed;
mod in_flight;
mod limits;
mod lists;
mod operator;
mod orders;
mod peers;
mod policy;
mod policy_calls;
mod policy_status;
mod rules;
mod setup;
mod shutdown;
pub mod signals;
mod sockets;
mod upkeep;

#[cfg(test)]
mod tests;

use crate::api::Micros;
use crate::arrivals::{KeySpacing, Occurrence};
use crate::clock::{BootTimes, Clock, WallClock};
use crate::codec::coordinator::Target;
use crate::dispatch::Dispatch;
use crate::operator::bans::Bans;
use crate::operator::figures::Figures;
use crate::settings::Names;
use crate::settings::config::{Config, ConfigError};
use crate::storm::Storm;
use bans_file::BansFile;
use clients::request_intake::{ArrivedRequest, OpenRequest};
use clients::session::Sessions;
use control_plane::ControlLink;
use event_loop::poll::{Key, Poll};
use executors::{Executors, Rows};
use feed::Feed;
use in_flight::InFlight;
use lists::Lists;
use operator::Operators;
use rules::Rules;
use shutdown::Shutdown;
use signals::Signals;
use sockets::buffers::Pool;
use sockets::descriptors::Descriptors;
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};

/// A dispatcher that is set up and has not begun to serve.
pub struct DispatcherServer {
    poll: Poll,
    clock: Clock,
    wall: WallClock,
    /// Starts of executors that the list told, by this process's clock.
    boots: BootTimes,
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
    in_flight: Option<InFlight>,
    /// The member of a control group that is followed, where our settings name one.
    control: Option<ControlLink>,
    /// What all admit requests by, where our settings say that it is agreed on.
    rules: Option<Rules>,
    /// Requests that have no answer yet, by id.
    open: BTreeMap<u64, OpenRequest>,
    key_spacing: KeySpacing,
    /// Requests that were read and have not begun, in order.
    arrived: VecDeque<ArrivedRequest>,
    listener: Option<(Key, TcpListener)>,
    /// The listener while accepting pauses.
    paused: Option<TcpListener>,
    signals: (Key, Signals),
    /// Reads the configuration again.
    load: fn() -> Result<Config, ConfigError>,
    descriptors: Descriptors,
    limits: Shutdown,
    next_id: u32,
    accept_at: Option<Micros>,
    /// When the sockets were last looked at.
    woke: Micros,
    /// What was found there came no sooner than this: it was not there at the look before.
    found_since: Micros,
    /// All that executors and the coordinator said up to this moment has been heeded.
    heard_until: Micros,
    /// Since when connections may wait unaccepted: the listener was left before it was empty.
    backlog_since: Option<Micros>,
    sweep_at: Micros,
    clients_at: Micros,
    counters_at: Micros,
    /// When SIGTERM came, once it was heeded.
    stopping: Option<Occurrence>,
    given_up: bool,
    refused_clients: u64,
    /// Idle clients closed for others to come in.
    evicted: u64,
    /// Idle clients closed because descriptors ran out.
    shed: u64,
    /// The operators' address, where the configuration names one.
    operators: Option<Operators>,
    /// Since when `LEAVE` holds, until `JOIN`.
    leaving: Option<Micros>,
    figures: Figures,
    bans: Bans,
    /// Where bans are handed to the next process.
    bans_file: BansFile,
    /// Where clients connect; the listener is closed while leaving, and bound here again on `JOIN`.
    address: SocketAddr,
    /// The last that the list said of each executor on it, by uid.
    targets: BTreeMap<String, Target>,
    /// When executors on the list were let back by hand, in milliseconds.
    onlined: BTreeMap<String, u64>,
}
