//! Policies shared by a whole fleet: which settings they cover, their file format, and how they apply to one
//! dispatcher's settings. The atomic switch of a fleet to a new policy is in the [`fleet`] crate.
//!
//! A policy has what an operator tunes at run time: a class's latency objective, deadline, priority weight and
//! placement, tenants' quotas, the attempt limit and the retry budget. A class's idempotency and ordering, the set of
//! executors and the rules of the platform are not covered; changing those takes a restart.

mod apply;
mod stricter;
#[cfg(test)]
mod tests;
mod text;

pub use apply::{applied, digest, ready};
pub use stricter::stricter;
pub use text::{Attempts, Class, Policy};
