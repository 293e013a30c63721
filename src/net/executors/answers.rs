//! An outstanding attempt on a connection, and what its executor's answers do to it.

use crate::api::Micros;
use crate::check_invariant;
use crate::codec::executor::{self, Note, Word};
use crate::dispatch::{AttemptEnd, AttemptId, AttemptProgress};
use crate::net::sockets::buffers::{Block, Pool};

/// A result: its pages in order.
pub type Rows = Vec<Block>;

/// The most pages that a result may have, and its most bytes: 48,000 bytes come to 8 pages of the usual size.
const MAX_PAGES: u32 = 256;
const MAX_BYTES: usize = 48_000;

/// An outstanding attempt on a connection.
pub(super) struct Stream {
    pub(super) attempt_id: AttemptId,
    /// Whether a byte of it was written, and that was reported.
    pub(super) begun: bool,
    /// Whether it was written whole.
    pub(super) written: bool,
    /// All pages; 0 until the executor said OK.
    pub(super) pages: u32,
    pub(super) rows: Rows,
    /// Bytes of the rows.
    pub(super) bytes: usize,
    /// When it was begun, and from when it is written whole, when that was.
    pub(super) written_at: Micros,
}

/// What an answer does to its attempt.
pub(super) enum AnswerEffect {
    /// Nothing yet.
    Continues,
    /// Nothing: it was received before.
    Duplicate,
    /// Its progress.
    Progressed(AttemptProgress),
    /// So many pages, of which the first is here.
    Pages(u32),
    /// Its end.
    Ended(AttemptEnd<Rows>),
    /// It can't be used, and neither can its connection any more.
    Malformed(&'static str),
}

/// Applies an answer to its attempt.
pub(super) fn apply_answer(s: &mut Stream, word: Word, body: &[u8], pool: &Pool) -> AnswerEffect {
    match word {
        Word::Note(None) => AnswerEffect::Continues,
        Word::Note(Some(Note::Done(x))) => AnswerEffect::Progressed(AttemptProgress::Progress(x)),
        Word::Note(Some(Note::Spills(x))) => AnswerEffect::Progressed(AttemptProgress::Spill(x)),
        Word::Note(Some(Note::Waits)) => AnswerEffect::Progressed(AttemptProgress::Waits),
        Word::Busy => AnswerEffect::Ended(AttemptEnd::Rejected),
        Word::Void => AnswerEffect::Ended(AttemptEnd::NotRun),
        Word::Err => AnswerEffect::Ended(AttemptEnd::Error),
        Word::Ok { pages } => {
            if s.pages > 0 {
                return AnswerEffect::Duplicate;
            }
            let Some(pages) = pages.filter(|n| *n <= MAX_PAGES) else {
                return AnswerEffect::Malformed("no number of pages, or too many");
            };
            if !keep(s, body, pool) {
                return AnswerEffect::Malformed("rows that can't be read, or too many");
            }
            s.pages = pages;
            match pages {
                1 => AnswerEffect::Ended(AttemptEnd::Served(std::mem::take(&mut s.rows))),
                n => AnswerEffect::Pages(n),
            }
        }
        Word::Rows { page } => {
            // Pages were asked for in order on one connection.
            let due = s.rows.len();
            let Some(page) = page.map(|n| n as usize).filter(|n| s.pages > 0 && *n <= due) else {
                return AnswerEffect::Malformed("a page out of turn");
            };
            if page < due {
                return AnswerEffect::Duplicate;
            }
            if !keep(s, body, pool) {
                return AnswerEffect::Malformed("rows that can't be read, or too many");
            }
            match s.rows.len() == s.pages as usize {
                true => AnswerEffect::Ended(AttemptEnd::Served(std::mem::take(&mut s.rows))),
                false => AnswerEffect::Continues,
            }
        }
    }
}

/// Keeps a page; false if it can't be used.
fn keep(s: &mut Stream, page: &[u8], pool: &Pool) -> bool {
    s.bytes += page.len();
    if s.bytes > MAX_BYTES || !executor::whole_rows(page) {
        return false;
    }
    let mut block = pool.block();
    check_invariant!(block.append(page) == page.len(), "a page is larger than a buffer");
    s.rows.push(block);
    true
}
