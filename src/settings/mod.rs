//! What a dispatcher is told.
//!
//! - [`config`]: the platform's file for one dispatcher, with [`platform`], the settings both programs share.
//! - [`options`]: our own settings beside it, in HCL, which [`hcl`] reads with the places of its faults.

mod checked;
pub mod config;
mod env;
pub mod hcl;
pub mod options;
pub mod platform;

pub use platform::*;
