//! The thread that watches, reads and validates executor lists, and reports the results to the event loop.
//!
//! File system notifications trigger an immediate check. Polling covers notifications that are lost, overflow their
//! queue or are not supported by the file system. Neither is trusted: each only triggers a comparison of file stamps.
//!
//! - `reading`: reads a list once; the rules that apply to all lists.
//! - `watched_list`: the state of one watched list.
//! - `worker`: the thread itself.

mod reading;
mod watched_list;
mod worker;

pub use reading::{Rules, validate};
pub use watched_list::WatchedList;

use super::list::{Digest, List};
use super::storage::Acceptance;
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

/// Minimum time between two checks, however many notifications arrive.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of reports queued for the event loop; the thread blocks when the queue is full.
const MAX_QUEUED_REPORTS: usize = 4;

/// What the thread reports about a list.
#[derive(Debug)]
pub enum ListReport {
    /// A list that was read as one consistent version and is valid.
    List(List),
    /// A list that was read as one consistent version and has faults.
    Invalid {
        /// Digest of the bytes that were read.
        bytes: Digest,
        /// The first faults.
        faults: Vec<Fault>,
        /// Total number of faults.
        all: usize,
    },
    /// The list has been unreadable for the settling time; the reason.
    Unreadable(String),
    /// The acceptances that operators recorded, newest first.
    Accepted(Vec<Acceptance>),
    /// The last good list could not be saved.
    LastGoodNotSaved(String),
    /// File system notifications are not available; polling continues.
    NotifyUnavailable(String),
}

/// A report and the source that it is about.
#[derive(Debug)]
pub struct SourceReport {
    /// The source.
    pub source: Arc<str>,
    /// The report.
    pub report: ListReport,
    /// When the check that led to the report started, by this process's clock.
    pub checked_at: Micros,
}

/// The event loop's handle to the thread.
pub struct Watcher {
    /// Readable when reports are queued.
    pub wake: UnixStream,
    reports: Receiver<SourceReport>,
    tasks: Sender<Task>,
}

impl Watcher {
    /// Starts the thread.
    pub fn start(lists: Vec<WatchedList>, rules: Rules) -> io::Result<Watcher> {
        let (wake, wake_sender) = UnixStream::pair()?;
        wake.set_nonblocking(true)?;
        wake_sender.set_nonblocking(true)?;
        let (report_sender, reports) = sync_channel(MAX_QUEUED_REPORTS);
        let (tasks, task_receiver) = channel();
        let worker = Worker {
            lists,
            rules,
            reports: report_sender,
            wake_sender,
            directories: BTreeSet::new(),
            notify: None,
            unsaved: BTreeMap::new(),
        };
        let own = tasks.clone();
        thread::Builder::new().name("motor-lists".into()).spawn(move || worker.run(&own, &task_receiver))?;
        Ok(Watcher { wake, reports, tasks })
    }

    /// Returns the next report, if any. Call it when [`Watcher::wake`] is readable, until it returns `None`.
    pub fn next_report(&mut self) -> Option<SourceReport> {
        let mut bytes = [0; 64];
        while matches!(self.wake.read(&mut bytes), Ok(n) if n == bytes.len()) {}
        self.reports.try_recv().ok()
    }

    /// Requests an immediate check of all lists.
    pub fn check_now(&self) {
        self.send(Task::CheckAll);
    }

    /// Requests that a list be saved as the last good one.
    pub fn save_last_good(&self, source: Arc<str>, list: Arc<List>) {
        self.send(Task::SaveLastGood(source, list));
    }

    fn send(&self, task: Task) {
        if self.tasks.send(task).is_err() {
            tracing::error!("motor lists: the watcher thread has ended; the lists in force stay");
        }
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        // The send fails only if the thread has already ended.
        let _ = self.tasks.send(Task::Stop);
    }
}

#[cfg(test)]
mod tests;
