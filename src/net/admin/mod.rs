//! The operators' address: its listener, its calls, and the bans that are handed to the next process.
//!
//! - `listener`: the operators' connections, one call each.
//! - `calls`: carries out each call and formats its answer.
//! - `bans_file`: the hand-over file of the bans.

pub(super) mod bans_file;
mod calls;
pub(super) mod listener;
