//! The operators' address: its listener, the calls that it answers, and the bans that outlive the process.
//!
//! - `listener`: the operators' connections, one line each.
//! - `calls`: what each call does, and its answer.
//! - `bans_file`: the file that hands bans to the next process.

pub(super) mod bans_file;
mod calls;
pub(super) mod listener;
