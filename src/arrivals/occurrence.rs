//! An event that was noticed some time after it happened.

use crate::api::Micros;

/// When something happened, as far as that is known: at some point from `earliest` to `latest`, in microseconds. A
/// limit that has to be kept counts from the earliest point, a time that is granted from the latest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Occurrence {
    /// The earliest point in time at which it may have happened.
    pub earliest: Micros,
    /// The latest: usually when it was noticed.
    pub latest: Micros,
}

impl Occurrence {
    /// Something that was noticed at once.
    pub fn at(moment: Micros) -> Occurrence {
        Occurrence { earliest: moment, latest: moment }
    }

    /// Something that happened between two points in time.
    pub fn between(earliest: Micros, latest: Micros) -> Occurrence {
        Occurrence { earliest: earliest.min(latest), latest }
    }

    /// The same with an earlier bound.
    pub fn since(self, moment: Micros) -> Occurrence {
        Occurrence { earliest: self.earliest.min(moment), ..self }
    }

    /// The longest time that can lie between an earlier occurrence and this one.
    pub fn longest_since(self, earlier: Occurrence) -> Micros {
        self.latest.saturating_sub(earlier.earliest)
    }

    /// The shortest time that can lie between an earlier occurrence and this one.
    pub fn shortest_since(self, earlier: Occurrence) -> Micros {
        self.earliest.saturating_sub(earlier.latest)
    }
}
