//! One follower's process: its decisions, its part in changes, and a clock of its own.

use fleet::control_plane::{Follower, SessionId};
use fleet::policy::{Act, Gate, Part, Policy, PolicyRecord};
use fleet::{Micros, Peer};

/// A time by a clock that runs so many thousandths faster.
pub fn faster(now: Micros, drift: i64) -> Micros {
    now.saturating_add_signed(now as i64 * drift / 1_000)
}

/// A follower's process.
pub struct FollowerNode {
    pub follower: Follower,
    pub part: Part,
    /// Its connection: to whom, and its number.
    pub connection: Option<(Peer, SessionId)>,
    /// Its clock runs so many thousandths faster than the world's, from another start.
    pub drift: i64,
    pub offset: Micros,
    /// The policies that it can't do.
    pub faulty: bool,
    /// It takes nothing from its connection.
    pub deaf: bool,
    pub last_revision: Option<(u64, u64)>,
    pub acts: Vec<Act>,
}

impl FollowerNode {
    pub fn clock(&self, now: Micros) -> Micros {
        faster(now, self.drift) + self.offset
    }

    /// What a request that arrives meets.
    pub fn gate(&self, now: Micros) -> Gate {
        self.part.gate(self.follower.holds(self.clock(now)))
    }

    pub fn look(&mut self, now: Micros) {
        let now = self.clock(now);
        if !self.follower.take_changed() && self.part.abreast() {
            return;
        }
        let holder = self.follower.holds(now);
        let faulty = self.faulty;
        let mut check = |policy: &Policy| {
            let bad = faulty && policy.text.contains("unknown");
            if bad { vec!["unknown class".to_string()] } else { Vec::new() }
        };
        let acts = self.part.look(now, 0, holder, self.follower.policies(), &mut check);
        self.follower.heeded(self.part.number());
        for act in acts {
            match act {
                Act::Say(command) => {
                    if !self.follower.say(now, command) {
                        self.part.unsaid();
                    }
                }
                act => self.acts.push(act),
            }
        }
    }

    /// Revisions of one founding follow on each other, or a snapshot jumps ahead.
    pub fn check_revision(&mut self, snapshots: u64) {
        let Some(at) = self.follower.revision() else { return };
        if let Some((fleet, revision)) = self.last_revision
            && fleet == at.fleet
            && self.follower.tally.snapshots == snapshots
        {
            assert!(
                at.revision == revision || at.revision == revision + 1,
                "{revision} then {}",
                at.revision
            );
        }
        self.last_revision = Some((at.fleet, at.revision));
    }
}
