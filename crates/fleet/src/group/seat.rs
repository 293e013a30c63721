//! How lives come into the log's vote, and their former ones out of it.

use super::*;

impl Group {
    /// As leader: takes a life in that has no vote yet, one step at a time.
    pub fn seat(&mut self, life: Life) {
        let members = self.log.members();
        let joint = !members.voters_outgoing.is_empty();
        if !self.leads() || joint || self.node.raft.has_pending_conf() || members.voters.contains(&life) {
            return;
        }
        let peer = peer_of(life);
        let single = |kind, id| {
            let mut c = ConfChangeSingle::default();
            c.set_change_type(kind);
            c.node_id = id;
            c
        };
        let stale = |ids: &[Life]| -> Vec<Life> {
            ids.iter().copied().filter(|l| *l != life && peer_of(*l) == peer).collect()
        };
        let mut changes: Vec<ConfChangeSingle> = Vec::new();
        if members.learners.contains(&life) {
            let matched = self.node.raft.prs().get(life).map_or(0, |p| p.matched);
            if matched == 0 || matched + CAUGHT_UP < self.node.raft.raft_log.committed {
                return;
            }
            changes.extend(stale(&members.voters).into_iter().map(|l| single(ConfChangeType::RemoveNode, l)));
            changes.push(single(ConfChangeType::AddNode, life));
        } else {
            changes
                .extend(stale(&members.learners).into_iter().map(|l| single(ConfChangeType::RemoveNode, l)));
            changes.push(single(ConfChangeType::AddLearnerNode, life));
        }
        let mut change = ConfChangeV2::default();
        change.set_changes(changes.into());
        let _ = self.node.propose_conf_change(Vec::new(), change);
        self.pump();
    }
}
