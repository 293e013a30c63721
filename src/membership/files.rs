//! Looks at and reads the files of a list: bounded, never waiting for a fifo, and checked against changes
//! while it reads.

use super::settling::{FileStamp, Stamp};
use std::fmt;
use std::fs::{File, Metadata, OpenOptions};
use std::io::{self, Read};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// What may be read.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Bytes of a file, and of all together.
    pub most_bytes: u64,
    /// Files of a directory.
    pub most_files: usize,
}

/// Why there is no version to be had.
#[derive(Debug)]
pub enum Trouble {
    /// It changed while it was read: try again soon.
    Changing,
    /// It can't be used as it is.
    Unusable(String),
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Trouble::Changing => f.write_str("it changes while it is read"),
            Trouble::Unusable(why) => f.write_str(why),
        }
    }
}

/// All files of a list as they were at one time.
#[derive(Debug)]
pub struct Version {
    /// Their stamps.
    pub stamp: Stamp,
    /// Their names and texts.
    pub files: Vec<(String, String)>,
}

fn unusable(what: impl fmt::Display) -> Trouble {
    Trouble::Unusable(what.to_string())
}

fn stamp_of(name: &str, m: &Metadata) -> FileStamp {
    let ns = |s: i64, ns: i64| i128::from(s) * 1_000_000_000 + i128::from(ns);
    FileStamp {
        name: name.into(),
        place: (m.dev(), m.ino()),
        size: m.size(),
        changed: (ns(m.mtime(), m.mtime_nsec()), ns(m.ctime(), m.ctime_nsec())),
    }
}

/// The files that a list consists of, with the name of each: the path itself, or what of a directory ends in
/// `.hcl` and is not hidden.
pub fn members(path: &Path, bounds: Bounds) -> Result<Vec<(String, PathBuf)>, Trouble> {
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
        if all.len() > bounds.most_files {
            return Err(unusable(format!("more than {} files (max_files)", bounds.most_files)));
        }
    }
    if all.is_empty() {
        return Err(unusable("a directory without a file *.hcl"));
    }
    all.sort();
    Ok(all)
}

fn usable(name: &str, m: &Metadata, bounds: Bounds) -> Result<FileStamp, Trouble> {
    if !m.is_file() {
        return Err(unusable(format!("{name} is no regular file")));
    }
    if m.len() > bounds.most_bytes {
        let (n, most) = (m.len(), bounds.most_bytes);
        return Err(unusable(format!("{name} has {n} bytes; {most} are allowed (max_size)")));
    }
    Ok(stamp_of(name, m))
}

/// The stamps of all files now.
pub fn stamp(path: &Path, bounds: Bounds) -> Result<Stamp, Trouble> {
    let stamp = |(name, at): (String, PathBuf)| {
        let m = std::fs::metadata(&at).map_err(|e| unusable(format!("{name}: {e}")))?;
        usable(&name, &m, bounds)
    };
    members(path, bounds)?.into_iter().map(stamp).collect::<Result<_, _>>().map(Stamp)
}

/// Reads all files; with `again`, only if nothing changed from the first look to the last.
pub fn read(path: &Path, bounds: Bounds, again: bool) -> Result<Version, Trouble> {
    let (mut stamps, mut files, mut left) = (Vec::new(), Vec::new(), bounds.most_bytes);
    for (name, at) in members(path, bounds)? {
        let (stamp, text) = read_one(&name, &at, Bounds { most_bytes: left, ..bounds }, again)?;
        left -= text.len() as u64;
        stamps.push(stamp);
        files.push((name, text));
    }
    let read = Stamp(stamps);
    // A name may belong to another file by now: what was read must be what is there.
    if again && stamp(path, bounds)? != read {
        return Err(Trouble::Changing);
    }
    Ok(Version { stamp: read, files })
}

fn read_one(name: &str, at: &Path, bounds: Bounds, again: bool) -> Result<(FileStamp, String), Trouble> {
    let named = |e: io::Error| unusable(format!("{name}: {e}"));
    // Without O_NONBLOCK, opening a fifo would wait for a writer that may never come.
    let mut file = OpenOptions::new().read(true).custom_flags(libc::O_NONBLOCK).open(at).map_err(named)?;
    let stamp = usable(name, &file.metadata().map_err(named)?, bounds)?;
    let mut bytes = Vec::with_capacity(stamp.size as usize + 1);
    // One byte more than it had tells that it has grown.
    Read::by_ref(&mut file).take(stamp.size + 1).read_to_end(&mut bytes).map_err(named)?;
    let same = |f: &File| f.metadata().is_ok_and(|m| stamp_of(name, &m) == stamp);
    if again && (bytes.len() as u64 != stamp.size || !same(&file)) {
        return Err(Trouble::Changing);
    }
    let text = String::from_utf8(bytes)
        .map_err(|e| unusable(format!("{name}: byte {} is no UTF-8 text", e.utf8_error().valid_up_to())))?;
    Ok((stamp, text))
}

#[cfg(test)]
mod tests;
