//! Helpers with which tests advance the world, inspect it, and propose changes.

use super::world::{LIMITS, MS, World};
use fleet::policy::{self, Gate, Policy, PolicyLog, QueuedChange};
use fleet::{Micros, Peer};

impl World {
    pub fn run(&mut self, span: Micros, mut each: impl FnMut(&mut World)) {
        let end = self.now + span;
        while self.now < end {
            self.step();
            each(self);
        }
    }

    /// Advances the world until `holds` returns true; panics after `within` of virtual time.
    pub fn run_until(&mut self, within: Micros, what: &str, holds: impl Fn(&World) -> bool) -> Micros {
        let start = self.now;
        while !holds(self) {
            assert!(self.now < start + within, "not within {} ms: {what}", within / MS);
            self.step();
        }
        self.now - start
    }

    pub fn wait_until_formed(&mut self) {
        self.run_until(20_000 * MS, "all have a lease", World::all_admit);
    }

    /// Whether every follower admits requests.
    pub fn all_admit(&self) -> bool {
        self.followers.values().all(|f| matches!(f.gate(self.now), Gate::Admit(_)))
    }

    /// Whether every follower admits under the policy of this number.
    pub fn all_at(&self, number: u64) -> bool {
        self.followers.values().all(|f| f.gate(self.now) == Gate::Admit(number))
    }

    /// Proposes a policy at a member. Returns whether it could be submitted.
    pub fn propose(&mut self, peer: Peer, text: &str) -> bool {
        self.next_at += 1;
        let at = self.now + self.next_at;
        let now = self.now;
        let Some(node) = self.members.get_mut(&peer) else { return false };
        let mut digest = [0; 32];
        digest.iter_mut().zip(text.bytes()).for_each(|(d, b)| *d = b);
        let policy = Policy { number: node.member.known_policy(), text: text.into(), digest };
        let waiting = QueuedChange { policy, by: peer, at, limits: LIMITS };
        node.fleet.submit(now, policy::Command::Queue(waiting))
    }

    /// Proposes a policy at any member that can submit it; panics if none can for 4,000 steps.
    pub fn propose_anywhere(&mut self, text: &str) {
        for _ in 0..4_000 {
            let peers: Vec<Peer> = self.members.keys().copied().collect();
            if peers.into_iter().any(|p| self.propose(p, text)) {
                return;
            }
            self.step();
        }
        panic!("no member could submit the proposal");
    }

    /// The member a follower is subscribed to.
    pub fn member_of(&self, index: usize) -> Option<Peer> {
        self.followers.get(&index).and_then(|f| f.follower.member()).map(|m| (m + 1) as Peer)
    }

    /// The member that leads the log.
    pub fn leader(&self) -> Option<Peer> {
        self.members.iter().find(|(_, n)| n.fleet.is_leader()).map(|(p, _)| *p)
    }
}
