//! How long a client may have held a request back.
//!
//! The protocol has clients space the requests of one key: 60 ms lie between two writes, 250 ms if the earlier one
//! came on a new connection. A client that wants to send more often queues its requests, and their budgets run
//! meanwhile. A dispatcher sees nothing of a request before it is written; but requests that follow each other at
//! just the spacing may have come out of such a queue, and all of a run of them may have been wanted when the run
//! began.

use super::Occurrence;
use crate::api::Micros;
use lru::LruCache;
use std::num::NonZeroUsize;

/// The least time between the writes of two requests of a key, in microseconds (protocol, "Clients to dispatchers").
const SPACING: Micros = 60_000;
/// The same if the earlier one came on a new connection.
const SPACING_AFTER_NEW_CONNECTION: Micros = 250_000;
/// How much longer any time of the protocol may turn out, in microseconds.
const SLACK: Micros = 50_000;
/// A quarter of its budget is left to a request, however long its run is: a client that sends at just the spacing by
/// itself, and holds nothing back, has to be served too.
const LEAST_BUDGET_DIVISOR: Micros = 4;
/// Keys that are remembered: more than any spacing's time brings requests of.
const REMEMBERED_KEYS: NonZeroUsize = NonZeroUsize::new(8192).unwrap();

/// The last request of a key.
#[derive(Debug, Clone, Copy)]
struct LastRequest {
    arrived: Occurrence,
    on_new_connection: bool,
    /// When the run of requests at just the spacing began of which it is part.
    run_began_at: Micros,
}

/// What follows from a request's distance to the previous one of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestSpacing {
    /// The shortest possible span since the previous one, in microseconds; `None` for the first that is known.
    pub since_previous: Option<Micros>,
    /// The earliest point at which its client may have wanted to send it: when it came, unless it may have been held
    /// back.
    pub wanted_at: Micros,
}

impl RequestSpacing {
    /// The longest span for which its client may have held it back, in microseconds.
    pub fn held_back(&self, arrived: Occurrence, budget: Micros) -> Micros {
        let most = budget - budget / LEAST_BUDGET_DIVISOR;
        arrived.earliest.saturating_sub(self.wanted_at).min(most)
    }
}

/// The last request of each recently used key.
pub struct KeySpacing(LruCache<u64, LastRequest>);

impl Default for KeySpacing {
    fn default() -> KeySpacing {
        KeySpacing(LruCache::new(REMEMBERED_KEYS))
    }
}

impl KeySpacing {
    /// Records a request of a key, and returns what follows from its spacing.
    pub fn record(&mut self, key: u64, arrived: Occurrence, on_new_connection: bool) -> RequestSpacing {
        let previous = self.0.get(&key).copied();
        let held_back = previous.filter(|last| last.may_hold_back(arrived));
        let run_began_at = held_back.map_or(arrived.earliest, |last| last.run_began_at.min(arrived.earliest));
        self.0.put(key, LastRequest { arrived, on_new_connection, run_began_at });
        RequestSpacing {
            since_previous: previous.map(|last| arrived.shortest_since(last.arrived)),
            wanted_at: run_began_at,
        }
    }
}

impl LastRequest {
    /// Whether the next one came so soon that its client may have waited for the spacing. One that certainly came
    /// sooner is of clients that keep no spacing, and hold nothing back.
    fn may_hold_back(&self, next: Occurrence) -> bool {
        let spacing = if self.on_new_connection { SPACING_AFTER_NEW_CONNECTION } else { SPACING };
        let is_spaced = next.longest_since(self.arrived) >= SPACING - SLACK;
        is_spaced && next.shortest_since(self.arrived) <= spacing + SLACK
    }
}

#[cfg(test)]
mod tests;
