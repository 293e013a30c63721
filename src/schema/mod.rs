//! Which version of the schema each request runs under, while executors are upgraded in turn. Sans-I/O and
//! deterministic; what is agreed by the fleet is [`fleet::schema`]'s.
//!
//! - [`claim`]: what a client says that it speaks.
//! - [`market`]: what there is to offer, and what executors' answers say against the log.
//! - [`negotiate`]: the choice, for each request of a session.
//! - [`pace`]: sessions move no faster than new executors can take them.
//! - [`keys`]: loads keep the order of their key over the border, and what is in hand is counted by version.

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
