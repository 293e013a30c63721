//! The list file: rooms with motores, an optional generation, a seal.
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
//! with the number of motores: what was torn, cut short or mixed does not match its seal.

use crate::settings::hcl::{self, Fault, Place, Table, Text};
use sha2::{Digest as _, Sha256};
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::str::FromStr;
use std::sync::Arc;

/// SHA-256 of what a list says.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Of these bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(Sha256::digest(bytes).into())
    }

    /// The first characters, enough to tell lists apart and to accept one.
    pub fn short(&self) -> String {
        self.to_string()["sha256:".len()..][..Digest::SHORT].to_string()
    }

    /// The length of [`Digest::short`].
    pub const SHORT: usize = 16;
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("sha256:")?;
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// A digest that can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoDigest;

impl FromStr for Digest {
    type Err = NoDigest;

    fn from_str(text: &str) -> Result<Digest, NoDigest> {
        let hex = text.strip_prefix("sha256:").unwrap_or(text);
        if hex.len() != 64 || !hex.is_ascii() {
            return Err(NoDigest);
        }
        let mut bytes = [0; 32];
        for (b, pair) in bytes.iter_mut().zip(hex.as_bytes().chunks(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| NoDigest)?;
            *b = u8::from_str_radix(pair, 16).map_err(|_| NoDigest)?;
        }
        Ok(Digest(bytes))
    }
}

/// What a list wants of a motor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Wanted {
    /// It takes queries.
    Up,
    /// It completes what it has.
    Draining,
}

/// A motor as its file has it.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Motor {
    /// Which motor; a machine that replaces it has another.
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

impl Motor {
    /// Whether it is to take queries.
    pub fn takes(&self) -> bool {
        self.state == Wanted::Up && self.weight > 0.0
    }
}

/// A seal: what its writer says the file holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seal {
    /// The number of motores.
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
    /// Its motores, in the order of the file.
    pub motores: Vec<Arc<Motor>>,
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
        let (mut motores, mut places) = (Vec::new(), Vec::new());
        for (names, room) in root.blocks("room", 1, &mut faults) {
            room.only(&[], &["motor"], &mut faults);
            let label: Arc<str> = names[0].into();
            for (uid, t) in room.blocks("motor", 1, &mut faults) {
                if let Some(m) = motor(uid[0], &label, &t, &mut faults) {
                    motores.push(Arc::new(m));
                    places.push(t.place());
                }
            }
        }
        let digest = digest(generation, &motores);
        let file = ListFile { name: name.into(), generation, motores, places, seal, confirm, digest };
        (Some(file), faults)
    }

    /// Whether the seal is there and tells what was read.
    pub fn seal_holds(&self) -> bool {
        let told = |s: &Seal| s.digest == self.digest && s.count == self.motores.len() as u64;
        self.seal.as_ref().is_some_and(told)
    }
}

fn seal(t: &Table<'_>, faults: &mut Vec<Fault>) -> Option<Seal> {
    t.only(&["count", "digest"], &[], faults);
    let count = t.need("count", faults, hcl::whole(0..=u64::MAX / 2));
    let digest = t.need("digest", faults, hcl::parsed("sha256:..., 64 hex digits"));
    Some(Seal { count: count?, digest: digest?, span: t.span(), place: t.place() })
}

fn motor(uid: &str, room: &Arc<str>, t: &Table<'_>, faults: &mut Vec<Fault>) -> Option<Motor> {
    t.only(&["address", "kind", "weight", "state"], &[], faults);
    let address = t.need("address", faults, hcl::parsed::<SocketAddr>("10.1.0.9:8443"));
    let kind = t.need("kind", faults, hcl::string);
    let any = hcl::number(0.0..=f64::MAX);
    let weight = if t.has("weight") { t.get("weight", faults, any) } else { Some(1.0) };
    let states = hcl::one_of(&[("up", Wanted::Up), ("draining", Wanted::Draining)]);
    let state = if t.has("state") { t.get("state", faults, states) } else { Some(Wanted::Up) };
    let address = address.map(|a| SocketAddr::new(a.ip().to_canonical(), a.port()));
    let (uid, room, kind) = (uid.into(), room.clone(), kind?.into());
    Some(Motor { uid, room, address: address?, kind, weight: weight?, state: state? })
}

/// The digest of what a file says: its generation and its motores, in one order and one spelling.
pub fn digest(generation: Option<u64>, motores: &[Arc<Motor>]) -> Digest {
    let mut lines: Vec<String> = motores.iter().map(|m| line(m)).collect();
    lines.sort_unstable();
    Digest::of(format!("ottercroft list 1\n{generation:?}\n{}", lines.concat()).as_bytes())
}

