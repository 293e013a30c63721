//! What a dispatcher has to offer: the versions that may begin, and what the executors of each can take.

use crate::api::Micros;
use fleet::schema::executors::MAX_EXECUTORS;
use fleet::schema::window::Window;
use fleet::schema::{Command, Schema, Version};
use std::collections::BTreeMap;

/// An executor as a dispatcher sees it, its version left out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Executor<'a> {
    /// Its id, as the fleet's log knows it.
    pub id: &'a str,
    /// It takes work at all: up, not banned, not drained.
    pub usable: bool,
    /// It has room for one more now.
    pub room: bool,
    /// Cores that it serves with at present: fewer than it has while it is cold.
    pub warm: f64,
}

/// What the usable executors of one version can take.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Supply {
    /// Usable ones.
    pub executors: usize,
    /// Of these, with room.
    pub room: usize,
    /// Cores that they serve with at present.
    pub warm: f64,
}

/// What there is to offer now.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Market {
    /// The fleet never named a version: nothing is negotiated.
    pub unset: bool,
    /// Versions that may begin, oldest first.
    pub starts: Vec<Version>,
    /// The version that ends.
    pub ends: Option<Version>,
    /// The version that an open window leads to; what begins under it is paced, as its executors are new.
    pub leads_to: Option<Version>,
    /// The executors by version; only versions that may begin.
    pub supply: BTreeMap<Version, Supply>,
    /// Dispatchers that share the executors, this one included; 0 counts as one.
    pub dispatchers: usize,
}

impl Market {
    /// From the agreed state, how long nothing was heard of the fleet, what answers have said beyond the log, and
    /// the executors.
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

    /// What there is of a version.
    pub fn of(&self, version: Version) -> Supply {
        self.supply.get(&version).copied().unwrap_or_default()
    }
}

/// What executors' answers have said that the log does not know yet. Such an executor is left alone here from its
/// answer on, before the fleet has agreed that it is disputed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Words {
    said: BTreeMap<String, (Version, Micros)>,
}

impl Words {
    /// An answer of the process that began at `started` says which version it holds.
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

    /// Whether an executor has said what the log does not know yet.
    pub fn doubt(&self, schema: &Schema, id: &str) -> bool {
        self.said.get(id).is_some_and(|&(version, started)| schema.executors().is_new(id, version, started))
    }

    /// What is to be proposed to the fleet, until it is in the log.
    pub fn proposals(&mut self, schema: &Schema) -> Vec<Command> {
        self.forget(schema);
        self.said.iter().map(|(id, &(version, at))| Command::ReportVersion(id.clone(), version, at)).collect()
    }

    fn forget(&mut self, schema: &Schema) {
        self.said.retain(|id, &mut (version, at)| schema.executors().is_new(id, version, at));
    }
}
