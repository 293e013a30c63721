//! What comes of a version.

use crate::api::Micros;
use crate::codec::coordinator::Target;
use crate::membership::list::{Digest, List};
use std::sync::Arc;

/// What a list changes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Change {
    /// Executors that were not there.
    pub added: usize,
    /// Executors that are no longer named, and drain.
    pub left: usize,
    /// Executors of which something else changed.
    pub changed: usize,
}

/// How much a list takes away from a room.
#[derive(Debug, Clone, PartialEq)]
pub struct Loss {
    /// The room.
    pub room: Arc<str>,
    /// Share of its capacity, 0 to 1, with what was taken away lately.
    pub share: f64,
}

/// What comes of a version.
#[derive(Debug, Clone, PartialEq)]
pub enum Act {
    /// Entries that changed, in this order: what gets less ahead of what gets more.
    Change(Vec<Target>),
    /// A list is in force.
    Taken {
        /// Its source.
        source: Arc<str>,
        /// Its digest.
        digest: Digest,
        /// The highest generation of its files.
        generation: Option<u64>,
        /// Its executors.
        executors: usize,
        /// What it changed.
        change: Change,
    },
    /// Keep this list as the last good one.
    Keep(Arc<str>, Arc<List>),
    /// A list is held back until it is confirmed; told again from time to time.
    Held {
        /// Its source.
        source: Arc<str>,
        /// Its digest.
        digest: Digest,
        /// What it takes away.
        losses: Vec<Loss>,
        /// Since when it is held back.
        since: Micros,
        /// Not for the first time.
        again: bool,
    },
    /// A list that was held back is there no more.
    Withdrawn(Arc<str>, Digest),
    /// A list that can't follow the one in force; it changes nothing.
    Refused(Arc<str>, Digest, String),
    /// An entry that another source's goes before: told when that begins.
    Shadowed {
        /// The executor left out.
        uid: Arc<str>,
        /// The source that names it.
        source: Arc<str>,
        /// The executor that has its address, by a source that goes first.
        by: Arc<str>,
    },
    /// An executor that was taken out of its list has nothing left, or its time is over, and is gone.
    Gone {
        /// The executor.
        uid: Arc<str>,
        /// How long it drained.
        after: Micros,
        /// It still had work when its time was over.
        cut: bool,
    },
}
