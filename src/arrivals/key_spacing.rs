//! How long a client may have held a request back.
//!
//! Clients space the requests of one key, says the protocol: 60 ms lie between two that are written, 250 ms where the earlier one
//! came on a new connection. A client that wants to send more often than that holds them back in a queue, and the time that
//! it waits for the answer, its `budget`, runs meanwhile. Nothing of a request is here before it is written; but requests that
//! follow each other at just the spacing may have come out of such a queue, and all of a run of them may have been wanted when
//! the run began.

use super::Occurrence;
use crate::api::Micros;
use lru::LruCache;
use std::num::NonZeroUsize;

/// The least time between two written requests of a key, and the same where the earlier one came on a new connection
/// (protocol, "Clients to dispatchers").
const SPACING: Micros = 60_000;
const SPACING_AFTER_NEW_CONNECTION: Micros = 250_000;
/// All times of the protocol are longer by this.
const SLACK: Micros = 50_000;
/// This part of a budget is left to a request however long the run is that it belongs to: a client that asks at just the
/// spacing by itself, and holds nothing back, is served too.
const LEAST_LEFT_PART: Micros = 4;
/// Keys remembered. One matters for as long as the spacing lasts, which is less than any busy second brings keys.
const KEYS: NonZeroUsize = NonZeroUsize::new(8192).unwrap();

/// The last request of a key.
#[derive(Debug, Clone, Copy)]
struct Last {
    came: Occurrence,
    on_new_connection: bool,
    /// When the run of requests at just the spacing began that it belongs to.
    run_since: Micros,
}

/// What a request's distance to the one before of its key tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spaced {
    /// The least time since the one before of its key; `None` for the first that is known.
    pub after_previous: Option<Micros>,
    /// Its client may have wanted to send it since this moment; when it came, unless it may have been held back.
    pub wanted_since: Micros,
}

impl Spaced {
    /// How long the client may have held it back, at the most.
    pub fn held_back(&self, came: Occurrence, budget: Micros) -> Micros {
        let most = budget - budget / LEAST_LEFT_PART;
        came.earliest.saturating_sub(self.wanted_since).min(most)
    }
}

/// The last request of each key of late.
pub struct KeySpacing(LruCache<u64, Last>);

impl Default for KeySpacing {
    fn default() -> KeySpacing {
        KeySpacing(LruCache::new(KEYS))
    }
}

impl KeySpacing {
    /// A request of a key came.
    pub fn came(&mut self, key: u64, came: Occurrence, on_new_connection: bool) -> Spaced {
        let previous = self.0.get(&key).copied();
        let held_back = previous.filter(|last| last.may_hold_back(came));
        let run_since = held_back.map_or(came.earliest, |last| last.run_since.min(came.earliest));
        self.0.put(key, Last { came, on_new_connection, run_since });
        Spaced { after_previous: previous.map(|last| came.least_after(last.came)), wanted_since: run_since }
    }
}

impl Last {
    /// Whether the next one came so soon that its client may have waited for the spacing. One that certainly came sooner than
    /// any spacing is of clients that keep none, and hold nothing back.
    fn may_hold_back(&self, next: Occurrence) -> bool {
        let spacing = if self.on_new_connection { SPACING_AFTER_NEW_CONNECTION } else { SPACING };
        let is_spaced = next.most_after(self.came) >= SPACING - SLACK;
        is_spaced && next.least_after(self.came) <= spacing + SLACK
    }
}

#[cfg(test)]
mod tests;
