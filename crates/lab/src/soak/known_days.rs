//! Days that break a rule for a fault that is not mended yet: the entries `soak_day_SEED` of `KNOWN-RED.txt`.

use crate::fleet::Failure;
use std::collections::BTreeMap;
use std::path::Path;

/// What the name of an entry begins with.
const PREFIX: &str = "soak_day_";
/// Columns of an entry: name, command and seed, what was seen, issue.
const COLUMNS: usize = 4;

/// The entries by seed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KnownDays(BTreeMap<u64, String>);

impl KnownDays {
    /// Reads a list; entries that name tests are none of ours.
    pub fn read(path: &Path) -> Result<KnownDays, Failure> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        KnownDays::parse(&text).map_err(|line| format!("{}: not an entry: {line}", path.display()).into())
    }

    /// The entries of a text, or the first line that is malformed.
    fn parse(text: &str) -> Result<KnownDays, String> {
        let mut entries = BTreeMap::new();
        for line in text.lines().filter(|line| line.starts_with(PREFIX)) {
            let columns: Vec<&str> = line.split(" | ").map(str::trim).collect();
            let seed = columns[0].strip_prefix(PREFIX).and_then(|seed| seed.parse().ok());
            let complete = columns.len() == COLUMNS && columns.iter().all(|column| !column.is_empty());
            let Some(seed) = seed.filter(|_| complete) else { return Err(line.into()) };
            if entries.insert(seed, line.to_string()).is_some() {
                return Err(line.into());
            }
        }
        Ok(KnownDays(entries))
    }

    /// The entries.
    pub fn entries(&self) -> impl Iterator<Item = &str> {
        self.0.values().map(String::as_str)
    }

    /// The seeds that are left to play; fails if an entry is of none of them.
    pub fn without_known(&self, seeds: &[u64]) -> Result<Vec<u64>, Failure> {
        if let Some((_, stale)) = self.0.iter().find(|(seed, _)| !seeds.contains(seed)) {
            return Err(format!("stale entry, no day of this run: {stale}").into());
        }
        Ok(seeds.iter().copied().filter(|seed| !self.0.contains_key(seed)).collect())
    }
}

#[cfg(test)]
mod tests;
