//! The version window: which versions work may start under, which one is ending, and what that waits for.

use super::Version;
use crate::{Holder, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Maximum interval between sweeps that counts as waiting time: a longer one may be the clock difference
/// between two leaders. A smaller clock difference shortens the wait by that amount when the leader changes.
const MAX_SWEEP_INTERVAL: Micros = 3_000_000;

/// What the end of a version waits for: a confirmation by each lease holder, and a minimum time for
/// dispatchers without a lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ending {
    /// Holders that have confirmed in this step that they have no work under the version.
    confirmed: BTreeSet<Holder>,
    /// Holders that have not confirmed yet.
    unconfirmed: BTreeSet<Holder>,
    /// Waiting time so far, as counted by sweeps.
    waited: Micros,
    /// Time of the last sweep in this step.
    swept: Option<Micros>,
}

impl Ending {
    fn new(alive: &BTreeSet<Holder>) -> Ending {
        Ending { unconfirmed: alive.clone(), ..Ending::default() }
    }

    /// Holders that have not confirmed yet that they have no work under the version.
    pub fn unconfirmed(&self) -> &BTreeSet<Holder> {
        &self.unconfirmed
    }

    /// Waiting time so far, in microseconds.
    pub fn waited(&self) -> Micros {
        self.waited
    }

    fn update_holders(&mut self, alive: &BTreeSet<Holder>) -> bool {
        let confirmed: BTreeSet<Holder> = self.confirmed.intersection(alive).copied().collect();
        let unconfirmed: BTreeSet<Holder> = alive.difference(&confirmed).copied().collect();
        let changed = (&confirmed, &unconfirmed) != (&self.confirmed, &self.unconfirmed);
        (self.confirmed, self.unconfirmed) = (confirmed, unconfirmed);
        changed
    }

    fn sweep(&mut self, now: Micros) -> bool {
        let last = self.swept.replace(now);
        let elapsed = last.map_or(0, |last| now.saturating_sub(last));
        self.waited = self.waited.saturating_add(if elapsed <= MAX_SWEEP_INTERVAL { elapsed } else { 0 });
        last != Some(now)
    }

    /// Without lease holders nobody can confirm, so the wait continues.
    fn is_over(&self, linger: Micros) -> bool {
        self.unconfirmed.is_empty() && !self.confirmed.is_empty() && self.waited >= linger
    }
}

/// State of the window. The newer version is always the older one plus one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Window {
    /// No version has been set: none is negotiated.
    #[default]
    Unset,
    /// One version.
    Closed(Version),
    /// Work may start under both versions.
    Opening {
        /// The older version.
        old: Version,
    },
    /// Work starts only under the newer version; the older one is ending.
    Closing {
        /// The older version.
        old: Version,
        /// What the end of the older version waits for.
        ending: Ending,
    },
    /// Rolled back: work starts only under the older version; the newer one is ending.
    RollingBack {
        /// The older version.
        old: Version,
        /// What the end of the newer version waits for.
        ending: Ending,
    },
}

impl Window {
    /// The versions in the window, oldest first.
    pub fn versions(&self) -> Vec<Version> {
        match self {
            Window::Unset => vec![],
            Window::Closed(v) => vec![*v],
            Window::Opening { old } | Window::Closing { old, .. } | Window::RollingBack { old, .. } => {
                vec![*old, old.saturating_add(1)]
            }
        }
    }

    /// The versions under which new work may start, oldest first. Work in progress may continue under any
    /// version of [`Window::versions`].
    pub fn starts(&self) -> Vec<Version> {
        let mut versions = self.versions();
        versions.retain(|v| self.ending_version() != Some(*v));
        versions
    }

    /// The version that is ending.
    pub fn ending_version(&self) -> Option<Version> {
        match self {
            Window::Closing { old, .. } => Some(*old),
            Window::RollingBack { old, .. } => Some(old.saturating_add(1)),
            _ => None,
        }
    }

    /// What the ending version waits for, if one is ending.
    pub fn ending(&self) -> Option<&Ending> {
        match self {
            Window::Closing { ending, .. } | Window::RollingBack { ending, .. } => Some(ending),
            _ => None,
        }
    }

    fn ending_mut(&mut self) -> Option<&mut Ending> {
        match self {
            Window::Closing { ending, .. } | Window::RollingBack { ending, .. } => Some(ending),
            _ => None,
        }
    }

    pub(super) fn close(&mut self, alive: &BTreeSet<Holder>) {
        if let Window::Opening { old } = *self {
            *self = Window::Closing { old, ending: Ending::new(alive) };
        }
    }

    pub(super) fn roll_back(&mut self, alive: &BTreeSet<Holder>) {
        if let Window::Opening { old } | Window::Closing { old, .. } = *self {
            *self = Window::RollingBack { old, ending: Ending::new(alive) };
        }
    }

    /// Records a holder's confirmation that it has no work under the ending version.
    pub(super) fn confirm(&mut self, holder: Holder) -> bool {
        let Some(ending) = self.ending_mut() else { return false };
        ending.unconfirmed.remove(&holder) && ending.confirmed.insert(holder)
    }

    pub(super) fn update_holders(&mut self, alive: &BTreeSet<Holder>) -> bool {
        self.ending_mut().is_some_and(|e| e.update_holders(alive))
    }

    pub(super) fn sweep(&mut self, now: Micros) -> bool {
        self.ending_mut().is_some_and(|e| e.sweep(now))
    }

    /// Closes the window once the ending version has nothing left to wait for.
    pub(super) fn close_if_done(&mut self, linger: Micros) -> bool {
        let next = match self {
            Window::Closing { old, ending } if ending.is_over(linger) => old.saturating_add(1),
            Window::RollingBack { old, ending } if ending.is_over(linger) => *old,
            _ => return false,
        };
        *self = Window::Closed(next);
        true
    }
}
