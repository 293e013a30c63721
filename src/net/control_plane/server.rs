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

/// Connections taken in one turn at most.
const ACCEPTS: usize = 64;
/// With more than this to be written, a follower is sent nothing new: it reads slowly.
const BLOCKED: usize = 64 << 10;
/// A message that has begun has to be here whole within this time: the longest one in a lease's length.
const PART: Micros = 3_000_000;

/// What came of a connection.
pub(super) enum Heard {
    /// It came up.
    Connected(SessionId),
    /// Its follower says something.
    Said(SessionId, FollowerMessage),
    /// It takes nothing more for now, or takes more again.
    Blocked(SessionId, bool),
    /// It is over.
    Over(SessionId),
}

/// Counters.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServerTally {
    /// Frames that could not be used.
    pub(super) bad_frames: u64,
    /// Connections turned away, as there are as many as may be.
    pub(super) refused: u64,
    /// Bytes in and out over connections that are over.
    pub(super) past_bytes: [u64; 2],
}

struct Served {
    frames: FrameStream,
    blocked: bool,
    /// It ends once what was sent is written, or then.
    ending: Option<Micros>,
    /// Since when a message is here in part.
    part_since: Option<Micros>,
}

impl Served {
    /// When its time is up, if it runs.
    fn due(&self) -> Option<Micros> {
        self.ending.into_iter().chain(self.part_since.map(|t| t + PART)).min()
    }
}

/// The listener for followers, and their connections.
pub(super) struct FollowerServer {
    listener: TcpListener,
    key: Key,
    served: BTreeMap<Key, Served>,
    /// Those whose time runs: they end, or a message is here in part.
    timed: BTreeSet<Key>,
    most: usize,
    pub(super) tally: ServerTally,
}

impl FollowerServer {
    /// Listens, for so many connections at once.
    pub(super) fn bind(at: SocketAddr, most: usize, poll: &Poll) -> io::Result<FollowerServer> {
        let listener = listen::bind(at)?;
        let key = poll.add(&listener, false)?;
        Ok(FollowerServer {
            listener,
            key,
            served: BTreeMap::new(),
            timed: BTreeSet::new(),
            most,
            tally: ServerTally::default(),
        })
    }

    pub(super) fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    pub(super) fn owns(&self, key: Key) -> bool {
        key == self.key || self.served.contains_key(&key)
    }

    /// Bytes in and out so far.
    pub(super) fn bytes(&self) -> [u64; 2] {
        let sum = |i: usize| self.served.values().map(|s| s.frames.bytes[i]).sum::<u64>();
        [self.tally.past_bytes[0] + sum(0), self.tally.past_bytes[1] + sum(1)]
    }

    /// A socket is ready.
    pub(super) fn ready(&mut self, key: Key, now: Micros, poll: &Poll) -> Vec<Heard> {
        if key == self.key {
            return self.accept(now, poll);
        }
        let Some(served) = self.served.get_mut(&key) else { return Vec::new() };
        let session = key as SessionId;
        let (messages, ended) = served.frames.read::<FollowerMessage>();
        served.part_since = served.frames.in_part().then(|| served.part_since.unwrap_or(now));
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
        for _ in 0..ACCEPTS {
            let Ok((stream, _)) = self.listener.accept() else { break };
            if self.served.len() >= self.most {
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

    /// Writes messages, each to its follower.
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

    /// Ends a connection once what was sent is written, at the latest then.
    pub(super) fn end(&mut self, session: SessionId, by: Micros, poll: &Poll) -> Vec<Heard> {
        let key = session as Key;
        if let Some(served) = self.served.get_mut(&key) {
            served.ending = Some(by);
            self.timed.insert(key);
        }
        self.write(key, poll)
    }

    /// When a connection is to be looked at.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.timed.iter().filter_map(|key| self.served.get(key)).filter_map(Served::due).min()
    }

    /// Closes connections whose time is up.
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
