//! The file in which bans are handed to the next process.

use crate::membership::storage;
use crate::operator::bans::Bans;
use std::io;
use std::path::{Path, PathBuf};

/// Where this dispatcher's bans are kept. Writes to the folder may fail for a while: they are owed until they succeed.
pub(in crate::net) struct BansFile {
    path: PathBuf,
    name: String,
    /// Whether the file is behind the bans in force.
    owed: bool,
}

impl BansFile {
    /// The file of the dispatcher of this name in a folder.
    pub(in crate::net) fn of(folder: &Path, name: &str) -> BansFile {
        let path = folder.join(format!("ottercroft-{}.bans", in_file_name(name)));
        BansFile { path, name: name.to_string(), owed: false }
    }

    /// The bans that the process before this one handed over, if its file is there and can be used.
    pub(in crate::net) fn handed_over(&self) -> Bans {
        let file = self.path.display();
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Bans::default(),
            Err(e) => {
                tracing::warn!(%file, error = %e, "bans: hand-over file ignored");
                return Bans::default();
            }
        };
        match Bans::decode(&text, &self.name) {
            Ok(bans) => {
                if !bans.is_empty() {
                    let ids: Vec<&str> = bans.ids().collect();
                    tracing::warn!(%file, offline = ?ids, "bans: handed over");
                }
                bans
            }
            Err(e) => {
                tracing::warn!(%file, error = %e, "bans: hand-over file ignored");
                Bans::default()
            }
        }
    }

    /// Writes the bans for the next process: whole or not at all, and to the disk.
    pub(in crate::net) fn save(&mut self, bans: &Bans) {
        let written = storage::write_atomically(&self.path, bans.encode(&self.name).as_bytes());
        match &written {
            Err(e) if !self.owed => {
                let file = self.path.display();
                tracing::error!(%file, error = %e, "bans: can't hand over; tried again until it can be done");
            }
            Ok(()) if self.owed => tracing::warn!(file = %self.path.display(), "bans: handed over at last"),
            _ => {}
        }
        self.owed = written.is_err();
    }

    /// Writes them again if they could not be written.
    pub(in crate::net) fn retry_now(&mut self, bans: &Bans) {
        if self.owed {
            self.save(bans);
        }
    }
}

/// A dispatcher's name as a part of a file name.
fn in_file_name(name: &str) -> String {
    let safe: String =
        name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect();
    if safe.is_empty() { "dispatcher".into() } else { safe }
}

#[cfg(test)]
mod tests;
