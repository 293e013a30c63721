//! News of the list, and what it ends.

use super::{Executor, Executors};
use crate::api::Micros;
use crate::codec::coordinator::{State, Target};
use crate::dispatch::{AttemptEnd, ExecutorId, NetworkEvent, executor_id};
use crate::net::event_loop::poll::{Key, Poll};
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Executors {
    /// News of the list: an address that moved or a process that started anew ends what was open before it,
    /// and what still waits for an executor that drains or is gone is taken back.
    pub fn listed(&mut self, targets: &[Target], whole: bool, now: Micros, poll: &Poll) {
        for t in targets {
            self.list_one(t, now, poll);
        }
        if whole {
            let names: BTreeSet<&str> = targets.iter().map(|t| t.uid.as_str()).collect();
            let named = |e: &Executor| names.contains(e.uid.as_str());
            let gone: Vec<ExecutorId> =
                self.list.iter().filter(|(_, e)| !named(e)).map(|(i, _)| *i).collect();
            gone.into_iter().for_each(|id| self.leaves(id, State::Removed, poll));
        }
    }

    fn list_one(&mut self, t: &Target, now: Micros, poll: &Poll) {
        let id = executor_id(&t.uid);
        let up = &mut self.up;
        let e = self.list.entry(id).or_insert_with(|| {
            *up += usize::from(t.state == State::Up);
            Executor {
                uid: t.uid.clone(),
                address: t.endpoint,
                state: t.state,
                conns: Vec::new(),
                heard: now,
            }
        });
        if e.uid != t.uid {
            tracing::error!(
                executor = t.uid,
                other = e.uid,
                number = id,
                "executor ignored: its number is another's"
            );
            return;
        }
        let moved = t.endpoint.is_some() && e.address != t.endpoint;
        e.address = t.endpoint.or(e.address);
        if e.state != t.state {
            tracing::info!(executor = t.uid, state = ?t.state, was = ?e.state, "executor listed anew");
        }
        if t.state != State::Removed {
            self.taken_over(id, t.endpoint, poll);
        }
        let Some(e) = self.list.get(&id) else { return };
        let booted = t.boot_ms.saturating_mul(1000);
        for key in e.conns.clone() {
            if moved {
                self.take_back(key);
            }
            let Some(conn) = self.conns.get_mut(&key) else { continue };
            conn.retired |= moved;
            if conn.opened < booted && booted <= now {
                self.lose(key, poll, "its executor started anew");
            }
        }
        if t.state != State::Up {
            self.leaves(id, t.state, poll);
        } else {
            self.becomes(id, State::Up);
        }
    }

    /// An address that is this executor's now is no other's any more: what is open there was the other's.
    fn taken_over(&mut self, id: ExecutorId, address: Option<SocketAddr>, poll: &Poll) {
        let Some(address) = address else { return };
        let other = self.addresses.insert(address, id).filter(|other| *other != id);
        let Some(e) = other.and_then(|other| self.list.get_mut(&other)) else { return };
        if e.address != Some(address) {
            return;
        }
        e.address = None;
        for key in e.conns.clone() {
            self.take_back(key);
            let Some(conn) = self.conns.get_mut(&key) else { continue };
            conn.retired = true;
            if conn.idle() || !conn.up {
                self.lose(key, poll, "its address is another executor's");
            }
        }
    }

    fn leaves(&mut self, id: ExecutorId, state: State, poll: &Poll) {
        self.becomes(id, state);
        let Some(e) = self.list.get(&id) else { return };
        for key in e.conns.clone() {
            self.take_back(key);
            let Some(conn) = self.conns.get_mut(&key) else { continue };
            conn.retired |= state == State::Removed;
            if conn.retired && conn.idle() {
                self.lose(key, poll, "its executor is gone");
            }
        }
    }

    fn becomes(&mut self, id: ExecutorId, state: State) {
        let Some(e) = self.list.get_mut(&id) else { return };
        let was = std::mem::replace(&mut e.state, state);
        self.up = self.up + usize::from(state == State::Up) - usize::from(was == State::Up);
        self.gone |= state == State::Removed;
    }

    /// Takes back every pull of which no byte was written.
    fn take_back(&mut self, key: Key) {
        let Some(conn) = self.conns.get_mut(&key) else { return };
        for id in conn.streams.keys().copied().collect::<Vec<u64>>() {
            if conn.take_back(id)
                && let Some(s) = conn.streams.remove(&id)
            {
                self.places.remove(&s.attempt_id);
                self.reports.push_back(NetworkEvent::AttemptEnded(s.attempt_id, AttemptEnd::NeverSent, None));
            }
        }
    }
}
