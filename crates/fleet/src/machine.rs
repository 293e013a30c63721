//! What a kind of agreed state has to be, so that it can stand beside the others on the fleet's log.
//!
//! Each machine is moved by commands of its own, in the order of the log, and sees nothing but those and who has a
//! lease: none knows another. All peers apply the same commands and come to the same state.

use crate::{Holder, Micros};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;

/// A kind of agreed state. It goes whole into the snapshot that a peer gets which joins, so that it is bounded:
/// a command that would make it larger than its bound changes nothing.
pub trait Machine: Default + Clone + PartialEq + Serialize + DeserializeOwned {
    /// What moves it.
    type Command: Serialize + DeserializeOwned;

    /// Takes a command, with those who have a lease at this place of the log. Whether it changed anything; a
    /// command that does not follow from the state changes nothing, so that one that comes twice does no harm.
    fn apply(&mut self, command: Self::Command, alive: &BTreeSet<Holder>) -> bool;

    /// A lease began or ended. Whether it changed anything.
    fn leases(&mut self, alive: &BTreeSet<Holder>) -> bool {
        let _ = alive;
        false
    }

    /// Time passes, by the leader's Unix clock, about once a second. Whether it changed anything.
    fn sweep(&mut self, now: Micros) -> bool {
        let _ = now;
        false
    }
}
