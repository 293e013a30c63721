//! Reads the files of a list: within limits, without blocking on a FIFO, and detecting changes during the read.

use super::settling::{FileStamp, Stamp};
use std::fmt;
use std::fs::{File, Metadata, OpenOptions};
use std::io::{self, Read};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// Limits on what is read.
#[derive(Debug, Clone, Copy)]
pub struct ReadLimits {
    /// Maximum size of a file, and of all files together, in bytes.
    pub max_bytes: u64,
    /// Maximum number of files in a directory.
    pub max_files: usize,
}

/// Why a list could not be read as one version.
#[derive(Debug)]
pub enum ReadError {
    /// It changed during the read: retry soon.
    ConcurrentChange,
    /// It can't be used as it is; the reason.
    Unusable(String),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::ConcurrentChange => f.write_str("it changes while it is read"),
            ReadError::Unusable(why) => f.write_str(why),
        }
    }
}

/// All files of a list as they were at one point in time.
#[derive(Debug)]
pub struct Snapshot {
    /// Their stamps.
    pub stamp: Stamp,
    /// Their names and contents.
    pub files: Vec<(String, String)>,
}

fn unusable(what: impl fmt::Display) -> ReadError {
    ReadError::Unusable(what.to_string())
}

fn stamp_of(name: &str, m: &Metadata) -> FileStamp {
    let ns = |s: i64, ns: i64| i128::from(s) * 1_000_000_000 + i128::from(ns);
    FileStamp {
        name: name.into(),
        device_and_inode: (m.dev(), m.ino()),
        size: m.size(),
        changed_at: (ns(m.mtime(), m.mtime_nsec()), ns(m.ctime(), m.ctime_nsec())),
    }
}

/// The files that a list consists of, with their names: the path itself, or all files of a directory that end in
/// `.hcl` and are not hidden.
pub fn list_files(path: &Path, limits: ReadLimits) -> Result<Vec<(String, PathBuf)>, ReadError> {
    let name = |p: &Path| p.file_name().unwrap_or_default().to_string_lossy().into_owned();
    if !std::fs::metadata(path).map_err(unusable)?.is_dir() {
        return Ok(vec![(name(path), path.into())]);
    }
    let mut all = Vec::new();
    for entry in std::fs::read_dir(path).map_err(unusable)? {
        let at = entry.map_err(unusable)?.path();
        let name = name(&at);
        if !name.starts_with('.') && name.ends_with(".hcl") {
            all.push((name, at));
        }
        if all.len() > limits.max_files {
            return Err(unusable(format!("more than {} files (max_files)", limits.max_files)));
        }
    }
    if all.is_empty() {
        return Err(unusable("a directory without a file *.hcl"));
    }
    all.sort();
    Ok(all)
}

fn check_metadata(name: &str, m: &Metadata, limits: ReadLimits) -> Result<FileStamp, ReadError> {
    if !m.is_file() {
        return Err(unusable(format!("{name} is no regular file")));
    }
    if m.len() > limits.max_bytes {
        let (n, max) = (m.len(), limits.max_bytes);
        return Err(unusable(format!("{name} has {n} bytes; {max} are allowed (max_size)")));
    }
    Ok(stamp_of(name, m))
}

/// The current stamps of all files.
pub fn stamp(path: &Path, limits: ReadLimits) -> Result<Stamp, ReadError> {
    let stamp = |(name, at): (String, PathBuf)| {
        let m = std::fs::metadata(&at).map_err(|e| unusable(format!("{name}: {e}")))?;
        check_metadata(&name, &m, limits)
    };
    list_files(path, limits)?.into_iter().map(stamp).collect::<Result<_, _>>().map(Stamp)
}

/// Reads all files. With `verify_unchanged`, fails if any of them changed during the read.
pub fn read(path: &Path, limits: ReadLimits, verify_unchanged: bool) -> Result<Snapshot, ReadError> {
    let (mut stamps, mut files, mut remaining_bytes) = (Vec::new(), Vec::new(), limits.max_bytes);
    for (name, at) in list_files(path, limits)? {
        let (stamp, text) =
            read_one(&name, &at, ReadLimits { max_bytes: remaining_bytes, ..limits }, verify_unchanged)?;
        // A file may be longer than its recorded size, which was compared with the limit.
        let Some(rest) = remaining_bytes.checked_sub(text.len() as u64) else {
            return Err(unusable(format!("{name} grew past the limit (max_size)")));
        };
        remaining_bytes = rest;
        stamps.push(stamp);
        files.push((name, text));
    }
    let read = Stamp(stamps);
    // A path may refer to another file by now: the files read must be the files present.
    if verify_unchanged && stamp(path, limits)? != read {
        return Err(ReadError::ConcurrentChange);
    }
    Ok(Snapshot { stamp: read, files })
}

fn read_one(
    name: &str,
    at: &Path,
    limits: ReadLimits,
    verify_unchanged: bool,
) -> Result<(FileStamp, String), ReadError> {
    let named = |e: io::Error| unusable(format!("{name}: {e}"));
    // Without O_NONBLOCK, opening a FIFO would block until it has a writer, possibly forever.
    let mut file = OpenOptions::new().read(true).custom_flags(libc::O_NONBLOCK).open(at).map_err(named)?;
    let stamp = check_metadata(name, &file.metadata().map_err(named)?, limits)?;
    let mut bytes = Vec::with_capacity(stamp.size as usize + 1);
    // Reading one byte more than the recorded size detects a file that has grown.
    Read::by_ref(&mut file).take(stamp.size + 1).read_to_end(&mut bytes).map_err(named)?;
    let same = |f: &File| f.metadata().is_ok_and(|m| stamp_of(name, &m) == stamp);
    if verify_unchanged && (bytes.len() as u64 != stamp.size || !same(&file)) {
        return Err(ReadError::ConcurrentChange);
    }
    let text = String::from_utf8(bytes)
        .map_err(|e| unusable(format!("{name}: byte {} is no UTF-8 text", e.utf8_error().valid_up_to())))?;
    Ok((stamp, text))
}

#[cfg(test)]
mod tests;
