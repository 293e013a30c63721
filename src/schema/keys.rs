//! Loads keep the order of their key over the border between two versions, and what is in hand of each version is
//! counted. Bounded; this dispatcher's loads only.

use fleet::schema::Version;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A load, by the request's id; never used twice.
pub type Ticket = u64;

/// Whether a load may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// At once, as far as versions go; the order among loads of one version is not kept here.
    Go,
    /// Once [`Keys::over`] names it: loads of its key under another version come first.
    Wait,
    /// Too many loads are known: it is refused.
    Full,
}

#[derive(Debug, Clone, Default, PartialEq)]
struct Key {
    version: Version,
    in_hand: BTreeSet<Ticket>,
    line: VecDeque<(Ticket, Version)>,
}

/// Guards keys: while a load of one is in hand under a version, none starts under another, and none passes one that
/// waits for that.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Keys {
    most: usize,
    keys: BTreeMap<u64, Key>,
    tickets: BTreeMap<Ticket, u64>,
}

impl Keys {
    /// Knows so many loads at most.
    pub fn new(most: usize) -> Keys {
        Keys { most, ..Keys::default() }
    }

    /// A load comes, under the version that was chosen for it. One that comes twice is told where it stands.
    pub fn ask(&mut self, ticket: Ticket, key: u64, version: Version) -> Gate {
        if let Some(key) = self.tickets.get(&ticket).and_then(|k| self.keys.get(k)) {
            return if key.in_hand.contains(&ticket) { Gate::Go } else { Gate::Wait };
        }
        if self.tickets.len() >= self.most {
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

    /// A load is over, or its client has left while it waited. Those that may start now, in their order.
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

    /// Loads known, those that wait included.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }
}

/// Requests in hand by version: from the choice to the final answer, those that wait included.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Hands {
    count: BTreeMap<Version, u64>,
}

impl Hands {
    /// A request has its version.
    pub fn begin(&mut self, version: Version) {
        *self.count.entry(version).or_default() += 1;
    }

    /// It has its final answer.
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

    /// Whether any is in hand under this version.
    pub fn has(&self, version: Version) -> bool {
        self.count.contains_key(&version)
    }

    /// How many are in hand, by version.
    pub fn by_version(&self) -> impl Iterator<Item = (Version, u64)> + '_ {
        self.count.iter().map(|(v, n)| (*v, *n))
    }
}
