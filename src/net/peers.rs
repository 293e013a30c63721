//! The links to other dispatchers, where our settings name any: one connection each way between two peers.

use super::dial;
use super::listen;
use super::poll::{Key, Poll};
use super::room::Room;
use crate::api::Micros;
use fleet::Peer;
use fleet::wire::{self, Message};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

/// A dial that is not up by then is begun again, after a pause.
const DIAL: Micros = 500_000;
const PAUSE: Micros = 100_000;
/// Who connects has to say who it is within this time.
const FIRST: Micros = 1_000_000;
/// A peer says something several times a second: an incoming connection this long without a word is over.
const SILENCE: Micros = 10_000_000;
/// A message that has begun has to be here whole within this time.
const PART: Micros = 5_000_000;
/// A link that takes nothing for this long is begun anew.
const STUCK: Micros = 3_000_000;
/// Bytes that wait for a peer at most, before what comes further is dropped: the log sends it again.
const MOST_WAITING: usize = 16 << 20;
/// Bytes read from a peer in one go.
const PIECE: usize = 64 * 1024;
/// Incoming connections for each peer at most.
const EACH: usize = 4;

/// The way to one peer.
struct Link {
    address: SocketAddr,
    conn: Option<(Key, TcpStream)>,
    up: bool,
    watched: bool,
    /// Something was added since it was last written.
    added: bool,
    /// What waits, from `at` on.
    waiting: Vec<u8>,
    at: usize,
    /// When it was dialed, last took something, or is to be dialed again.
    since: Micros,
}

/// A connection that a peer made.
struct Incoming {
    stream: TcpStream,
    bytes: Vec<u8>,
    from: Option<Peer>,
    heard: Micros,
    /// When the message that is here in part began.
    part_since: Option<Micros>,
}

impl Incoming {
    /// When it is over unless something comes.
    fn ends(&self) -> Micros {
        let silent = self.heard + if self.from.is_some() { SILENCE } else { FIRST };
        self.part_since.map_or(silent, |t| silent.min(t + PART))
    }
}

/// Counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Dials begun.
    pub dials: u64,
    /// Frames that could not be used.
    pub bad_frames: u64,
    /// Messages dropped because too much waited.
    pub dropped: u64,
    /// Bytes written.
    pub written: u64,
}

/// The links to all peers.
pub struct Peers {
    listener: TcpListener,
    key: Key,
    links: BTreeMap<Peer, Link>,
    incoming: BTreeMap<Key, Incoming>,
    most_frame: usize,
    /// What peers said, in order.
    pub heard: Vec<(Peer, Message)>,
    /// What is said first on every connection.
    pub hello: Vec<u8>,
    /// Counters.
    pub tally: Tally,
}

