//! Connections to the other dispatchers, if the settings name any: one in each direction between two peers.
//!
//! `links` has the outgoing connections, `incoming` the accepted ones.

mod incoming;
mod links;

use crate::api::Micros;
use crate::net::event_loop::event_source::EventSource;
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::sockets::listen;
use fleet::Peer;
use fleet::wire::{self, Message};
use incoming::Incoming;
use links::{Link, MAX_UNSENT_BYTES};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Connection attempts.
    pub dials: u64,
    /// Invalid frames.
    pub bad_frames: u64,
    /// Messages dropped because the send buffer was full.
    pub dropped: u64,
    /// Bytes written.
    pub written: u64,
}

/// The connections to all peers.
pub struct Peers {
    listener: TcpListener,
    key: Key,
    links: BTreeMap<Peer, Link>,
    incoming: BTreeMap<Key, Incoming>,
    max_frame: usize,
    /// Messages received, in order.
    pub heard: Vec<(Peer, Message)>,
    /// The first message on every connection, encoded.
    pub hello: Vec<u8>,
    /// Counters.
    pub tally: Tally,
}

impl Peers {
    /// Listens; the links are dialed by later ticks.
    pub fn bind(
        at: SocketAddr,
        others: &[(Peer, SocketAddr)],
        max_frame: usize,
        now: Micros,
        poll: &Poll,
    ) -> io::Result<Peers> {
        let listener = listen::bind(at)?;
        let key = poll.add(&listener, false)?;
        Ok(Peers {
            listener,
            key,
            links: others.iter().map(|(p, a)| (*p, Link::new(*a, now))).collect(),
            incoming: BTreeMap::new(),
            max_frame,
            heard: Vec::new(),
            hello: Vec::new(),
            tally: Tally::default(),
        })
    }

    /// The listening address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Appends a message to a peer's send buffer, or drops it if the peer is not connected or its buffer is full: the
    /// sender repeats what is needed.
    pub fn send(&mut self, to: Peer, message: &Message, now: Micros) {
        let Some(link) = self.links.get_mut(&to).filter(|l| l.up) else { return };
        if link.waiting.len() - link.at > MAX_UNSENT_BYTES {
            self.tally.dropped += 1;
            return;
        }
        if link.waiting.is_empty() {
            link.since = now;
        }
        link.waiting.extend_from_slice(&wire::encode_frame(message));
        link.added = true;
    }

    /// Writes the appended messages of all peers.
    pub fn flush(&mut self, now: Micros, poll: &Poll) {
        let added = |l: &mut Link| std::mem::take(&mut l.added);
        let peers: Vec<Peer> = self.links.iter_mut().filter_map(|(p, l)| added(l).then_some(*p)).collect();
        peers.into_iter().for_each(|p| self.write(p, now, poll));
    }

    /// Handles readiness of a socket.
    pub fn ready(&mut self, key: Key, now: Micros, poll: &Poll) {
        if key == self.key {
            return self.accept(now, poll);
        }
        if self.incoming.contains_key(&key) {
            return self.read(key, now, poll);
        }
        self.link_ready(key, now, poll);
    }
}

impl EventSource for Peers {
    fn owns(&self, key: Key) -> bool {
        let dialed = |l: &Link| l.conn.as_ref().is_some_and(|(k, _)| *k == key);
        key == self.key || self.incoming.contains_key(&key) || self.links.values().any(dialed)
    }

    fn next_due(&self) -> Option<Micros> {
        let links = self.links.values().filter_map(Link::due);
        links.chain(self.incoming.values().map(Incoming::ends)).min()
    }

    fn tick(&mut self, now: Micros, poll: &Poll) {
        let over: Vec<Key> = self.incoming.iter().filter(|(_, c)| now >= c.ends()).map(|(k, _)| *k).collect();
        over.into_iter().for_each(|k| self.close(k, poll));
        self.keep_links(now, poll);
    }
}
