//! The directory through which the processes of one dispatcher find each other: a named pipe for each process.
//!
//! Only the user that runs the dispatcher may use the directory. A pipe that nobody has open for reading belongs to a
//! process that has ended. It is removed by the next process that starts, before it accepts clients: on a busy disk the
//! event loop would wait.

use super::message::InstanceId;
use nix::errno::Errno;
use nix::sys::stat::Mode;
use nix::unistd;
use std::fs::{self, DirBuilder, File, Metadata, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::{DirBuilderExt, FileTypeExt, MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// Permissions of the directory: its owner only.
const DIRECTORY_MODE: u32 = 0o700;
/// Permission bits of group and others.
const FOREIGN_ACCESS: u32 = 0o077;
/// Maximum number of entries that are looked at.
const MAX_ENTRIES: usize = 256;
/// Attempts to find an unused instance id.
const MAX_ID_ATTEMPTS: u64 = 8;

/// The directory of a dispatcher's processes.
pub(super) struct Directory {
    path: PathBuf,
    /// Prefix of the pipes of processes that share the client address.
    prefix: String,
}

impl Directory {
    /// Opens the directory of a dispatcher's processes, and creates it if it does not exist.
    pub(super) fn open(path: PathBuf, address: SocketAddr) -> io::Result<Directory> {
        match DirBuilder::new().mode(DIRECTORY_MODE).create(&path) {
            Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(e),
            _ => {}
        }
        let metadata = fs::symlink_metadata(&path)?;
        if !metadata.is_dir() || !is_private(&metadata) {
            return Err(io::Error::other("the directory of processes is open to other users"));
        }
        Ok(Directory { path, prefix: format!("{address}-") })
    }

    /// Creates the pipe of this process, under the first unused id from `first_id` on, and opens it for reading.
    pub(super) fn create_pipe(&self, first_id: u64) -> io::Result<(InstanceId, File)> {
        for attempt in 0..MAX_ID_ATTEMPTS {
            let id = InstanceId(first_id.wrapping_add(attempt));
            let (hidden, visible) = (self.path.join(format!(".{}{id}", self.prefix)), self.pipe_path(id));
            if visible.exists() {
                continue;
            }
            match unistd::mkfifo(&hidden, Mode::S_IRUSR | Mode::S_IWUSR) {
                Err(Errno::EEXIST) => continue,
                result => result?,
            }
            // Opened before others see it: a pipe without a reader counts as abandoned. Opened for writing as well, so
            // that it is never at its end when no other process writes.
            let opened = pipe_options().read(true).write(true).open(&hidden);
            let file = opened.and_then(|file| fs::rename(&hidden, &visible).map(|()| file));
            if file.is_err() {
                // The error to report is the first one.
                let _ = fs::remove_file(&hidden);
            }
            return file.map(|file| (id, file));
        }
        Err(io::ErrorKind::AlreadyExists.into())
    }

    /// The processes that share the client address, whether or not they have ended.
    pub(super) fn instances(&self) -> io::Result<Vec<InstanceId>> {
        let names = self.pipe_names()?;
        let instance = |name: &String| u64::from_str_radix(name.strip_prefix(&self.prefix)?, 16).ok();
        Ok(names.iter().filter_map(instance).map(InstanceId).collect())
    }

    /// Opens the pipe of another process for writing. Returns `None` if that process has ended.
    pub(super) fn open_pipe(&self, id: InstanceId) -> io::Result<Option<File>> {
        open_for_writing(&self.pipe_path(id))
    }

    /// Removes the pipes that processes on any client address have left behind. On a busy disk this may take long.
    pub(super) fn remove_abandoned_pipes(&self) -> io::Result<()> {
        for name in self.pipe_names()? {
            let path = self.path.join(name);
            if matches!(open_for_writing(&path), Ok(None)) {
                // Another process may have removed it already.
                let _ = fs::remove_file(path);
            }
        }
        Ok(())
    }

    fn pipe_path(&self, id: InstanceId) -> PathBuf {
        self.path.join(format!("{}{id}", self.prefix))
    }

    fn pipe_names(&self) -> io::Result<Vec<String>> {
        let entries = fs::read_dir(&self.path)?.take(MAX_ENTRIES).flatten();
        let names = entries.filter_map(|entry| entry.file_name().into_string().ok());
        Ok(names.filter(|name| !name.starts_with('.')).collect())
    }
}

fn open_for_writing(path: &Path) -> io::Result<Option<File>> {
    match pipe_options().write(true).open(path) {
        Ok(file) => {
            let metadata = file.metadata()?;
            let is_usable = metadata.file_type().is_fifo() && is_private(&metadata);
            if is_usable { Ok(Some(file)) } else { Err(io::Error::other("not a pipe of this user")) }
        }
        // There is none any more, or nobody reads it.
        Err(e) if e.kind() == io::ErrorKind::NotFound || e.raw_os_error() == Some(libc::ENXIO) => Ok(None),
        Err(e) => Err(e),
    }
}

fn pipe_options() -> OpenOptions {
    let mut options = OpenOptions::new();
    options.custom_flags(libc::O_NONBLOCK | libc::O_NOFOLLOW);
    options
}

/// Whether only the user that runs this process has access.
fn is_private(metadata: &Metadata) -> bool {
    metadata.uid() == unistd::geteuid().as_raw() && metadata.mode() & FOREIGN_ACCESS == 0
}
