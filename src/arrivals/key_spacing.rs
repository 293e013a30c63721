//! Estimates how long a client may have delayed a request before sending it.
//!
//! The protocol requires clients to space requests for the same key: at least 60 ms between two writes, or
//! 250 ms if the earlier request opened a new connection. A client that generates requests faster than that
//! queues them locally while their time budgets run. The dispatcher cannot see a request before it is
//! written, but consecutive requests spaced at just the minimum interval may come from such a queue, and
//! every request of such a run may have been issued when the run began.

use super::Occurrence;
use crate::api::Micros;
use lru::LruCache;
use std::num::NonZeroUsize;

/// Minimum time between the writes of two requests for the same key, in microseconds (protocol, "Clients to
/// dispatchers").
const MIN_SPACING: Micros = 60_000;
/// Minimum time if the earlier request opened a new connection, in microseconds.
const MIN_SPACING_AFTER_NEW_CONNECTION: Micros = 250_000;
/// Tolerance that the protocol allows on any of its intervals, in microseconds.
const SPACING_TOLERANCE: Micros = 50_000;
/// At least a quarter of the time budget is always kept, however long the run: a client that naturally sends
/// at the minimum interval and delays nothing must still be served.
const MIN_BUDGET_DIVISOR: Micros = 4;
/// Capacity of the key cache; larger than the number of keys that arrive within any spacing interval.
const MAX_TRACKED_KEYS: NonZeroUsize = NonZeroUsize::new(8192).unwrap();

/// The most recent request for a key.
#[derive(Debug, Clone, Copy)]
struct LastRequest {
    arrived: Occurrence,
    on_new_connection: bool,
    /// Start of the run of minimally spaced requests that this request belongs to.
    run_began_at: Micros,
}

/// Timing of a request relative to the previous request for the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestSpacing {
    /// Lower bound of the time since the previous request, in microseconds; `None` if no previous request is
    /// known.
    pub since_previous: Option<Micros>,
    /// Earliest time at which the client may have issued the request: its arrival time, unless it may have
    /// been delayed.
    pub issued_at: Micros,
}

impl RequestSpacing {
    /// Upper bound of the client-side delay, in microseconds.
    pub fn client_delay(&self, arrived: Occurrence, budget: Micros) -> Micros {
        let most = budget - budget / MIN_BUDGET_DIVISOR;
        arrived.earliest.saturating_sub(self.issued_at).min(most)
    }
}

/// Tracks the most recent request of each recently used key.
pub struct KeySpacing(LruCache<u64, LastRequest>);

impl Default for KeySpacing {
    fn default() -> KeySpacing {
        KeySpacing(LruCache::new(MAX_TRACKED_KEYS))
    }
}

impl KeySpacing {
    /// Records a request and returns its timing relative to the previous request for the key.
    pub fn record(&mut self, key: u64, arrived: Occurrence, on_new_connection: bool) -> RequestSpacing {
        let previous = self.0.get(&key).copied();
        let delaying = previous.filter(|last| last.may_have_delayed(arrived));
        let run_began_at = delaying.map_or(arrived.earliest, |last| last.run_began_at.min(arrived.earliest));
        self.0.put(key, LastRequest { arrived, on_new_connection, run_began_at });
        RequestSpacing {
            since_previous: previous.map(|last| arrived.shortest_since(last.arrived)),
            issued_at: run_began_at,
        }
    }
}

impl LastRequest {
    /// Whether the next request followed closely enough that its client may have waited for the minimum
    /// spacing. A request that certainly arrived sooner comes from clients that do not space their requests
    /// and so delay nothing.
    fn may_have_delayed(&self, next: Occurrence) -> bool {
        let spacing = if self.on_new_connection { MIN_SPACING_AFTER_NEW_CONNECTION } else { MIN_SPACING };
        let is_spaced = next.longest_since(self.arrived) >= MIN_SPACING - SPACING_TOLERANCE;
        is_spaced && next.shortest_since(self.arrived) <= spacing + SPACING_TOLERANCE
    }
}

#[cfg(test)]
mod tests;
