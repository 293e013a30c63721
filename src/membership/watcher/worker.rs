//! The thread itself: it waits for notifications and for the clock, looks, and hands words over.

use super::{Followed, GAP, Handed, Rules, Word, now};
use crate::api::Micros;
use crate::membership::keep;
use crate::membership::list::List;
use crate::settings::options::Safeguard;
use notify::{RecursiveMode, Watcher as _};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write as _;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender};
use std::thread;
use std::time::Duration;

/// The thread looks at the clock this often at least.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// A list that could not be kept is tried again this often: what is kept is owed to the next start.
const KEEP_AGAIN: Duration = Duration::from_millis(500);

/// What the thread is asked to do.
pub(super) enum Task {
    Look,
    Keep(Arc<str>, Arc<List>),
    Stop,
}

pub(super) struct Worker {
    pub(super) followed: Vec<Followed>,
    pub(super) rules: Rules,
    pub(super) tell: SyncSender<Handed>,
    pub(super) bell: UnixStream,
    /// The folders under watch.
    pub(super) folders: BTreeSet<PathBuf>,
    pub(super) notify: Option<notify::RecommendedWatcher>,
    /// Last good lists that could not be written yet.
    pub(super) unkept: BTreeMap<Arc<str>, Arc<List>>,
}

impl Worker {
    pub(super) fn run(mut self, tasks: &Sender<Task>, asked: &Receiver<Task>) {
        let pending = Arc::new(AtomicBool::new(false));
        self.watch(tasks, &pending);
        let mut last = Micros::MIN;
        loop {
            let due = self.followed.iter().map(|f| f.due).min().unwrap_or(Micros::MAX);
            let longest = if self.unkept.is_empty() { LONGEST_WAIT } else { KEEP_AGAIN };
            let wait = Duration::from_micros(due.saturating_sub(now())).min(longest);
            match asked.recv_timeout(wait) {
                Ok(Task::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(Task::Keep(source, list)) => self.keep(source, list),
                Ok(Task::Look) => {
                    let since = Duration::from_micros(now().saturating_sub(last));
                    thread::sleep(GAP.saturating_sub(since));
                    pending.store(false, Ordering::SeqCst);
                    self.followed.iter_mut().for_each(|f| f.due = 0);
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
            last = now();
            for (source, list) in std::mem::take(&mut self.unkept) {
                self.keep_again(source, list);
            }
            for i in 0..self.followed.len() {
                if !self.look(i, last) {
                    return;
                }
            }
            self.refresh();
        }
    }

    /// Looks at one list if it is time; false once nobody listens any more.
    fn look(&mut self, i: usize, now: Micros) -> bool {
        let f = &mut self.followed[i];
        if f.due > now {
            return true;
        }
        let word = f.look(now, &self.rules);
        let words = [f.acceptances(), word];
        let source = f.name.clone();
        words.into_iter().flatten().all(|word| self.hand(source.clone(), word, now))
    }

    fn hand(&mut self, source: Arc<str>, word: Word, looked: Micros) -> bool {
        if self.tell.send(Handed { source, word, looked }).is_err() {
            return false;
        }
        // A full pipe is full of bells.
        let _ = self.bell.write(&[1]);
        true
    }

    /// Keeps a list as the last good one; what can't be written now is tried again, and told once.
    fn keep(&mut self, source: Arc<str>, list: Arc<List>) {
        if let Some(error) = self.keep_again(source.clone(), list) {
            self.hand(source, Word::NotKept(error), now());
        }
    }

    /// Tries to keep a list, and remembers it if that fails; the error then.
    fn keep_again(&mut self, source: Arc<str>, list: Arc<List>) -> Option<String> {
        let folder = self.rules.last_good.as_ref()?;
        let error = keep::save(&keep::path(folder, &source), &list).err()?;
        self.unkept.insert(source, list);
        Some(error.to_string())
    }

    fn watch(&mut self, tasks: &Sender<Task>, pending: &Arc<AtomicBool>) {
        if self.rules.left_out(Safeguard::Notify) {
            return;
        }
        let (tasks, pending) = (tasks.clone(), pending.clone());
        let heard = move |_: notify::Result<notify::Event>| {
            // Errors and overflows are heard of here too: whatever it is, a look tells what is there.
            if !pending.swap(true, Ordering::SeqCst) {
                let _ = tasks.send(Task::Look);
            }
        };
        match notify::recommended_watcher(heard) {
            Ok(watcher) => self.notify = Some(watcher),
            Err(e) => {
                let source = self.followed.first().map_or_else(|| "".into(), |f| f.name.clone());
                self.hand(source, Word::Unwatched(e.to_string()), now());
            }
        }
        self.refresh();
    }

    /// Watches the folders in which changes show now: links move, folders are made anew.
    fn refresh(&mut self) {
        let Some(notify) = &mut self.notify else { return };
        let wanted: BTreeSet<PathBuf> = self.followed.iter().flat_map(Followed::folders).collect();
        for gone in self.folders.difference(&wanted) {
            let _ = notify.unwatch(gone);
        }
        // One that can't be watched is tried again at the next look, and polled meanwhile.
        let watched =
            |p: &PathBuf| self.folders.contains(p) || notify.watch(p, RecursiveMode::NonRecursive).is_ok();
        self.folders = wanted.into_iter().filter(watched).collect();
    }
}
