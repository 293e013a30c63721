//! The watcher thread: waits for notifications and timers, checks the lists and sends reports.

use super::{ListReport, MIN_CHECK_INTERVAL, Rules, SourceReport, WatchedList, now};
use crate::api::Micros;
use crate::membership::list::List;
use crate::membership::storage;
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

/// The thread wakes up at least this often.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Retry interval for saving a last good list: the next start of the process depends on it.
const SAVE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A task for the thread.
pub(super) enum Task {
    CheckAll,
    SaveLastGood(Arc<str>, Arc<List>),
    Stop,
}

pub(super) struct Worker {
    pub(super) lists: Vec<WatchedList>,
    pub(super) rules: Rules,
    pub(super) reports: SyncSender<SourceReport>,
    pub(super) wake_sender: UnixStream,
    /// The directories that are watched for notifications.
    pub(super) directories: BTreeSet<PathBuf>,
    pub(super) notify: Option<notify::RecommendedWatcher>,
    /// Last good lists that could not be written yet.
    pub(super) unsaved: BTreeMap<Arc<str>, Arc<List>>,
}

impl Worker {
    pub(super) fn run(mut self, tasks: &Sender<Task>, task_receiver: &Receiver<Task>) {
        let pending = Arc::new(AtomicBool::new(false));
        self.watch(tasks, &pending);
        let mut last = Micros::MIN;
        loop {
            let next_check_at = self.lists.iter().map(|f| f.next_check_at).min().unwrap_or(Micros::MAX);
            let max_wait = if self.unsaved.is_empty() { MAX_WAIT } else { SAVE_RETRY_INTERVAL };
            let wait = Duration::from_micros(next_check_at.saturating_sub(now())).min(max_wait);
            match task_receiver.recv_timeout(wait) {
                Ok(Task::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(Task::SaveLastGood(source, list)) => self.save_last_good(source, list),
                Ok(Task::CheckAll) => {
                    let since = Duration::from_micros(now().saturating_sub(last));
                    thread::sleep(MIN_CHECK_INTERVAL.saturating_sub(since));
                    pending.store(false, Ordering::SeqCst);
                    self.lists.iter_mut().for_each(|f| f.next_check_at = 0);
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
            last = now();
            for (source, list) in std::mem::take(&mut self.unsaved) {
                self.try_save(source, list);
            }
            for i in 0..self.lists.len() {
                if !self.check(i, last) {
                    return;
                }
            }
            self.refresh();
        }
    }

    /// Checks one list if it is due; false once the event loop has dropped its end.
    fn check(&mut self, i: usize, now: Micros) -> bool {
        let f = &mut self.lists[i];
        if f.next_check_at > now {
            return true;
        }
        let report = f.check(now, &self.rules);
        let reports = [f.acceptances(), report];
        let source = f.name.clone();
        reports.into_iter().flatten().all(|report| self.report(source.clone(), report, now))
    }

    fn report(&mut self, source: Arc<str>, report: ListReport, checked_at: Micros) -> bool {
        if self.reports.send(SourceReport { source, report, checked_at }).is_err() {
            return false;
        }
        // If the socket buffer is full, a wake-up is already pending.
        let _ = self.wake_sender.write(&[1]);
        true
    }

    /// Saves a list as the last good one. A failure is reported once and the write is retried.
    fn save_last_good(&mut self, source: Arc<str>, list: Arc<List>) {
        if let Some(error) = self.try_save(source.clone(), list) {
            self.report(source, ListReport::LastGoodNotSaved(error), now());
        }
    }

    /// Tries to save a list. On failure, queues it for a retry and returns the error.
    fn try_save(&mut self, source: Arc<str>, list: Arc<List>) -> Option<String> {
        let directory = self.rules.last_good.as_ref()?;
        let error = storage::save(&storage::path(directory, &source), &list).err()?;
        self.unsaved.insert(source, list);
        Some(error.to_string())
    }

    fn watch(&mut self, tasks: &Sender<Task>, pending: &Arc<AtomicBool>) {
        if self.rules.disabled(Safeguard::Notify) {
            return;
        }
        let (tasks, pending) = (tasks.clone(), pending.clone());
        let on_event = move |_: notify::Result<notify::Event>| {
            // Errors and queue overflows arrive here too; each of them triggers a check.
            if !pending.swap(true, Ordering::SeqCst) {
                let _ = tasks.send(Task::CheckAll);
            }
        };
        match notify::recommended_watcher(on_event) {
            Ok(watcher) => self.notify = Some(watcher),
            Err(e) => {
                let source = self.lists.first().map_or_else(|| "".into(), |f| f.name.clone());
                self.report(source, ListReport::NotifyUnavailable(e.to_string()), now());
            }
        }
        self.refresh();
    }

    /// Updates the set of watched directories: links may point elsewhere now, and directories may have been recreated.
    fn refresh(&mut self) {
        let Some(notify) = &mut self.notify else { return };
        let wanted: BTreeSet<PathBuf> = self.lists.iter().flat_map(WatchedList::directories).collect();
        for stale in self.directories.difference(&wanted) {
            let _ = notify.unwatch(stale);
        }
        // A directory that can't be watched is retried at the next check, and polled meanwhile.
        let watched = |p: &PathBuf| {
            self.directories.contains(p) || notify.watch(p, RecursiveMode::NonRecursive).is_ok()
        };
        self.directories = wanted.into_iter().filter(watched).collect();
    }
}
