//! The trait that a part of the replicated state implements.
//!
//! Each state machine applies its own commands in log order and sees nothing but those commands, the leader's time and
//! the current leases; it does not depend on other state machines. All peers apply the same commands and reach the
//! same state.

use crate::{Holder, Micros};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;

/// A part of the replicated state. Its size is bounded, as a joining peer gets all of it in one snapshot: a command
/// that would exceed the bound changes nothing.
pub trait StateMachine: Default + Clone + PartialEq + Serialize + DeserializeOwned {
    /// Its commands in the log.
    type Command: Serialize + DeserializeOwned;

    /// Applies a command, given the lease holders at this log entry, and returns whether the state changed. A command
    /// that is not valid in the current state changes nothing, so that duplicates are harmless.
    fn apply(&mut self, command: Self::Command, alive: &BTreeSet<Holder>) -> bool;

    /// Handles the start or end of a lease. Returns whether the state changed.
    fn on_lease_change(&mut self, alive: &BTreeSet<Holder>) -> bool {
        let _ = alive;
        false
    }

    /// Advances the time to `now`, the leader's Unix time, about once a second. Returns whether the state changed.
    fn sweep(&mut self, now: Micros) -> bool {
        let _ = now;
        false
    }
}
