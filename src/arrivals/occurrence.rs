//! The time interval in which an event happened.

use crate::api::Micros;

/// Time interval in which an event happened, from `earliest` to `latest`, in microseconds. Limits that must
/// not be exceeded are measured from `earliest`; durations that are guaranteed are measured from `latest`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Occurrence {
    /// Lower bound of the event's time.
    pub earliest: Micros,
    /// Upper bound of the event's time, usually the time at which it was observed.
    pub latest: Micros,
}

impl Occurrence {
    /// An event that was observed when it happened.
    pub fn at(moment: Micros) -> Occurrence {
        Occurrence { earliest: moment, latest: moment }
    }

    /// An event that happened between two points in time.
    pub fn between(earliest: Micros, latest: Micros) -> Occurrence {
        Occurrence { earliest: earliest.min(latest), latest }
    }

    /// Extends the interval so that it starts no later than `moment`.
    pub fn since(self, moment: Micros) -> Occurrence {
        Occurrence { earliest: self.earliest.min(moment), ..self }
    }

    /// Upper bound of the time between an earlier event and this one.
    pub fn longest_since(self, earlier: Occurrence) -> Micros {
        self.latest.saturating_sub(earlier.earliest)
    }

    /// Lower bound of the time between an earlier event and this one.
    pub fn shortest_since(self, earlier: Occurrence) -> Micros {
        self.earliest.saturating_sub(earlier.latest)
    }
}
