//! The effects of a new version of a source.

use crate::api::Micros;
use crate::codec::coordinator::Target;
use crate::membership::list::{Digest, List};
use std::sync::Arc;

/// What applying a list changed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Change {
    /// Number of executors added.
    pub added: usize,
    /// Number of executors that are no longer listed, and drain.
    pub left: usize,
    /// Number of executors whose entry changed otherwise.
    pub changed: usize,
}

/// The capacity that a list removes from a zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Loss {
    /// The zone.
    pub zone: Arc<str>,
    /// Share of the zone's capacity, 0 to 1, including what was removed within the guard's window.
    pub share: f64,
}

/// An effect of a new version of a source.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Entries that changed, in this order: those that get less work before those that get more.
    Update(Vec<Target>),
    /// A list came into force.
    Activated {
        /// Its source.
        source: Arc<str>,
        /// Its digest.
        digest: Digest,
        /// The highest generation of its files.
        generation: Option<u64>,
        /// Number of its executors.
        executors: usize,
        /// What it changed.
        change: Change,
    },
    /// The list is to be saved as the last good one.
    SaveLastGood(Arc<str>, Arc<List>),
    /// A list is held back until it is accepted; reported again at intervals.
    HeldBack {
        /// Its source.
        source: Arc<str>,
        /// Its digest.
        digest: Digest,
        /// The capacity that it would remove.
        losses: Vec<Loss>,
        /// Since when it is held back.
        since: Micros,
        /// Whether this is a reminder.
        again: bool,
    },
    /// A list that was held back has been replaced.
    Withdrawn(Arc<str>, Digest),
    /// A list that can't replace the one in force, with the reason; it changes nothing.
    Rejected(Arc<str>, Digest, String),
    /// An entry is ignored because a source of higher precedence uses its address; reported once, when this begins.
    Shadowed {
        /// The ignored executor.
        uid: Arc<str>,
        /// The source that lists it.
        source: Arc<str>,
        /// The executor that has its address, listed by a source of higher precedence.
        by: Arc<str>,
    },
    /// An executor that is no longer listed was removed: it completed its work or reached the drain limit.
    Drained {
        /// The executor.
        uid: Arc<str>,
        /// How long it drained.
        after: Micros,
        /// Whether it still had work when it reached the drain limit.
        timed_out: bool,
    },
}
