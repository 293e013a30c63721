//! A timer queue.

use crate::api::Micros;
use std::collections::BTreeSet;

/// Timers ordered by due time. Timers are not cancelled: the caller checks whether an expired timer is still
/// relevant.
pub struct Timers<T>(BTreeSet<(Micros, T)>);

impl<T> Default for Timers<T> {
    fn default() -> Timers<T> {
        Timers(BTreeSet::new())
    }
}

impl<T: Ord + Copy> Timers<T> {
    /// Sets a timer.
    pub fn set(&mut self, at: Micros, what: T) {
        self.0.insert((at, what));
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.0.first().map(|(t, _)| *t)
    }

    /// Removes and returns a timer that is due by `now`.
    pub fn due(&mut self, now: Micros) -> Option<T> {
        let first = *self.0.first().filter(|(t, _)| *t <= now)?;
        self.0.remove(&first);
        Some(first.1)
    }
}
