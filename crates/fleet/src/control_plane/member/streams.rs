//! The changes sent to each follower: those after its revision, or a snapshot.
//!
//! There is no queue per follower. All are served from one shared history, each from its own revision. A
//! follower that does not read falls behind, and gets a snapshot once its revision has been dropped from the
//! history.

use super::sessions::Session;
use super::{Member, MemberView, SessionId};
use crate::control_plane::messages::MemberMessage;

impl Member {
    /// Sends each follower the changes it has not been sent yet.
    pub(super) fn send_changes(&mut self, view: MemberView<'_>) {
        let newest = (view.fleet, view.policies.revision());
        if self.sent_up_to == Some(newest) {
            return;
        }
        self.sent_up_to = Some(newest);
        let ready = |s: &Session| s.subscribed.is_some() && !s.blocked;
        let sessions: Vec<SessionId> =
            self.sessions.iter().filter(|(_, s)| ready(s)).map(|(id, _)| *id).collect();
        for session in sessions {
            if !self.send_changes_to(session, view) && !self.snapshot_queue.contains(&session) {
                self.snapshot_queue.push_back(session);
            }
        }
        self.send_snapshots(view);
    }

    /// Sends new changes to a follower. Returns false if it needs a snapshot.
    fn send_changes_to(&mut self, session: SessionId, view: MemberView<'_>) -> bool {
        let Some(s) = self.sessions.get_mut(&session) else { return true };
        if s.fleet != Some(view.fleet) {
            // The log it followed is lost, and so are its revisions, votes and stops there.
            (s.fleet, s.sent, s.snapshot, s.revision, s.leased) = (None, None, None, 0, false);
            (s.vote, s.stopped, s.cannot_apply) = (None, None, None);
            return false;
        }
        let Some(sent) = s.sent else { return false };
        if sent >= view.policies.revision() {
            return true;
        }
        let Some(changes) = view.policies.changes_since(sent) else {
            s.sent = None;
            return false;
        };
        for (revision, change) in changes {
            s.sent = Some(revision);
            self.counters.changes += 1;
            self.outgoing.push((session, MemberMessage::Change(revision, change.clone())));
        }
        true
    }

    /// Number of snapshots sent and not yet acknowledged.
    pub fn unacknowledged_snapshots(&self) -> usize {
        self.sessions.values().filter(|s| s.snapshot.is_some()).count()
    }

    /// Sends snapshots to waiting sessions, up to the limit of unacknowledged ones.
    fn send_snapshots(&mut self, view: MemberView<'_>) {
        let further = self.config.max_snapshots.saturating_sub(self.unacknowledged_snapshots());
        for _ in 0..further {
            let Some(session) = self.snapshot_queue.pop_front() else { return };
            let Some(s) = self.sessions.get_mut(&session) else { continue };
            if s.blocked {
                continue;
            }
            let revision = view.policies.revision();
            s.fleet = Some(view.fleet);
            s.revision = 0;
            (s.sent, s.snapshot, s.leased) = (Some(revision), Some(revision), false);
            let policies = Box::new(view.policies.snapshot());
            self.counters.snapshots += 1;
            self.outgoing.push((session, MemberMessage::Snapshot { fleet: view.fleet, policies }));
        }
    }
}
