//! The coordinator's feed, sans-I/O: numbered events that change the list of executors, one JSON object a
//! line, and each second a line that holds the last number alone.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a process does, as the list has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes requests.
    Up,
    /// Completes its work.
    Draining,
    /// Gone.
    Removed,
}

/// An executor as the list has it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Target {
    /// Which executor; a machine that replaces it has another.
    pub uid: String,
    /// Where it listens; may be missing once it is gone.
    #[serde(default)]
    pub endpoint: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its kind.
    #[serde(default)]
    pub model: String,
    /// Its cell.
    #[serde(default)]
    pub pod_group: u64,
    /// What it does.
    pub state: State,
    /// Relative size.
    #[serde(default)]
    pub capacity_hint: Option<f64>,
    /// Unix millisecond of a late start; 0 for long ago.
    #[serde(default)]
    pub boot_ms: u64,
    /// Share of the work beside others of its kind; a list from files sets it, the coordinator never does.
    #[serde(skip)]
    pub weight: Option<f64>,
}

/// The list, or what changed of it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Endpoints {
    /// The whole list: what it does not name is gone.
    #[serde(default)]
    pub all: bool,
    /// The entries.
    #[serde(default)]
    pub targets: Vec<Target>,
}

/// A numbered event; one without endpoints changes nothing here.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Update {
    /// Its number, from 1.
    pub index: u64,
    /// What it says.
    #[serde(default)]
    pub endpoints: Option<Endpoints>,
}

/// The events of the start.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct Known {
    /// The last number.
    pub index: u64,
    /// The events.
    #[serde(default)]
    pub updates: Vec<Update>,
}

impl Known {
    /// The list that the events come to.
    pub fn targets(&self) -> Vec<Target> {
        // By uid, each with the place of its last mention: thousands of entries are told over many events.
        let mut list: BTreeMap<&str, (usize, &Target)> = BTreeMap::new();
        let mut mentions = 0;
        for e in self.updates.iter().filter_map(|u| u.endpoints.as_ref()) {
            if e.all {
                list.clear();
            }
            for t in &e.targets {
                list.insert(&t.uid, (mentions, t));
                mentions += 1;
            }
        }
        let mut last: Vec<(usize, &Target)> = list.into_values().collect();
        last.sort_unstable_by_key(|(mention, _)| *mention);
        last.into_iter().map(|(_, t)| t.clone()).collect()
    }
}

/// A line of the feed.
#[derive(Debug, PartialEq)]
pub enum Line {
    /// The last number that there is.
    Last(u64),
    /// An event.
    Update(Update),
}

/// The line that asks for all that comes after event `held`.
pub fn follow(held: u64) -> String {
    format!("follow {held}\n")
}

/// Reads one line without its line feed.
pub fn line(text: &[u8]) -> Result<Line, String> {
    let text = std::str::from_utf8(text).map_err(|e| e.to_string())?.trim();
    match text.parse() {
        Ok(last) => Ok(Line::Last(last)),
        Err(_) => serde_json::from_str(text).map(Line::Update).map_err(|e| e.to_string()),
    }
}

/// The number of an executor, from its uid alone, so that all dispatchers and every later life have the same
/// one: the eight hex digits that a uid ends in, as in `s-00c41f7a`; of any other uid its FNV-1a hash.
pub fn executor_id(uid: &str) -> u32 {
    let digits = uid.rsplit_once('-').map(|(_, d)| d).filter(|d| d.len() == 8);
    let number = digits.and_then(|d| u32::from_str_radix(d, 16).ok());
    let hash = || uid.bytes().fold(0x811c_9dc5, |h: u32, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
    number.unwrap_or_else(hash)
}

#[cfg(test)]
mod tests;
