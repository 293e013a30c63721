//! ottercroft is a dispatcher in front of analytic query executors.
//!
//! Its decisions are sans-I/O: a host hands [`Event`]s with their time to a [`Balancer`] and carries out
//! the [`Action`]s that come back. The same events with the same seed give the same actions.
//!
//! - [`api`] is the interface: settings, events, actions and ids.
//! - [`balancer`] holds every decision.
//! - [`arrivals`] bounds when a request came and since when its client has waited.
//! - [`dispatch`] is the facade that a real dispatcher sees: pick, report, tick.
//! - [`codec`] holds the codecs of its protocols.
//! - [`clock`] is time: spans on the monotonic clock, and what the wall clock is still needed for.
//! - [`net`] is the dispatcher on sockets: one event loop.
//! - [`membership`] is which executors there are: lists from files beside the coordinator's feed.
//! - [`takeover`] has work in hand survive its dispatcher, where our settings name peers.
//! - [`policies`] are what a whole fleet admits requests by, read and applied.
//! - [`schema`] settles which version of the schema each request runs under while executors are upgraded.
//! - [`storm`] sees retry storms, damps them and tells clients when to come back.
//! - [`settings`] read what it is told: the platform's file and our own HCL; [`cli`] is the command line.
//! - [`operator`] are the operators' figures and bans, [`invariant`] counts what must not happen.

pub mod api;
pub mod arrivals;
pub mod balancer;
pub mod cli;
pub mod clock;
pub mod codec;
pub mod dispatch;
pub mod invariant;
pub mod membership;
pub mod net;
pub mod operator;
pub mod policies;
pub mod schema;
pub mod settings;
mod state;
pub mod storm;
pub mod takeover;

pub use api::{Action, Event, Settings};
pub use state::Balancer;
