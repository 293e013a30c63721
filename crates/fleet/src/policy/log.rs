//! Access to the agreed policy: through the fleet's log, or through a member of the fleet.

use super::{Command, Policies};
use crate::state::{self, ReplicatedState};
use crate::{Fleet, Holder, Micros};

/// The agreed policy as seen by one dispatcher, and the lease it admits under.
pub trait PolicyLog {
    /// The lease, if it is valid now.
    fn holds(&self, now: Micros) -> Option<Holder>;

    /// The agreed policies; `None` if they are not known here yet.
    fn policies(&self) -> Option<&Policies>;

    /// Submits a command to the log. Returns false if that is not possible now.
    fn submit(&mut self, now: Micros, command: Command) -> bool;

    /// The host has applied all of [`PolicyLog::policies`] and admits under the policy of this number from
    /// now on.
    fn mark_applied(&mut self, number: u64);
}

impl PolicyLog for Fleet {
    fn holds(&self, now: Micros) -> Option<Holder> {
        Fleet::holds(self, now)
    }

    fn policies(&self) -> Option<&Policies> {
        self.state().map(ReplicatedState::policy)
    }

    fn submit(&mut self, now: Micros, command: Command) -> bool {
        self.propose(now, state::Command::Policy(command))
    }

    fn mark_applied(&mut self, number: u64) {
        self.policy = number;
    }
}
