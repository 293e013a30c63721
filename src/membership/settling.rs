//! Decides when the content read from files counts as one version. Sans-I/O: takes stamps and results of reads with
//! their time, and returns the next step.
//!
//! A reader is not notified when a writer is done. Three things replace that. A *seal* in the text proves that it is
//! complete, without a wait. *Stamps* (device, inode, size, times) before and after the read prove that nothing changed
//! meanwhile, within the granularity of the file system's clock; a file that changed more recently than that is read
//! again later. Without a seal, the same bytes have to be present for the *settling time*.

use super::list::Digest;
use crate::api::Micros;

/// Granularity of the file system's clock, in nanoseconds and microseconds: two changes within it may leave the same
/// stamp.
const CLOCK_GRANULARITY_NS: i128 = 100_000_000;
const CLOCK_GRANULARITY: Micros = 100_000;
/// Delay before the next read after one during which something changed; doubles up to the maximum.
const MIN_RETRY_INTERVAL: Micros = 5_000;
const MAX_RETRY_INTERVAL: Micros = 160_000;

/// Metadata that distinguishes versions of a file without reading it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct FileStamp {
    /// Its name in the list.
    pub name: String,
    /// Device and inode.
    pub device_and_inode: (u64, u64),
    /// Size in bytes.
    pub size: u64,
    /// Time of the last change of its content and of its inode, in nanoseconds since 1970.
    pub changed_at: (i128, i128),
}

/// The stamps of all files of a list, by name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Stamp(pub Vec<FileStamp>);

impl Stamp {
    /// Whether a file changed within the granularity of the file system's clock, which is the wall clock.
    fn recently_changed(&self, wall_clock: Micros) -> bool {
        let newest = self.0.iter().map(|f| f.changed_at.0.max(f.changed_at.1)).max();
        newest.is_some_and(|t| t + CLOCK_GRANULARITY_NS > i128::from(wall_clock) * 1_000)
    }
}

/// The result of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadResult {
    /// Something changed during the read.
    ConcurrentChange,
    /// All files were read, without a change meanwhile.
    Complete {
        /// The digest of their bytes and names.
        bytes: Digest,
        /// Whether it is a single file whose seal matches.
        sealed: bool,
    },
}

/// The next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// The content is one version: validate it.
    Validate,
    /// Read again at this time.
    ReadAt(Micros),
    /// Nothing is new: wait for a change.
    Wait,
}

/// Tracks the versions of one list.
#[derive(Debug, Clone)]
pub struct SettleTracker {
    settle: Micros,
    /// Digest of the bytes that were validated last, and the stamp that they had when they were last read.
    validated: Option<(Digest, Stamp)>,
    /// Digest of bytes that are not settled yet, and since when they are present.
    candidate: Option<(Digest, Micros)>,
    /// When to read again because the file had changed recently.
    reread_at: Option<Micros>,
    retry_interval: Micros,
}

impl SettleTracker {
    /// Creates a tracker without a version; bytes without a seal have to stay unchanged for `settle`.
    pub fn new(settle: Micros) -> SettleTracker {
        SettleTracker {
            settle,
            validated: None,
            candidate: None,
            reread_at: None,
            retry_interval: MIN_RETRY_INTERVAL,
        }
    }

    /// Whether files with this stamp have to be read now.
    pub fn needs_read(&self, now: Micros, stamp: &Stamp) -> bool {
        let known = self.validated.as_ref().is_some_and(|(_, s)| s == stamp);
        !known || self.candidate.is_some() || self.reread_at.is_some_and(|t| t <= now)
    }

    /// When to check next without a notification.
    pub fn next_due(&self) -> Option<Micros> {
        let settled = self.candidate.map(|(_, since)| since + self.settle);
        settled.into_iter().chain(self.reread_at).min()
    }

    /// The list is unreadable: any content has to settle again.
    pub fn reset(&mut self) {
        (self.validated, self.candidate, self.reread_at) = (None, None, None);
    }

    /// Records the result of a read, with the stamp before and after it. Stamps are times of the wall clock.
    pub fn read_finished(
        &mut self,
        now: Micros,
        wall_clock: Micros,
        stamp: &Stamp,
        read: ReadResult,
    ) -> NextStep {
        let ReadResult::Complete { bytes, sealed } = read else {
            self.candidate = None;
            let at = now + self.retry_interval;
            self.retry_interval = (self.retry_interval * 2).min(MAX_RETRY_INTERVAL);
            return NextStep::ReadAt(at);
        };
        self.retry_interval = MIN_RETRY_INTERVAL;
        let fresh = self.validated.as_ref().is_none_or(|(_, s)| s != stamp);
        // Only once per stamp: a file with a time in the future would otherwise be read again and again.
        self.reread_at = (fresh && stamp.recently_changed(wall_clock)).then_some(now + CLOCK_GRANULARITY);
        if let Some((validated, at)) = &mut self.validated
            && *validated == bytes
        {
            (*at, self.candidate) = (stamp.clone(), None);
            return NextStep::Wait;
        }
        let since = self.candidate.filter(|(c, _)| *c == bytes).map_or(now, |(_, t)| t);
        if sealed || now >= since + self.settle {
            (self.validated, self.candidate) = (Some((bytes, stamp.clone())), None);
            return NextStep::Validate;
        }
        self.candidate = Some((bytes, since));
        NextStep::ReadAt(since + self.settle)
    }
}

#[cfg(test)]
mod tests;
