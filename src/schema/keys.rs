//! Keeps loads of one key in order across a change of version, and counts the requests in flight of each version.
//! Bounded; covers this dispatcher's loads only.

use fleet::schema::Version;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The request id of a load; never reused.
pub type Ticket = u64;

/// Whether a load may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// It may start, as far as versions are concerned. The order among loads of one version is kept elsewhere.
    Go,
    /// It may start once [`Keys::over`] returns it: loads of its key under another version come first.
    Wait,
    /// The table is full: the load is refused.
    Full,
}

#[derive(Debug, Clone, Default, PartialEq)]
struct Key {
    version: Version,
    in_hand: BTreeSet<Ticket>,
    line: VecDeque<(Ticket, Version)>,
}

/// Orders loads by key: while a load of a key runs under one version, none starts under another, and no load
/// overtakes one that waits for this.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Keys {
    max_loads: usize,
    keys: BTreeMap<u64, Key>,
    tickets: BTreeMap<Ticket, u64>,
}

impl Keys {
    /// Tracks at most this many loads.
    pub fn new(max_loads: usize) -> Keys {
        Keys { max_loads, ..Keys::default() }
    }

    /// Registers a load under the version chosen for it. Calling it again returns the load's present state.
    pub fn ask(&mut self, ticket: Ticket, key: u64, version: Version) -> Gate {
        if let Some(key) = self.tickets.get(&ticket).and_then(|k| self.keys.get(k)) {
            return if key.in_hand.contains(&ticket) { Gate::Go } else { Gate::Wait };
        }
        if self.tickets.len() >= self.max_loads {
            return Gate::Full;
        }
        self.tickets.insert(ticket, key);
        let key = self.keys.entry(key).or_default();
        if key.in_hand.is_empty() {
            key.version = version;
        }
        if key.version == version && key.line.is_empty() {
            key.in_hand.insert(ticket);
            return Gate::Go;
        }
        key.line.push_back((ticket, version));
        Gate::Wait
    }

    /// Removes a load that finished, or whose client disconnected while it waited. Returns the loads that may start
    /// now, in order.
    pub fn over(&mut self, ticket: Ticket) -> Vec<Ticket> {
        let Some(number) = self.tickets.remove(&ticket) else { return vec![] };
        let Some(key) = self.keys.get_mut(&number) else { return vec![] };
        key.in_hand.remove(&ticket);
        key.line.retain(|(t, _)| *t != ticket);
        let mut free = Vec::new();
        while let Some(&(next, version)) = key.line.front() {
            if !key.in_hand.is_empty() && key.version != version {
                break;
            }
            key.version = version;
            key.line.pop_front();
            key.in_hand.insert(next);
            free.push(next);
        }
        if key.in_hand.is_empty() {
            self.keys.remove(&number);
        }
        free
    }

    /// Number of loads tracked, waiting ones included.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether no load is tracked.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }
}

/// Requests in flight by version, counted from the choice of the version to the final answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Hands {
    count: BTreeMap<Version, u64>,
}

impl Hands {
    /// Counts a request whose version was chosen.
    pub fn begin(&mut self, version: Version) {
        *self.count.entry(version).or_default() += 1;
    }

    /// Counts its final answer.
    pub fn end(&mut self, version: Version) {
        let left = self.count.get_mut(&version).map(|n| {
            *n = n.saturating_sub(1);
            *n
        });
        crate::check_invariant!(left.is_some(), "a request ended under a version that none began under");
        if left == Some(0) {
            self.count.remove(&version);
        }
    }

    /// Whether any request is in flight under this version.
    pub fn has(&self, version: Version) -> bool {
        self.count.contains_key(&version)
    }

    /// Number of requests in flight, by version.
    pub fn by_version(&self) -> impl Iterator<Item = (Version, u64)> + '_ {
        self.count.iter().map(|(v, n)| (*v, *n))
    }
}
