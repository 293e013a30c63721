//! Messages to one other process of this dispatcher.

use super::message::{self, Message};
use crate::operator::shared_bans::{BanCall, MAX_CALLS};
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::collections::{BTreeMap, VecDeque};
use std::fs::File;
use std::io::{self, Write};
use std::os::fd::AsFd;

/// Maximum number of messages that wait for room in the pipe of a process that does not read.
const MAX_WAITING: usize = 1024;

/// The pipe to another process, and what does not fit into it yet.
pub(super) struct Outbox {
    pipe: File,
    waiting: VecDeque<Message>,
    /// Bans that are not sent yet: the latest call for each executor.
    bans: BTreeMap<String, BanCall>,
    /// Messages of the list that are not sent yet.
    list: VecDeque<Message>,
}

impl Outbox {
    /// An outbox that writes to `pipe`, which must not block.
    pub(super) fn new(pipe: File) -> Outbox {
        Outbox { pipe, waiting: VecDeque::new(), bans: BTreeMap::new(), list: VecDeque::new() }
    }

    /// Queues a message; returns false and drops it if too many wait already.
    pub(super) fn push(&mut self, message: Message) -> bool {
        let has_room = self.waiting.len() < MAX_WAITING;
        if has_room {
            self.waiting.push_back(message);
        }
        has_room
    }

    /// Queues an operator's call, in place of an earlier one for that executor. Returns false and drops it if too many
    /// wait already.
    pub(super) fn push_ban(&mut self, executor: &str, call: BanCall) -> bool {
        let has_room = self.bans.len() < MAX_CALLS || self.bans.contains_key(executor);
        if has_room {
            self.bans.insert(executor.to_string(), call);
        }
        has_room
    }

    /// Queues these calls in place of those that wait.
    pub(super) fn replace_bans<'a>(&mut self, calls: impl Iterator<Item = (&'a str, BanCall)>) {
        self.bans = calls.map(|(executor, call)| (executor.to_string(), call)).collect();
    }

    /// Queues the messages of a list in place of those that wait.
    pub(super) fn replace_list(&mut self, messages: VecDeque<Message>) {
        self.list = messages;
    }

    /// Whether messages wait for room in the pipe.
    pub(super) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty() || !self.bans.is_empty() || !self.list.is_empty()
    }

    /// Whether the other process still runs: its pipe has a reader.
    pub(super) fn has_reader(&self) -> bool {
        let mut polled = [PollFd::new(self.pipe.as_fd(), PollFlags::empty())];
        let is_polled = poll(&mut polled, PollTimeout::ZERO).is_ok();
        let events = polled[0].revents().unwrap_or(PollFlags::empty());
        !is_polled || !events.intersects(PollFlags::POLLERR)
    }

    /// Writes as many messages as the pipe takes. An error means that the other process has ended.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        while let Some(message) = self.waiting.front() {
            if !write_whole(&mut self.pipe, message)? {
                return Ok(());
            }
            self.waiting.pop_front();
        }
        while let Some((executor, call)) = self.bans.first_key_value() {
            let message = Message::Ban { executor: executor.clone(), call: *call };
            if !write_whole(&mut self.pipe, &message)? {
                return Ok(());
            }
            self.bans.pop_first();
        }
        while let Some(message) = self.list.front() {
            if !write_whole(&mut self.pipe, message)? {
                return Ok(());
            }
            self.list.pop_front();
        }
        Ok(())
    }
}

/// Writes a message; returns false if the pipe lacks room for it.
fn write_whole(pipe: &mut File, message: &Message) -> io::Result<bool> {
    let Some(bytes) = message::encode(message) else { return Ok(true) };
    loop {
        match pipe.write(&bytes) {
            Ok(_) => return Ok(true),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
            Err(e) => return Err(e),
        }
    }
}
