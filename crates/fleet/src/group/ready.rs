//! Processing of the Raft library's `Ready` values: messages, entries, snapshots.

use super::*;

impl Group {
    /// Processes `Ready` values until none is left, and compacts the log if due.
    pub(super) fn process_ready(&mut self) {
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            self.send(ready.take_messages());
            if !ready.snapshot().is_empty() {
                self.restore(ready.snapshot().clone());
            }
            self.apply(ready.take_committed_entries());
            if !ready.entries().is_empty() {
                self.bytes_since_snapshot += ready.entries().iter().map(|e| e.data.len() + 32).sum::<usize>();
                if let Err(e) = self.log.append(ready.entries()) {
                    unreachable!("appending new entries to the log failed: {e}");
                }
            }
            if let Some(state) = ready.hs() {
                self.log.set_hard_state(state.clone());
            }
            self.send(ready.take_persisted_messages());
            let mut light = self.node.advance(ready);
            if let Some(index) = light.commit_index() {
                self.log.commit(index);
            }
            self.send(light.take_messages());
            self.apply(light.take_committed_entries());
            self.node.advance_apply();
        }
        let snapshot_requested = self.log.take_snapshot_request();
        if self.applied > 1
            && (snapshot_requested
                || self.bytes_since_snapshot > MIN_COMPACTION_BYTES.max(self.snapshot_size))
        {
            let data = self.state.encode();
            (self.bytes_since_snapshot, self.snapshot_size) = (0, data.len());
            let _ = self.log.compact(self.applied, data, RETAINED_ENTRIES);
        }
    }

    pub(super) fn send(&mut self, messages: Vec<Message>) {
        let is_snapshot = |m: &&Message| m.get_msg_type() == MessageType::MsgSnapshot;
        let at = self.tick_at;
        self.snapshots_in_transit.extend(messages.iter().filter(is_snapshot).map(|m| (m.to, at)));
        let encode = |m: Message| Some((m.to, m.write_to_bytes().ok()?));
        self.messages.extend(messages.into_iter().filter_map(encode));
    }

    fn restore(&mut self, snapshot: Snapshot) {
        // `Group::step` stores the decoded state, and passes a snapshot to the library only if it could be
        // decoded. The state is therefore expected to be present here.
        let Some(state) = self.incoming_state.take() else { return };
        self.applied = snapshot.get_metadata().index;
        (self.bytes_since_snapshot, self.snapshot_size) = (0, snapshot.data.len());
        if self.log.restore(snapshot).is_ok() {
            self.state = state;
            self.restored = true;
            self.drop_applied_batches();
        }
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        for e in entries {
            self.applied = e.index;
            match e.get_entry_type() {
                EntryType::EntryNormal if e.data.is_empty() => {}
                EntryType::EntryNormal => {
                    let Ok((incarnation, number, commands)) = extension::decode_batch(&e.data) else {
                        self.rejected += 1;
                        continue;
                    };
                    self.state.apply(incarnation, number, commands, &mut self.effects);
                    if incarnation == self.me {
                        self.drop_applied_batches();
                    }
                }
                EntryType::EntryConfChangeV2 => {
                    let Ok(change) = ConfChangeV2::parse_from_bytes(&e.data) else { continue };
                    if let Ok(members) = self.node.apply_conf_change(&change) {
                        self.log.set_members(members);
                    }
                }
                EntryType::EntryConfChange => {}
            }
        }
    }

    /// Removes this peer's applied batches from `pending`, and raises `next_batch` past the last applied one.
    pub(super) fn drop_applied_batches(&mut self) {
        let last = self.state.batch(self.me);
        self.next_batch = self.next_batch.max(last + 1);
        while self.pending.front().is_some_and(|(n, _, _)| *n <= last) {
            self.pending.pop_front();
        }
    }
}
