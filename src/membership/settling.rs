//! When what was read of files counts as one version. Sans-I/O: looks and readings go in with their time, what
//! to do next comes out.
//!
//! Nothing tells a reader that a writer is done. Three things stand in for it. A *seal* inside the text proves
//! that it is whole, and needs no waiting. *Stamps* (device, inode, size, times) before and after the reading
//! prove that nothing changed meanwhile, as far as the clock of the file system can tell; a file that is younger
//! than that clock's grain is read once more later. Without a seal, the same bytes have to stay for the
//! *settling time*.

use super::list::Digest;
use crate::api::Micros;

/// A change may hide behind equal stamps while the file is younger than this, in nanoseconds and microseconds.
const GRAIN_NS: i128 = 100_000_000;
const GRAIN: Micros = 100_000;
/// After a reading in which something changed, the next try waits this long, doubling up to the most.
const RETRY: Micros = 5_000;
const RETRY_MOST: Micros = 160_000;

/// What tells a version of a file from another without reading it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct FileStamp {
    /// Its name in the list.
    pub name: String,
    /// Device and inode.
    pub place: (u64, u64),
    /// Bytes.
    pub size: u64,
    /// Changed last, its content and its inode, in nanoseconds since 1970.
    pub changed: (i128, i128),
}

/// The stamps of all files of a list, by name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Stamp(pub Vec<FileStamp>);

impl Stamp {
    /// Whether it changed within the grain of the file system's clock, which is the wall clock.
    fn young(&self, unix: Micros) -> bool {
        let newest = self.0.iter().map(|f| f.changed.0.max(f.changed.1)).max();
        newest.is_some_and(|t| t + GRAIN_NS > i128::from(unix) * 1_000)
    }
}

/// What a reading brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Read {
    /// Something changed while it went on.
    Changing,
    /// All files, each in one piece.
    Whole {
        /// The digest of their bytes and names.
        bytes: Digest,
        /// One file, whose seal holds.
        sealed: bool,
    },
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// It is one version: judge it.
    Judge,
    /// Read again at this time.
    ReadAt(Micros),
    /// Nothing new: wait for a change.
    Rest,
}

/// Follows one list.
#[derive(Debug, Clone)]
pub struct Settling {
    settle: Micros,
    /// The bytes that were judged last, and the stamp that they had when they were last read.
    judged: Option<(Digest, Stamp)>,
    /// Other bytes, and since when they are there.
    candidate: Option<(Digest, Micros)>,
    /// Read once more then: the file was young.
    again: Option<Micros>,
    retry: Micros,
}

impl Settling {
    /// Knows nothing yet; bytes without seal have to stay for `settle`.
    pub fn new(settle: Micros) -> Settling {
        Settling { settle, judged: None, candidate: None, again: None, retry: RETRY }
    }

    /// Whether files that have this stamp now have to be read.
    pub fn wants(&self, now: Micros, stamp: &Stamp) -> bool {
        let known = self.judged.as_ref().is_some_and(|(_, s)| s == stamp);
        !known || self.candidate.is_some() || self.again.is_some_and(|t| t <= now)
    }

    /// When to look next though nothing is heard of.
    pub fn next_due(&self) -> Option<Micros> {
        let settled = self.candidate.map(|(_, since)| since + self.settle);
        settled.into_iter().chain(self.again).min()
    }

    /// There is nothing that could be read: whatever settled before has to settle anew.
    pub fn absent(&mut self) {
        (self.judged, self.candidate, self.again) = (None, None, None);
    }

    /// A reading, and the stamp that held before and after it; the wall clock's time is what stamps are made of.
    pub fn read(&mut self, now: Micros, unix: Micros, stamp: &Stamp, read: Read) -> Next {
        let Read::Whole { bytes, sealed } = read else {
            self.candidate = None;
            let at = now + self.retry;
            self.retry = (self.retry * 2).min(RETRY_MOST);
            return Next::ReadAt(at);
        };
        self.retry = RETRY;
        let fresh = self.judged.as_ref().is_none_or(|(_, s)| s != stamp);
        // Once for each stamp: a file whose time lies ahead of ours would be read for ever.
        self.again = (fresh && stamp.young(unix)).then_some(now + GRAIN);
        if let Some((judged, at)) = &mut self.judged
            && *judged == bytes
        {
            (*at, self.candidate) = (stamp.clone(), None);
            return Next::Rest;
        }
        let since = self.candidate.filter(|(c, _)| *c == bytes).map_or(now, |(_, t)| t);
        if sealed || now >= since + self.settle {
            (self.judged, self.candidate) = (Some((bytes, stamp.clone())), None);
            return Next::Judge;
        }
        self.candidate = Some((bytes, since));
        Next::ReadAt(since + self.settle)
    }
}

#[cfg(test)]
mod tests;
