//! A member's connections to its followers.

use super::stream::{Ended, FrameStream};
use crate::api::Micros;
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::sockets::listen;
use fleet::control_plane::SessionId;
use fleet::control_plane::messages::{FollowerMessage, MAX_FOLLOWER_FRAME, MemberMessage};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Maximum number of connections accepted in one turn.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// Unsent bytes above which a follower counts as a slow reader and gets nothing new.
const BLOCKED: usize = 64 << 10;
/// A partly received message has to be complete within this time: the longest message within one lease.
const PARTIAL_MESSAGE_TIMEOUT: Micros = 3_000_000;

/// An event of a connection.
pub(super) enum Heard {
    /// It was accepted.
    Connected(SessionId),
    /// Its follower sent a message.
    Said(SessionId, FollowerMessage),
    /// Its send buffer became full, or has room again.
    Blocked(SessionId, bool),
    /// It was closed.
    Over(SessionId),
}

/// Counters.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServerTally {
    /// Invalid frames.
    pub(super) bad_frames: u64,
    /// Connections refused because the limit was reached.
    pub(super) refused: u64,
    /// Bytes received and sent over closed connections.
    pub(super) past_bytes: [u64; 2],
}

struct Served {
    frames: FrameStream,
    blocked: bool,
    /// Closing: it is closed once its buffer is flushed, and at this time at the latest.
    ending: Option<Micros>,
    /// When the message that is partly received began.
    part_since: Option<Micros>,
}

impl Served {
    /// When it times out, if a timeout is running.
    fn due(&self) -> Option<Micros> {
        self.ending.into_iter().chain(self.part_since.map(|t| t + PARTIAL_MESSAGE_TIMEOUT)).min()
    }
}

/// The listener for followers, and their connections.
pub(super) struct FollowerServer {
    listener: TcpListener,
    key: Key,
    served: BTreeMap<Key, Served>,
    /// Connections with a running timeout: closing, or with a partly received message.
    timed: BTreeSet<Key>,
    max_connections: usize,
    pub(super) tally: ServerTally,
}

impl FollowerServer {
    /// Listens and accepts at most this many connections at once.
    pub(super) fn bind(at: SocketAddr, max_connections: usize, poll: &Poll) -> io::Result<FollowerServer> {
        let listener = listen::bind(at)?;
        let key = poll.add(&listener, false)?;
        Ok(FollowerServer {
            listener,
            key,
            served: BTreeMap::new(),
            timed: BTreeSet::new(),
            max_connections,
            tally: ServerTally::default(),
        })
    }

    pub(super) fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    pub(super) fn owns(&self, key: Key) -> bool {
        key == self.key || self.served.contains_key(&key)
    }

    /// Bytes received and sent so far.
    pub(super) fn bytes(&self) -> [u64; 2] {
        let sum = |i: usize| self.served.values().map(|s| s.frames.bytes[i]).sum::<u64>();
        [self.tally.past_bytes[0] + sum(0), self.tally.past_bytes[1] + sum(1)]
    }

    /// Handles readiness of a socket.
    pub(super) fn ready(&mut self, key: Key, now: Micros, poll: &Poll) -> Vec<Heard> {
        if key == self.key {
            return self.accept(now, poll);
        }
        let Some(served) = self.served.get_mut(&key) else { return Vec::new() };
        let session = key as SessionId;
        let (messages, ended) = served.frames.read::<FollowerMessage>();
        // A complete message restarts the time for the one after it.
        let began = served.part_since.filter(|_| messages.is_empty()).unwrap_or(now);
        served.part_since = served.frames.in_part().then_some(began);
        let ending = served.ending.is_some();
        if served.part_since.is_some() {
            self.timed.insert(key);
        }
        let mut heard: Vec<Heard> =
            messages.into_iter().filter(|_| !ending).map(|m| Heard::Said(session, m)).collect();
        match ended {
            None => heard.extend(self.write(key, poll)),
            Some(ended) => {
                if let Ended::Fault(fault) = ended {
                    self.tally.bad_frames += 1;
                    tracing::warn!(error = %fault, "control: connection of a follower closed");
                }
                heard.push(self.close(key, poll));
            }
        }
        heard
    }

    fn accept(&mut self, _now: Micros, poll: &Poll) -> Vec<Heard> {
        let mut heard = Vec::new();
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Ok((stream, _)) = self.listener.accept() else { break };
            if self.served.len() >= self.max_connections {
                self.tally.refused += 1;
                continue;
            }
            let _ = stream.set_nodelay(true);
            let Ok(key) = stream.set_nonblocking(true).and_then(|()| poll.add(&stream, false)) else {
                continue;
            };
            let frames = FrameStream::new(stream, key, MAX_FOLLOWER_FRAME, false);
            self.served.insert(key, Served { frames, blocked: false, ending: None, part_since: None });
            heard.push(Heard::Connected(key as SessionId));
        }
        heard
    }

    /// Sends each message to its follower.
    pub(super) fn send(&mut self, messages: Vec<(SessionId, MemberMessage)>, poll: &Poll) -> Vec<Heard> {
        let mut touched: Vec<Key> = Vec::with_capacity(messages.len());
        for (session, message) in messages {
            let key = session as Key;
            if let Some(served) = self.served.get_mut(&key) {
                served.frames.push(&message);
                touched.push(key);
            }
        }
        touched.sort_unstable();
        touched.dedup();
        touched.into_iter().flat_map(|key| self.write(key, poll)).collect()
    }

    fn write(&mut self, key: Key, poll: &Poll) -> Vec<Heard> {
        let Some(served) = self.served.get_mut(&key) else { return Vec::new() };
        if served.frames.flush(poll).is_err() {
            return vec![self.close(key, poll)];
        }
        let waiting = served.frames.waiting();
        if served.ending.is_some() && waiting == 0 {
            return vec![self.close(key, poll)];
        }
        let blocked = waiting > BLOCKED;
        if blocked == served.blocked {
            return Vec::new();
        }
        served.blocked = blocked;
        vec![Heard::Blocked(key as SessionId, blocked)]
    }

    /// Closes a connection once its buffer is flushed, at `by` at the latest.
    pub(super) fn end(&mut self, session: SessionId, by: Micros, poll: &Poll) -> Vec<Heard> {
        let key = session as Key;
        if let Some(served) = self.served.get_mut(&key) {
            served.ending = Some(by);
            self.timed.insert(key);
        }
        self.write(key, poll)
    }

    /// The next timeout of a connection.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.timed.iter().filter_map(|key| self.served.get(key)).filter_map(Served::due).min()
    }

    /// Closes connections that timed out.
    pub(super) fn tick(&mut self, now: Micros, poll: &Poll) -> Vec<Heard> {
        let served = &self.served;
        self.timed.retain(|key| served.get(key).is_some_and(|s| s.due().is_some()));
        let over = |key: &&Key| served.get(key).and_then(Served::due).is_some_and(|due| due <= now);
        let keys: Vec<Key> = self.timed.iter().filter(over).copied().collect();
        keys.into_iter().map(|key| self.close(key, poll)).collect()
    }

    fn close(&mut self, key: Key, poll: &Poll) -> Heard {
        if let Some(served) = self.served.remove(&key) {
            self.tally.past_bytes[0] += served.frames.bytes[0];
            self.tally.past_bytes[1] += served.frames.bytes[1];
            served.frames.close(poll);
        }
        Heard::Over(key as SessionId)
    }
}

#[cfg(test)]
mod tests;
