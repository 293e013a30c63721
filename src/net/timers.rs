//! The clock, and what is due when.

use crate::api::Micros;
use std::collections::BTreeSet;
use std::time::{SystemTime, UNIX_EPOCH};

/// The Unix clock in microseconds, kept from going back.
#[derive(Default)]
pub struct Clock(Micros);

impl Clock {
    /// The time.
    pub fn now(&mut self) -> Micros {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        self.0 = self.0.max(unix);
        self.0
    }

    /// The time when it was last asked.
    pub fn last(&self) -> Micros {
        self.0
    }
}

/// What is due when; entries are not taken back, whoever gets one checks whether it still matters.
pub struct Timers<T>(BTreeSet<(Micros, T)>);

impl<T> Default for Timers<T> {
    fn default() -> Timers<T> {
        Timers(BTreeSet::new())
    }
}

impl<T: Ord + Copy> Timers<T> {
    /// Sets one.
    pub fn set(&mut self, at: Micros, what: T) {
        self.0.insert((at, what));
    }

    /// When the next is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.0.first().map(|(t, _)| *t)
    }

    /// Takes one that is due.
    pub fn due(&mut self, now: Micros) -> Option<T> {
        let first = *self.0.first().filter(|(t, _)| *t <= now)?;
        self.0.remove(&first);
        Some(first.1)
    }
}
