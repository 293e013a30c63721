//! Poll times, and the bounds that they put on the time of an event.

use crate::api::Micros;
use crate::arrivals::Occurrence;

/// Times related to the last poll of the sockets.
#[derive(Debug, Clone, Copy)]
pub(in crate::net) struct PollTimes {
    /// When the last poll returned.
    polled_at: Micros,
    /// Lower bound of the time of events returned by the last poll: the previous poll did not return them.
    events_since: Micros,
    /// Everything that executors and the coordinator sent up to this time has been processed. Silence
    /// timeouts are measured against this time, so that a long turn does not make a peer look silent.
    pub(in crate::net) processed_until: Micros,
}

impl PollTimes {
    /// Initial times of a dispatcher whose sockets were created just before `now`.
    pub(in crate::net) fn new(now: Micros) -> PollTimes {
        PollTimes { polled_at: now, events_since: now, processed_until: now }
    }

    /// Records a poll that began at `before` with timeout `wait` and returned at `polled_at`. Returns by how
    /// much it overslept.
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

    /// Lower bound of the time of events returned by the last poll.
    pub(in crate::net) fn events_since(&self) -> Micros {
        self.events_since
    }

    /// Bounds the time of an event observed now. Time that this turn spent on other work before it observed
    /// the event does not count as waiting time of the sender.
    pub(in crate::net) fn occurrence_noticed_at(&self, now: Micros) -> Occurrence {
        Occurrence::between(self.events_since, now)
    }
}
