//! The schema version held by each executor: the configured version, and contradicting reports by the
//! executor.

use super::Version;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of known executors.
pub const MAX_EXECUTORS: usize = 4096;
/// Maximum length of an executor id in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// What is known about an executor's version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldVersion {
    /// It holds this version; nothing contradicts that.
    Holds(Version),
    /// There are contradicting statements about one process: it serves no versioned work until the dispute is
    /// resolved.
    Disputed {
        /// The configured version.
        configured: Version,
        /// The contradicting version.
        reported: Version,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Executor {
    configured: Version,
    /// Start time of the process that `configured` is about.
    started: Micros,
    /// The contradicting version, and the start time of the process it is about.
    contradiction: Option<(Version, Micros)>,
}

impl Executor {
    /// The latest start time known for this executor.
    fn latest(&self) -> Micros {
        self.contradiction.map_or(self.started, |(_, at)| at.max(self.started))
    }
}

/// The executors by id. Statements about a process older than the known one are outdated and ignored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executors {
    all: BTreeMap<String, Executor>,
}

impl Executors {
    /// The known version of an executor; `None` if it is unknown.
    pub fn held(&self, id: &str) -> Option<HeldVersion> {
        self.all.get(id).map(|m| match m.contradiction {
            Some((reported, _)) => HeldVersion::Disputed { configured: m.configured, reported },
            None => HeldVersion::Holds(m.configured),
        })
    }

    /// The version an executor holds; `None` if it is unknown or disputed.
    pub fn version(&self, id: &str) -> Option<Version> {
        match self.held(id)? {
            HeldVersion::Holds(version) => Some(version),
            HeldVersion::Disputed { .. } => None,
        }
    }

    /// All executors, in order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&str, HeldVersion)> {
        self.all.keys().filter_map(|id| Some((id.as_str(), self.held(id)?)))
    }

    /// Number of known executors.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether no executor is known.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Whether a version reported by an executor changes the state: it contradicts the configured version, or
    /// a process newer than the disputed one reports the configured version. A process that alternates
    /// between versions stays disputed.
    pub fn is_new(&self, id: &str, version: Version, started: Micros) -> bool {
        self.all.get(id).is_some_and(|m| {
            let newer = m.contradiction.is_none_or(|(_, at)| started > at);
            started >= m.started && newer && (version != m.configured || m.contradiction.is_some())
        })
    }

    /// Start time of the process that a dispute is about.
    pub fn disputed_since(&self, id: &str) -> Option<Micros> {
        self.all.get(id)?.contradiction.map(|(_, at)| at)
    }

    /// Sets the configured version, from a list or a plan, of the process started at `started`.
    pub(super) fn set_version(&mut self, id: String, version: Version, started: Micros) -> bool {
        let Some(m) = self.all.get_mut(&id) else {
            let fits = self.all.len() < MAX_EXECUTORS && !id.is_empty() && id.len() <= MAX_ID_BYTES;
            return fits
                && self
                    .all
                    .insert(id, Executor { configured: version, started, contradiction: None })
                    .is_none();
        };
        if started < m.started {
            return false;
        }
        if started == m.started {
            // Two endpoint lists disagree.
            let differs = version != m.configured && m.contradiction.is_none();
            m.contradiction = m.contradiction.or(differs.then_some((version, started)));
            return differs;
        }
        let contradiction = m.contradiction.filter(|&(reported, at)| at >= started && reported != version);
        *m = Executor { configured: version, started, contradiction };
        true
    }

    /// Records the version reported by the process started at `started` itself.
    pub(super) fn report_version(&mut self, id: &str, version: Version, started: Micros) -> bool {
        let new = self.is_new(id, version, started);
        if let Some(m) = self.all.get_mut(id).filter(|_| new) {
            m.contradiction = (version != m.configured).then_some((version, started));
        }
        new
    }

    /// Resolves a dispute by an operator's decision.
    pub(super) fn resolve_dispute(&mut self, id: &str, version: Version, started: Micros) -> bool {
        match self.all.get_mut(id) {
            Some(m) if m.contradiction.is_some_and(|(_, at)| at == started) => {
                *m = Executor { configured: version, started: m.latest(), contradiction: None };
                true
            }
            _ => false,
        }
    }

    /// The process started at `started` was removed from the endpoint list.
    pub(super) fn remove(&mut self, id: &str, started: Micros) -> bool {
        let known = self.all.get(id).is_some_and(|m| started >= m.latest());
        known && self.all.remove(id).is_some()
    }
}
