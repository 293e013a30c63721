//! KILL QUERY calls that wait for the answers of the other processes.

use super::message::InstanceId;
use crate::api::Micros;
use crate::net::event_loop::poll::Key;
use std::collections::{BTreeMap, BTreeSet};

/// Time that the other processes have to answer, in microseconds; a client closes its own connection half a second after
/// its KILL.
const RESULT_TIMEOUT: Micros = 300_000;
/// Maximum number of calls that wait.
const MAX_PENDING: usize = 1024;

/// A call that waits.
#[derive(Debug)]
struct PendingKill {
    client: Key,
    connection: u32,
    /// The processes that have not answered yet.
    unanswered: BTreeSet<InstanceId>,
    expires_at: Micros,
}

/// The outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::net) struct KillOutcome {
    /// The client that sent KILL.
    pub(in crate::net) client: Key,
    /// The connection id that it named.
    pub(in crate::net) connection: u32,
    /// Whether a process has that connection.
    pub(in crate::net) found: bool,
}

/// All calls that wait, by token.
#[derive(Debug, Default)]
pub(super) struct PendingKills {
    by_token: BTreeMap<u64, PendingKill>,
    next_token: u64,
}

impl PendingKills {
    /// Records a call that was sent to these processes and returns its token; `None` if too many wait already.
    pub(super) fn begin(
        &mut self,
        client: Key,
        connection: u32,
        unanswered: BTreeSet<InstanceId>,
        now: Micros,
    ) -> Option<u64> {
        if self.by_token.len() >= MAX_PENDING {
            return None;
        }
        let token = self.next_token;
        self.next_token += 1;
        let expires_at = now + RESULT_TIMEOUT;
        self.by_token.insert(token, PendingKill { client, connection, unanswered, expires_at });
        Some(token)
    }

    /// Records the answer of a process. Returns the outcome once it is known: a process has the connection, or none has.
    pub(super) fn answered(&mut self, token: u64, by: InstanceId, found: bool) -> Option<KillOutcome> {
        let pending = self.by_token.get_mut(&token)?;
        pending.unanswered.remove(&by);
        if !found && !pending.unanswered.is_empty() {
            return None;
        }
        self.end(token, found)
    }

    fn end(&mut self, token: u64, found: bool) -> Option<KillOutcome> {
        let PendingKill { client, connection, .. } = self.by_token.remove(&token)?;
        Some(KillOutcome { client, connection, found })
    }

    /// Records that a process has ended: it answers no call any more.
    pub(super) fn process_ended(&mut self, id: InstanceId) -> Vec<KillOutcome> {
        let tokens: Vec<u64> = self.by_token.keys().copied().collect();
        tokens.into_iter().filter_map(|token| self.answered(token, id, false)).collect()
    }

    /// Ends the calls whose time is over.
    pub(super) fn expire(&mut self, now: Micros) -> Vec<KillOutcome> {
        let is_expired = |pending: &PendingKill| pending.expires_at <= now;
        let expired: Vec<u64> = self
            .by_token
            .iter()
            .filter(|(_, pending)| is_expired(pending))
            .map(|(token, _)| *token)
            .collect();
        expired.into_iter().filter_map(|token| self.end(token, false)).collect()
    }

    /// When the next call expires.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.by_token.values().map(|pending| pending.expires_at).min()
    }
}
