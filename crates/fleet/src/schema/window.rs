//! The window: which versions of the schema may begin, which only ends, and what its end waits for.

use super::Version;
use crate::{Holder, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Sweeps that are further apart add nothing to the time that an end has waited: what lies between may be the
/// difference of two leaders' clocks. Clocks that differ by less shorten the wait by as much at a change of leader.
const MOST_SWEEP: Micros = 3_000_000;

/// What the end of a version waits for: all who have a lease, and a while for those who have none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ending {
    /// Holders that have nothing of it in hand, by their own word in this step.
    clear: BTreeSet<Holder>,
    /// Holders that have not said so yet.
    waits: BTreeSet<Holder>,
    /// How long it has waited, by sweeps.
    waited: Micros,
    /// The last sweep of this step.
    swept: Option<Micros>,
}

impl Ending {
    fn new(alive: &BTreeSet<Holder>) -> Ending {
        Ending { waits: alive.clone(), ..Ending::default() }
    }

    /// Holders that have not said yet that they have nothing of it in hand.
    pub fn waits(&self) -> &BTreeSet<Holder> {
        &self.waits
    }

    /// How long it has waited, in microseconds.
    pub fn waited(&self) -> Micros {
        self.waited
    }

    fn leases(&mut self, alive: &BTreeSet<Holder>) -> bool {
        let clear: BTreeSet<Holder> = self.clear.intersection(alive).copied().collect();
        let waits: BTreeSet<Holder> = alive.difference(&clear).copied().collect();
        let changed = (&clear, &waits) != (&self.clear, &self.waits);
        (self.clear, self.waits) = (clear, waits);
        changed
    }

    fn sweep(&mut self, now: Micros) -> bool {
        let last = self.swept.replace(now);
        let more = last.map_or(0, |last| now.saturating_sub(last));
        self.waited = self.waited.saturating_add(if more <= MOST_SWEEP { more } else { 0 });
        last != Some(now)
    }

    /// With nobody alive there is nobody to say so, and it waits on.
    fn over(&self, linger: Micros) -> bool {
        self.waits.is_empty() && !self.clear.is_empty() && self.waited >= linger
    }
}

/// Where the fleet is. The newer version of a window is always the older one's successor.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Window {
    /// No version was ever named: nothing is negotiated.
    #[default]
    Unset,
    /// One version.
    Closed(Version),
    /// Both may begin.
    Opening {
        /// The older.
        old: Version,
    },
    /// Only the newer begins, and the older ends.
    Closing {
        /// The older.
        old: Version,
        /// What that waits for.
        ending: Ending,
    },
    /// Rolled back: only the older begins, and the newer ends.
    Back {
        /// The older.
        old: Version,
        /// What the end of the newer waits for.
        ending: Ending,
    },
}

impl Window {
    /// The versions in it, oldest first.
    pub fn versions(&self) -> Vec<Version> {
        match self {
            Window::Unset => vec![],
            Window::Closed(v) => vec![*v],
            Window::Opening { old } | Window::Closing { old, .. } | Window::Back { old, .. } => {
                vec![*old, old.saturating_add(1)]
            }
        }
    }

    /// The versions under which something new may begin, oldest first. What is in hand may go on under any
    /// version of [`Window::versions`].
    pub fn starts(&self) -> Vec<Version> {
        let mut versions = self.versions();
        versions.retain(|v| self.ends() != Some(*v));
        versions
    }

    /// The version that ends.
    pub fn ends(&self) -> Option<Version> {
        match self {
            Window::Closing { old, .. } => Some(*old),
            Window::Back { old, .. } => Some(old.saturating_add(1)),
            _ => None,
        }
    }

    /// What the end of a version waits for, where one ends.
    pub fn ending(&self) -> Option<&Ending> {
        match self {
            Window::Closing { ending, .. } | Window::Back { ending, .. } => Some(ending),
            _ => None,
        }
    }

    fn ending_mut(&mut self) -> Option<&mut Ending> {
        match self {
            Window::Closing { ending, .. } | Window::Back { ending, .. } => Some(ending),
            _ => None,
        }
    }

    pub(super) fn close(&mut self, alive: &BTreeSet<Holder>) {
        if let Window::Opening { old } = *self {
            *self = Window::Closing { old, ending: Ending::new(alive) };
        }
    }

    pub(super) fn back(&mut self, alive: &BTreeSet<Holder>) {
        if let Window::Opening { old } | Window::Closing { old, .. } = *self {
            *self = Window::Back { old, ending: Ending::new(alive) };
        }
    }

    /// A holder has nothing of the version that ends in hand.
    pub(super) fn clear(&mut self, holder: Holder) -> bool {
        let Some(ending) = self.ending_mut() else { return false };
        ending.waits.remove(&holder) && ending.clear.insert(holder)
    }

    pub(super) fn leases(&mut self, alive: &BTreeSet<Holder>) -> bool {
        self.ending_mut().is_some_and(|e| e.leases(alive))
    }

    pub(super) fn sweep(&mut self, now: Micros) -> bool {
        self.ending_mut().is_some_and(|e| e.sweep(now))
    }

    /// Goes on to the closed window, if nothing holds that up any more.
    pub(super) fn settle(&mut self, linger: Micros) -> bool {
        let next = match self {
            Window::Closing { old, ending } if ending.over(linger) => old.saturating_add(1),
            Window::Back { old, ending } if ending.over(linger) => *old,
            _ => return false,
        };
        *self = Window::Closed(next);
        true
    }
}
