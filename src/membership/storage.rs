//! Stored data: the last good list of each source, and the acceptances that operators recorded.

use super::list::{self, Digest, Executor, List, ListFile};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The first word of a stored list, with the version of its format.
const FORMAT: &str = "ottercroft-last-good-1";
/// Maximum number of acceptances in a file.
const MAX_ACCEPTANCES: usize = 32;
/// Minimum number of hex digits of a digest in an acceptance.
pub const MIN_DIGEST_DIGITS: usize = 12;

#[derive(Serialize, Deserialize)]
struct StoredList {
    digest: String,
    files: Vec<StoredFile>,
}

#[derive(Serialize, Deserialize)]
struct StoredFile {
    name: String,
    generation: Option<u64>,
    #[serde(rename = "motores")]
    executors: Vec<Executor>,
}

/// What a file has to outlive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Durability {
    /// The process that writes it. The write does not wait for the disk.
    Process,
    /// The machine: the file and its directory are synced, which may take seconds on a busy disk.
    Machine,
}

/// Replaces a file atomically: writes a temporary file next to it and renames it.
pub fn write_atomically(path: &Path, bytes: &[u8], durability: Durability) -> io::Result<()> {
    let directory = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let name = path.file_name().ok_or_else(|| io::Error::other("no file name"))?;
    let temporary = directory.join(format!(".{}.{}.new", name.to_string_lossy(), std::process::id()));
    let written = File::create(&temporary)
        .and_then(|mut file| file.write_all(bytes).and_then(|()| sync(&file, durability)));
    let renamed = written.and_then(|()| fs::rename(&temporary, path));
    if renamed.is_err() {
        // The temporary file is of no use; the error to report is that of the write, not of the removal.
        let _ = fs::remove_file(&temporary);
    }
    renamed.and_then(|()| sync(&File::open(directory)?, durability))
}

fn sync(file: &File, durability: Durability) -> io::Result<()> {
    if durability == Durability::Process {
        return Ok(());
    }
    #[cfg(test)]
    tests::count_sync();
    file.sync_all()
}

/// Path of the last good list of a source.
pub fn path(directory: &Path, source: &str) -> PathBuf {
    directory.join(format!("{source}.last-good"))
}

/// Saves a list.
pub fn save(path: &Path, list: &List) -> io::Result<()> {
    let file = |f: &ListFile| StoredFile {
        name: f.name.to_string(),
        generation: f.generation,
        executors: f.executors.iter().map(|m| Executor::clone(m)).collect(),
    };
    let stored = StoredList { digest: list.digest.to_string(), files: list.files.iter().map(file).collect() };
    let body = serde_json::to_string(&stored)?;
    let sum = Digest::of(body.as_bytes());
    write_atomically(path, format!("{FORMAT} {sum}\n{body}\n").as_bytes(), Durability::Machine)
}

/// Loads a saved list; the error says what is wrong with the file.
pub fn load(path: &Path, max_bytes: u64) -> Result<List, String> {
    let size = fs::metadata(path).map_err(|e| e.to_string())?.len();
    // A list takes more space in JSON than in HCL, but less than four times as much.
    if size > max_bytes.saturating_mul(4) {
        return Err(format!("damaged: {size} bytes"));
    }
    let text = fs::read_to_string(path).map_err(|e| e.to_string())?;
    let (header, body) = text.split_once('\n').ok_or("damaged: no head")?;
    let sum = match header.split_once(' ') {
        Some((FORMAT, sum)) => sum.parse::<Digest>().map_err(|_| "damaged: no digest")?,
        Some((form, _)) if form.starts_with("ottercroft-last-good-") => {
            return Err(format!("written by another version ({form}, this one reads {FORMAT})"));
        }
        _ => return Err("damaged: no head".into()),
    };
    let body = body.strip_suffix('\n').ok_or("damaged: cut short")?;
    if Digest::of(body.as_bytes()) != sum {
        return Err("damaged: its digest does not match".into());
    }
    let stored: StoredList = serde_json::from_str(body).map_err(|e| format!("damaged: {e}"))?;
    let file = |f: StoredFile| {
        let executors: Vec<Arc<Executor>> = f.executors.into_iter().map(Arc::new).collect();
        let (digest, places) =
            (list::digest(f.generation, &executors), vec![Default::default(); executors.len()]);
        let (name, generation) = (f.name.into(), f.generation);
        ListFile { name, generation, executors, places, seal: None, confirm: None, digest }
    };
    let list = List::new(stored.files.into_iter().map(file).collect());
    if list.digest.to_string() != stored.digest {
        return Err("damaged: the list's digest does not match".into());
    }
    Ok(list)
}

/// An operator's acceptance of the capacity that a list removes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acceptance {
    /// The list's digest in hex, or the first digits of it.
    pub digest: String,
    /// When, in seconds since 1970.
    pub at: u64,
}

impl Acceptance {
    /// Whether it applies to the list with this digest.
    pub fn matches(&self, digest: &Digest) -> bool {
        let hex = self.digest.strip_prefix("sha256:").unwrap_or(&self.digest);
        hex.len() >= MIN_DIGEST_DIGITS && digest.to_string()["sha256:".len()..].starts_with(hex)
    }
}

/// Reads all acceptances, newest first; lines that can't be parsed are ignored.
pub fn read_acceptances(path: &Path) -> Vec<Acceptance> {
    const MAX_BYTES: u64 = 64 * 1024;
    let small = fs::metadata(path).is_ok_and(|m| m.is_file() && m.len() <= MAX_BYTES);
    let text = if small { fs::read_to_string(path).unwrap_or_default() } else { String::new() };
    let all: Vec<Acceptance> = text.lines().filter_map(|l| serde_json::from_str(l).ok()).collect();
    all.into_iter().rev().take(MAX_ACCEPTANCES).collect()
}

/// Records an acceptance.
pub fn add_acceptance(path: &Path, digest: &str, at: u64) -> io::Result<()> {
    let mut all = read_acceptances(path);
    all.insert(0, Acceptance { digest: digest.into(), at });
    all.truncate(MAX_ACCEPTANCES);
    let lines: Result<Vec<String>, _> = all.iter().rev().map(serde_json::to_string).collect();
    write_atomically(path, format!("{}\n", lines?.join("\n")).as_bytes(), Durability::Machine)
}

#[cfg(test)]
pub(crate) mod tests;
