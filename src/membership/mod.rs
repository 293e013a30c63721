//! The set of executors: lists from files, in addition to the coordinator's feed or instead of it.
//!
//! - [`list`]: the list file, its digest and its seal.
//! - [`check`]: validates a list before it is used; reports all faults at once.
//! - [`settling`]: decides when the content read from files counts as one version. Sans-I/O.
//! - [`members`]: the list in force: precedence, ownership, generations, the guard, drains. Sans-I/O.
//! - [`files`]: reads files, within limits and without blocking.
//! - [`storage`]: the last good list on disk, and recorded acceptances.
//! - [`watcher`]: the thread that watches, reads and validates lists and reports the results.
//!
//! Nothing here depends on the event loop or the decision module: the output are targets of the same form as the
//! coordinator's, and they take the same path.

pub mod check;
pub mod files;
pub mod list;
pub mod members;
pub mod settling;
pub mod storage;
pub mod watcher;

pub use crate::settings::options::FEED;
pub use members::{Effect, Guard, Members, MembersSettings};