/// Quoted, so that no name can look like another line.
fn line(m: &Motor) -> String {
    let Motor { uid, room, address, kind, weight, state } = m;
    format!("{room:?} {uid:?} {address} {kind:?} {:016x} {state:?}\n", weight.to_bits())
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

    /// All motores, with the file and place of each.
    pub fn motores(&self) -> impl Iterator<Item = (&ListFile, &Arc<Motor>, Place)> {
        self.files.iter().flat_map(|f| f.motores.iter().zip(&f.places).map(move |(m, p)| (f, m, *p)))
    }

    /// The number of motores.
    pub fn len(&self) -> usize {
        self.files.iter().map(|f| f.motores.len()).sum()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The text of a file with its seal renewed; with `confirmed`, with the second seal too, and with `next` one
/// generation on. Everything else stays as it stands. A file that can't be read can't be sealed.
pub fn sealed(path: &str, text: &str, confirmed: bool, next: bool) -> Result<String, Vec<Fault>> {
    let read = |text: &str| match ListFile::parse(path, path, text) {
        (Some(file), faults) if faults.is_empty() => Ok(file),
        (_, faults) => Err(faults),
    };
    let mut text = text.to_string();
    let file = read(&text)?;
    if next {
        let to = file.generation.unwrap_or(0) + 1;
        text = with_line(&text, "generation", &format!("generation = {to}"));
    }
    if let Some(seal) = read(&text)?.seal {
        let end = text[seal.span.end..].find('\n').map_or(text.len(), |n| seal.span.end + n + 1);
        text.replace_range(seal.span.start..end, "");
    }
    text = with_line(&text, "confirm", "");
    let file = read(&text)?;
    if confirmed {
        text = with_line(&text, "confirm", &format!("confirm = \"{}\"", file.digest));
    }
    let (count, digest) = (file.motores.len(), file.digest);
    let text = text.trim_end();
    Ok(format!("{text}\n\nseal {{\n  count  = {count}\n  digest = \"{digest}\"\n}}\n"))
}

/// The text with its top-level line of this key replaced, or set ahead if there is none; an empty line takes it out.
fn with_line(text: &str, key: &str, line: &str) -> String {
    let is_it = |l: &str| l.strip_prefix(key).is_some_and(|rest| rest.trim_start().starts_with('='));
    let had = text.lines().any(is_it);
    let mut out = if had || line.is_empty() { String::new() } else { format!("{line}\n") };
    for l in text.lines() {
        match is_it(l) {
            true if line.is_empty() => {}
            true => out.extend([line, "\n"]),
            false => out.extend([l, "\n"]),
        }
    }
    out
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    pub(crate) const TWO: &str = "generation = 4\nroom \"a\" {\n  motor \"e1\" {\n    address = \"127.0.0.1:1\"\n    \
        kind = \"k\"\n  }\n  motor \"e2\" {\n    address = \"127.0.0.1:2\"\n    kind = \"k\"\n    weight = 0.5\n    \
        state = \"draining\"\n  }\n}\n";

    fn parse(text: &str) -> ListFile {
        let (file, faults) = ListFile::parse("f", "f", text);
        assert_eq!(faults, []);
        file.unwrap()
    }

    // A seal tells what was meant whatever comments, spacing and order it is written in, and no cut of a sealed
    // text may pass for one.
    #[test]
    fn a_seal_holds_for_the_whole_and_for_no_part_of_it() {
        let text = sealed("f", TWO, false, false).unwrap();
        assert!(parse(&text).seal_holds());
        assert!(parse(&format!("# note\n{}", text.replace("  ", "\t"))).seal_holds());
        assert!(!parse(&text.replace("0.5", "0.6")).seal_holds());
        for cut in 0..text.trim_end().len() {
            let (file, faults) = ListFile::parse("f", "f", &text[..cut]);
            let passes = faults.is_empty() && file.is_some_and(|f| f.seal_holds());
            assert!(!passes, "cut at {cut}");
        }
    }

    #[test]
    fn sealing_again_changes_nothing_and_a_generation_goes_on() {
        let once = sealed("f", TWO, false, false).unwrap();
        assert_eq!(sealed("f", &once, false, false).unwrap(), once);
        let next = sealed("f", &once, true, true).unwrap();
        let file = parse(&next);
        assert!(
            file.seal_holds() && file.generation == Some(5) && file.confirm == Some(file.digest),
            "{next}"
        );
        assert_eq!(parse(&sealed("f", &next, false, false).unwrap()).confirm, None);
        assert!(sealed("f", "room \"a\" {", false, false).is_err());
    }

    // One address has many spellings; two motores at one address would be one machine under two names.
    #[test]
    fn an_address_has_one_spelling() {
        let mapped = TWO.replace("127.0.0.1:1", "[::ffff:127.0.0.1]:1");
        assert_eq!(parse(&mapped).digest, parse(TWO).digest);
    }

    #[test]
    fn a_digest_is_read_as_it_is_written() {
        let d = Digest::of(b"x");
        assert_eq!(d.to_string().parse(), Ok(d));
        assert_eq!("sha256:1g".parse::<Digest>(), Err(NoDigest));
    }
}
