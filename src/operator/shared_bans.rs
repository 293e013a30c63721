//! Bans that all processes of a dispatcher hold alike, whichever of them an operator called.
//!
//! For each executor the latest call counts. Calls are ordered by the time at which they were made; of two at the same
//! time, the ban counts. Processes that know the same calls hold the same bans, in whatever order they learned of them.

use super::bans::{BanError, Bans, MAX_BANS};
use crate::api::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of calls that are remembered. Beyond it, the oldest call that lifted a ban is forgotten.
pub const MAX_CALLS: usize = 2 * MAX_BANS;

/// The latest call of an operator for an executor. The order is that in which calls count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BanCall {
    /// When it was made, in microseconds since 1970; 0 for a ban of a hand-over file, which does not tell.
    pub at: Micros,
    /// Whether it set a ban (`OFFLINE`) or lifted it (`ONLINE`).
    pub banned: bool,
}

/// What a call that was made at another process changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merged {
    /// Nothing: it, or a later one, is known.
    Known,
    /// It is the latest call, but the bans in force stay as they are.
    Confirmed,
    /// It sets or lifts a ban.
    Changed,
}

/// The bans in force, with the calls that set and lifted them.
#[derive(Debug, Clone, Default)]
pub struct SharedBans {
    in_force: Bans,
    /// The latest call for each executor.
    calls: BTreeMap<String, BanCall>,
    /// The time of the latest call that is known.
    latest_at: Micros,
}

impl SharedBans {
    /// Begins with the bans of a hand-over file.
    pub fn new(loaded: Bans) -> SharedBans {
        let call = BanCall { at: 0, banned: true };
        let calls = loaded.ids().map(|id| (id.to_string(), call)).collect();
        SharedBans { in_force: loaded, calls, latest_at: 0 }
    }

    /// The bans in force.
    pub fn in_force(&self) -> &Bans {
        &self.in_force
    }

    /// Whether an executor is banned.
    pub fn banned(&self, id: &str) -> bool {
        self.in_force.banned(id)
    }

    /// The latest call for each executor.
    pub fn calls(&self) -> impl Iterator<Item = (&str, BanCall)> {
        self.calls.iter().map(|(id, call)| (id.as_str(), *call))
    }

    /// Bans an executor; `listed` is whether it is on the list. Returns the call, or `None` if it was banned already.
    pub fn offline(&mut self, id: &str, listed: bool, now: Micros) -> Result<Option<BanCall>, BanError> {
        let is_new = self.in_force.offline(id, listed)?;
        Ok(is_new.then(|| self.record_own(id, true, now)))
    }

    /// Lifts a ban. Returns the call, or `None` if there was no ban; a listed executor without a ban is not an error.
    pub fn online(&mut self, id: &str, listed: bool, now: Micros) -> Result<Option<BanCall>, BanError> {
        let was_banned = self.in_force.online(id, listed)?;
        Ok(was_banned.then(|| self.record_own(id, false, now)))
    }

    /// Takes over a call that was made at another process, unless a later one is known.
    pub fn merge(&mut self, id: &str, call: BanCall) -> Result<Merged, BanError> {
        if self.calls.get(id).is_some_and(|known| *known >= call) {
            return Ok(Merged::Known);
        }
        let is_changed =
            if call.banned { self.in_force.offline(id, true)? } else { self.in_force.online(id, true)? };
        self.latest_at = self.latest_at.max(call.at);
        self.record(id, call);
        Ok(if is_changed { Merged::Changed } else { Merged::Confirmed })
    }

    /// Records a call made at this process. It counts after every call that is known, whatever the clock says.
    fn record_own(&mut self, id: &str, banned: bool, now: Micros) -> BanCall {
        self.latest_at = now.max(self.latest_at.saturating_add(1));
        let call = BanCall { at: self.latest_at, banned };
        self.record(id, call);
        call
    }

    fn record(&mut self, id: &str, call: BanCall) {
        self.calls.insert(id.to_string(), call);
        if self.calls.len() <= MAX_CALLS {
            return;
        }
        let lifted = self.calls.iter().filter(|(_, call)| !call.banned);
        let oldest = lifted.min_by_key(|(_, call)| **call).map(|(id, _)| id.clone());
        if let Some(id) = oldest {
            self.calls.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
