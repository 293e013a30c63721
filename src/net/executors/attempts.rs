//! Commands of the dispatch module: attempts and probes.

use super::connection_pool::ConnectionUnavailable;
use super::{Executors, Job, PROBE_SLACK, TimerEvent};
use crate::api::Micros;
use crate::check_invariant;
use crate::dispatch::{
    AttemptEnd, AttemptId, AttemptTerms, ExecutorId, NetworkEvent, NeverSentReason, ProbeOutcome,
};
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::executors::answers::Stream;
use crate::net::executors::connection::Outgoing;
use rand_core::RngCore;

/// From this attempt on, a request whose earlier attempts were all lost shares no connection: the request may have
/// caused the losses.
const ISOLATED_FROM_ATTEMPT: u32 = 2;

impl Executors {
    /// Sends an attempt.
    pub fn start(
        &mut self,
        t: AttemptId,
        to: ExecutorId,
        job: Job,
        terms: AttemptTerms,
        now: Micros,
        poll: &Poll,
    ) {
        let id = t.request;
        let max_streams = if t.attempt < ISOLATED_FROM_ATTEMPT { self.transport.streams_per_conn } else { 1 };
        let key = match self.connection(to, now, poll, |c| c.accepts(id, max_streams, now)) {
            Ok(key) => key,
            Err(unavailable) => {
                let end = unavailable.attempt_end();
                return self.events.push_back(NetworkEvent::AttemptEnded(t, end, None));
            }
        };
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let (rows, started, written) = (Vec::new(), false, false);
        connection.streams.insert(
            id,
            Stream { attempt_id: t, started, written, pages: 0, rows, bytes: 0, written_at: now },
        );
        connection.queue.push_back(Outgoing::Pull { id, job, terms });
        if terms.begin_by < terms.deadline {
            self.timers.set(terms.begin_by, TimerEvent::BeginBy(t));
        }
        check_invariant!(self.attempt_connections.insert(t, key).is_none(), "an attempt was started twice");
        self.write(key, now, poll);
    }

    /// Cancels an attempt; no further event is reported for it.
    pub fn stop(&mut self, t: AttemptId, now: Micros, poll: &Poll) {
        let Some(key) = self.attempt_connections.remove(&t) else { return };
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let id = t.request;
        let Some(stream) = connection.streams.remove(&id) else { return };
        if connection.withdraw_unwritten(id) {
            return self.write(key, now, poll);
        }
        connection.ended_ids.insert(id, now);
        connection.queue.push_back(if stream.pages > 0 { Outgoing::Discard(id) } else { Outgoing::Kill(id) });
        self.write(key, now, poll);
    }

    /// Withdraws an attempt if no byte of it was written, and reports that it was never sent for this reason; otherwise it
    /// continues.
    pub fn withdraw(&mut self, t: AttemptId, reason: NeverSentReason, now: Micros, poll: &Poll) {
        let Some(key) = self.attempt_connections.get(&t).copied() else { return };
        let Some(connection) = self.connections.get_mut(&key).filter(|c| c.streams.contains_key(&t.request))
        else {
            return;
        };
        if connection.withdraw_unwritten(t.request) {
            connection.streams.remove(&t.request);
            self.attempt_connections.remove(&t);
            self.events.push_back(NetworkEvent::AttemptEnded(t, AttemptEnd::NeverSent(reason), None));
            self.write(key, now, poll);
        }
    }

    /// Changes the priority of an attempt.
    pub fn set_priority(&mut self, t: AttemptId, priority: u8, now: Micros, poll: &Poll) {
        let Some(key) = self.attempt_connections.get(&t).copied() else { return };
        let Some(connection) = self.connections.get_mut(&key) else { return };
        for o in &mut connection.queue {
            if let Outgoing::Pull { id, terms, .. } = o
                && *id == t.request
            {
                terms.priority = priority;
                return;
            }
        }
        if connection.streams.get(&t.request).is_some_and(|s| s.pages == 0) {
            connection.queue.push_back(Outgoing::SetPriority(t.request, priority));
            self.write(key, now, poll);
        }
    }

    /// Probes an executor.
    pub fn probe(&mut self, to: ExecutorId, now: Micros, poll: &Poll) {
        let key = match self.connection(to, now, poll, |c| !c.draining && !c.is_overdue(now)) {
            Ok(key) => key,
            Err(unavailable) => {
                let probe_outcome = if unavailable == ConnectionUnavailable::ConnectFailed {
                    ProbeOutcome::Unreachable
                } else {
                    ProbeOutcome::Unknown
                };
                return self.events.push_back(NetworkEvent::ProbeFinished(to, probe_outcome, 0));
            }
        };
        self.send_probe(key, now, poll);
    }

    pub(super) fn send_probe(&mut self, key: Key, now: Micros, poll: &Poll) {
        let tag = self.probe_tags.next_u64() | 1;
        let Some(connection) = self.connections.get_mut(&key) else { return };
        connection.probes.insert(tag, now);
        connection.queue.push_back(Outgoing::Meter(tag));
        self.timers.set(now + self.transport.dial_timeout + PROBE_SLACK, TimerEvent::Probe(key, tag));
        self.write(key, now, poll);
    }
}
