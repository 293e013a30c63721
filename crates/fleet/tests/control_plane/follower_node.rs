//! A follower process: its state machine, its participation in policy changes, and a clock of its own.

use fleet::control_plane::{Follower, SessionId};
use fleet::policy::{Action, Gate, Participant, Policy, PolicyLog};
use fleet::{Micros, Peer};

/// The time on a clock that is faster by `drift` thousandths.
pub fn faster(now: Micros, drift: i64) -> Micros {
    now.saturating_add_signed(now as i64 * drift / 1_000)
}

/// A follower process.
pub struct FollowerNode {
    pub follower: Follower,
    pub part: Participant,
    /// The member it is connected to, and the session id.
    pub connection: Option<(Peer, SessionId)>,
    /// How much faster than the world's clock its clock runs, in thousandths; `offset` is added to it.
    pub drift: i64,
    pub offset: Micros,
    /// It finds a fault in policies that contain an unknown class.
    pub faulty: bool,
    /// It does not read from its connection.
    pub not_reading: bool,
    pub last_revision: Option<(u64, u64)>,
    pub actions: Vec<Action>,
}

impl FollowerNode {
    pub fn clock(&self, now: Micros) -> Micros {
        faster(now, self.drift) + self.offset
    }

    /// Admission decision for an arriving request.
    pub fn gate(&self, now: Micros) -> Gate {
        self.part.gate(self.follower.holds(self.clock(now)))
    }

    /// Applies a change of the agreed state, if there is one, and submits the answers to it.
    pub fn process_changes(&mut self, now: Micros) {
        let now = self.clock(now);
        if !self.follower.take_changed() && self.part.caught_up() {
            return;
        }
        let holder = self.follower.holds(now);
        let faulty = self.faulty;
        let mut check = |policy: &Policy| {
            let bad = faulty && policy.text.contains("unknown");
            if bad { vec!["unknown class".to_string()] } else { Vec::new() }
        };
        let actions = self.part.poll(now, 0, holder, self.follower.policies(), &mut check);
        self.follower.mark_applied(self.part.number());
        for action in actions {
            match action {
                Action::Submit(command) => {
                    if !self.follower.submit(now, command) {
                        self.part.submit_failed();
                    }
                }
                action => self.actions.push(action),
            }
        }
    }

    /// Asserts that revisions of one log increase by one, except after a snapshot.
    pub fn check_revision(&mut self, snapshots: u64) {
        let Some(at) = self.follower.revision() else { return };
        if let Some((fleet, revision)) = self.last_revision
            && fleet == at.fleet
            && self.follower.counters.snapshots == snapshots
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
