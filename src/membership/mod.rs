//! Which executors there are: lists from files beside or instead of the coordinator's feed.
//!
//! - [`list`]: the list file, its digest and its seal.
//! - [`check`]: what a list has to be before it is used; all faults at once.
//! - [`settling`]: when what was read of files counts as one version. Sans-I/O.
//! - [`members`]: the list in force: precedence, ownership, generations, the guard, drains. Sans-I/O.
//! - [`files`]: looks at and reads files, never more than is allowed and never waiting for one.
//! - [`keep`]: the last good list on disk, and what a person accepted.
//! - [`watcher`]: the thread that watches, reads and checks, and hands finished lists over.
//!
//! Nothing here knows the event loop or the decision module: what comes out are entries of the same form as
//! the coordinator's, which go the same way.

pub mod check;
pub mod files;
pub mod keep;
pub mod list;
pub mod members;
pub mod settling;
pub mod watcher;

pub use crate::settings::options::FEED;
pub use members::{Effect, Guard, Members, Sources};
