//! Outgoing connections to peers, with reconnection.

use super::Peers;
use super::incoming::PIECE;
use crate::api::Micros;
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::sockets::dial;
use fleet::Peer;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Connect timeout, and the pause before the next attempt.
const CONNECT_TIMEOUT: Micros = 500_000;
const RECONNECT_DELAY: Micros = 100_000;
/// A link with unsent bytes that accepts none for this long is reconnected.
const WRITE_TIMEOUT: Micros = 3_000_000;
/// Unsent bytes per peer above which further messages are dropped: the replicated log sends them again.
pub(super) const MAX_UNSENT_BYTES: usize = 16 << 20;

/// The outgoing connection to one peer.
pub(super) struct Link {
    address: SocketAddr,
    pub(super) conn: Option<(Key, TcpStream)>,
    pub(super) up: bool,
    watched: bool,
    /// Something was appended since the last write.
    pub(super) added: bool,
    /// Send buffer; the bytes from `at` on are unsent.
    pub(super) waiting: Vec<u8>,
    pub(super) at: usize,
    /// When it was dialed or last accepted bytes; while disconnected, when to dial next.
    pub(super) since: Micros,
}

impl Link {
    /// Starts disconnected.
    pub(super) fn new(address: SocketAddr, now: Micros) -> Link {
        Link {
            address,
            conn: None,
            up: false,
            watched: true,
            added: false,
            waiting: Vec::new(),
            at: 0,
            since: now,
        }
    }

    /// Its next timeout or dial; `None` if nothing is due.
    pub(super) fn due(&self) -> Option<Micros> {
        match (&self.conn, self.up) {
            (None, _) => Some(self.since),
            (Some(_), false) => Some(self.since + CONNECT_TIMEOUT),
            (Some(_), true) => (!self.waiting.is_empty()).then_some(self.since + WRITE_TIMEOUT),
        }
    }
}

impl Peers {
    /// Handles readiness of a link's socket.
    pub(super) fn link_ready(&mut self, key: Key, now: Micros, poll: &Poll) {
        let at = |l: &Link| l.conn.as_ref().is_some_and(|(k, _)| *k == key);
        let Some(peer) = self.links.iter().find(|(_, l)| at(l)).map(|(p, _)| *p) else { return };
        let Some(link) = self.links.get_mut(&peer) else { return };
        let Some((_, stream)) = &mut link.conn else { return };
        if !link.up {
            match dial::check_connected(stream) {
                Ok(()) => {
                    (link.up, link.since, link.at) = (true, now, 0);
                    link.waiting = self.hello.clone();
                }
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(_) => return self.cut(peer, now, poll),
            }
        }
        // The peer never sends on this connection; only its end can be read.
        let mut bytes = [0; 64];
        match stream.read(&mut bytes) {
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
            _ => return self.cut(peer, now, poll),
        }
        self.write(peer, now, poll);
    }

    /// Dials disconnected links and disconnects those that time out.
    pub(super) fn keep_links(&mut self, now: Micros, poll: &Poll) {
        let peers: Vec<Peer> = self.links.keys().copied().collect();
        for peer in peers {
            let Some(link) = self.links.get_mut(&peer) else { continue };
            let stuck = link.up && !link.waiting.is_empty() && now >= link.since + WRITE_TIMEOUT;
            let failed = link.conn.is_some() && !link.up && now >= link.since + CONNECT_TIMEOUT;
            if stuck || failed {
                self.cut(peer, now, poll);
            } else if link.conn.is_none() && now >= link.since {
                link.since = now;
                let dialed = dial::connect(link.address).and_then(|s| poll.add(&s, true).map(|k| (k, s)));
                match dialed {
                    Ok(dialed) => {
                        self.tally.dials += 1;
                        link.conn = Some(dialed);
                    }
                    Err(_) => link.since = now + RECONNECT_DELAY,
                }
            }
        }
    }

    /// Disconnects a link; it is dialed again after a pause.
    fn cut(&mut self, peer: Peer, now: Micros, poll: &Poll) {
        let Some(link) = self.links.get_mut(&peer) else { return };
        if let Some((_, stream)) = link.conn.take() {
            poll.remove(&stream);
        }
        (link.up, link.watched, link.since, link.at) = (false, true, now + RECONNECT_DELAY, 0);
        link.waiting = Vec::new();
    }

    pub(super) fn write(&mut self, peer: Peer, now: Micros, poll: &Poll) {
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
            if poll.watch_writable(*key, stream, waits).is_err() {
                self.cut(peer, now, poll);
            }
        }
    }
}
