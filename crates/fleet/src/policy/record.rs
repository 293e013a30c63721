//! Where a dispatcher learns the policy from and speaks to: the fleet's log, or a member of it.

use super::{Command, Policies};
use crate::state::{self, ReplicatedState};
use crate::{Fleet, Holder, Micros};

/// The agreed policy as one dispatcher sees it, and the lease that it admits by.
pub trait PolicyRecord {
    /// The lease, if it holds now.
    fn holds(&self, now: Micros) -> Option<Holder>;

    /// What is agreed, as far as it is known here.
    fn policies(&self) -> Option<&Policies>;

    /// Says something of a change. False if nobody can be told now.
    fn say(&mut self, now: Micros, command: Command) -> bool;

    /// All of [`PolicyRecord::policies`] was heeded, and this number is acted by: what is admitted from here on
    /// follows it.
    fn heeded(&mut self, number: u64);
}

impl PolicyRecord for Fleet {
    fn holds(&self, now: Micros) -> Option<Holder> {
        Fleet::holds(self, now)
    }

    fn policies(&self) -> Option<&Policies> {
        self.state().map(ReplicatedState::policy)
    }

    fn say(&mut self, now: Micros, command: Command) -> bool {
        self.propose(now, state::Command::Policy(command))
    }

    fn heeded(&mut self, number: u64) {
        self.policy = number;
    }
}
