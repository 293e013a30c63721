//! Incoming connections from peers.

use super::Peers;
use crate::api::Micros;
use crate::net::event_loop::poll::{Key, Poll};
use fleet::Peer;
use fleet::wire::{self, Message};
use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};

/// A new connection has to identify its peer within this time.
const IDENTIFY_TIMEOUT: Micros = 1_000_000;
/// A peer sends several messages a second: an incoming connection that is silent for this long is closed.
const IDLE_TIMEOUT: Micros = 10_000_000;
/// A partly received message has to be complete within this time.
const PARTIAL_MESSAGE_TIMEOUT: Micros = 5_000_000;
/// Bytes per read call.
pub(super) const PIECE: usize = 64 * 1024;
/// Maximum number of incoming connections per configured peer.
const MAX_INCOMING_PER_PEER: usize = 4;

/// An incoming connection.
pub(super) struct Incoming {
    stream: TcpStream,
    bytes: Vec<u8>,
    from: Option<Peer>,
    heard: Micros,
    /// When the message that is partly received began.
    part_since: Option<Micros>,
}

impl Incoming {
    /// When it times out unless something arrives.
    pub(super) fn ends(&self) -> Micros {
        let silent = self.heard + if self.from.is_some() { IDLE_TIMEOUT } else { IDENTIFY_TIMEOUT };
        self.part_since.map_or(silent, |t| silent.min(t + PARTIAL_MESSAGE_TIMEOUT))
    }
}

impl Peers {
    pub(super) fn accept(&mut self, now: Micros, poll: &Poll) {
        while let Ok((stream, _)) = self.listener.accept() {
            if self.incoming.len() >= MAX_INCOMING_PER_PEER * (self.links.len() + 1) {
                // A peer that was cut off may have left stale connections: close the one that has been silent longest.
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

    pub(super) fn read(&mut self, key: Key, now: Micros, poll: &Poll) {
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
            match wire::decode_frame(&c.bytes[used..], self.max_frame) {
                Ok(None) => break,
                Ok(Some((n, message))) => {
                    used += n;
                    if let Message::Hello { from, .. } = &message {
                        // Reject a sender that claims to be an unknown peer or changes its identity.
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

    pub(super) fn close(&mut self, key: Key, poll: &Poll) {
        if let Some(c) = self.incoming.remove(&key) {
            poll.remove(&c.stream);
            let _ = c.stream.shutdown(Shutdown::Both);
        }
    }
}
