//! What is kept on disk: the last good list of each source, and what a person accepted.

use super::list::{self, Digest, Executor, List, ListFile};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The first word of a kept list, with the version of its form.
const FORM: &str = "ottercroft-last-good-1";
/// Acceptances kept in a file.
const MOST_ACCEPTED: usize = 32;
/// The fewest hex digits by which a digest may be accepted.
pub const FEWEST_DIGITS: usize = 12;

#[derive(Serialize, Deserialize)]
struct Kept {
    digest: String,
    files: Vec<KeptFile>,
}

#[derive(Serialize, Deserialize)]
struct KeptFile {
    name: String,
    generation: Option<u64>,
    #[serde(rename = "motores")]
    executors: Vec<Executor>,
}

/// Writes a file whole: beside it, synced, renamed over it, its folder synced.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let name = path.file_name().ok_or_else(|| io::Error::other("no file name"))?;
    let beside = folder.join(format!(".{}.{}.new", name.to_string_lossy(), std::process::id()));
    let written = File::create(&beside).and_then(|mut f| f.write_all(bytes).and_then(|()| f.sync_all()));
    let renamed = written.and_then(|()| fs::rename(&beside, path));
    if renamed.is_err() {
        // What was begun beside it is of no use; that it could not be written is what has to be told.
        let _ = fs::remove_file(&beside);
    }
    renamed.and_then(|()| File::open(folder)?.sync_all())
}

/// Where the last good list of a source is kept.
pub fn path(folder: &Path, source: &str) -> PathBuf {
    folder.join(format!("{source}.last-good"))
}

/// Keeps a list.
pub fn save(path: &Path, list: &List) -> io::Result<()> {
    let file = |f: &ListFile| KeptFile {
        name: f.name.to_string(),
        generation: f.generation,
        executors: f.executors.iter().map(|m| Executor::clone(m)).collect(),
    };
    let kept = Kept { digest: list.digest.to_string(), files: list.files.iter().map(file).collect() };
    let body = serde_json::to_string(&kept)?;
    let sum = Digest::of(body.as_bytes());
    replace(path, format!("{FORM} {sum}\n{body}\n").as_bytes())
}

/// The list that was kept; an error says what is wrong with it.
pub fn load(path: &Path, most_bytes: u64) -> Result<List, String> {
    let size = fs::metadata(path).map_err(|e| e.to_string())?.len();
    // JSON of a list takes more room than its HCL, by less than this.
    if size > most_bytes.saturating_mul(4) {
        return Err(format!("damaged: {size} bytes"));
    }
    let text = fs::read_to_string(path).map_err(|e| e.to_string())?;
    let (head, body) = text.split_once('\n').ok_or("damaged: no head")?;
    let sum = match head.split_once(' ') {
        Some((FORM, sum)) => sum.parse::<Digest>().map_err(|_| "damaged: no digest")?,
        Some((form, _)) if form.starts_with("ottercroft-last-good-") => {
            return Err(format!("written by another version ({form}, this one reads {FORM})"));
        }
        _ => return Err("damaged: no head".into()),
    };
    let body = body.strip_suffix('\n').ok_or("damaged: cut short")?;
    if Digest::of(body.as_bytes()) != sum {
        return Err("damaged: its digest does not match".into());
    }
    let kept: Kept = serde_json::from_str(body).map_err(|e| format!("damaged: {e}"))?;
    let file = |f: KeptFile| {
        let executors: Vec<Arc<Executor>> = f.executors.into_iter().map(Arc::new).collect();
        let (digest, places) =
            (list::digest(f.generation, &executors), vec![Default::default(); executors.len()]);
        let (name, generation) = (f.name.into(), f.generation);
        ListFile { name, generation, executors, places, seal: None, confirm: None, digest }
    };
    let list = List::new(kept.files.into_iter().map(file).collect());
    if list.digest.to_string() != kept.digest {
        return Err("damaged: the list's digest does not match".into());
    }
    Ok(list)
}

/// That a person accepted what a list takes away.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acceptance {
    /// The list's digest in hex, or the first digits of it.
    pub digest: String,
    /// When, in seconds since 1970.
    pub at: u64,
}

impl Acceptance {
    /// Whether it is meant for this list.
    pub fn names(&self, digest: &Digest) -> bool {
        let hex = self.digest.strip_prefix("sha256:").unwrap_or(&self.digest);
        hex.len() >= FEWEST_DIGITS && digest.to_string()["sha256:".len()..].starts_with(hex)
    }
}

/// All that was accepted; a line that can't be read accepts nothing.
pub fn accepted(path: &Path) -> Vec<Acceptance> {
    const LARGEST: u64 = 64 * 1024;
    let small = fs::metadata(path).is_ok_and(|m| m.is_file() && m.len() <= LARGEST);
    let text = if small { fs::read_to_string(path).unwrap_or_default() } else { String::new() };
    let all: Vec<Acceptance> = text.lines().filter_map(|l| serde_json::from_str(l).ok()).collect();
    all.into_iter().rev().take(MOST_ACCEPTED).collect()
}

/// Adds an acceptance.
pub fn accept(path: &Path, digest: &str, at: u64) -> io::Result<()> {
    let mut all = accepted(path);
    all.insert(0, Acceptance { digest: digest.into(), at });
    all.truncate(MOST_ACCEPTED);
    let lines: Result<Vec<String>, _> = all.iter().rev().map(serde_json::to_string).collect();
    replace(path, format!("{}\n", lines?.join("\n")).as_bytes())
}

#[cfg(test)]
mod tests;
