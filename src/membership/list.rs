//! The list file: executors by zone (a `room` block each), an optional generation and a seal.
//!
//! ```hcl
//! generation = 12
//! room "sala-norte" {
//!   motor "s-00c41f7a" {
//!     address = "10.1.0.9:8443"
//!     kind    = "ocho-nucleos"
//!     weight  = 1.0     # optional, 1 if left out; 0 drains
//!     state   = "up"    # optional; or "draining"
//!   }
//! }
//! seal {
//!   count  = 1
//!   digest = "sha256:..."
//! }
//! ```
//!
//! The digest of a file covers its content, regardless of spacing, order and comments. The seal states the digest and
//! the number of executors: a partially written, truncated or mixed file does not match its seal.

mod digest;
mod sealing;

use crate::settings::hcl::{self, Fault, Place, Table, Text};
pub use digest::{Digest, InvalidDigest, digest};
pub use sealing::renew_seal;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;

/// The state that a list wants an executor to be in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DesiredState {
    /// It accepts requests.
    Up,
    /// It completes its outstanding work.
    Draining,
}

/// An executor as listed in its file.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Executor {
    /// Unique id; a machine that replaces the executor has another.
    pub uid: Arc<str>,
    /// Its zone; the list file calls it a room.
    #[serde(rename = "room")]
    pub zone: Arc<str>,
    /// The address that it listens on, in canonical form.
    pub address: SocketAddr,
    /// Its kind of machine.
    pub kind: Arc<str>,
    /// Its share of the work relative to others of its kind; 0 drains it.
    pub weight: f64,
    /// The state that it is to be in.
    pub state: DesiredState,
}

impl Executor {
    /// Whether it is to accept requests.
    pub fn accepts_requests(&self) -> bool {
        self.state == DesiredState::Up && self.weight > 0.0
    }
}

/// A seal: what the author of the file states that it contains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seal {
    /// The number of executors.
    pub count: u64,
    /// The digest of the file's content.
    pub digest: Digest,
    /// Its byte range in the text.
    pub span: Range<usize>,
    /// Its line and column.
    pub place: Place,
}

/// One file of a list, as far as it could be parsed.
#[derive(Debug, Clone, PartialEq)]
pub struct ListFile {
    /// Its file name, without the directory.
    pub name: Arc<str>,
    /// The generation that it states.
    pub generation: Option<u64>,
    /// Its executors, in the order of the file.
    pub executors: Vec<Arc<Executor>>,
    /// The position of each executor in the file.
    pub places: Vec<Place>,
    /// Its seal.
    pub seal: Option<Seal>,
    /// A second seal: confirms that the list removes capacity on purpose.
    pub confirm: Option<Digest>,
    /// The digest of its content.
    pub digest: Digest,
}

impl ListFile {
    /// Parses a file. `path` appears in the faults.
    pub fn parse(path: &str, name: &str, text: &str) -> (Option<ListFile>, Vec<Fault>) {
        let text = Text::new(path, text);
        let body = match text.parse() {
            Ok(body) => body,
            Err(fault) => return (None, vec![fault]),
        };
        let (root, mut faults) = (Table::root(&text, &body), Vec::new());
        root.only(&["generation", "confirm"], &["room", "seal"], &mut faults);
        let generation = root.get("generation", &mut faults, hcl::whole(1..=u64::MAX / 2));
        let confirm = root.get("confirm", &mut faults, hcl::parsed("sha256:..., 64 hex digits"));
        let seal = root.block("seal", &mut faults).and_then(|t| seal(&t, &mut faults));
        let (mut executors, mut places) = (Vec::new(), Vec::new());
        for (names, zone) in root.blocks("room", 1, &mut faults) {
            zone.only(&[], &["motor"], &mut faults);
            let label: Arc<str> = names[0].into();
            for (uid, t) in zone.blocks("motor", 1, &mut faults) {
                if let Some(m) = executor(uid[0], &label, &t, &mut faults) {
                    executors.push(Arc::new(m));
                    places.push(t.place());
                }
            }
        }
        let digest = digest(generation, &executors);
        let file = ListFile { name: name.into(), generation, executors, places, seal, confirm, digest };
        (Some(file), faults)
    }

    /// Whether there is a seal that matches the content.
    pub fn seal_matches(&self) -> bool {
        let matches = |s: &Seal| s.digest == self.digest && s.count == self.executors.len() as u64;
        self.seal.as_ref().is_some_and(matches)
    }
}

fn seal(t: &Table<'_>, faults: &mut Vec<Fault>) -> Option<Seal> {
    t.only(&["count", "digest"], &[], faults);
    let count = t.need("count", faults, hcl::whole(0..=u64::MAX / 2));
    let digest = t.need("digest", faults, hcl::parsed("sha256:..., 64 hex digits"));
    Some(Seal { count: count?, digest: digest?, span: t.span(), place: t.place() })
}

fn executor(uid: &str, zone: &Arc<str>, t: &Table<'_>, faults: &mut Vec<Fault>) -> Option<Executor> {
    t.only(&["address", "kind", "weight", "state"], &[], faults);
    let address = t.need("address", faults, hcl::parsed::<SocketAddr>("10.1.0.9:8443"));
    let kind = t.need("kind", faults, hcl::string);
    let any = hcl::number(0.0..=f64::MAX);
    let weight = if t.has("weight") { t.get("weight", faults, any) } else { Some(1.0) };
    let states = hcl::one_of(&[("up", DesiredState::Up), ("draining", DesiredState::Draining)]);
    let state = if t.has("state") { t.get("state", faults, states) } else { Some(DesiredState::Up) };
    let address = address.map(|a| SocketAddr::new(a.ip().to_canonical(), a.port()));
    let (uid, zone, kind) = (uid.into(), zone.clone(), kind?.into());
    Some(Executor { uid, zone, address: address?, kind, weight: weight?, state: state? })
}

/// A list: all its files, as one version.
#[derive(Debug, Clone, PartialEq)]
pub struct List {
    /// The files, by name.
    pub files: Vec<ListFile>,
    /// The digest of all files; that of the file if there is only one.
    pub digest: Digest,
}

impl List {
    /// Creates a list from its files.
    pub fn new(mut files: Vec<ListFile>) -> List {
        files.sort_by(|a, b| a.name.cmp(&b.name));
        let digest = match &files[..] {
            [one] => one.digest,
            all => {
                let names: String = all.iter().map(|f| format!("{:?} {}\n", f.name, f.digest)).collect();
                Digest::of(format!("ottercroft lists 1\n{names}").as_bytes())
            }
        };
        List { files, digest }
    }

    /// All executors, with the file and position of each.
    pub fn executors(&self) -> impl Iterator<Item = (&ListFile, &Arc<Executor>, Place)> {
        self.files.iter().flat_map(|f| f.executors.iter().zip(&f.places).map(move |(m, p)| (f, m, *p)))
    }

    /// The number of executors.
    pub fn len(&self) -> usize {
        self.files.iter().map(|f| f.executors.len()).sum()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
pub(crate) mod tests;
