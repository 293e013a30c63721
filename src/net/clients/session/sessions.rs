//! All client connections.

use super::Session;
use crate::api::Micros;
use crate::net::event_loop::poll::Key;
use rand_core::RngCore;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// The connection id at which a process that starts at `now` begins to count: a pseudorandom value, so that a KILL meant
/// for another dispatcher or another process of this one, which has the same seed and started shortly before, matches
/// no connection here.
pub fn first_connection_id(seed: u64, now: Micros) -> u32 {
    Pcg32::new(seed ^ now, seed).next_u32()
}

/// Client connections, by poller key and by connection id.
pub struct Sessions {
    /// Sessions by poller key.
    pub by_key: BTreeMap<Key, Session>,
    /// Poller keys by connection id.
    pub by_id: BTreeMap<u32, Key>,
    next_connection_id: u32,
}

impl Sessions {
    /// An empty set. Connection ids count up from `first_connection_id`.
    pub fn new(first_connection_id: u32) -> Sessions {
        Sessions { by_key: BTreeMap::new(), by_id: BTreeMap::new(), next_connection_id: first_connection_id }
    }

    /// Allocates the id of the next connection.
    pub fn take_connection_id(&mut self) -> u32 {
        let id = self.next_connection_id;
        self.next_connection_id = id.wrapping_add(1);
        id
    }

    /// Adds a session and returns its key.
    pub fn insert(&mut self, session: Session) -> Key {
        let key = session.key;
        self.by_id.insert(session.id, key);
        self.by_key.insert(key, session);
        key
    }

    /// Number of closing connections.
    pub fn lingering(&self) -> usize {
        self.by_key.values().filter(|s| s.is_closing()).count()
    }

    /// Number of connections that are not closing.
    pub fn served(&self) -> usize {
        self.by_key.len() - self.lingering()
    }

    /// Whether the session exists and has no unread data; a closing session counts as having none.
    pub fn has_nothing_unread(&self, key: Key) -> bool {
        self.by_key.get(&key).is_some_and(|s| s.is_closing() || !s.has_unread())
    }

    /// Removes a session.
    pub fn remove(&mut self, key: Key) -> Option<Session> {
        let session = self.by_key.remove(&key)?;
        self.by_id.remove(&session.id);
        Some(session)
    }
}
