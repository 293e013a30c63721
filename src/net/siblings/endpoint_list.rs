//! The coordinator's endpoint list across the processes of one dispatcher.
//!
//! A process that starts while the coordinator is down knows only the list of its configuration, which may be old, while
//! the process before it has followed the coordinator since. Until its own coordinator sends something, a process asks the
//! others for their list. Event numbers can be compared only if both started from the same list.

use super::Siblings;
use super::message::{InstanceId, Message};
use crate::api::Micros;
use crate::codec::coordinator::{Endpoints, KnownDigest, Target, Update};
use crate::net::DispatcherServer;

/// Maximum number of executors in a list that is passed on.
const MAX_LISTED: usize = 16_384;

/// The list that a process started from, and how new the one is that it has from another process.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::net) struct StartList {
    /// Digest of the events in the configuration.
    pub(in crate::net) digest: KnownDigest,
    /// The last event in the configuration, or in the list that was taken over since.
    pub(in crate::net) last_event: u64,
}

/// A list that is being received.
#[derive(Debug)]
pub(super) struct PartialList {
    last_event: u64,
    missing: u32,
    targets: Vec<Target>,
}

impl Siblings {
    /// Asks the other processes for a list that is newer than the one known here.
    fn request_lists(&mut self, now: Micros) {
        let StartList { digest, last_event } = self.start_list;
        let ids: Vec<InstanceId> = self.others.keys().copied().collect();
        for id in ids {
            self.send(id, Message::ListRequest { from: self.me, started_from: digest, last_event }, now);
        }
    }

    /// Sends the whole list to a process, in place of an earlier one that waits for it.
    fn send_list(&mut self, to: InstanceId, last_event: u64, targets: Vec<Target>, now: Micros) {
        if targets.len() > MAX_LISTED {
            return;
        }
        let from = self.me;
        let Some(outbox) = self.others.get_mut(&to) else { return };
        let begin = Message::List { from, last_event, executors: targets.len() as u32 };
        let entries = targets.into_iter().map(|target| Message::ListEntry { from, target });
        outbox.replace_list(std::iter::once(begin).chain(entries).collect());
        self.flush(to, now);
    }

    /// A process begins to send its list.
    pub(super) fn list_begins(&mut self, from: InstanceId, last_event: u64, executors: u32) {
        if self.others.contains_key(&from) && executors as usize <= MAX_LISTED {
            self.lists.insert(from, PartialList { last_event, missing: executors, targets: Vec::new() });
        }
    }

    /// Adds an entry to a process's list; returns the list once it is complete, if it is newer than the one known here.
    fn list_entry(&mut self, from: InstanceId, target: Target) -> Option<Update> {
        let list = self.lists.get_mut(&from)?;
        list.targets.push(target);
        list.missing = list.missing.saturating_sub(1);
        if list.missing > 0 {
            return None;
        }
        let PartialList { last_event, targets, .. } = self.lists.remove(&from)?;
        if last_event <= self.start_list.last_event {
            return None;
        }
        self.start_list.last_event = last_event;
        Some(Update { index: last_event, endpoints: Some(Endpoints { all: true, targets }) })
    }
}

impl DispatcherServer {
    /// Whether the list of the configuration is in force because the coordinator has sent nothing yet.
    fn lacks_coordinator(&self) -> bool {
        let watch = self.coordinator_watch.as_ref().filter(|_| self.endpoint_lists.is_none());
        watch.is_some_and(|watch| !watch.has_received_line())
    }

    /// Asks the other processes for their list while the coordinator sends nothing.
    pub(super) fn request_missing_list(&mut self, now: Micros) {
        if !self.lacks_coordinator() {
            return;
        }
        if let Some(siblings) = &mut self.siblings {
            siblings.request_lists(now);
        }
    }

    /// Answers a process that asks for the list, if this one has a newer one from the coordinator.
    pub(super) fn send_list_to_sibling(&mut self, to: InstanceId, theirs: StartList, now: Micros) {
        let watch = self.coordinator_watch.as_ref().filter(|_| self.endpoint_lists.is_none());
        let Some(watch) = watch.filter(|watch| watch.has_received_line()) else { return };
        let Some(siblings) = &mut self.siblings else { return };
        if theirs.digest != siblings.start_list.digest {
            return tracing::debug!(process = %to, "siblings: no list for a process that started from another one");
        }
        if watch.last_event() > theirs.last_event {
            siblings.send_list(to, watch.last_event(), self.endpoints.values().cloned().collect(), now);
        }
    }

    /// Adds an entry to another process's list, and applies the list once it is complete.
    pub(super) fn receive_list_entry(&mut self, from: InstanceId, target: Target, now: Micros) {
        let update = self.siblings.as_mut().and_then(|siblings| siblings.list_entry(from, target));
        let Some(update) = update.filter(|_| self.lacks_coordinator()) else { return };
        tracing::warn!(
            process = %from,
            event = update.index,
            "siblings: list of another process taken over, as the coordinator sends nothing"
        );
        self.apply_update(now, update);
    }
}
