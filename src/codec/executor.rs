//! The line protocol of executors, sans-I/O and independent of the event loop and of dispatch decisions.

mod answers;
mod requests;

pub use answers::{Answer, AnswerKind, Gauges, Malformed, Progress, is_complete_page, next};
pub use requests::{RequestParameters, boost, discard, kill, meter, pull, scroll};

/// The longest line accepted from an executor, in bytes.
const MAX_LINE_BYTES: usize = 1024;
/// The largest body of an answer, in bytes; a page has 6,000 at most.
pub const MAX_BODY_BYTES: usize = 8 * 1024;

#[cfg(test)]
mod tests;