impl Peers {
    /// Listens; the links are dialed as time passes.
    pub fn bind(
        at: SocketAddr,
        others: &[(Peer, SocketAddr)],
        most_frame: usize,
        now: Micros,
        poll: &Poll,
    ) -> io::Result<Peers> {
        let listener = listen::bind(at)?;
        let key = poll.add(&listener, false)?;
        let link = |address| Link {
            address,
            conn: None,
            up: false,
            watched: true,
            added: false,
            waiting: Vec::new(),
            at: 0,
            since: now,
        };
        Ok(Peers {
            listener,
            key,
            links: others.iter().map(|(p, a)| (*p, link(*a))).collect(),
            incoming: BTreeMap::new(),
            most_frame,
            heard: Vec::new(),
            hello: Vec::new(),
            tally: Tally::default(),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Adds a message to what waits for a peer, or drops it where the peer is not there: whoever needs it says
    /// it again.
    pub fn send(&mut self, to: Peer, message: &Message, now: Micros) {
        let Some(link) = self.links.get_mut(&to).filter(|l| l.up) else { return };
        if link.waiting.len() - link.at > MOST_WAITING {
            self.tally.dropped += 1;
            return;
        }
        if link.waiting.is_empty() {
            link.since = now;
        }
        link.waiting.extend_from_slice(&wire::frame(message));
        link.added = true;
    }

    /// Writes what was added for any peer.
    pub fn flush(&mut self, now: Micros, poll: &Poll) {
        let added = |l: &mut Link| std::mem::take(&mut l.added);
        let peers: Vec<Peer> = self.links.iter_mut().filter_map(|(p, l)| added(l).then_some(*p)).collect();
        peers.into_iter().for_each(|p| self.write(p, now, poll));
    }

    /// A socket is ready.
    pub fn ready(&mut self, key: Key, now: Micros, poll: &Poll) {
        if key == self.key {
            return self.accept(now, poll);
        }
        if self.incoming.contains_key(&key) {
            return self.read(key, now, poll);
        }
        let at = |l: &Link| l.conn.as_ref().is_some_and(|(k, _)| *k == key);
        let Some(peer) = self.links.iter().find(|(_, l)| at(l)).map(|(p, _)| *p) else { return };
        let Some(link) = self.links.get_mut(&peer) else { return };
        let Some((_, stream)) = &mut link.conn else { return };
        if !link.up {
            match dial::up(stream) {
                Ok(()) => {
                    (link.up, link.since, link.at) = (true, now, 0);
                    link.waiting = self.hello.clone();
                }
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(_) => return self.cut(peer, now, poll),
            }
        }
        // Nothing ever comes this way but its end.
        let mut bytes = [0; 64];
        match stream.read(&mut bytes) {
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
            _ => return self.cut(peer, now, poll),
        }
        self.write(peer, now, poll);
    }

    fn accept(&mut self, now: Micros, poll: &Poll) {
        while let Ok((stream, _)) = self.listener.accept() {
            if self.incoming.len() >= EACH * (self.links.len() + 1) {
                // A peer that was cut off may have left some behind: the one longest silent goes.
                let oldest = self.incoming.iter().min_by_key(|(_, c)| c.heard).map(|(k, _)| *k);
                oldest.into_iter().for_each(|k| self.close(k, poll));
            }
            let _ = stream.set_nodelay(true);
            if let Ok(key) = stream.set_nonblocking(true).and_then(|()| poll.add(&stream, false)) {
                self.incoming.insert(
                    key,
                    Incoming { stream, bytes: Vec::new(), from: None, heard: now, part_since: None },
                );
            }
        }
    }

    fn read(&mut self, key: Key, now: Micros, poll: &Poll) {
        let Some(c) = self.incoming.get_mut(&key) else { return };
        let mut piece = [0; PIECE];
        match c.stream.read(&mut piece) {
            Ok(0) => return self.close(key, poll),
            Ok(n) => {
                c.bytes.extend_from_slice(&piece[..n]);
                c.heard = now;
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => return,
            Err(_) => return self.close(key, poll),
        }
        let mut used = 0;
        loop {
            match wire::next(&c.bytes[used..], self.most_frame) {
                Ok(None) => break,
                Ok(Some((n, message))) => {
                    used += n;
                    if let Message::Hello { from, .. } = &message {
                        // Whoever speaks for a peer that is not named here, or for this one, is none.
                        if !self.links.contains_key(from) || c.from.is_some_and(|p| p != *from) {
                            self.tally.bad_frames += 1;
                            return self.close(key, poll);
                        }
                        c.from = Some(*from);
                    }
                    match c.from {
                        Some(from) => self.heard.push((from, message)),
                        None => {
                            self.tally.bad_frames += 1;
                            return self.close(key, poll);
                        }
                    }
                }
                Err(e) => {
                    tracing::warn!(peer = c.from, error = %e, "peer: connection closed");
                    self.tally.bad_frames += 1;
                    return self.close(key, poll);
                }
            }
        }
        c.bytes.drain(..used);
        c.part_since = match (c.bytes.is_empty(), used > 0) {
            (true, _) => None,
            (false, true) => Some(now),
            (false, false) => c.part_since.or(Some(now)),
        };
        if c.bytes.is_empty() && c.bytes.capacity() > 4 * PIECE {
            c.bytes = Vec::new();
        }
    }

    fn close(&mut self, key: Key, poll: &Poll) {
        if let Some(c) = self.incoming.remove(&key) {
            poll.remove(&c.stream);
            let _ = c.stream.shutdown(Shutdown::Both);
        }
    }

    /// The link is over; it is dialed again after a pause.
    fn cut(&mut self, peer: Peer, now: Micros, poll: &Poll) {
        let Some(link) = self.links.get_mut(&peer) else { return };
        if let Some((_, stream)) = link.conn.take() {
            poll.remove(&stream);
        }
        (link.up, link.watched, link.since, link.at) = (false, true, now + PAUSE, 0);
        link.waiting = Vec::new();
    }

    fn write(&mut self, peer: Peer, now: Micros, poll: &Poll) {
        let Some(link) = self.links.get_mut(&peer) else { return };
        let Some((key, stream)) = &mut link.conn else { return };
        while link.at < link.waiting.len() {
            match stream.write(&link.waiting[link.at..]) {
                Ok(n) if n > 0 => {
                    (link.at, link.since) = (link.at + n, now);
                    self.tally.written += n as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                _ => return self.cut(peer, now, poll),
            }
        }
        if link.at == link.waiting.len() {
            link.at = 0;
            link.waiting.clear();
            link.waiting.shrink_to(PIECE);
        }
        let waits = !link.waiting.is_empty();
        if waits != link.watched {
            link.watched = waits;
            if poll.writable(*key, stream, waits).is_err() {
                self.cut(peer, now, poll);
            }
        }
    }
}

impl Room for Peers {
    fn owns(&self, key: Key) -> bool {
        let dialed = |l: &Link| l.conn.as_ref().is_some_and(|(k, _)| *k == key);
        key == self.key || self.incoming.contains_key(&key) || self.links.values().any(dialed)
    }

    fn next_due(&self) -> Option<Micros> {
        let link = |l: &Link| match (&l.conn, l.up) {
            (None, _) => Some(l.since),
            (Some(_), false) => Some(l.since + DIAL),
            (Some(_), true) => (!l.waiting.is_empty()).then_some(l.since + STUCK),
        };
        let links = self.links.values().filter_map(link);
        links.chain(self.incoming.values().map(Incoming::ends)).min()
    }

    fn tick(&mut self, now: Micros, poll: &Poll) {
        let over: Vec<Key> = self.incoming.iter().filter(|(_, c)| now >= c.ends()).map(|(k, _)| *k).collect();
        over.into_iter().for_each(|k| self.close(k, poll));
        let peers: Vec<Peer> = self.links.keys().copied().collect();
        for peer in peers {
            let Some(link) = self.links.get_mut(&peer) else { continue };
            let stuck = link.up && !link.waiting.is_empty() && now >= link.since + STUCK;
            let failed = link.conn.is_some() && !link.up && now >= link.since + DIAL;
            if stuck || failed {
                self.cut(peer, now, poll);
            } else if link.conn.is_none() && now >= link.since {
                link.since = now;
                let dialed = dial::dial(link.address).and_then(|s| poll.add(&s, true).map(|k| (k, s)));
                match dialed {
                    Ok(dialed) => {
                        self.tally.dials += 1;
                        link.conn = Some(dialed);
                    }
                    Err(_) => link.since = now + PAUSE,
                }
            }
        }
    }
}
