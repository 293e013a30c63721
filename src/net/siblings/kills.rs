//! KILL QUERY across the processes of one dispatcher: a client's connection and its KILL may reach different ones.

use super::Siblings;
use super::message::{InstanceId, Message};
use super::pending_kills::KillOutcome;
use crate::api::Micros;
use crate::net::DispatcherServer;
use crate::net::event_loop::poll::Key;
use std::collections::BTreeSet;

impl Siblings {
    /// Asks the other processes to kill the request of a connection, on behalf of a client. Returns false if there is
    /// nobody to ask.
    pub(super) fn forward_kill(&mut self, client: Key, connection: u32, now: Micros) -> bool {
        let asked: BTreeSet<InstanceId> = self.others.keys().copied().collect();
        if asked.is_empty() {
            return false;
        }
        let Some(token) = self.kills.begin(client, connection, asked.clone(), now) else { return false };
        for id in asked {
            if !self.send(id, Message::Kill { from: self.me, token, connection }, now) {
                self.kill_answered(token, id, false);
            }
        }
        true
    }

    /// Records the answer of another process to a KILL.
    pub(super) fn kill_answered(&mut self, token: u64, by: InstanceId, found: bool) {
        let outcome = self.kills.answered(token, by, found);
        self.kill_outcomes.extend(outcome);
    }
}

impl DispatcherServer {
    /// Passes a KILL on to the other processes. Returns false if there is none; otherwise the client `from` is answered
    /// once they have answered, or after a time limit.
    pub(in crate::net) fn forward_kill(&mut self, from: Key, connection: u32, now: Micros) -> bool {
        let Some(siblings) = &mut self.siblings else { return false };
        // A process that has just started may have clients already, while its greeting is still in the pipe.
        siblings.receive();
        siblings.forward_kill(from, connection, now)
    }

    /// Carries out a KILL that a client sent to another process. What the client sent before it is read first: after a
    /// standstill the request and its KILL are here at the same time.
    pub(super) fn kill_for_sibling(&mut self, from: InstanceId, token: u64, connection: u32, now: Micros) {
        if let Some(client) = self.sessions.by_id.get(&connection).copied() {
            self.read_client(client, now);
        }
        let found = self.kill_connection(connection, now);
        tracing::debug!(process = %from, connection, found, "siblings: KILL from another process");
        if let Some(siblings) = &mut self.siblings {
            let me = siblings.me;
            siblings.send(from, Message::KillResult { from: me, token, found }, now);
        }
    }

    /// Answers the clients whose calls the other processes have answered.
    pub(super) fn answer_forwarded_kills(&mut self, now: Micros) {
        let outcomes = self.siblings.as_mut().map(|siblings| std::mem::take(&mut siblings.kill_outcomes));
        for KillOutcome { client, connection, found } in outcomes.into_iter().flatten() {
            if let Some(session) = self.sessions.by_key.get_mut(&client) {
                session.end_kill(connection, found);
                self.process_commands(client, now);
            }
        }
    }
}
