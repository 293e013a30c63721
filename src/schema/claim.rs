//! The schema versions that a client supports: the field `schema` in its statement's comment, `schema=8` or
//! `schema=7..8`.

use fleet::schema::{MAX_VERSION, Version};
use std::fmt;

/// The name of the field.
pub const FIELD: &str = "schema";
/// Maximum number of versions that a client may claim.
pub const MAX_CLAIMED_VERSIONS: Version = 16;

/// The range of versions that a client supports, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    oldest: Version,
    newest: Version,
}

/// Why a field can't be parsed. The text is sent to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Neither `N` nor `N..N` in decimal digits without a sign or leading zeros.
    Form,
    /// A version is 0 or above the maximum.
    Range,
    /// The range ends before it begins.
    Reversed,
    /// More versions than a client may claim.
    Wide,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Form => write!(f, "the field schema takes a version, or two as in 7..8"),
            Fault::Range => write!(f, "the field schema takes versions from 1 to {MAX_VERSION}"),
            Fault::Reversed => write!(f, "the field schema ends before it begins"),
            Fault::Wide => write!(f, "the field schema takes {MAX_CLAIMED_VERSIONS} versions at most"),
        }
    }
}

fn version(text: &str) -> Result<Version, Fault> {
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(Fault::Form);
    }
    if text.len() > 1 && text.starts_with('0') {
        return Err(Fault::Form);
    }
    // A string of digits fails to parse only when it overflows.
    text.parse().ok().filter(|v| (1..=MAX_VERSION).contains(v)).ok_or(Fault::Range)
}

impl Claim {
    /// Parses the field's value.
    pub fn parse(text: &str) -> Result<Claim, Fault> {
        let (oldest, newest) = text.split_once("..").unwrap_or((text, text));
        let (oldest, newest) = (version(oldest)?, version(newest)?);
        match newest.checked_sub(oldest) {
            None => Err(Fault::Reversed),
            Some(more) if more >= MAX_CLAIMED_VERSIONS => Err(Fault::Wide),
            Some(_) => Ok(Claim { oldest, newest }),
        }
    }

    /// Whether the client supports this version.
    pub fn speaks(&self, version: Version) -> bool {
        (self.oldest..=self.newest).contains(&version)
    }

    /// The oldest and the newest version.
    pub fn span(&self) -> (Version, Version) {
        (self.oldest, self.newest)
    }
}

impl fmt::Display for Claim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.oldest == self.newest {
            true => write!(f, "{}", self.oldest),
            false => write!(f, "{}..{}", self.oldest, self.newest),
        }
    }
}
