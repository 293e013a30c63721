//! Which connection is used, dialed or closed.

use super::{Due, Executors};
use crate::api::Micros;
use crate::codec::coordinator::State;
use crate::dispatch::{Echo, End, ExecutorId, Report};
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::executors::connection::Conn;
use crate::net::sockets::buffers::{Inbox, Outbox};
use crate::net::sockets::dial;
use crate::net::sockets::system_calls;
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

/// An id that ended is remembered on its connection for this long, longer than an answer can be under way.
const REMEMBERED: Micros = 60_000_000;

/// Why there is no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Lack {
    /// The executor is not there, or does not listen.
    Theirs,
    /// All that this dispatcher may have are busy, which says nothing of the executor.
    Ours,
}

impl Executors {
    /// A connection that will do, or a new one.
    pub(super) fn connection(
        &mut self,
        to: ExecutorId,
        now: Micros,
        poll: &Poll,
        fits: impl Fn(&Conn) -> bool,
    ) -> Result<Key, Lack> {
        let best = loop {
            let conns = self.list.get(&to).ok_or(Lack::Theirs)?.conns.iter();
            let usable = conns.filter_map(|k| self.conns.get(k).map(|c| (*k, c))).filter(|(_, c)| fits(c));
            // The least shared one; among those the one heard last, so that the others can go.
            let best = usable.min_by_key(|(_, c)| (c.streams.len(), !c.up, Reverse(c.heard)));
            let Some((key, c)) = best else { break None };
            // What is written to one that its executor has closed is lost, and may have run for all that is known:
            // an end that is here already is heeded before.
            if c.over() {
                self.lose(key, poll, "closed by the executor");
                continue;
            }
            break Some((key, c.streams.is_empty()));
        };
        if let Some((key, true)) = best {
            return Ok(key);
        }
        let shared = best.map(|(key, _)| key);
        let e = self.list.get(&to).ok_or(Lack::Theirs)?;
        let share = (self.most_conns / self.up.max(1)).max(2);
        let full = self.conns.len() >= self.most_conns;
        if let Some(key) = shared.filter(|_| full || e.conns.len() >= share) {
            return Ok(key);
        }
        let Some(address) = e.address else { return shared.ok_or(Lack::Theirs) };
        if full {
            // Another executor may keep more than it needs just now.
            let idle = self.conns.iter().filter(|(_, c)| c.idle()).min_by_key(|(_, c)| c.touched);
            let Some(key) = idle.map(|(key, _)| *key) else {
                tracing::warn!(executor = e.uid, most = self.most_conns, "no connection left");
                return Err(Lack::Ours);
            };
            self.lose(key, poll, "its place is needed");
        }
        let dialed = dial::dial(address).and_then(|s| poll.add(&s, true).map(|key| (s, key)));
        let (stream, key) = match dialed {
            Ok(dialed) => dialed,
            Err(err) => {
                tracing::warn!(%address, error = %err, "can't dial");
                let ours = system_calls::is_local_failure(&err);
                self.starved |= dial::out_of_descriptors(&err);
                return shared.ok_or(if ours { Lack::Ours } else { Lack::Theirs });
            }
        };
        self.wire.dials += 1;
        self.timers.set(now + self.transport.dial_timeout, Due::Dial(key));
        self.conns.insert(
            key,
            Conn {
                executor: to,
                stream,
                up: false,
                opened: now,
                word_within: self.transport.word_within(),
                heard: now,
                touched: now,
                retired: false,
                inbox: Inbox::new(&self.pool),
                outbox: Outbox::new(&self.pool),
                writing: None,
                queue: VecDeque::new(),
                streams: BTreeMap::new(),
                spent: BTreeMap::new(),
                part_since: None,
                mute: false,
                doomed_at: None,
                word_at: None,
                probes: BTreeMap::new(),
                watched: true,
            },
        );
        if let Some(e) = self.list.get_mut(&to) {
            e.conns.push(key);
        }
        Ok(key)
    }

    /// Closes a connection; all that was open on it is over.
    pub(super) fn lose(&mut self, key: Key, poll: &Poll, why: &str) {
        let Some(conn) = self.conns.remove(&key) else { return };
        poll.remove(&conn.stream);
        if let Some(e) = self.list.get_mut(&conn.executor) {
            e.conns.retain(|k| *k != key);
            if !conn.idle() {
                let (streams, probes) = (conn.streams.len(), conn.probes.len());
                tracing::info!(
                    executor = e.uid,
                    attempts = streams,
                    probes,
                    reason = why,
                    "executor connection lost"
                );
            }
        }
        let spoke = conn.heard > conn.opened;
        for s in conn.streams.into_values() {
            self.places.remove(&s.ticket);
            let end = match (s.written, conn.up) {
                (true, _) if spoke => End::Spoilt,
                (true, _) => End::Lost,
                // The connection came up, so its executor is there: that it never ran is all this tells.
                (false, true) => End::Void,
                (false, false) => End::NeverSent,
            };
            self.reports.push_back(Report::Ended(s.ticket, end, None));
        }
        let echo = if conn.up { Echo::Unknown } else { Echo::Unreachable };
        for _ in conn.probes {
            self.reports.push_back(Report::ProbeFinished(conn.executor, echo, 0));
        }
    }

    /// Closes what has been idle nearly as long as executors allow, and forgets old ids.
    pub fn sweep(&mut self, now: Micros, poll: &Poll) {
        let idle = self.transport.conn_idle - (self.transport.conn_idle / 4).min(2_000_000);
        let over = |c: &Conn| c.idle() && (c.retired || now > c.touched + idle);
        let closed: Vec<Key> = self.conns.iter().filter(|(_, c)| over(c)).map(|(k, _)| *k).collect();
        closed.into_iter().for_each(|key| self.lose(key, poll, "idle"));
        self.conns.values_mut().for_each(|c| c.spent.retain(|_, t| now < *t + REMEMBERED));
        if !std::mem::take(&mut self.gone) {
            return;
        }
        let conns = &self.conns;
        self.list.retain(|_, e| e.state != State::Removed || e.conns.iter().any(|k| conns.contains_key(k)));
        let list = &self.list;
        self.addresses.retain(|a, id| list.get(id).is_some_and(|e| e.address == Some(*a)));
        // One that still has connections stays until they are over.
        self.gone = self.list.values().any(|e| e.state == State::Removed);
    }
}
