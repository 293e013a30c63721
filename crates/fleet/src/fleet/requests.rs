//! Operations on the ledger and queries of peers for results.

use super::*;

impl Fleet {
    /// Records a request. With `await_commit`, it is proposed at once and [`FleetEvent::Opened`] confirms the commit;
    /// otherwise it is batched, and not recorded if the queue is full. Returns false if it can't be recorded or there is no
    /// lease.
    pub fn open(&mut self, now: Micros, request_id: u64, record: Record, await_commit: bool) -> bool {
        let Some(holder) = self.holds(now) else { return false };
        if !await_commit && self.queue.len() >= MAX_QUEUED_COMMANDS {
            return false;
        }
        self.queue.push(Command::Work(ledger::Command::Open(holder, request_id, record)));
        self.flush_by(if await_commit { now } else { now + self.config.batch_delay });
        true
    }

    /// Records that a request was sent to an executor.
    pub fn record_attempt(&mut self, now: Micros, request_id: u64, executor: u32) {
        let Some((holder, _)) = self.lease else { return };
        let waits = self.queue.iter_mut().rev().find_map(|c| match c {
            Command::Work(ledger::Command::Open(_, a, record)) if *a == request_id => Some(record),
            _ => None,
        });
        match waits {
            Some(record) => record.executors_tried.push(executor),
            None => {
                self.queue.push(Command::Work(ledger::Command::AddAttempt(holder, request_id, executor)));
                self.flush_by(now + self.config.batch_delay);
            }
        }
    }

    /// Ends a request. If its `Open` is still queued and nothing has to be kept, that command is removed instead.
    pub fn close(&mut self, now: Micros, request_id: u64, end: Outcome) {
        let Some((holder, _)) = self.lease else { return };
        self.owned.remove(&request_id);
        let opened = self
            .queue
            .iter()
            .position(|c| matches!(c, Command::Work(ledger::Command::Open(_, a, _)) if *a == request_id));
        if let (Some(at), Outcome::Removed) = (opened, &end) {
            self.queue.remove(at);
            return;
        }
        self.queue.push(Command::Work(ledger::Command::Close(holder, request_id, end)));
        self.flush_by(now + self.config.batch_delay);
    }

    /// Queues a command for the log. Returns false without a lease.
    pub fn propose(&mut self, now: Micros, command: Command) -> bool {
        if self.holds(now).is_none() {
            return false;
        }
        self.queue.push(command);
        self.flush_by(now);
        true
    }

    /// For how long no leader has been known; `None` while there is one.
    pub fn leaderless_for(&self, now: Micros) -> Option<Micros> {
        let led = self.group.as_ref().is_some_and(|g| g.leader().is_some());
        (!led).then(|| now.saturating_sub(self.leaderless_since.unwrap_or(now)))
    }

    /// Asks the owner of a request for its result.
    pub fn request_result(&mut self, request_id: u64) {
        let Some(ledger) = self.ledger() else { return };
        let Some((_, owner)) = ledger.open(request_id) else { return };
        let message = Message::Fetch(ledger.result_id(request_id));
        self.messages.push((peer_of(owner.incarnation), message));
    }

    /// Sends a peer the result that it asked for under this id.
    pub fn send_result(&mut self, to: Peer, result_id: u64, pages: Option<Vec<Vec<u8>>>) {
        self.messages.push((to, Message::Result(result_id, pages)));
    }

    /// Returns the lease before an orderly shutdown.
    pub fn leave(&mut self, now: Micros) {
        if let Some((holder, _)) = self.lease.take() {
            self.queue.push(Command::Leave(holder));
            self.flush_by(now);
            self.flush(now);
        }
    }
}
