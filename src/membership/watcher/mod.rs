//! The thread that watches, reads and checks executor lists, and hands finished ones over.
//!
//! Notifications of the file system make it look at once; polling makes up for those that are lost, that
//! overflow or that the file system does not give. Neither is believed: each only causes a look at the stamps.
//!
//! - `reading`: a list read once, and what all lists are read by.
//! - `followed`: one list that is followed, look by look.
//! - `worker`: the thread itself.

mod followed;
mod reading;
mod worker;

pub use followed::Followed;
pub use reading::{Rules, judge};

use super::keep::Acceptance;
use super::list::{Digest, List};
use crate::api::Micros;
use crate::clock::now;
use crate::settings::hcl::Fault;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read as _};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel, sync_channel};
use std::thread;
use std::time::Duration;
use worker::{Task, Worker};

/// Looks are no nearer to each other than this, however many notifications come.
const GAP: Duration = Duration::from_millis(5);
/// Words that wait for the loop at most; the thread waits beyond.
const WORDS: usize = 4;

/// What the thread has to say of a list.
#[derive(Debug)]
pub enum Word {
    /// A list that was read as one version and found usable.
    List(List),
    /// One version, with faults.
    Faulty {
        /// Of its bytes.
        bytes: Digest,
        /// What is wrong, the first ones.
        faults: Vec<Fault>,
        /// How many there are in all.
        all: usize,
    },
    /// Nothing that could be read, for as long as the settling time.
    Unusable(String),
    /// What a person accepted, newest first.
    Accepted(Vec<Acceptance>),
    /// The last good list could not be kept.
    NotKept(String),
    /// There are no notifications; polling goes on.
    Unwatched(String),
}

/// A word, and of which source.
#[derive(Debug)]
pub struct Handed {
    /// The source.
    pub source: Arc<str>,
    /// The word.
    pub word: Word,
    /// When the look began that it comes of, by this process's clock.
    pub looked: Micros,
}

/// The thread, seen from the loop.
pub struct Watcher {
    /// Readable when there are words.
    pub wake: UnixStream,
    words: Receiver<Handed>,
    tasks: Sender<Task>,
}

impl Watcher {
    /// Starts the thread.
    pub fn start(followed: Vec<Followed>, rules: Rules) -> io::Result<Watcher> {
        let (wake, bell) = UnixStream::pair()?;
        wake.set_nonblocking(true)?;
        bell.set_nonblocking(true)?;
        let (tell, words) = sync_channel(WORDS);
        let (tasks, asked) = channel();
        let worker = Worker {
            followed,
            rules,
            tell,
            bell,
            folders: BTreeSet::new(),
            notify: None,
            unkept: BTreeMap::new(),
        };
        let own = tasks.clone();
        thread::Builder::new().name("motor-lists".into()).spawn(move || worker.run(&own, &asked))?;
        Ok(Watcher { wake, words, tasks })
    }

    /// The next word, if there is one; called when [`Watcher::wake`] is readable, until there is none.
    pub fn word(&mut self) -> Option<Handed> {
        let mut bytes = [0; 64];
        while matches!(self.wake.read(&mut bytes), Ok(n) if n == bytes.len()) {}
        self.words.try_recv().ok()
    }

    /// Has it look at all lists now.
    pub fn look(&self) {
        self.ask(Task::Look);
    }

    /// Has it keep a list as the last good one.
    pub fn keep(&self, source: Arc<str>, list: Arc<List>) {
        self.ask(Task::Keep(source, list));
    }

    fn ask(&self, task: Task) {
        if self.tasks.send(task).is_err() {
            tracing::error!("motor lists: their thread has ended; the lists in force stay");
        }
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        // It may have ended by itself, which is what is wanted.
        let _ = self.tasks.send(Task::Stop);
    }
}

#[cfg(test)]
mod tests;
