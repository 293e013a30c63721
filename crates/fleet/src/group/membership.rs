//! Membership changes: adds new incarnations as voters and removes the former ones of their peers.

use super::*;

impl Group {
    /// As leader, takes the next step towards making an incarnation a voter: adds it as a learner, or promotes it once it
    /// has caught up. Does nothing while another configuration change is pending.
    pub fn add_voter(&mut self, incarnation: Incarnation) {
        let members = self.log.members();
        let joint = !members.voters_outgoing.is_empty();
        if !self.is_leader()
            || joint
            || self.node.raft.has_pending_conf()
            || members.voters.contains(&incarnation)
        {
            return;
        }
        let peer = peer_of(incarnation);
        let single = |kind, id| {
            let mut c = ConfChangeSingle::default();
            c.set_change_type(kind);
            c.node_id = id;
            c
        };
        let stale = |ids: &[Incarnation]| -> Vec<Incarnation> {
            ids.iter().copied().filter(|l| *l != incarnation && peer_of(*l) == peer).collect()
        };
        let mut changes: Vec<ConfChangeSingle> = Vec::new();
        if members.learners.contains(&incarnation) {
            let matched = self.node.raft.prs().get(incarnation).map_or(0, |p| p.matched);
            if matched == 0 || matched + MAX_LEARNER_LAG < self.node.raft.raft_log.committed {
                return;
            }
            changes.extend(stale(&members.voters).into_iter().map(|l| single(ConfChangeType::RemoveNode, l)));
            changes.push(single(ConfChangeType::AddNode, incarnation));
        } else {
            changes
                .extend(stale(&members.learners).into_iter().map(|l| single(ConfChangeType::RemoveNode, l)));
            changes.push(single(ConfChangeType::AddLearnerNode, incarnation));
        }
        let mut change = ConfChangeV2::default();
        change.set_changes(changes.into());
        let _ = self.node.propose_conf_change(Vec::new(), change);
        self.process_ready();
    }
}
