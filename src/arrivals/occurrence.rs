//! A moment that was noticed only later.

use crate::api::Micros;

/// When something happened that was noticed only later: in one of the moments from `earliest` to `latest`. A limit that has
/// to be kept counts from the earliest, a time that is granted from the latest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Occurrence {
    /// The earliest moment in which it may have happened.
    pub earliest: Micros,
    /// The latest: usually the moment in which it was noticed.
    pub latest: Micros,
}

impl Occurrence {
    /// Something that was noticed in the moment in which it happened.
    pub fn at(moment: Micros) -> Occurrence {
        Occurrence { earliest: moment, latest: moment }
    }

    /// Something that happened at some time between two moments.
    pub fn between(earliest: Micros, latest: Micros) -> Occurrence {
        Occurrence { earliest: earliest.min(latest), latest }
    }

    /// The same with an earlier bound.
    pub fn since(self, moment: Micros) -> Occurrence {
        Occurrence { earliest: self.earliest.min(moment), ..self }
    }

    /// The longest time that can lie between an earlier occurrence and this one.
    pub fn most_after(self, earlier: Occurrence) -> Micros {
        self.latest.saturating_sub(earlier.earliest)
    }

    /// The shortest time that can lie between an earlier occurrence and this one.
    pub fn least_after(self, earlier: Occurrence) -> Micros {
        self.earliest.saturating_sub(earlier.latest)
    }
}
