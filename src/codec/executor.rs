//! The line protocol that executors speak, sans-I/O. It knows neither loop nor decisions.

mod answers;
mod requests;

pub use answers::{Answer, Gauges, Malformed, Note, Word, next, whole_rows};
pub use requests::{Terms, boost, discard, kill, meter, pull, scroll};

/// The longest line an executor may send.
const LONGEST_LINE: usize = 1024;
/// The most bytes that may follow an answer: a page is 6,000 at most.
pub const LARGEST_BODY: usize = 8 * 1024;

#[cfg(test)]
mod tests;
