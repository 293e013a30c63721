//! One connection to an executor, and what an answer does to an attempt on it.

use crate::api::Micros;
use crate::codec::executor::{self, Note};
use crate::dispatch::{AttemptEnd, AttemptId, AttemptProgress, AttemptTerms, ExecutorId};
use crate::must;
use crate::net::sockets::buffers::{Block, Inbox, Outbox, Pool};
use crate::net::sockets::system_calls;
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpStream;
use std::rc::Rc;

/// A result: its pages in order.
pub type Rows = Vec<Block>;

/// The most pages and bytes that a result may have: 48,000 bytes come to 8 pages of the usual size.
const MAX_PAGES: u32 = 256;
const MAX_BYTES: usize = 48_000;
/// What an attempt needs to go out.
#[derive(Debug, Clone)]
pub struct Job {
    /// The name of its class.
    pub kind: Rc<str>,
    /// The statement, without the comment.
    pub statement: Rc<str>,
    /// The token by which executors know repeats of a keyed request, as its client gave it.
    pub token: Option<Rc<str>>,
}

/// An attempt on its way.
pub(super) struct Stream {
    pub(super) attempt_id: AttemptId,
    /// A byte of it was written, and that was told.
    pub(super) begun: bool,
    /// Written whole.
    pub(super) written: bool,
    /// All pages; 0 until the executor said OK.
    pub(super) pages: u32,
    pub(super) rows: Rows,
    /// Bytes of the rows.
    pub(super) bytes: usize,
    /// When the pull was written.
    pub(super) written_at: Micros,
}

/// What waits to be written.
pub(super) enum Outgoing {
    Pull { id: u64, job: Job, terms: AttemptTerms },
    Kill(u64),
    SetPriority(u64, u8),
    Scroll(u64, u32),
    Discard(u64),
    Meter(u64),
}

/// One connection.
pub(super) struct Connection {
    pub(super) executor: ExecutorId,
    pub(super) stream: TcpStream,
    pub(super) connected: bool,
    pub(super) connected_at: Micros,
    /// One that owes word for longer than this gets nothing new, and is probed.
    pub(super) message_interval: Micros,
    pub(super) last_message_at: Micros,
    pub(super) last_used_at: Micros,
    /// Takes nothing new.
    pub(super) draining: bool,
    pub(super) inbox: Inbox,
    pub(super) outbox: Outbox,
    /// The pull that is in the outbox.
    pub(super) writing: Option<u64>,
    pub(super) queue: VecDeque<Outgoing>,
    pub(super) streams: BTreeMap<u64, Stream>,
    /// Ids that ended here in any way but served, and when.
    pub(super) ended_ids: BTreeMap<u64, Micros>,
    /// Since when an answer has been here in part.
    pub(super) partial_since: Option<Micros>,
    /// Met a silent probe, and nothing was heard on it since.
    pub(super) unresponsive: bool,
    /// Mute while its executor was heard elsewhere: over by then.
    pub(super) close_at: Option<Micros>,
    /// When it is looked at next for word that it owes.
    pub(super) next_check_at: Option<Micros>,
    /// Probes that are out, and when they were asked for.
    pub(super) probes: BTreeMap<u64, Micros>,
    pub(super) watches_writable: bool,
}

impl Connection {
    /// Whether word is owed for too long.
    pub(super) fn is_overdue(&self, now: Micros) -> bool {
        let streams = self.streams.values().filter(|s| s.written).map(|s| s.written_at);
        let oldest = streams.chain(self.probes.values().copied()).min();
        self.connected && oldest.is_some_and(|t| now > t.max(self.last_message_at) + self.message_interval)
    }

    pub(super) fn accepts(&self, id: u64, most: usize, now: Micros) -> bool {
        let fresh = !self.streams.contains_key(&id) && !self.ended_ids.contains_key(&id);
        !self.draining && self.streams.len() < most && fresh && !self.is_overdue(now)
    }

    /// Whether its executor has closed it, and nothing is left to be read before that.
    pub(super) fn closed_by_executor(&self) -> bool {
        self.connected
            && match system_calls::peek(&self.stream) {
                Ok(found) => found == Some(0),
                Err(_) => true,
            }
    }

    /// Takes a pull back of which no byte was written; false if there is none such.
    pub(super) fn withdraw_unwritten(&mut self, id: u64) -> bool {
        let waiting = |o: &Outgoing| matches!(o, Outgoing::Pull { id: i, .. } if *i == id);
        if let Some(at) = self.queue.iter().position(waiting) {
            self.queue.remove(at);
            return true;
        }
        let whole = self.writing == Some(id) && !self.outbox.begun();
        if whole {
            self.writing = None;
            self.outbox.clear();
        }
        whole
    }

    pub(super) fn is_idle(&self) -> bool {
        self.streams.is_empty() && self.probes.is_empty() && self.queue.is_empty() && self.outbox.is_empty()
    }
}

/// What an answer does to its attempt.
pub(super) enum AnswerEffect {
    Continues,
    /// Said before: dropped.
    Duplicate,
    Progressed(AttemptProgress),
    Pages(u32),
    Ended(AttemptEnd<Rows>),
    Malformed(&'static str),
}

pub(super) fn apply_answer(s: &mut Stream, word: executor::Word, body: &[u8], pool: &Pool) -> AnswerEffect {
    match word {
        executor::Word::Note(None) => AnswerEffect::Continues,
        executor::Word::Note(Some(Note::Done(x))) => AnswerEffect::Progressed(AttemptProgress::Progress(x)),
        executor::Word::Note(Some(Note::Spills(x))) => AnswerEffect::Progressed(AttemptProgress::Spill(x)),
        executor::Word::Note(Some(Note::Waits)) => AnswerEffect::Progressed(AttemptProgress::Waits),
        executor::Word::Busy => AnswerEffect::Ended(AttemptEnd::Rejected),
        executor::Word::Void => AnswerEffect::Ended(AttemptEnd::NotRun),
        executor::Word::Err => AnswerEffect::Ended(AttemptEnd::Error),
        executor::Word::Ok { pages } => {
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
        executor::Word::Rows { page } => {
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
    must!(block.append(page) == page.len(), "a page is larger than a buffer");
    s.rows.push(block);
    true
}
