//! When the sockets were polled, and what follows for when an event can have happened.

use crate::api::Micros;
use crate::arrivals::Occurrence;

/// Points in time around the last poll of the sockets.
#[derive(Debug, Clone, Copy)]
pub(in crate::net) struct PollTimes {
    /// When the last poll returned.
    polled_at: Micros,
    /// The earliest moment at which an event of the last poll can have happened: the poll before did not show it.
    events_since: Micros,
    /// Everything that executors and the coordinator sent up to this moment has been processed. Whether one of them is
    /// silent is judged by this point, so that a turn that takes long makes nobody look silent.
    pub(in crate::net) processed_until: Micros,
}

impl PollTimes {
    /// For a dispatcher whose sockets exist since just before now.
    pub(in crate::net) fn new(now: Micros) -> PollTimes {
        PollTimes { polled_at: now, events_since: now, processed_until: now }
    }

    /// A poll that began at `before` and was to last `wait` returned at `polled_at`. Returns by how much it overslept.
    pub(super) fn polled(&mut self, before: Micros, wait: Micros, polled_at: Micros) -> Micros {
        let overslept = (polled_at - before).saturating_sub(wait);
        let previous_turn = before.saturating_sub(self.polled_at);
        self.events_since = polled_at.saturating_sub(overslept + previous_turn);
        self.polled_at = polled_at;
        overslept
    }

    /// When the last poll returned.
    pub(super) fn polled_at(&self) -> Micros {
        self.polled_at
    }

    /// The earliest moment at which an event of the last poll can have happened.
    pub(in crate::net) fn events_since(&self) -> Micros {
        self.events_since
    }

    /// When an event that is noticed now happened. The work that this turn did before it noticed the event does not
    /// count as waiting time of its sender's own.
    pub(in crate::net) fn occurrence_noticed_at(&self, now: Micros) -> Occurrence {
        Occurrence::between(self.events_since, now)
    }
}
