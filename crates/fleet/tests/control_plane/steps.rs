//! The work of each process within one step of the world.

use super::transit::{InTransit, Payload};
use super::world::{MS, World};
use fleet::Peer;
use fleet::control_plane::follower::ConnectionAction;
use fleet::control_plane::messages::FRAMING;
use fleet::policy::Gate;
use fleet::wire::encode_frame;

impl World {
    pub fn step_member(&mut self, peer: Peer) {
        let now = self.now;
        let Some(node) = self.members.get_mut(&peer) else { return };
        node.fleet.tick(now);
        node.fleet.flush(now);
        node.member.tick(now);
        node.member.poll(now, &mut node.fleet, &mut |_| Vec::new());
        node.fleet.flush(now);
        let messages = std::mem::take(&mut node.fleet.messages);
        node.fleet.events.clear();
        let outgoing = std::mem::take(&mut node.member.outgoing);
        let closing = std::mem::take(&mut node.member.closing);
        self.snapshots_seen = self.snapshots_seen.max(node.member.unacknowledged_snapshots());
        for (to, message) in messages {
            let lost = self.cut.contains(&(peer, to)) || self.random(200) == 0;
            let at = now + self.delay + self.random(4) * MS;
            if !lost {
                self.peers_in_transit.push_back((at, peer, to, encode_frame(&message)));
            }
        }
        for (session, message) in outgoing {
            let at = now + self.random(4) * MS;
            let payload = Payload::ToFollower(FRAMING.encode(&message));
            self.in_transit.push(InTransit { at, session, payload });
        }
        closing.into_iter().for_each(|s| self.close(s));
    }

    pub fn step_follower(&mut self, index: usize) {
        let now = self.now;
        let Some(f) = self.followers.get_mut(&index) else { return };
        let clock = f.clock(now);
        f.process_changes(now);
        f.follower.tick(clock);
        f.process_changes(now);
        f.follower.tick(clock);
        let actions = std::mem::take(&mut f.follower.connection_actions);
        for action in actions {
            self.execute(index, action);
        }
        let Some(f) = self.followers.get_mut(&index) else { return };
        let outgoing = std::mem::take(&mut f.follower.outgoing);
        if let Some((_, session)) = f.connection {
            for message in outgoing {
                let at = now + self.random(4) * MS;
                let payload = Payload::ToMember(FRAMING.encode(&message));
                self.in_transit.push(InTransit { at, session, payload });
            }
        }
    }

    fn execute(&mut self, index: usize, action: ConnectionAction) {
        let now = self.now;
        let Some(f) = self.followers.get_mut(&index) else { return };
        let clock = f.clock(now);
        if let Some((peer, session)) = f.connection.take() {
            // The follower closes its side at once, and the member sees that in the same step.
            if let Some(node) = self.members.get_mut(&peer) {
                node.member.disconnected(session);
            }
            self.sessions.remove(&session);
        }
        let ConnectionAction::Dial(member) = action else { return };
        let peer = (member + 1) as Peer;
        let session = self.next_session;
        self.next_session += 1;
        match self.members.get_mut(&peer) {
            Some(node) if !self.silent.contains(&index) => {
                node.member.connected(now, session);
                self.sessions.insert(session, (index, peer));
                let Some(f) = self.followers.get_mut(&index) else { return };
                f.connection = Some((peer, session));
                f.follower.connected(clock);
            }
            _ => {
                if let Some(f) = self.followers.get_mut(&index).filter(|_| !self.silent.contains(&index)) {
                    f.follower.disconnected(clock);
                }
            }
        }
    }

    /// A request arrives; asserts that it is not admitted under an older policy than any earlier request.
    pub fn request_arrives(&mut self, index: usize) {
        match self.followers.get(&index).map(|f| f.gate(self.now)) {
            Some(Gate::Admit(number)) => {
                self.decisions[0] += 1;
                let newest = self.admitted;
                assert!(
                    number >= newest,
                    "at {} d{index} admits under policy {number} after {newest}",
                    self.now
                );
                self.admitted = number;
            }
            Some(Gate::Hold) => self.decisions[1] += 1,
            _ => self.decisions[2] += 1,
        }
    }
}
