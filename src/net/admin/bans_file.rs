//! The hand-over file, through which the next process receives the bans.

use crate::membership::storage::{self, Durability};
use crate::net::temporary_files;
use crate::operator::bans::Bans;
use std::io;
use std::path::{Path, PathBuf};

/// The file of this dispatcher's bans. A write that fails is retried until it succeeds.
pub(in crate::net) struct BansFile {
    path: PathBuf,
    name: String,
    /// Whether the last write failed, so that the file lacks changes of the bans.
    unsaved: bool,
}

impl BansFile {
    /// The file of the named dispatcher in a directory.
    pub(in crate::net) fn new(directory: &Path, name: &str) -> BansFile {
        let path = temporary_files::path(directory, name, "bans");
        BansFile { path, name: name.to_string(), unsaved: false }
    }

    /// Loads the bans of the previous process; none if the file is missing or can't be used.
    pub(in crate::net) fn load(&self) -> Bans {
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
                    tracing::warn!(%file, offline = ?ids, "bans: loaded from the hand-over file");
                }
                bans
            }
            Err(e) => {
                tracing::warn!(%file, error = %e, "bans: hand-over file ignored");
                Bans::default()
            }
        }
    }

    /// Writes the bans for the next process, atomically. The event loop does not wait for the disk: the file has to outlive
    /// this process, not the machine.
    pub(in crate::net) fn save(&mut self, bans: &Bans) {
        let written =
            storage::write_atomically(&self.path, bans.encode(&self.name).as_bytes(), Durability::Process);
        match &written {
            Err(e) if !self.unsaved => {
                let file = self.path.display();
                tracing::error!(%file, error = %e, "bans: can't write the hand-over file; retrying");
            }
            Ok(()) if self.unsaved => {
                tracing::warn!(file = %self.path.display(), "bans: hand-over file written after retries")
            }
            _ => {}
        }
        self.unsaved = written.is_err();
    }

    /// Writes the bans again if the last write failed.
    pub(in crate::net) fn retry_now(&mut self, bans: &Bans) {
        if self.unsaved {
            self.save(bans);
        }
    }
}

#[cfg(test)]
mod tests;
