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
const MOST_PAGES: u32 = 256;
const MOST_BYTES: usize = 48_000;
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
    pub(super) since: Micros,
}

/// What waits to be written.
pub(super) enum Outgoing {
    Pull { id: u64, job: Job, terms: AttemptTerms },
    Kill(u64),
    Boost(u64, u8),
    Scroll(u64, u32),
    Discard(u64),
    Meter(u64),
}

/// One connection.
pub(super) struct Conn {
    pub(super) executor: ExecutorId,
    pub(super) stream: TcpStream,
    pub(super) up: bool,
    pub(super) opened: Micros,
    /// One that owes word for longer than this gets nothing new, and is probed.
    pub(super) word_within: Micros,
    pub(super) heard: Micros,
    pub(super) touched: Micros,
    /// Takes nothing new.
    pub(super) retired: bool,
    pub(super) inbox: Inbox,
    pub(super) outbox: Outbox,
    /// The pull that is in the outbox.
    pub(super) writing: Option<u64>,
    pub(super) queue: VecDeque<Outgoing>,
    pub(super) streams: BTreeMap<u64, Stream>,
    /// Ids that ended here in any way but served, and when.
    pub(super) spent: BTreeMap<u64, Micros>,
    /// Since when an answer has been here in part.
    pub(super) part_since: Option<Micros>,
    /// Met a silent probe, and nothing was heard on it since.
    pub(super) mute: bool,
    /// Mute while its executor was heard elsewhere: over by then.
    pub(super) doomed_at: Option<Micros>,
    /// When it is looked at next for word that it owes.
    pub(super) word_at: Option<Micros>,
    /// Probes that are out, and when they were asked for.
    pub(super) probes: BTreeMap<u64, Micros>,
    pub(super) watched: bool,
}

impl Conn {
    /// Whether word is owed for too long.
    pub(super) fn doubtful(&self, now: Micros) -> bool {
        let streams = self.streams.values().filter(|s| s.written).map(|s| s.since);
        let oldest = streams.chain(self.probes.values().copied()).min();
        self.up && oldest.is_some_and(|t| now > t.max(self.heard) + self.word_within)
    }

    pub(super) fn takes(&self, id: u64, most: usize, now: Micros) -> bool {
        let fresh = !self.streams.contains_key(&id) && !self.spent.contains_key(&id);
        !self.retired && self.streams.len() < most && fresh && !self.doubtful(now)
    }

    /// Whether its executor has closed it, and nothing is left to be read before that.
    pub(super) fn over(&self) -> bool {
        self.up
            && match system_calls::peek(&self.stream) {
                Ok(found) => found == Some(0),
                Err(_) => true,
            }
    }

    /// Takes a pull back of which no byte was written; false if there is none such.
    pub(super) fn take_back(&mut self, id: u64) -> bool {
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

    pub(super) fn idle(&self) -> bool {
        self.streams.is_empty() && self.probes.is_empty() && self.queue.is_empty() && self.outbox.is_empty()
    }
}

/// What an answer does to its attempt.
pub(super) enum Step {
    Goes,
    /// Said before: dropped.
    Copy,
    Noted(AttemptProgress),
    Pages(u32),
    Ended(AttemptEnd<Rows>),
    Broken(&'static str),
}

pub(super) fn advance(s: &mut Stream, word: executor::Word, body: &[u8], pool: &Pool) -> Step {
    match word {
        executor::Word::Note(None) => Step::Goes,
        executor::Word::Note(Some(Note::Done(x))) => Step::Noted(AttemptProgress::Progress(x)),
        executor::Word::Note(Some(Note::Spills(x))) => Step::Noted(AttemptProgress::Spill(x)),
        executor::Word::Note(Some(Note::Waits)) => Step::Noted(AttemptProgress::Waits),
        executor::Word::Busy => Step::Ended(AttemptEnd::Rejected),
        executor::Word::Void => Step::Ended(AttemptEnd::NotRun),
        executor::Word::Err => Step::Ended(AttemptEnd::Error),
        executor::Word::Ok { pages } => {
            if s.pages > 0 {
                return Step::Copy;
            }
            let Some(pages) = pages.filter(|n| *n <= MOST_PAGES) else {
                return Step::Broken("no number of pages, or too many");
            };
            if !keep(s, body, pool) {
                return Step::Broken("rows that can't be read, or too many");
            }
            s.pages = pages;
            match pages {
                1 => Step::Ended(AttemptEnd::Served(std::mem::take(&mut s.rows))),
                n => Step::Pages(n),
            }
        }
        executor::Word::Rows { page } => {
            // Pages were asked for in order on one connection.
            let due = s.rows.len();
            let Some(page) = page.map(|n| n as usize).filter(|n| s.pages > 0 && *n <= due) else {
                return Step::Broken("a page out of turn");
            };
            if page < due {
                return Step::Copy;
            }
            if !keep(s, body, pool) {
                return Step::Broken("rows that can't be read, or too many");
            }
            match s.rows.len() == s.pages as usize {
                true => Step::Ended(AttemptEnd::Served(std::mem::take(&mut s.rows))),
                false => Step::Goes,
            }
        }
    }
}

/// Keeps a page; false if it can't be used.
fn keep(s: &mut Stream, page: &[u8], pool: &Pool) -> bool {
    s.bytes += page.len();
    if s.bytes > MOST_BYTES || !executor::whole_rows(page) {
        return false;
    }
    let mut block = pool.block();
    must!(block.append(page) == page.len(), "a page is larger than a buffer");
    s.rows.push(block);
    true
}
