//! The other processes of this dispatcher that share its client address: the old and the new one during an upgrade.
//!
//! Each process has a named pipe in a directory that only its user may use, and writes to the pipes of the others. A write
//! never blocks; what does not fit waits, up to a limit. A process of a version without pipes is not known here, and
//! nothing is shared with it.
//!
//! - `directory`: where processes find each other.
//! - `inbox`, `outbox`, `message`: receiving and sending.
//! - `processing`: what is done with a message.
//! - `pending_kills`, `kills`: KILL QUERY for a connection of another process.
//! - `bans`: bans set or lifted at another process.
//! - `endpoint_list`: the list of another process while the coordinator sends nothing.

mod bans;
mod directory;
mod endpoint_list;
mod inbox;
mod kills;
mod message;
mod outbox;
mod pending_kills;
mod processing;

use crate::api::Micros;
use crate::net::event_loop::event_source::EventSource;
use crate::net::event_loop::poll::{Key, Poll};
use directory::Directory;
use endpoint_list::PartialList;
pub(in crate::net) use endpoint_list::StartList;
use inbox::Inbox;
use message::{InstanceId, Message};
use outbox::Outbox;
use pending_kills::{KillOutcome, PendingKills};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Maximum number of other processes: more than two upgrades in a row leave at the same time.
const MAX_SIBLINGS: usize = 8;
/// Interval at which the directory is searched for further processes, in microseconds. A process says hello when it
/// starts; the search finds one whose greeting was lost.
const SCAN_PERIOD: Micros = 1_000_000;
/// Delay before messages that did not fit into a pipe are written again, in microseconds.
const RETRY_DELAY: Micros = 20_000;
/// Maximum number of received messages that wait to be processed.
const MAX_RECEIVED: usize = 4096;

/// The pipe of this process, and the other processes.
pub(in crate::net) struct Siblings {
    me: InstanceId,
    directory: Directory,
    inbox: Inbox,
    others: BTreeMap<InstanceId, Outbox>,
    /// Processes that know nothing of what this one shares yet.
    newly_met: Vec<InstanceId>,
    /// Whether the hand-over file may lack bans that are known here, as two processes were called in the same moment.
    bans_file_outdated: bool,
    /// The time of the last call of an operator at this process.
    own_ban_at: Option<Micros>,
    /// Received messages that are not processed yet.
    received: VecDeque<Message>,
    /// The list that this process started from.
    start_list: StartList,
    /// Lists that are being received.
    lists: BTreeMap<InstanceId, PartialList>,
    kills: PendingKills,
    /// Outcomes of calls that are not passed on yet.
    kill_outcomes: Vec<KillOutcome>,
    next_scan: Micros,
    retry_at: Option<Micros>,
}

impl Siblings {
    /// Creates the pipe of this process in `directory` and greets the processes that run already.
    pub(in crate::net) fn start(
        directory: PathBuf,
        address: SocketAddr,
        first_id: u64,
        now: Micros,
        poll: &Poll,
    ) -> io::Result<Siblings> {
        let directory = Directory::open(directory, address)?;
        directory.remove_abandoned_pipes()?;
        let (me, pipe) = directory.create_pipe(first_id)?;
        let inbox = Inbox::new(pipe, poll)?;
        let mut siblings = Siblings {
            me,
            directory,
            inbox,
            others: BTreeMap::new(),
            newly_met: Vec::new(),
            bans_file_outdated: false,
            own_ban_at: None,
            received: VecDeque::new(),
            start_list: StartList::default(),
            lists: BTreeMap::new(),
            kills: PendingKills::default(),
            kill_outcomes: Vec::new(),
            next_scan: now,
            retry_at: None,
        };
        siblings.scan(now);
        Ok(siblings)
    }

    /// Sets the list that this process starts from.
    pub(in crate::net) fn starting_from(self, start_list: StartList) -> Siblings {
        Siblings { start_list, ..self }
    }

