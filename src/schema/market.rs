//! The schema versions available at a dispatcher, and the capacity of the executors of each.

use crate::api::Micros;
use fleet::schema::executors::MAX_EXECUTORS;
use fleet::schema::window::Window;
use fleet::schema::{Command, Schema, Version};
use std::collections::BTreeMap;

/// An executor as a dispatcher sees it, its version left out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Executor<'a> {
    /// Its id in the fleet's log.
    pub id: &'a str,
    /// It accepts work: up, not ejected, not drained.
    pub usable: bool,
    /// It has room for one more request now.
    pub room: bool,
    /// Effective cores: fewer than it has while it is in slow start.
    pub warm: f64,
}

/// Capacity of the usable executors of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Supply {
    /// Number of usable executors.
    pub executors: usize,
    /// Of these, the ones with room.
    pub room: usize,
    /// Sum of their effective cores.
    pub warm: f64,
}

/// The versions available now.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Market {
    /// The fleet has never set a version: nothing is negotiated.
    pub unset: bool,
    /// Versions under which requests may begin, oldest first.
    pub starts: Vec<Version>,
    /// The version that is being retired.
    pub ends: Option<Version>,
    /// The target version of an open window. Sessions that begin under it are rate-limited, as its executors are new.
    pub leads_to: Option<Version>,
    /// Executors by version, for versions under which requests may begin.
    pub supply: BTreeMap<Version, Supply>,
    /// Number of dispatchers that share the executors, this one included; 0 counts as one.
    pub dispatchers: usize,
}

impl Market {
    /// Builds it from the replicated state, the time since the fleet was last heard of, the executors' answers that are
    /// not in the log yet, and the executors.
    pub fn new<'a>(
        schema: &Schema,
        without_word: Option<Micros>,
        words: &Words,
        executors: impl IntoIterator<Item = Executor<'a>>,
        dispatchers: usize,
    ) -> Market {
        let starts = schema.starts(without_word);
        let mut supply: BTreeMap<Version, Supply> = BTreeMap::new();
        for executor in executors.into_iter().filter(|m| m.usable && !words.doubt(schema, m.id)) {
            if let Some(version) = schema.executors().version(executor.id).filter(|v| starts.contains(v)) {
                let s = supply.entry(version).or_default();
                s.executors += 1;
                s.room += usize::from(executor.room);
                s.warm += executor.warm.max(0.0);
            }
        }
        let leads_to = match schema.window() {
            Window::Unset | Window::Closed(_) => None,
            Window::Opening { .. } | Window::Closing { .. } => schema.window().versions().last().copied(),
            Window::RollingBack { old, .. } => Some(*old),
        };
        let unset = *schema.window() == Window::Unset;
        Market { unset, starts, ends: schema.window().ending_version(), leads_to, supply, dispatchers }
    }

    /// The capacity of a version.
    pub fn of(&self, version: Version) -> Supply {
        self.supply.get(&version).copied().unwrap_or_default()
    }
}

/// Versions reported in executors' answers that are not in the log yet. Such an executor gets no requests from here
/// from that answer on, before the fleet has committed the dispute.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Words {
    said: BTreeMap<String, (Version, Micros)>,
}

impl Words {
    /// Records the version in an answer of the executor process that started at `started`.
    pub fn said(&mut self, schema: &Schema, id: &str, version: Version, started: Micros) {
        if !schema.executors().is_new(id, version, started) {
            return;
        }
        if self.said.len() >= MAX_EXECUTORS {
            self.forget(schema);
        }
        let late = self.said.get(id).is_some_and(|(_, at)| *at >= started);
        if !late && (self.said.len() < MAX_EXECUTORS || self.said.contains_key(id)) {
            self.said.insert(id.into(), (version, started));
        }
    }

    /// Whether an executor has reported a version that is not in the log yet.
    pub fn doubt(&self, schema: &Schema, id: &str) -> bool {
        self.said.get(id).is_some_and(|&(version, started)| schema.executors().is_new(id, version, started))
    }

    /// Commands to propose to the fleet, repeated until they are in the log.
    pub fn proposals(&mut self, schema: &Schema) -> Vec<Command> {
        self.forget(schema);
        self.said.iter().map(|(id, &(version, at))| Command::ReportVersion(id.clone(), version, at)).collect()
    }

    fn forget(&mut self, schema: &Schema) {
        self.said.retain(|id, &mut (version, at)| schema.executors().is_new(id, version, at));
    }
}
