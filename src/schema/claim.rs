//! What a client says that it speaks: the field `schema` in its statement's comment, `schema=8` or `schema=7..8`.

use fleet::schema::{MAX_VERSION, Version};
use std::fmt;

/// The name of the field.
pub const FIELD: &str = "schema";
/// Versions that a client may claim at most.
pub const WIDEST: Version = 16;

/// The versions that a client speaks, all from the oldest to the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    oldest: Version,
    newest: Version,
}

/// Why a field is no claim; its text is for the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Neither `N` nor `N..N`, in digits without a sign or zeros ahead.
    Form,
    /// A version is 0 or larger than any.
    Range,
    /// It ends before it begins.
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
            Fault::Wide => write!(f, "the field schema takes {WIDEST} versions at most"),
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
    // Digits alone fail to be a number only where they are too many.
    text.parse().ok().filter(|v| (1..=MAX_VERSION).contains(v)).ok_or(Fault::Range)
}

impl Claim {
    /// Reads the field's value.
    pub fn parse(text: &str) -> Result<Claim, Fault> {
        let (oldest, newest) = text.split_once("..").unwrap_or((text, text));
        let (oldest, newest) = (version(oldest)?, version(newest)?);
        match newest.checked_sub(oldest) {
            None => Err(Fault::Reversed),
            Some(more) if more >= WIDEST => Err(Fault::Wide),
            Some(_) => Ok(Claim { oldest, newest }),
        }
    }

    /// Whether its client speaks this one.
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
