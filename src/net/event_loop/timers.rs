//! Timers of many kinds in one queue.

use crate::api::Micros;
use std::collections::BTreeSet;

/// Timers by due time. They are not cancelled: whoever takes one checks whether it still matters.
pub struct Timers<T>(BTreeSet<(Micros, T)>);

impl<T> Default for Timers<T> {
    fn default() -> Timers<T> {
        Timers(BTreeSet::new())
    }
}

impl<T: Ord + Copy> Timers<T> {
    /// Sets a timer for a point in time.
    pub fn set(&mut self, at: Micros, what: T) {
        self.0.insert((at, what));
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.0.first().map(|(t, _)| *t)
    }

    /// Takes a timer that is due by now.
    pub fn due(&mut self, now: Micros) -> Option<T> {
        let first = *self.0.first().filter(|(t, _)| *t <= now)?;
        self.0.remove(&first);
        Some(first.1)
    }
}
