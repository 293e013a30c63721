//! An outstanding attempt on a connection, and the effects of its executor's answers.

use crate::api::Micros;
use crate::check_invariant;
use crate::codec::executor::{self, AnswerKind, Progress};
use crate::dispatch::{AttemptEnd, AttemptId, AttemptProgress};
use crate::net::sockets::buffers::{Block, Pool};

/// A result: its pages in order.
pub type Rows = Vec<Block>;

/// Maximum number of pages of a result, and its maximum size in bytes: 48,000 bytes are 8 pages of the usual size.
const MAX_PAGES: u32 = 256;
const MAX_BYTES: usize = 48_000;

/// An outstanding attempt on a connection.
pub(super) struct Stream {
    pub(super) attempt_id: AttemptId,
    /// Whether its first byte was written, and that was reported.
    pub(super) started: bool,
    /// Whether it was written completely.
    pub(super) written: bool,
    /// Number of pages of the result; 0 until the executor answered `OK`.
    pub(super) pages: u32,
    pub(super) rows: Rows,
    /// Size of the rows, in bytes.
    pub(super) bytes: usize,
    /// When it was started or, once it is written completely, when that was.
    pub(super) written_at: Micros,
}

/// The effect of an answer on its attempt.
pub(super) enum AnswerEffect {
    /// The attempt continues.
    Continues,
    /// None: the answer was received before.
    Duplicate,
    /// The attempt made progress.
    Progressed(AttemptProgress),
    /// The result has this many pages, and the first was received.
    Pages(u32),
    /// The attempt ended.
    Ended(AttemptEnd<Rows>),
    /// The answer is malformed, so its connection has to be closed.
    Malformed(&'static str),
}

/// Applies an answer to its attempt.
pub(super) fn apply_answer(s: &mut Stream, kind: AnswerKind, body: &[u8], pool: &Pool) -> AnswerEffect {
    match kind {
        AnswerKind::Progress(None) => AnswerEffect::Continues,
        AnswerKind::Progress(Some(Progress::Done(x))) => {
            AnswerEffect::Progressed(AttemptProgress::Progress(x))
        }
        AnswerKind::Progress(Some(Progress::Spills(x))) => {
            AnswerEffect::Progressed(AttemptProgress::Spill(x))
        }
        AnswerKind::Progress(Some(Progress::Waits)) => AnswerEffect::Progressed(AttemptProgress::Waits),
        AnswerKind::Busy => AnswerEffect::Ended(AttemptEnd::Rejected),
        AnswerKind::Void => AnswerEffect::Ended(AttemptEnd::NotRun),
        AnswerKind::Err => AnswerEffect::Ended(AttemptEnd::Error),
        AnswerKind::Ok { pages } => {
            if s.pages > 0 {
                return AnswerEffect::Duplicate;
            }
            let Some(pages) = pages.filter(|n| *n <= MAX_PAGES) else {
                return AnswerEffect::Malformed("number of pages missing or too large");
            };
            if !append_page(s, body, pool) {
                return AnswerEffect::Malformed("rows malformed or too large");
            }
            s.pages = pages;
            match pages {
                1 => AnswerEffect::Ended(AttemptEnd::Served(std::mem::take(&mut s.rows))),
                n => AnswerEffect::Pages(n),
            }
        }
        AnswerKind::Rows { page } => {
            // Pages are requested in order on one connection.
            let due = s.rows.len();
            let Some(page) = page.map(|n| n as usize).filter(|n| s.pages > 0 && *n <= due) else {
                return AnswerEffect::Malformed("page out of order");
            };
            if page < due {
                return AnswerEffect::Duplicate;
            }
            if !append_page(s, body, pool) {
                return AnswerEffect::Malformed("rows malformed or too large");
            }
            match s.rows.len() == s.pages as usize {
                true => AnswerEffect::Ended(AttemptEnd::Served(std::mem::take(&mut s.rows))),
                false => AnswerEffect::Continues,
            }
        }
    }
}

/// Appends a page to the result; false if it is malformed or the result is too large.
fn append_page(s: &mut Stream, page: &[u8], pool: &Pool) -> bool {
    s.bytes += page.len();
    if s.bytes > MAX_BYTES || !executor::is_complete_page(page) {
        return false;
    }
    let mut block = pool.block();
    check_invariant!(block.append(page) == page.len(), "a page is larger than a buffer");
    s.rows.push(block);
    true
}
