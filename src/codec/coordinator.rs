//! The coordinator's feed, sans-I/O: numbered events that change the list of executors, one JSON object per
//! line, and every second a line with only the last event number.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The state of an executor in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepts requests.
    Up,
    /// Accepts no new requests and finishes open ones.
    Draining,
    /// No longer part of the list.
    Removed,
}

/// An executor as listed by the coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The executor's unique id; a replacement machine gets a new one.
    pub uid: String,
    /// Address it listens on; may be missing for a removed executor.
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
    /// Its state.
    pub state: State,
    /// Relative size.
    #[serde(default)]
    pub capacity_hint: Option<f64>,
    /// Start time in Unix milliseconds if it started recently, else 0.
    #[serde(default)]
    pub boot_ms: u64,
    /// Share of the work relative to others of its kind; set by list files, never by the coordinator.
    #[serde(skip)]
    pub weight: Option<f64>,
}

/// The whole list or a change to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoints {
    /// Whether this is the whole list, so that executors not named are removed.
    #[serde(default)]
    pub all: bool,
    /// The entries.
    #[serde(default)]
    pub targets: Vec<Target>,
}

/// A numbered event; one without endpoints changes nothing here.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Its number, from 1.
    pub index: u64,
    /// The change to the list.
    #[serde(default)]
    pub endpoints: Option<Endpoints>,
}

/// The events known at start.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Known {
    /// The last number.
    pub index: u64,
    /// The events.
    #[serde(default)]
    pub updates: Vec<Update>,
}

/// Identifies the events known at start.
pub type KnownDigest = [u8; 16];

impl Known {
    /// The same for processes that start from the same events.
    pub fn digest(&self) -> KnownDigest {
        let mut digest = KnownDigest::default();
        let hash = Sha256::digest(serde_json::to_vec(self).unwrap_or_default());
        digest.iter_mut().zip(hash).for_each(|(to, byte)| *to = byte);
        digest
    }

    /// The list that results from the events.
    pub fn targets(&self) -> Vec<Target> {
        // Keyed by uid with the position of the last mention, as thousands of entries can be spread over many events.
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
    /// The number of the last event.
    Last(u64),
    /// An event.
    Update(Update),
}

/// The line that requests all events after event `held`.
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

/// The number of an executor, derived from its uid alone, so that it is the same at all dispatchers and after every
/// restart: the eight hex digits at the end of a uid such as `s-00c41f7a`, else the FNV-1a hash of the uid.
pub fn executor_id(uid: &str) -> u32 {
    let digits = uid.rsplit_once('-').map(|(_, d)| d).filter(|d| d.len() == 8);
    let number = digits.and_then(|d| u32::from_str_radix(d, 16).ok());
    let hash = || uid.bytes().fold(0x811c_9dc5, |h: u32, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
    number.unwrap_or_else(hash)
}

#[cfg(test)]
mod tests;
