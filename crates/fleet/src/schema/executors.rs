//! Which executor holds which version: what was told of it, and what its answers say against that.

use super::Version;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Executors known at most.
pub const MOST: usize = 4096;
/// The longest id of one that is kept, in bytes.
pub const LONGEST_ID: usize = 128;

/// What is known of an executor's version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Held {
    /// It holds this one, as far as anybody says.
    Holds(Version),
    /// Two words of one process contradict: it is out of use for versioned work until that is settled.
    Disputed {
        /// The version that it was told to hold.
        told: Version,
        /// What was said against that.
        said: Version,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Executor {
    told: Version,
    /// The start of the process that it was told of.
    started: Micros,
    /// What was said against it, and the start of the process that this is about.
    against: Option<(Version, Micros)>,
}

impl Executor {
    /// The latest start that anybody spoke of.
    fn latest(&self) -> Micros {
        self.against.map_or(self.started, |(_, at)| at.max(self.started))
    }
}

/// The executors, by their ids. Words on a process older than the one known are late and change nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executors {
    all: BTreeMap<String, Executor>,
}

impl Executors {
    /// What is known of one; `None` if nobody told.
    pub fn held(&self, id: &str) -> Option<Held> {
        self.all.get(id).map(|m| match m.against {
            Some((said, _)) => Held::Disputed { told: m.told, said },
            None => Held::Holds(m.told),
        })
    }

    /// The version that one holds; `None` if nobody told, or if that is disputed.
    pub fn version(&self, id: &str) -> Option<Version> {
        match self.held(id)? {
            Held::Holds(version) => Some(version),
            Held::Disputed { .. } => None,
        }
    }

    /// All of them, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Held)> {
        self.all.keys().filter_map(|id| Some((id.as_str(), self.held(id)?)))
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Whether what an executor's answers say is new: it contradicts what was told of it, or a process later than
    /// the disputed one says what was told. A process that says now this and now that stays disputed.
    pub fn is_new(&self, id: &str, version: Version, started: Micros) -> bool {
        self.all.get(id).is_some_and(|m| {
            let newer = m.against.is_none_or(|(_, at)| started > at);
            started >= m.started && newer && (version != m.told || m.against.is_some())
        })
    }

    /// The start of the process that a dispute is about.
    pub fn disputed_since(&self, id: &str) -> Option<Micros> {
        self.all.get(id)?.against.map(|(_, at)| at)
    }

    /// The list or a plan tells which version the process that began at `started` holds.
    pub(super) fn tell(&mut self, id: String, version: Version, started: Micros) -> bool {
        let Some(m) = self.all.get_mut(&id) else {
            let fits = self.all.len() < MOST && !id.is_empty() && id.len() <= LONGEST_ID;
            return fits && self.all.insert(id, Executor { told: version, started, against: None }).is_none();
        };
        if started < m.started {
            return false;
        }
        if started == m.started {
            // Two lists that differ.
            let differs = version != m.told && m.against.is_none();
            m.against = m.against.or(differs.then_some((version, started)));
            return differs;
        }
        let against = m.against.filter(|&(said, at)| at >= started && said != version);
        *m = Executor { told: version, started, against };
        true
    }

    /// Its own answers say which version the process that began at `started` holds.
    pub(super) fn say(&mut self, id: &str, version: Version, started: Micros) -> bool {
        let new = self.is_new(id, version, started);
        if let Some(m) = self.all.get_mut(id).filter(|_| new) {
            m.against = (version != m.told).then_some((version, started));
        }
        new
    }

    /// An operator's word on the process that a dispute is about.
    pub(super) fn settle(&mut self, id: &str, version: Version, started: Micros) -> bool {
        match self.all.get_mut(id) {
            Some(m) if m.against.is_some_and(|(_, at)| at == started) => {
                *m = Executor { told: version, started: m.latest(), against: None };
                true
            }
            _ => false,
        }
    }

    /// The process that began at `started` has left the list.
    pub(super) fn gone(&mut self, id: &str, started: Micros) -> bool {
        let known = self.all.get(id).is_some_and(|m| started >= m.latest());
        known && self.all.remove(id).is_some()
    }
}
