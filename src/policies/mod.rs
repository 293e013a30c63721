//! Policies that a whole fleet holds alike: what of the settings is policy, how its file reads, and what it makes of
//! one dispatcher's settings. How a change takes hold everywhere or nowhere is the [`fleet`] crate's.
//!
//! Policy is what an operator tunes while the fleet serves: a class's wanted and longest time, its worth and where
//! it may go; tenants' shares; attempts and their ration. What says whether a class may repeat or keeps order, which
//! machines there are and the rules of the platform is not: that takes a start with other settings.

mod apply;
mod stricter;
#[cfg(test)]
mod tests;
mod text;

pub use apply::{applied, digest, ready};
pub use stricter::stricter;
pub use text::{Attempts, Class, Policy};
