//! Which version of the schema each request runs under, while executors are upgraded in turn. Sans-I/O and
//! deterministic. The replicated state is in [`fleet::schema`].
//!
//! - [`claim`]: the versions that a client declares to support.
//! - [`market`]: the versions available here, and executors whose answers contradict the log.
//! - [`negotiate`]: the choice of a version for each request of a session.
//! - [`pace`]: limits how fast sessions move to executors that were just upgraded.
//! - [`keys`]: keeps loads of one key in order across versions, and counts requests in flight by version.

pub mod claim;
pub mod keys;
pub mod market;
pub mod negotiate;
pub mod pace;

#[cfg(test)]
mod tests;

pub use claim::Claim;
pub use keys::{Gate, Hands, Keys};
pub use market::{Executor, Market, Words};
pub use negotiate::{Negotiator, Refusal, Session, Verdict, Why};
pub use pace::Terms;
