//! The list in force. Sans-I/O: takes versions of the sources with their time, and returns effects.
//!
//! The list in force depends only on the latest accepted version of each source, whatever came in between: an executor
//! belongs to the first source in order of precedence that lists its uid, and an address to the first executor in that
//! order that has it. An executor that is no longer listed drains: it gets no new work, completes what it has, and is
//! removed once it has no work left.
//!
//! - `effect`: the effects of a new version.
//! - `entry`: an executor's entry in its source, and in the list in force.
//! - `versions`: new versions of the sources, and timers.
//! - `guard`: holds a list back if it removes too much capacity.
//! - `active`: the list in force.

mod active;
mod effect;
mod entry;
mod guard;
mod versions;

pub use crate::settings::options::Guard;
pub use effect::{Change, Effect, Loss};

use super::list::{Digest, List};
use super::storage::Acceptance;
use crate::api::Micros;
use crate::codec::coordinator::{State, Target};
use crate::settings::options::{FEED, Safeguard};
use entry::{ActiveEntry, Entry};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

fn micros(d: Duration) -> Micros {
    d.as_micros() as Micros
}

/// Settings of the list in force.
#[derive(Debug, Clone)]
pub struct MembersSettings {
    /// Names of the sources, highest precedence first; `feed` is the coordinator's.
    pub precedence: Vec<String>,
    /// Limits beyond which a list is held back.
    pub guard: Guard,
    /// How long an executor that is no longer listed may continue its work.
    pub drain_limit: Duration,
    /// Cores of each kind of machine.
    pub cores: BTreeMap<String, f64>,
    /// Disabled safeguards; for tests only.
    pub without: BTreeSet<Safeguard>,
}

/// A list that is held back until it is accepted.
#[derive(Debug, Clone)]
struct HeldList {
    list: Arc<List>,
    losses: Vec<Loss>,
    since: Micros,
    remind_at: Micros,
}

#[derive(Debug, Clone, Default)]
struct FileSource {
    list: Option<Arc<List>>,
    held: Option<HeldList>,
    accepted: Vec<Acceptance>,
}

/// Executors by uid, each with the rank of the source that owns it.
type Merged = BTreeMap<Arc<str>, (usize, Entry)>;
/// By zone: its capacity, and how much of it is removed.
type ZoneLosses = BTreeMap<Arc<str>, (f64, f64)>;
/// An entry left out for its address: the executor, the rank of its source, and the executor that has the address.
type ShadowedEntry = (Arc<str>, usize, Arc<str>);
/// The feed's rank and its targets.
type FeedTargets = (usize, BTreeMap<Arc<str>, Arc<Target>>);

/// The list in force and its sources.
#[derive(Debug, Clone)]
pub struct Members {
    settings: MembersSettings,
    names: Vec<Arc<str>>,
    files: BTreeMap<usize, FileSource>,
    feed: Option<FeedTargets>,
    active: BTreeMap<Arc<str>, ActiveEntry>,
    /// Entries left out because another has their address, so that each is reported once.
    shadowed: BTreeSet<Arc<str>>,
    /// Capacity that lists removed recently: when, from which zone, how much.
    recent_losses: VecDeque<(Micros, Arc<str>, f64)>,
}

impl Members {
    /// Creates an empty list.
    pub fn new(settings: MembersSettings) -> Members {
        let names: Vec<Arc<str>> = settings.precedence.iter().map(|n| n.as_str().into()).collect();
        let files = (0..names.len()).filter(|i| &*names[*i] != FEED).map(|i| (i, FileSource::default()));
        Members {
            files: files.collect(),
            feed: names.iter().position(|n| &**n == FEED).map(|rank| (rank, BTreeMap::new())),
            names,
            settings,
            active: BTreeMap::new(),
            shadowed: BTreeSet::new(),
            recent_losses: VecDeque::new(),
        }
    }

    /// Whether the coordinator's feed is a source.
    pub fn follows_feed(&self) -> bool {
        self.feed.is_some()
    }

    /// All executors in force, including those that drain.
    pub fn in_force(&self) -> Vec<Target> {
        let target = |p: &ActiveEntry| match p.draining_since {
            Some(_) => p.entry.with_state(State::Draining),
            None => p.entry.target(),
        };
        self.active.values().map(target).collect()
    }

    /// The digest of a source's list in force.
    pub fn digest(&self, source: &str) -> Option<Digest> {
        self.files.get(&self.rank(source)?)?.list.as_ref().map(|l| l.digest)
    }

    fn rank(&self, source: &str) -> Option<usize> {
        self.names.iter().position(|n| &**n == source)
    }
}

#[cfg(test)]
mod tests;
