//! ottercroft is a dispatcher in front of analytic query engines.
//!
//! Its decisions are sans-I/O: a host hands [`Event`]s with their time to a [`Gateway`] and carries out
//! the [`Action`]s that come back. The same events with the same seed give the same actions.
//!
//! - [`api`] is the interface: settings, events, actions and ids.
//! - [`control`] holds every decision.
//! - [`dispatch`] is the facade that a real dispatcher sees: pick, report, tick.
//! - [`mysql`], [`executor`] and [`coordinator`] are the codecs of its protocols, [`statement`] reads queries.
//! - [`net`] is the dispatcher on sockets: one event loop.
//! - [`membership`] is which motores there are: lists from files beside the coordinator's feed.
//! - [`storm`] sees retry storms, damps them and tells clients when to come back.
//! - [`hcl`] reads our own HCL, [`options`] are the settings in it, [`cli`] is the command line.
//! - [`config`] and [`settings`] read what it is told, [`invariant`] counts what must not happen.

pub mod api;
pub mod cli;
pub mod config;
pub mod control;
pub mod coordinator;
pub mod dispatch;
pub mod executor;
pub mod hcl;
pub mod invariant;
pub mod membership;
pub mod mysql;
pub mod net;
pub mod operator;
pub mod options;
pub mod settings;
mod state;
pub mod statement;
pub mod storm;

pub use api::{Action, Event, Settings};
pub use state::Gateway;
