//! The dispatcher's orders: attempts and probes.

use super::connection_pool::Lack;
use super::{Due, Executors, Job, PROBE_SLACK};
use crate::api::Micros;
use crate::dispatch::{AttemptEnd, AttemptId, AttemptTerms, ExecutorId, NetworkEvent, ProbeOutcome};
use crate::must;
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::executors::connection::{Outgoing, Stream};
use rand_core::RngCore;

/// From this attempt on a request that lost all before shares no connection: it may be why they were lost.
const SUSPECT: u32 = 2;

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
        let most = if t.attempt < SUSPECT { self.transport.streams_per_conn } else { 1 };
        let key = match self.connection(to, now, poll, |c| c.takes(id, most, now)) {
            Ok(key) => key,
            Err(lack) => {
                let end = if lack == Lack::Ours { AttemptEnd::NotRun } else { AttemptEnd::NeverSent };
                return self.reports.push_back(NetworkEvent::AttemptEnded(t, end, None));
            }
        };
        let Some(conn) = self.conns.get_mut(&key) else { return };
        let (rows, begun, written) = (Vec::new(), false, false);
        conn.streams
            .insert(id, Stream { attempt_id: t, begun, written, pages: 0, rows, bytes: 0, since: now });
        conn.queue.push_back(Outgoing::Pull { id, job, terms });
        if terms.begin_by < terms.deadline {
            self.timers.set(terms.begin_by, Due::Begin(t));
        }
        must!(self.places.insert(t, key).is_none(), "an attempt was started twice");
        self.write(key, now, poll);
    }

    /// Gives an attempt up; nothing more is told of it.
    pub fn stop(&mut self, t: AttemptId, now: Micros, poll: &Poll) {
        let Some(key) = self.places.remove(&t) else { return };
        let Some(conn) = self.conns.get_mut(&key) else { return };
        let id = t.request;
        let Some(stream) = conn.streams.remove(&id) else { return };
        if conn.take_back(id) {
            return self.write(key, now, poll);
        }
        conn.spent.insert(id, now);
        conn.queue.push_back(if stream.pages > 0 { Outgoing::Discard(id) } else { Outgoing::Kill(id) });
        self.write(key, now, poll);
    }

    /// Takes an attempt back if no byte of it was written, and tells that it was never sent; else it goes on.
    pub fn withdraw(&mut self, t: AttemptId, now: Micros, poll: &Poll) {
        let Some(key) = self.places.get(&t).copied() else { return };
        let Some(conn) = self.conns.get_mut(&key).filter(|c| c.streams.contains_key(&t.request)) else {
            return;
        };
        if conn.take_back(t.request) {
            conn.streams.remove(&t.request);
            self.places.remove(&t);
            self.reports.push_back(NetworkEvent::AttemptEnded(t, AttemptEnd::NeverSent, None));
            self.write(key, now, poll);
        }
    }

    /// A new priority for an attempt.
    pub fn boost(&mut self, t: AttemptId, priority: u8, now: Micros, poll: &Poll) {
        let Some(key) = self.places.get(&t).copied() else { return };
        let Some(conn) = self.conns.get_mut(&key) else { return };
        for o in &mut conn.queue {
            if let Outgoing::Pull { id, terms, .. } = o
                && *id == t.request
            {
                terms.priority = priority;
                return;
            }
        }
        if conn.streams.get(&t.request).is_some_and(|s| s.pages == 0) {
            conn.queue.push_back(Outgoing::Boost(t.request, priority));
            self.write(key, now, poll);
        }
    }

    /// Probes an executor.
    pub fn probe(&mut self, to: ExecutorId, now: Micros, poll: &Poll) {
        let key = match self.connection(to, now, poll, |c| !c.retired && !c.doubtful(now)) {
            Ok(key) => key,
            Err(lack) => {
                let echo = if lack == Lack::Ours { ProbeOutcome::Unknown } else { ProbeOutcome::Unreachable };
                return self.reports.push_back(NetworkEvent::ProbeFinished(to, echo, 0));
            }
        };
        self.meter(key, now, poll);
    }

    pub(super) fn meter(&mut self, key: Key, now: Micros, poll: &Poll) {
        let tag = self.tags.next_u64() | 1;
        let Some(conn) = self.conns.get_mut(&key) else { return };
        conn.probes.insert(tag, now);
        conn.queue.push_back(Outgoing::Meter(tag));
        self.timers.set(now + self.transport.dial_timeout + PROBE_SLACK, Due::Probe(key, tag));
        self.write(key, now, poll);
    }
}
