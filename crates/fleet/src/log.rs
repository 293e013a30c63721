//! The log in memory: the library's own, with snapshots that hold the ledger.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The log of one peer; copies are the same log.
#[derive(Clone, Default)]
pub struct Log {
    entries: MemStorage,
    snapshot: Rc<RefCell<Snapshot>>,
    /// A peer needs a newer snapshot than there is.
    wanted: Rc<Cell<bool>>,
}

impl Log {
    /// A log that begins behind a snapshot.
    pub fn from_snapshot(snapshot: Snapshot) -> Result<Log> {
        let log = Log::default();
        log.restore(snapshot)?;
        Ok(log)
    }

    /// Replaces all by a snapshot that came.
    pub fn restore(&self, snapshot: Snapshot) -> Result<()> {
        self.entries.wl().apply_snapshot(snapshot.clone())?;
        *self.snapshot.borrow_mut() = snapshot;
        Ok(())
    }

    /// Appends entries.
    pub fn append(&self, entries: &[Entry]) -> Result<()> {
        self.entries.wl().append(entries)
    }

    /// Keeps term, vote and commit.
    pub fn set_hard_state(&self, state: HardState) {
        self.entries.wl().set_hardstate(state);
    }

    /// Keeps the commit.
    pub fn commit(&self, index: u64) {
        self.entries.wl().mut_hard_state().commit = index;
    }

    /// Keeps who takes part.
    pub fn set_members(&self, members: ConfState) {
        self.entries.wl().set_conf_state(members);
    }

    /// Who takes part.
    pub fn members(&self) -> ConfState {
        self.entries.initial_state().map(|s| s.conf_state).unwrap_or_default()
    }

    /// Whether a peer waits for a newer snapshot; asked once.
    pub fn take_wanted(&self) -> bool {
        self.wanted.take()
    }

    /// Keeps a snapshot of the state at `index`, and forgets the entries before it but for the last `keep`.
    pub fn compact(&self, index: u64, data: Vec<u8>, keep: u64) -> Result<()> {
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        meta.index = index;
        meta.term = self.entries.term(index)?;
        meta.set_conf_state(self.members());
        snapshot.data = data.into();
        *self.snapshot.borrow_mut() = snapshot;
        // One entry stays, whatever is asked: the library finds the log's beginning by it.
        let last = self.entries.last_index()?;
        self.entries.wl().compact((index + 1).saturating_sub(keep).min(last))
    }
}

impl Storage for Log {
    fn initial_state(&self) -> Result<RaftState> {
        self.entries.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        self.entries.entries(low, high, max_size, context)
    }

    fn term(&self, index: u64) -> Result<u64> {
        let snapshot = self.snapshot.borrow();
        let meta = snapshot.get_metadata();
        if meta.index == index && index > 0 { Ok(meta.term) } else { self.entries.term(index) }
    }

    fn first_index(&self) -> Result<u64> {
        self.entries.first_index()
    }

    fn last_index(&self) -> Result<u64> {
        self.entries.last_index()
    }

    fn snapshot(&self, request_index: u64, to: u64) -> Result<Snapshot> {
        let snapshot = self.snapshot.borrow();
        let (index, members) = (snapshot.get_metadata().index, snapshot.get_metadata().get_conf_state());
        // One that joined since would not believe it.
        let knows = members.voters.contains(&to) || members.learners.contains(&to);
        if !knows || index == 0 || index < request_index || index + 1 < self.entries.first_index()? {
            self.wanted.set(true);
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(snapshot.clone())
    }
}