    /// Reads the pipe. Greetings take effect at once; other messages wait to be processed.
    pub(in crate::net) fn receive(&mut self) {
        if self.received.len() >= MAX_RECEIVED {
            return;
        }
        for message in self.inbox.read() {
            match message {
                Message::Hello { from } => {
                    self.meet(from);
                }
                message => self.received.push_back(message),
            }
        }
    }

    /// Forgets the processes that have ended, and greets every one in the directory that is not known yet.
    fn scan(&mut self, now: Micros) {
        self.next_scan = now + SCAN_PERIOD;
        self.forget_ended();
        let instances = match self.directory.instances() {
            Ok(instances) => instances,
            Err(e) => return tracing::debug!(error = %e, "siblings: can't list processes"),
        };
        for id in instances {
            if self.meet(id) {
                self.send(id, Message::Hello { from: self.me }, now);
            }
        }
    }

    /// Opens the pipe of a process that is not known yet. Returns whether it was new and could be opened.
    fn meet(&mut self, id: InstanceId) -> bool {
        if id == self.me || self.others.contains_key(&id) {
            return false;
        }
        if self.others.len() >= MAX_SIBLINGS {
            self.forget_ended();
        }
        if self.others.len() >= MAX_SIBLINGS {
            return false;
        }
        match self.directory.open_pipe(id) {
            Ok(Some(pipe)) => {
                tracing::info!(process = %id, "siblings: another process of this dispatcher");
                self.others.insert(id, Outbox::new(pipe));
                self.newly_met.push(id);
                true
            }
            Ok(None) => false,
            Err(e) => {
                // Repeated by each search.
                tracing::debug!(process = %id, error = %e, "siblings: can't open the pipe of another process");
                false
            }
        }
    }

    /// Sends a message to another process. Returns false if it can't be sent: that process has ended, or has not read
    /// for long.
    fn send(&mut self, to: InstanceId, message: Message, now: Micros) -> bool {
        let Some(outbox) = self.others.get_mut(&to) else { return false };
        let is_queued = outbox.push(message);
        self.flush(to, now) && is_queued
    }

    /// Writes what waits for a process. Returns false if that process has ended.
    fn flush(&mut self, to: InstanceId, now: Micros) -> bool {
        let Some(outbox) = self.others.get_mut(&to) else { return false };
        if outbox.flush().is_err() {
            self.forget(to);
            return false;
        }
        if outbox.is_waiting() {
            self.retry_at.get_or_insert(now + RETRY_DELAY);
        }
        true
    }

    fn forget_ended(&mut self) {
        let ended = self.others.iter().filter(|(_, outbox)| !outbox.has_reader()).map(|(id, _)| *id);
        let ended: Vec<InstanceId> = ended.collect();
        ended.into_iter().for_each(|id| self.forget(id));
    }

    /// Forgets a process that has ended, and answers the calls that wait for it.
    fn forget(&mut self, id: InstanceId) {
        tracing::info!(process = %id, "siblings: another process has ended");
        self.others.remove(&id);
        self.lists.remove(&id);
        let outcomes = self.kills.process_ended(id);
        self.kill_outcomes.extend(outcomes);
    }

    /// Writes what waits for any process.
    fn flush_all(&mut self, now: Micros) {
        let ids: Vec<InstanceId> = self.others.keys().copied().collect();
        for id in ids {
            self.flush(id, now);
        }
    }
}

impl EventSource for Siblings {
    fn owns(&self, key: Key) -> bool {
        key == self.inbox.key()
    }

    fn next_due(&self) -> Option<Micros> {
        let has_work =
            !self.received.is_empty() || !self.kill_outcomes.is_empty() || !self.newly_met.is_empty();
        let at_once = has_work.then_some(0);
        [at_once, Some(self.next_scan), self.retry_at, self.kills.next_due()].into_iter().flatten().min()
    }

    fn tick(&mut self, now: Micros, _poll: &Poll) {
        if self.next_scan <= now {
            self.scan(now);
        }
        if self.retry_at.take_if(|at| *at <= now).is_some() {
            self.flush_all(now);
        }
        let expired = self.kills.expire(now);
        self.kill_outcomes.extend(expired);
    }
}

#[cfg(test)]
mod tests;
