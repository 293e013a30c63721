//! Messages in transit between processes.

use super::world::{MS, World};
use fleet::control_plane::member::MemberLog;
use fleet::control_plane::messages::{FRAMING, MAX_FOLLOWER_FRAME, MAX_MEMBER_FRAME};
use fleet::control_plane::{FollowerMessage, MemberMessage, SessionId};
use fleet::wire::decode_frame;
use fleet::{Micros, Peer};
use std::collections::BTreeSet;

pub enum Payload {
    ToMember(Vec<u8>),
    ToFollower(Vec<u8>),
    Closed,
}

/// A message on a connection between a follower and a member.
pub struct InTransit {
    pub at: Micros,
    pub session: SessionId,
    pub payload: Payload,
}

impl World {
    pub fn deliver_between_members(&mut self) {
        let now = self.now;
        let mut due: Vec<_> = self.peers_in_transit.iter().filter(|w| w.0 <= now).cloned().collect();
        self.peers_in_transit.retain(|w| w.0 > now);
        due.sort_by_key(|w| w.0);
        for (at, from, to, bytes) in due {
            if self.paused_members.contains_key(&to) {
                self.peers_in_transit.push_back((at + 5 * MS, from, to, bytes));
            } else if let Some(node) = self.members.get_mut(&to) {
                let (_, message) = decode_frame(&bytes, 64 << 20).unwrap().unwrap();
                node.fleet.handle_message(now, from, message);
            }
        }
    }

    /// Delivers messages in order per connection and direction; those on stalled connections are kept back.
    pub fn deliver_to_followers_and_members(&mut self) {
        let now = self.now;
        let in_transit = std::mem::take(&mut self.in_transit);
        let mut held = BTreeSet::new();
        for message in in_transit {
            let Some((follower, peer)) = self.sessions.get(&message.session).copied() else { continue };
            let stalls = match message.payload {
                Payload::ToMember(_) => self.paused_members.contains_key(&peer),
                Payload::ToFollower(_) => {
                    self.paused_followers.contains_key(&follower)
                        || self.followers.get(&follower).is_some_and(|f| f.not_reading)
                }
                Payload::Closed => false,
            };
            let towards_member = matches!(message.payload, Payload::ToMember(_));
            let stream = (message.session, towards_member);
            let silent = self.silent.contains(&follower) && !matches!(message.payload, Payload::Closed);
            if message.at > now || stalls || silent || held.contains(&stream) {
                held.insert(stream);
                self.in_transit.push(message);
                continue;
            }
            self.deliver(message, follower, peer);
        }
    }

    fn deliver(&mut self, message: InTransit, follower: usize, peer: Peer) {
        let (now, session) = (self.now, message.session);
        match message.payload {
            Payload::ToMember(bytes) => {
                let Some(node) = self.members.get_mut(&peer) else { return };
                let read = FRAMING.decode::<FollowerMessage>(&bytes, MAX_FOLLOWER_FRAME);
                let (_, message) = read.unwrap().unwrap();
                let view = node.fleet.view(now);
                if node.member.handle_message(now, session, message, view).is_err() {
                    node.member.disconnected(session);
                    node.member.closing.push(session);
                }
            }
            Payload::ToFollower(bytes) => {
                let Some(f) = self.followers.get_mut(&follower) else { return };
                if f.connection.is_none_or(|(_, s)| s != session) {
                    return;
                }
                let clock = f.clock(now);
                let snapshots = f.follower.counters.snapshots;
                let read = FRAMING.decode::<MemberMessage>(&bytes, MAX_MEMBER_FRAME);
                let (_, message) = read.unwrap().unwrap();
                f.follower.handle_message(clock, message);
                f.check_revision(snapshots);
            }
            Payload::Closed => {
                self.sessions.remove(&session);
                if let Some(node) = self.members.get_mut(&peer) {
                    node.member.disconnected(session);
                }
                if let Some(f) = self.followers.get_mut(&follower)
                    && f.connection.is_some_and(|(_, s)| s == session)
                {
                    f.connection = None;
                    let clock = f.clock(now);
                    f.follower.disconnected(clock);
                }
            }
        }
    }
}
