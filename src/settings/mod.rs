//! Configuration and settings.
//!
//! - [`config`]: the platform's file for one dispatcher; [`platform`]: the settings, shared with the adapter.
//! - [`options`]: ottercroft's own settings, in HCL; [`hcl`]: reads HCL and reports faults with their positions.

mod checked;
pub mod config;
mod env;
pub mod hcl;
pub mod options;
pub mod platform;

pub use platform::*;
