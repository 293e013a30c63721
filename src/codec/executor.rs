//! The line protocol of executors, sans-I/O and independent of the event loop and of dispatch decisions.

mod answers;
mod requests;

pub use answers::{Answer, Gauges, Malformed, Note, Word, next, whole_rows};
pub use requests::{Terms, boost, discard, kill, meter, pull, scroll};

/// The longest line accepted from an executor, in bytes.
const LONGEST_LINE: usize = 1024;
/// The largest body of an answer, in bytes; a page has 6,000 at most.
pub const LARGEST_BODY: usize = 8 * 1024;

#[cfg(test)]
mod tests;
