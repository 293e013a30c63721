//! Executors banned by operators (`OFFLINE`), and the file that passes the bans to the next process.
//!
//! A ban is a flag, not a counter: one `ONLINE` call lifts any number of `OFFLINE` calls. Only listed executors can
//! be banned, so the set is bounded by the list and by [`MAX_BANS`].

use sha2::{Digest, Sha256};
use std::collections::BTreeSet;
use std::fmt;

/// Maximum number of bans, whatever the size of the list.
pub const MAX_BANS: usize = 4096;
const HEAD: &str = "ottercroft bans 1";

/// Why a call on bans is rejected; sent after `-ERR`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BanError {
    /// No executor on the list has that id, and none is banned under it.
    Unknown(String),
    /// [`MAX_BANS`] executors are banned already.
    Full,
}

impl fmt::Display for BanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BanError::Unknown(id) => write!(f, "no executor {id}"),
            BanError::Full => write!(f, "{MAX_BANS} executors are offline already"),
        }
    }
}

/// Why a hand-over file is ignored; logged once, after which the process starts without bans.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unusable {
    /// The header is not that of a ban file.
    UnknownFormat,
    /// Written by another dispatcher.
    OtherDispatcher(String),
    /// The checksum does not match: partially written or modified.
    ChecksumMismatch,
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unusable::UnknownFormat => write!(f, "not a file of bans"),
            Unusable::OtherDispatcher(name) => write!(f, "written by dispatcher {name:?}"),
            Unusable::ChecksumMismatch => write!(f, "torn: its checksum does not match"),
        }
    }
}

/// The bans in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Bans {
    ids: BTreeSet<String>,
}

impl Bans {
    /// Bans an executor; `listed` is whether it is on the list. Returns whether it was not banned before.
    pub fn offline(&mut self, id: &str, listed: bool) -> Result<bool, BanError> {
        if self.ids.contains(id) {
            return Ok(false);
        }
        if !listed {
            return Err(BanError::Unknown(id.to_string()));
        }
        if self.ids.len() >= MAX_BANS {
            return Err(BanError::Full);
        }
        Ok(self.ids.insert(id.to_string()))
    }

    /// Lifts a ban and returns whether there was one; a listed executor without a ban is not an error.
    pub fn online(&mut self, id: &str, listed: bool) -> Result<bool, BanError> {
        match self.ids.remove(id) {
            true => Ok(true),
            false if listed => Ok(false),
            false => Err(BanError::Unknown(id.to_string())),
        }
    }

    /// Whether an executor is banned.
    pub fn banned(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Number of banned executors.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether no executor is banned.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// The banned ids, in order.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.ids.iter().map(String::as_str)
    }

    /// The hand-over file of the dispatcher `name`: a header line with a checksum of the rest, then one id per line.
    pub fn encode(&self, name: &str) -> String {
        let body: String = self.ids.iter().map(|id| format!("{id}\n")).collect();
        format!("{HEAD} name={} sum={}\n{body}", escape(name), checksum(name, &body))
    }

    /// Reads a hand-over file written by `name`; anything else is [`Unusable`].
    pub fn decode(text: &str, name: &str) -> Result<Bans, Unusable> {
        let (head, body) = text.split_once('\n').ok_or(Unusable::UnknownFormat)?;
        let rest =
            head.strip_prefix(HEAD).and_then(|r| r.strip_prefix(" name=")).ok_or(Unusable::UnknownFormat)?;
        let (written_by, sum) = rest.rsplit_once(" sum=").ok_or(Unusable::UnknownFormat)?;
        if written_by != escape(name) {
            return Err(Unusable::OtherDispatcher(written_by.to_string()));
        }
        if sum != checksum(name, body) {
            return Err(Unusable::ChecksumMismatch);
        }
        let ids = body.lines().filter(|l| !l.is_empty()).take(MAX_BANS).map(str::to_string).collect();
        Ok(Bans { ids })
    }
}

fn escape(name: &str) -> String {
    name.chars().map(|c| if c.is_ascii_graphic() { c } else { '_' }).collect()
}

fn checksum(name: &str, body: &str) -> String {
    let digest = Sha256::new().chain_update(name).chain_update([0]).chain_update(body).finalize();
    digest.iter().take(12).map(|b| format!("{b:02x}")).collect()
}
