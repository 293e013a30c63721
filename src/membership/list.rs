//! The list file: rooms with executors, an optional generation, a seal.
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
//! A file has a digest of what it says, whatever its spacing, order and comments. The seal repeats it together
//! with the number of executors: what was torn, cut short or mixed does not match its seal.

mod digest;
mod sealing;

use crate::settings::hcl::{self, Fault, Place, Table, Text};
pub use digest::{Digest, NoDigest, digest};
pub use sealing::sealed;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;

/// What a list wants of an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Wanted {
    /// It takes requests.
    Up,
    /// It completes what it has.
    Draining,
}

/// An executor as its file has it.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Executor {
    /// Which executor; a machine that replaces it has another.
    pub uid: Arc<str>,
    /// Its room.
    pub room: Arc<str>,
    /// Where it listens, in its one spelling.
    pub address: SocketAddr,
    /// Its kind of machine.
    pub kind: Arc<str>,
    /// Its share of the work beside others of its kind; 0 drains it.
    pub weight: f64,
    /// What it is to do.
    pub state: Wanted,
}

impl Executor {
    /// Whether it is to take requests.
    pub fn takes(&self) -> bool {
        self.state == Wanted::Up && self.weight > 0.0
    }
}

/// A seal: what its writer says the file holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seal {
    /// The number of executors.
    pub count: u64,
    /// The digest of what the file says.
    pub digest: Digest,
    /// Where it stands in the text.
    pub span: Range<usize>,
    /// Its line and column.
    pub place: Place,
}

/// One file of a list, as far as it could be read.
#[derive(Debug, Clone, PartialEq)]
pub struct ListFile {
    /// Its name: the file's own, without its folder.
    pub name: Arc<str>,
    /// The generation that it states.
    pub generation: Option<u64>,
    /// Its executors, in the order of the file.
    pub executors: Vec<Arc<Executor>>,
    /// Where each stands.
    pub places: Vec<Place>,
    /// Its seal.
    pub seal: Option<Seal>,
    /// A second seal: confirms that what the list takes away is meant.
    pub confirm: Option<Digest>,
    /// The digest of what it says.
    pub digest: Digest,
}

impl ListFile {
    /// Reads a file's text. `path` is what faults name.
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
        for (names, room) in root.blocks("room", 1, &mut faults) {
            room.only(&[], &["motor"], &mut faults);
            let label: Arc<str> = names[0].into();
            for (uid, t) in room.blocks("motor", 1, &mut faults) {
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

    /// Whether the seal is there and tells what was read.
    pub fn seal_holds(&self) -> bool {
        let told = |s: &Seal| s.digest == self.digest && s.count == self.executors.len() as u64;
        self.seal.as_ref().is_some_and(told)
    }
}

fn seal(t: &Table<'_>, faults: &mut Vec<Fault>) -> Option<Seal> {
    t.only(&["count", "digest"], &[], faults);
    let count = t.need("count", faults, hcl::whole(0..=u64::MAX / 2));
    let digest = t.need("digest", faults, hcl::parsed("sha256:..., 64 hex digits"));
    Some(Seal { count: count?, digest: digest?, span: t.span(), place: t.place() })
}

fn executor(uid: &str, room: &Arc<str>, t: &Table<'_>, faults: &mut Vec<Fault>) -> Option<Executor> {
    t.only(&["address", "kind", "weight", "state"], &[], faults);
    let address = t.need("address", faults, hcl::parsed::<SocketAddr>("10.1.0.9:8443"));
    let kind = t.need("kind", faults, hcl::string);
    let any = hcl::number(0.0..=f64::MAX);
    let weight = if t.has("weight") { t.get("weight", faults, any) } else { Some(1.0) };
    let states = hcl::one_of(&[("up", Wanted::Up), ("draining", Wanted::Draining)]);
    let state = if t.has("state") { t.get("state", faults, states) } else { Some(Wanted::Up) };
    let address = address.map(|a| SocketAddr::new(a.ip().to_canonical(), a.port()));
    let (uid, room, kind) = (uid.into(), room.clone(), kind?.into());
    Some(Executor { uid, room, address: address?, kind, weight: weight?, state: state? })
}

/// A whole list: all its files, as one version.
#[derive(Debug, Clone, PartialEq)]
pub struct List {
    /// The files, by name.
    pub files: Vec<ListFile>,
    /// The digest of all of them; of a single file it is that file's.
    pub digest: Digest,
}

impl List {
    /// Of these files.
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

    /// All executors, with the file and place of each.
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
