//! Applies watch events of the endpoint list, and ends the affected connections and attempts.

use super::close_reason::CloseReason;
use super::{Executor, Executors};
use crate::api::Micros;
use crate::codec::coordinator::{State, Target};
use crate::dispatch::{AttemptEnd, ExecutorId, NetworkEvent, NeverSentReason, executor_id};
use crate::net::event_loop::poll::{Key, Poll};
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Executors {
    /// Applies a watch event. A changed address or a restarted process ends older connections; unwritten attempts to an
    /// executor that drains or was removed are withdrawn.
    pub fn apply_endpoints(&mut self, targets: &[Target], whole: bool, now: Micros, poll: &Poll) {
        for t in targets {
            self.apply_endpoint(t, now, poll);
        }
        if whole {
            let names: BTreeSet<&str> = targets.iter().map(|t| t.uid.as_str()).collect();
            let named = |e: &Executor| names.contains(e.uid.as_str());
            let removed: Vec<ExecutorId> =
                self.executors.iter().filter(|(_, e)| !named(e)).map(|(i, _)| *i).collect();
            removed.into_iter().for_each(|id| self.drain_connections(id, State::Removed, poll));
        }
    }

    fn apply_endpoint(&mut self, t: &Target, now: Micros, poll: &Poll) {
        let id = executor_id(&t.uid);
        let up = &mut self.up;
        let e = self.executors.entry(id).or_insert_with(|| {
            *up += usize::from(t.state == State::Up);
            Executor {
                uid: t.uid.clone(),
                address: t.endpoint,
                state: t.state,
                connections: Vec::new(),
                last_message_at: now,
            }
        });
        if e.uid != t.uid {
            tracing::error!(
                executor = t.uid,
                other = e.uid,
                number = id,
                "executor ignored: another uid has the same id"
            );
            return;
        }
        let moved = t.endpoint.is_some() && e.address != t.endpoint;
        e.address = t.endpoint.or(e.address);
        if e.state != t.state {
            tracing::info!(executor = t.uid, state = ?t.state, was = ?e.state, "executor listed anew");
        }
        if t.state != State::Removed {
            self.reassign_address(id, t.endpoint, poll);
        }
        let Some(e) = self.executors.get(&id) else { return };
        let boot_time = t.boot_ms.saturating_mul(1000);
        for key in e.connections.clone() {
            if moved {
                self.withdraw_unwritten(key);
            }
            let Some(connection) = self.connections.get_mut(&key) else { continue };
            connection.draining |= moved;
            if connection.connected_at < boot_time && boot_time <= now {
                self.close(key, poll, &CloseReason::ExecutorRestarted);
            }
        }
        if t.state != State::Up {
            self.drain_connections(id, t.state, poll);
        } else {
            self.set_state(id, State::Up);
        }
    }

    /// Assigns an address to an executor and removes it from its previous owner, whose connections to it are drained.
    fn reassign_address(&mut self, id: ExecutorId, address: Option<SocketAddr>, poll: &Poll) {
        let Some(address) = address else { return };
        let other = self.addresses.insert(address, id).filter(|other| *other != id);
        let Some(e) = other.and_then(|other| self.executors.get_mut(&other)) else { return };
        if e.address != Some(address) {
            return;
        }
        e.address = None;
        for key in e.connections.clone() {
            self.withdraw_unwritten(key);
            let Some(connection) = self.connections.get_mut(&key) else { continue };
            connection.draining = true;
            if connection.is_idle() || !connection.connected {
                self.close(key, poll, &CloseReason::AddressReassigned);
            }
        }
    }

    fn drain_connections(&mut self, id: ExecutorId, state: State, poll: &Poll) {
        self.set_state(id, state);
        let Some(e) = self.executors.get(&id) else { return };
        for key in e.connections.clone() {
            self.withdraw_unwritten(key);
            let Some(connection) = self.connections.get_mut(&key) else { continue };
            connection.draining |= state == State::Removed;
            if connection.draining && connection.is_idle() {
                self.close(key, poll, &CloseReason::ExecutorRemoved);
            }
        }
    }

    fn set_state(&mut self, id: ExecutorId, state: State) {
        let Some(e) = self.executors.get_mut(&id) else { return };
        let was = std::mem::replace(&mut e.state, state);
        self.up = self.up + usize::from(state == State::Up) - usize::from(was == State::Up);
        self.removed_pending |= state == State::Removed;
    }

    /// Withdraws every attempt of which no byte was written.
    fn withdraw_unwritten(&mut self, key: Key) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        for id in connection.streams.keys().copied().collect::<Vec<u64>>() {
            if connection.withdraw_unwritten(id)
                && let Some(s) = connection.streams.remove(&id)
            {
                self.attempt_connections.remove(&s.attempt_id);
                let end = AttemptEnd::NeverSent(NeverSentReason::ExecutorChanged);
                self.events.push_back(NetworkEvent::AttemptEnded(s.attempt_id, end, None));
            }
        }
    }
}
