//! ottercroft is a dispatcher in front of analytic query executors.
//!
//! Its decisions are sans-I/O: a host passes timestamped [`Event`]s to a [`Balancer`] and carries out the
//! [`Action`]s that it returns. The same events with the same seed produce the same actions.
//!
//! - [`api`]: the interface of the balancer: settings, events, actions and ids.
//! - [`balancer`]: all load-balancing and admission decisions.
//! - [`arrivals`]: bounds on when a request was sent and how long its client has waited.
//! - [`dispatch`]: the facade over the balancer that the network code uses.
//! - [`codec`]: the codecs of the wire protocols.
//! - [`clock`]: monotonic time, and the remaining uses of the wall clock.
//! - [`net`]: the dispatcher on sockets, a single event loop.
//! - [`membership`]: which executors exist, from list files and the coordinator's feed.
//! - [`takeover`]: lets peers take over the pending requests of a lost dispatcher, if peers are configured.
//! - [`policies`]: reads and applies fleet-wide admission policies.
//! - [`schema`]: selects the schema version of each request while executors are upgraded.
//! - [`storm`]: detects retry storms, limits them and tells clients when to retry.
//! - [`settings`]: reads the platform's settings file and the dispatcher's own HCL file.
//! - [`cli`]: the command line.
//! - [`operator`]: metrics and bans for operators.
//! - [`invariant`]: asserts invariants and counts violations.
//! - [`logging`]: the log on standard error.

pub mod api;
pub mod arrivals;
pub mod balancer;
pub mod cli;
pub mod clock;
pub mod codec;
pub mod dispatch;
pub mod invariant;
pub mod logging;
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
