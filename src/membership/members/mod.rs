//! The list in force. Sans-I/O: versions of the sources go in with their time, what to do comes out.
//!
//! The list in force follows from the latest taken version of each source alone, whatever came in between:
//! an executor belongs to the first source in the order of precedence that names its uid, and an address to the
//! first executor in that order that has it. What a list no longer names drains: it gets nothing new, completes
//! what it has, and is gone once nothing is out on it.
//!
//! - `act`: what comes of a version.
//! - `entry`: an executor, as its owner has it and as it is in force.
//! - `versions`: what the sources say, and time that passes.
//! - `guard`: what holds a list back.
//! - `force`: the list in force.

mod act;
mod entry;
mod force;
mod guard;
mod versions;

pub use crate::settings::options::Guard;
pub use act::{Act, Change, Loss};

use super::keep::Acceptance;
use super::list::{Digest, List};
use crate::api::Micros;
use crate::codec::coordinator::{State, Target};
use crate::settings::options::{FEED, Safeguard};
use entry::{Entry, Placed};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

fn micros(d: Duration) -> Micros {
    d.as_micros() as Micros
}

/// What the list in force is made of.
#[derive(Debug, Clone)]
pub struct Sources {
    /// Names of sources, the one that goes first ahead; `feed` is the coordinator's.
    pub precedence: Vec<String>,
    /// What holds a list back.
    pub guard: Guard,
    /// How long what was taken out of a list may go on with what it has.
    pub drain_limit: Duration,
    /// Cores of each kind of machine.
    pub cores: BTreeMap<String, f64>,
    /// For tests alone: safeguards that are left out.
    pub without: BTreeSet<Safeguard>,
}

/// A list that waits for its confirmation.
#[derive(Debug, Clone)]
struct Held {
    list: Arc<List>,
    losses: Vec<Loss>,
    since: Micros,
    remind_at: Micros,
}

#[derive(Debug, Clone, Default)]
struct FileSource {
    list: Option<Arc<List>>,
    held: Option<Held>,
    accepted: Vec<Acceptance>,
}

/// Executors by uid, each with the rank of its owner.
type Merged = BTreeMap<Arc<str>, (usize, Entry)>;
/// By room: its capacity, and what of it is taken away.
type Lost = BTreeMap<Arc<str>, (f64, f64)>;
/// Left out for its address: the executor, the rank of its source, and whose the address is.
type Shadow = (Arc<str>, usize, Arc<str>);
/// The feed's rank and what it tells.
type Fed = (usize, BTreeMap<Arc<str>, Arc<Target>>);

/// The list in force and the sources that it comes from.
#[derive(Debug, Clone)]
pub struct Members {
    terms: Sources,
    names: Vec<Arc<str>>,
    files: BTreeMap<usize, FileSource>,
    feed: Option<Fed>,
    force: BTreeMap<Arc<str>, Placed>,
    /// Entries left out for another's address, so that each is told once.
    shadowed: BTreeSet<Arc<str>>,
    /// Capacity that lists took away lately: when, of which room, how much.
    lost: VecDeque<(Micros, Arc<str>, f64)>,
}

impl Members {
    /// None yet.
    pub fn new(terms: Sources) -> Members {
        let names: Vec<Arc<str>> = terms.precedence.iter().map(|n| n.as_str().into()).collect();
        let files = (0..names.len()).filter(|i| &*names[*i] != FEED).map(|i| (i, FileSource::default()));
        Members {
            files: files.collect(),
            feed: names.iter().position(|n| &**n == FEED).map(|rank| (rank, BTreeMap::new())),
            names,
            terms,
            force: BTreeMap::new(),
            shadowed: BTreeSet::new(),
            lost: VecDeque::new(),
        }
    }

    /// Whether the coordinator's feed is a source.
    pub fn follows_feed(&self) -> bool {
        self.feed.is_some()
    }

    /// All that is in force now, drains included.
    pub fn in_force(&self) -> Vec<Target> {
        let told = |p: &Placed| match p.leaving {
            Some(_) => p.entry.told(State::Draining),
            None => p.entry.target(),
        };
        self.force.values().map(told).collect()
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
