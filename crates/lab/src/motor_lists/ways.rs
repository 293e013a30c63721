//! The ways in which a file changes.

use rand::Rng;
use rand::rngs::StdRng;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::{Duration, SystemTime};

/// A way to change a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    /// Written beside, renamed over it.
    Rename,
    /// Emptied and written in one go.
    InPlace,
    /// Emptied and written in pieces, with pauses.
    Pieces,
    /// Written over from the beginning, then cut to its length.
    Over,
    /// Deleted, and made anew.
    Anew,
    /// The path is a link that is swapped.
    Link,
    /// A file of a directory whose files are links through one link that is swapped, as config maps do.
    ConfigMap,
}

impl Way {
    /// As tables have it.
    pub fn name(self) -> &'static str {
        match self {
            Way::Rename => "rename",
            Way::InPlace => "in-place",
            Way::Pieces => "pieces",
            Way::Over => "written-over",
            Way::Anew => "deleted-anew",
            Way::Link => "link",
            Way::ConfigMap => "config-map",
        }
    }
}

/// The ways of a single file.
pub const FILE_WAYS: [Way; 6] = [Way::Rename, Way::InPlace, Way::Pieces, Way::Over, Way::Anew, Way::Link];

/// What may stand where a file should be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Odd {
    /// Nothing.
    Missing,
    /// A fifo.
    Fifo,
    /// A directory without lists.
    Directory,
    /// 200 MB of nothing.
    Huge,
    /// Bytes that are no text.
    Binary,
    /// A link to nowhere.
    Dangling,
}

/// All of them.
pub const ODDS: [Odd; 6] = [Odd::Missing, Odd::Fifo, Odd::Directory, Odd::Huge, Odd::Binary, Odd::Dangling];

fn beside(path: &Path, what: &str) -> PathBuf {
    path.with_file_name(format!(".{}-{what}", path.file_name().unwrap_or_default().to_string_lossy()))
}

/// Whatever stands at a path goes.
pub fn clear(path: &Path) -> io::Result<()> {
    match fs::symlink_metadata(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
        Err(e) => Err(e),
        Ok(m) if m.is_dir() => fs::remove_dir_all(path),
        Ok(_) => fs::remove_file(path),
    }
}

fn plain(path: &Path) -> io::Result<()> {
    if fs::symlink_metadata(path).is_ok_and(|m| !m.is_file()) { clear(path) } else { Ok(()) }
}

/// Changes a file to this text; tells when the step began that makes it whole.
pub fn put(rng: &mut StdRng, path: &Path, way: Way, text: &str) -> io::Result<SystemTime> {
    let bytes = text.as_bytes();
    match way {
        Way::Rename => {
            if fs::symlink_metadata(path).is_ok_and(|m| m.is_dir()) {
                clear(path)?;
            }
            let new = beside(path, "new");
            fs::write(&new, bytes)?;
            let at = SystemTime::now();
            fs::rename(new, path)?;
            Ok(at)
        }
        Way::InPlace => {
            plain(path)?;
            let at = SystemTime::now();
            fs::write(path, bytes)?;
            Ok(at)
        }
        Way::Pieces => {
            plain(path)?;
            let mut file = File::create(path)?;
            let (mut left, mut at) = (bytes, SystemTime::now());
            while !left.is_empty() {
                let n = rng.random_range(1..=left.len().min(1 + bytes.len() / 3));
                at = SystemTime::now();
                file.write_all(&left[..n])?;
                left = &left[n..];
                if !left.is_empty() {
                    sleep(Duration::from_millis(rng.random_range(0..12)));
                }
            }
            Ok(at)
        }
        Way::Over => {
            plain(path)?;
            let mut file = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
            let half = rng.random_range(0..=bytes.len());
            file.write_all(&bytes[..half])?;
            sleep(Duration::from_millis(rng.random_range(0..8)));
            let at = SystemTime::now();
            file.write_all(&bytes[half..])?;
            file.set_len(bytes.len() as u64)?;
            Ok(at)
        }
        Way::Anew => {
            clear(path)?;
            sleep(Duration::from_millis(rng.random_range(0..8)));
            let at = SystemTime::now();
            fs::write(path, bytes)?;
            Ok(at)
        }
        Way::Link => {
            let target = beside(path, &format!("v{}", rng.random::<u32>()));
            fs::write(&target, bytes)?;
            if fs::symlink_metadata(path).is_ok_and(|m| m.is_dir()) {
                clear(path)?;
            }
            let old = fs::read_link(path).ok();
            let link = beside(path, "link");
            clear(&link)?;
            symlink(&target, &link)?;
            let at = SystemTime::now();
            fs::rename(link, path)?;
            old.map_or(Ok(()), |old| clear(&old))?;
            Ok(at)
        }
        Way::ConfigMap => {
            // `path` is DIR/NAME, a link to ..data/NAME; ..data is a link to a folder of one version.
            let (dir, name) = (path.parent().unwrap_or(Path::new(".")), path.file_name().unwrap_or_default());
            let version = dir.join(format!("..v{}", rng.random::<u32>()));
            fs::create_dir_all(&version)?;
            fs::write(version.join(name), bytes)?;
            let (data, link) = (dir.join("..data"), dir.join("..data_tmp"));
            let old = fs::read_link(&data).ok();
            clear(&link)?;
            symlink(version.file_name().unwrap_or_default(), &link)?;
            let at = SystemTime::now();
            fs::rename(link, &data)?;
            if fs::symlink_metadata(path).is_err() {
                symlink(Path::new("..data").join(name), path)?;
            }
            old.map_or(Ok(()), |old| clear(&dir.join(old)))?;
            Ok(at)
        }
    }
}

/// Puts something else there.
pub fn put_odd(path: &Path, odd: Odd) -> io::Result<()> {
    clear(path)?;
    match odd {
        Odd::Missing => Ok(()),
        Odd::Fifo => match std::process::Command::new("mkfifo").arg(path).status()?.success() {
            true => Ok(()),
            false => Err(io::Error::other("mkfifo")),
        },
        Odd::Directory => fs::create_dir(path),
        Odd::Huge => File::create(path)?.set_len(200 << 20),
        Odd::Binary => fs::write(path, [0xff; 300]),
        Odd::Dangling => symlink("nowhere-at-all", path),
    }
}
