//! The in-memory Raft log: the library's storage, with snapshots that hold the replicated state.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The log of one peer; clones share the same storage.
#[derive(Clone, Default)]
pub struct Log {
    entries: MemStorage,
    snapshot: Rc<RefCell<Snapshot>>,
    /// Set when a peer needs a newer snapshot than the stored one.
    snapshot_requested: Rc<Cell<bool>>,
}

impl Log {
    /// Creates a log that starts after a snapshot.
    pub fn from_snapshot(snapshot: Snapshot) -> Result<Log> {
        let log = Log::default();
        log.restore(snapshot)?;
        Ok(log)
    }

    /// Replaces the whole log by a received snapshot.
    pub fn restore(&self, snapshot: Snapshot) -> Result<()> {
        self.entries.wl().apply_snapshot(snapshot.clone())?;
        *self.snapshot.borrow_mut() = snapshot;
        Ok(())
    }

    /// Appends entries.
    pub fn append(&self, entries: &[Entry]) -> Result<()> {
        self.entries.wl().append(entries)
    }

    /// Stores the term, vote and commit index.
    pub fn set_hard_state(&self, state: HardState) {
        self.entries.wl().set_hardstate(state);
    }

    /// Stores the commit index.
    pub fn commit(&self, index: u64) {
        self.entries.wl().mut_hard_state().commit = index;
    }

    /// Stores the membership of the group.
    pub fn set_members(&self, members: ConfState) {
        self.entries.wl().set_conf_state(members);
    }

    /// The membership of the group.
    pub fn members(&self) -> ConfState {
        self.entries.initial_state().map(|s| s.conf_state).unwrap_or_default()
    }

    /// Returns whether a peer waits for a newer snapshot, and clears the flag.
    pub fn take_snapshot_request(&self) -> bool {
        self.snapshot_requested.take()
    }

    /// Stores a snapshot of the state at `index` and drops the entries before it, except for the last `keep`.
    pub fn compact(&self, index: u64, data: Vec<u8>, keep: u64) -> Result<()> {
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        meta.index = index;
        meta.term = self.entries.term(index)?;
        meta.set_conf_state(self.members());
        snapshot.data = data.into();
        *self.snapshot.borrow_mut() = snapshot;
        // At least one entry has to stay: the library derives the first index from it.
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
        // A node ignores a snapshot whose membership does not include it, as after joining later.
        let includes_receiver = members.voters.contains(&to) || members.learners.contains(&to);
        if !includes_receiver
            || index == 0
            || index < request_index
            || index + 1 < self.entries.first_index()?
        {
            self.snapshot_requested.set(true);
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(snapshot.clone())
    }
}
