//! The digest of a list's content.

use super::Executor;
use sha2::{Digest as _, Sha256};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// SHA-256 of a list's content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// The digest of these bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(Sha256::digest(bytes).into())
    }

    /// The first hex digits, enough to tell lists apart and to accept one.
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

/// A digest that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidDigest;

impl FromStr for Digest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Digest, InvalidDigest> {
        let hex = text.strip_prefix("sha256:").unwrap_or(text);
        if hex.len() != 64 || !hex.is_ascii() {
            return Err(InvalidDigest);
        }
        let mut bytes = [0; 32];
        for (b, pair) in bytes.iter_mut().zip(hex.as_bytes().chunks(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| InvalidDigest)?;
            *b = u8::from_str_radix(pair, 16).map_err(|_| InvalidDigest)?;
        }
        Ok(Digest(bytes))
    }
}

/// The digest of a file's content: its generation and its executors, in canonical order and form.
pub fn digest(generation: Option<u64>, executors: &[Arc<Executor>]) -> Digest {
    let mut lines: Vec<String> = executors.iter().map(|m| line(m)).collect();
    lines.sort_unstable();
    Digest::of(format!("ottercroft list 1\n{generation:?}\n{}", lines.concat()).as_bytes())
}

/// The line of an executor. Names are quoted, so that none can imitate another line.
fn line(m: &Executor) -> String {
    let Executor { uid, zone, address, kind, weight, state } = m;
    format!("{zone:?} {uid:?} {address} {kind:?} {:016x} {state:?}\n", weight.to_bits())
}
