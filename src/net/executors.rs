//! Executors and the connections to them.
//!
//! A connection belongs to one executor by its uid, whatever its address becomes. It carries one attempt as
//! long as descriptors last: a spoilt answer ends its connection with all that is open there. A request that
//! ended in any way on a connection never goes out on that one again, so that a late answer or a second copy
//! can't be taken for a new one.

use super::buffers::{Inbox, Outbox, Pool};
use super::connection::{Conn, DOUBTFUL, Outgoing, Step, Stream, advance};
pub use super::connection::{Job, Rows};
use super::dial;
use super::poll::{Key, Poll};
use super::room::Room;
use super::timers::Timers;
use crate::api::Micros;
use crate::codec::coordinator::{State, Target};
use crate::codec::executor::{self, Answer, Gauges, Terms};
use crate::dispatch::{Echo, End, ExecutorId, Load, Report, Ticket, executor_id};
use crate::must;
use crate::settings::Transport;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;

/// An answer that has begun has to be here whole within this time.
const PART: Micros = 700_000;
/// A mute connection whose executor is heard elsewhere has this long to be heard too.
const GRACE: Micros = 400_000;
/// An id that ended is remembered on its connection for this long, longer than an answer can be under way.
const REMEMBERED: Micros = 60_000_000;
/// From this attempt on a request that lost all before shares no connection: it may be why they were lost.
const SUSPECT: u32 = 2;
/// A probe may take this much longer than a dial.
const PROBE_SLACK: Micros = 50_000;

struct Executor {
    uid: String,
    address: Option<SocketAddr>,
    state: State,
    conns: Vec<Key>,
    /// When anything came from it, on any connection.
    heard: Micros,
}

/// What falls due here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Dial(Key),
    Probe(Key, u64),
    /// An answer in part.
    Part(Key),
    /// Word on what was written.
    Word(Key),
}

/// Counters of the connections.
#[derive(Debug, Default)]
pub struct Wire {
    /// Dials begun.
    pub dials: u64,
    /// Lines that could not be used.
    pub bad_lines: u64,
    /// Answers to what is not open, and second copies.
    pub stray: u64,
    /// Connections that fell silent while their executor did not.
    pub mute: u64,
    /// Attempts written whole.
    pub forwards: u64,
}

/// All executors, and the connections to them.
pub struct Executors {
    transport: Transport,
    most_conns: usize,
    pool: Pool,
    list: BTreeMap<ExecutorId, Executor>,
    /// Whose each address is; it may have moved on, which its entry in the list tells.
    addresses: HashMap<SocketAddr, ExecutorId>,
    conns: BTreeMap<Key, Conn>,
    /// Where each attempt is.
    places: BTreeMap<Ticket, Key>,
    timers: Timers<Due>,
    tags: Pcg64Mcg,
    scratch: Vec<u8>,
    /// What the dispatcher has to be told, in order.
    pub reports: VecDeque<Report<Rows>>,
    /// Counters.
    pub wire: Wire,
}

impl Executors {
    /// None yet; `most_conns` bounds the connections in all, `seed` makes tags that nobody can know ahead.
    pub fn new(transport: Transport, most_conns: usize, seed: u64, pool: &Pool) -> Executors {
        Executors {
            transport,
            most_conns,
            pool: pool.clone(),
            list: BTreeMap::new(),
            addresses: HashMap::new(),
            conns: BTreeMap::new(),
            places: BTreeMap::new(),
            timers: Timers::default(),
            tags: Pcg64Mcg::seed_from_u64(!seed),
            scratch: Vec::new(),
            reports: VecDeque::new(),
            wire: Wire::default(),
        }
    }

    /// Whether work is out on an executor, or waits for a connection to it.
    pub fn busy(&self, uid: &str) -> bool {
        let conns = self.list.get(&executor_id(uid)).into_iter().flat_map(|e| &e.conns);
        conns.filter_map(|k| self.conns.get(k)).any(|c| !c.streams.is_empty())
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    // ---- The list ----------------------------------------------------------------------------------

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
        let e = self.list.entry(id).or_insert_with(|| Executor {
            uid: t.uid.clone(),
            address: t.endpoint,
            state: t.state,
            conns: Vec::new(),
            heard: now,
        });
        if e.uid != t.uid {
            tracing::error!(
                motor = t.uid,
                other = e.uid,
                number = id,
                "motor left out: its number is another's"
            );
            return;
        }
        let moved = t.endpoint.is_some() && e.address != t.endpoint;
        e.address = t.endpoint.or(e.address);
        if e.state != t.state {
            tracing::info!(motor = t.uid, state = ?t.state, was = ?e.state, "motor listed anew");
        }
        if t.state != State::Removed {
            self.taken_over(id, t.endpoint, poll);
        }
        let Some(e) = self.list.get(&id) else { return };
        let booted = t.boot_ms.saturating_mul(1000);
        for key in e.conns.clone() {
            let Some(conn) = self.conns.get_mut(&key) else { continue };
            conn.retired |= moved;
            if conn.opened < booted && booted <= now {
                self.lose(key, poll, "its executor started anew");
            }
        }
        if t.state != State::Up {
            self.leaves(id, t.state, poll);
        } else if let Some(e) = self.list.get_mut(&id) {
            e.state = State::Up;
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
        let Some(e) = self.list.get_mut(&id) else { return };
        e.state = state;
        for key in e.conns.clone() {
            self.take_back(key);
            let Some(conn) = self.conns.get_mut(&key) else { continue };
            conn.retired |= state == State::Removed;
            if conn.retired && conn.idle() {
                self.lose(key, poll, "its executor is gone");
            }
        }
    }

    /// Takes back every pull of which no byte was written.
    fn take_back(&mut self, key: Key) {
        let Some(conn) = self.conns.get_mut(&key) else { return };
        let mut back = Vec::new();
        if !conn.outbox.begun()
            && let Some(id) = conn.writing.take()
        {
            conn.outbox.clear();
            back.push(id);
        }
        conn.queue.retain(|o| match o {
            Outgoing::Pull { id, .. } => {
                back.push(*id);
                false
            }
            _ => true,
        });
        for id in back {
            if let Some(s) = conn.streams.remove(&id) {
                self.places.remove(&s.ticket);
                self.reports.push_back(Report::Ended(s.ticket, End::NeverSent, None));
            }
        }
    }

    // ---- Orders ------------------------------------------------------------------------------------

    /// Sends an attempt.
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        &mut self,
        t: Ticket,
        to: ExecutorId,
        job: Job,
        memory_mb: f64,
        priority: u8,
        until: Micros,
        now: Micros,
        poll: &Poll,
    ) {
        let id = t.request;
        let most = if t.attempt < SUSPECT { self.transport.streams_per_conn } else { 1 };
        let Some(key) = self.connection(to, now, poll, |c| c.takes(id, most, now)) else {
            self.reports.push_back(Report::Ended(t, End::NeverSent, None));
            return;
        };
        let Some(conn) = self.conns.get_mut(&key) else { return };
        let (rows, written) = (Vec::new(), false);
        conn.streams.insert(id, Stream { ticket: t, written, pages: 0, rows, bytes: 0, since: now });
        conn.queue.push_back(Outgoing::Pull { id, job, memory_mb, priority, until });
        must!(self.places.insert(t, key).is_none(), "an attempt was started twice");
        self.write(key, now, poll);
    }

    /// Gives an attempt up; nothing more is told of it.
    pub fn stop(&mut self, t: Ticket, now: Micros, poll: &Poll) {
        let Some(key) = self.places.remove(&t) else { return };
        let Some(conn) = self.conns.get_mut(&key) else { return };
        let id = t.request;
        let Some(stream) = conn.streams.remove(&id) else { return };
        let waiting = |o: &Outgoing| matches!(o, Outgoing::Pull { id: i, .. } if *i == id);
        if let Some(at) = conn.queue.iter().position(waiting) {
            conn.queue.remove(at);
            return;
        }
        if conn.writing == Some(id) && !conn.outbox.begun() {
            conn.writing = None;
            conn.outbox.clear();
            return self.write(key, now, poll);
        }
        conn.spent.insert(id, now);
        conn.queue.push_back(if stream.pages > 0 { Outgoing::Discard(id) } else { Outgoing::Kill(id) });
        self.write(key, now, poll);
    }

    /// A new priority for an attempt.
    pub fn boost(&mut self, t: Ticket, priority: u8, now: Micros, poll: &Poll) {
        let Some(key) = self.places.get(&t).copied() else { return };
        let Some(conn) = self.conns.get_mut(&key) else { return };
        for o in &mut conn.queue {
            if let Outgoing::Pull { id, priority: p, .. } = o
                && *id == t.request
            {
                *p = priority;
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
        let Some(key) = self.connection(to, now, poll, |c| !c.retired && !c.doubtful(now)) else {
            self.reports.push_back(Report::Probed(to, Echo::Unreachable, 0));
            return;
        };
        self.meter(key, now, poll);
    }

    fn meter(&mut self, key: Key, now: Micros, poll: &Poll) {
        let tag = self.tags.next_u64() | 1;
        let Some(conn) = self.conns.get_mut(&key) else { return };
        conn.probes.insert(tag, now);
        conn.queue.push_back(Outgoing::Meter(tag));
        self.timers.set(now + self.transport.dial_timeout + PROBE_SLACK, Due::Probe(key, tag));
        self.write(key, now, poll);
    }

    /// A connection that will do, or a new one.
    fn connection(
        &mut self,
        to: ExecutorId,
        now: Micros,
        poll: &Poll,
        fits: impl Fn(&Conn) -> bool,
    ) -> Option<Key> {
        let e = self.list.get(&to)?;
        let usable =
            e.conns.iter().filter_map(|k| self.conns.get(k).map(|c| (*k, c))).filter(|(_, c)| fits(c));
        // The least shared one; among those the one heard last, so that the others can go.
        let best = usable.min_by_key(|(_, c)| (c.streams.len(), !c.up, Reverse(c.heard)));
        let best = best.map(|(key, c)| (key, c.streams.is_empty()));
        if let Some((key, true)) = best {
            return Some(key);
        }
        let shared = best.map(|(key, _)| key);
        let listed = self.list.values().filter(|e| e.state == State::Up).count().max(1);
        let share = (self.most_conns / listed).max(2);
        let full = self.conns.len() >= self.most_conns;
        if shared.is_some() && (full || e.conns.len() >= share) {
            return shared;
        }
        let Some(address) = e.address else { return shared };
        if full {
            // Another executor may keep more than it needs just now.
            let idle = self.conns.iter().filter(|(_, c)| c.idle()).min_by_key(|(_, c)| c.touched);
            let Some(key) = idle.map(|(key, _)| *key) else {
                tracing::warn!(motor = e.uid, most = self.most_conns, "no connection left");
                return None;
            };
            self.lose(key, poll, "its place is needed");
        }
        let dialed = dial::dial(address).and_then(|s| poll.add(&s, true).map(|key| (s, key)));
        let (stream, key) = match dialed {
            Ok(dialed) => dialed,
            Err(err) => {
                tracing::warn!(%address, error = %err, "can't dial");
                return shared;
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
        self.list.get_mut(&to)?.conns.push(key);
        Some(key)
    }

    // ---- Events ------------------------------------------------------------------------------------

    /// A socket is ready.
    pub fn ready(&mut self, key: Key, readable: bool, writable: bool, now: Micros, poll: &Poll) {
        let Some(conn) = self.conns.get_mut(&key) else { return };
        if !conn.up {
            match dial::up(&conn.stream) {
                Ok(()) => (conn.up, conn.heard, conn.opened) = (true, now, now),
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(e) => return self.lose(key, poll, &e.to_string()),
            }
        }
        if readable {
            match conn.inbox.fill(&mut conn.stream) {
                Ok(0) => return self.lose(key, poll, "closed by the executor"),
                Ok(_) => {
                    (conn.heard, conn.touched, conn.mute, conn.doomed_at) = (now, now, false, None);
                    let executor = conn.executor;
                    self.list.get_mut(&executor).into_iter().for_each(|e| e.heard = now);
                    self.read(key, now, poll);
                }
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
                Err(e) => return self.lose(key, poll, &e.to_string()),
            }
        }
        if writable || readable {
            self.write(key, now, poll);
        }
    }

    fn read(&mut self, key: Key, now: Micros, poll: &Poll) {
        let mut consumed = 0;
        loop {
            let Some(conn) = self.conns.get_mut(&key) else { return };
            let parsed = executor::next(&conn.inbox.bytes()[consumed..]);
            let (n, answer) = match parsed {
                Ok(Some(found)) => found,
                Ok(None) => break,
                Err(e) => {
                    self.wire.bad_lines += 1;
                    return self.lose(key, poll, &format!("bad line: {}", e.0));
                }
            };
            consumed += n;
            match answer {
                Answer::Probe { tag, up, gauges } => {
                    if let Some(sent) = conn.probes.remove(&tag) {
                        let echo = if up { Echo::Up(gauges.map(load)) } else { Echo::Down };
                        self.reports.push_back(Report::Probed(conn.executor, echo, now.saturating_sub(sent)));
                    }
                }
                Answer::Request { id, word, body, gauges } => {
                    let ended = match conn.streams.get_mut(&id) {
                        None => {
                            self.wire.stray += 1;
                            None
                        }
                        Some(s) => match advance(s, word, body, &self.pool) {
                            Step::Goes => None,
                            Step::Copy => {
                                self.wire.stray += 1;
                                None
                            }
                            Step::Noted(word) => {
                                self.reports.push_back(Report::Noted(s.ticket, word));
                                None
                            }
                            Step::Pages(pages) => {
                                conn.queue.extend((1..pages).map(|page| Outgoing::Scroll(id, page)));
                                None
                            }
                            Step::Ended(end) => Some(end),
                            Step::Broken(what) => {
                                self.wire.bad_lines += 1;
                                return self.lose(key, poll, what);
                            }
                        },
                    };
                    if let Some(end) = ended
                        && let Some(s) = conn.streams.remove(&id)
                    {
                        self.places.remove(&s.ticket);
                        // One that was served never comes again, all else may be tried again.
                        if !matches!(end, End::Served(_)) {
                            conn.spent.insert(id, now);
                        }
                        self.reports.push_back(Report::Ended(s.ticket, end, gauges.map(load)));
                    }
                }
            }
        }
        if let Some(conn) = self.conns.get_mut(&key) {
            conn.inbox.consume(consumed);
            if conn.inbox.bytes().is_empty() {
                conn.part_since = None;
            } else if conn.part_since.is_none() || consumed > 0 {
                conn.part_since = Some(now);
                self.timers.set(now + PART, Due::Part(key));
            }
        }
    }

    /// Writes what waits, one message after the other, so that what was not begun can be taken back.
    fn write(&mut self, key: Key, now: Micros, poll: &Poll) {
        let Some(conn) = self.conns.get_mut(&key).filter(|c| c.up) else { return };
        let failed = loop {
            match conn.outbox.flush(&mut conn.stream) {
                Ok(true) => {}
                Ok(false) => break None,
                Err(e) => break Some(e),
            }
            if let Some(s) = conn.writing.take().and_then(|id| conn.streams.get_mut(&id)) {
                (s.written, s.since) = (true, now);
                self.wire.forwards += 1;
                if conn.word_at.is_none() {
                    conn.word_at = Some(now + DOUBTFUL + 1);
                    self.timers.set(now + DOUBTFUL + 1, Due::Word(key));
                }
            }
            let Some(next) = conn.queue.pop_front() else { break None };
            conn.touched = now;
            self.scratch.clear();
            let out = &mut self.scratch;
            match next {
                Outgoing::Pull { id, job, memory_mb, priority, until } => {
                    let wait_ms = (until.saturating_sub(now) / 1000).max(1);
                    executor::pull(
                        out,
                        id,
                        &Terms { kind: &job.kind, wait_ms, memory_mb, priority },
                        &job.statement,
                    );
                    conn.writing = Some(id);
                }
                Outgoing::Kill(id) => executor::kill(out, id),
                Outgoing::Boost(id, priority) => executor::boost(out, id, priority),
                Outgoing::Scroll(id, page) => executor::scroll(out, id, page),
                Outgoing::Discard(id) => executor::discard(out, id),
                Outgoing::Meter(tag) => executor::meter(out, tag),
            }
            conn.outbox.append(&self.scratch);
        };
        if let Some(e) = failed {
            return self.lose(key, poll, &e.to_string());
        }
        let waits = !conn.outbox.is_empty();
        if waits != conn.watched {
            conn.watched = waits;
            if let Err(e) = poll.writable(key, &conn.stream, waits) {
                self.lose(key, poll, &e.to_string());
            }
        }
    }

    /// Closes a connection; all that was open on it is over.
    fn lose(&mut self, key: Key, poll: &Poll, why: &str) {
        let Some(conn) = self.conns.remove(&key) else { return };
        poll.remove(&conn.stream);
        if let Some(e) = self.list.get_mut(&conn.executor) {
            e.conns.retain(|k| *k != key);
            if !conn.idle() {
                let (streams, probes) = (conn.streams.len(), conn.probes.len());
                tracing::info!(
                    motor = e.uid,
                    attempts = streams,
                    probes,
                    reason = why,
                    "motor connection lost"
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
            self.reports.push_back(Report::Probed(conn.executor, echo, 0));
        }
    }

    /// Looks after a connection that owes word: it is probed, and one that answers no probe is over once its
    /// executor has been heard elsewhere since. If nothing is heard there either, the machine is gone or cut
    /// off, and what is out may yet be answered.
    fn ask_for_word(&mut self, key: Key, now: Micros, poll: &Poll) {
        let Some(conn) = self.conns.get_mut(&key) else { return };
        conn.word_at = None;
        let Some(since) = conn.streams.values().filter(|s| s.written).map(|s| s.since).min() else { return };
        let owes = conn.heard.max(since);
        let heard = self.list.get(&conn.executor).map_or(0, |e| e.heard);
        if conn.mute && heard > owes + DOUBTFUL {
            // After a cut both come back, and what was held up may come a moment later.
            conn.doomed_at.get_or_insert(now + GRACE);
        }
        if conn.doomed_at.is_some_and(|t| t <= now) {
            self.wire.mute += 1;
            return self.lose(key, poll, "mute while its executor answers elsewhere");
        }
        let due = owes + DOUBTFUL + 1;
        let asks = now >= due && !conn.mute && conn.probes.is_empty();
        let next = due.max(now + 2 * PROBE_SLACK);
        conn.word_at = Some(next);
        self.timers.set(next, Due::Word(key));
        if asks {
            self.meter(key, now, poll);
        }
    }

    /// Closes what has been idle nearly as long as executors allow, and forgets old ids.
    pub fn sweep(&mut self, now: Micros, poll: &Poll) {
        let idle = self.transport.conn_idle - (self.transport.conn_idle / 4).min(2_000_000);
        let over = |c: &Conn| c.idle() && (c.retired || now > c.touched + idle);
        let closed: Vec<Key> = self.conns.iter().filter(|(_, c)| over(c)).map(|(k, _)| *k).collect();
        closed.into_iter().for_each(|key| self.lose(key, poll, "idle"));
        self.conns.values_mut().for_each(|c| c.spent.retain(|_, t| now < *t + REMEMBERED));
        let conns = &self.conns;
        self.list.retain(|_, e| e.state != State::Removed || e.conns.iter().any(|k| conns.contains_key(k)));
        let list = &self.list;
        self.addresses.retain(|a, id| list.get(id).is_some_and(|e| e.address == Some(*a)));
    }
}

impl Room for Executors {
    fn owns(&self, key: Key) -> bool {
        self.conns.contains_key(&key)
    }

    fn next_due(&self) -> Option<Micros> {
        self.timers.next_due()
    }

    fn tick(&mut self, now: Micros, poll: &Poll) {
        while let Some(due) = self.timers.due(now) {
            match due {
                Due::Dial(key) => {
                    if self.conns.get(&key).is_some_and(|c| !c.up) {
                        self.lose(key, poll, "no connection in time");
                    }
                }
                Due::Probe(key, tag) => {
                    let Some(conn) = self.conns.get_mut(&key) else { continue };
                    if let Some(sent) = conn.probes.remove(&tag) {
                        // Nothing new goes where a probe met silence; a new dial proves what runs.
                        conn.mute = conn.heard < sent;
                        conn.retired |= conn.mute;
                        let executor = conn.executor;
                        let lives = self.list.get(&executor).is_some_and(|e| e.heard > sent);
                        let echo = if lives { Echo::Unknown } else { Echo::Silent };
                        self.reports.push_back(Report::Probed(executor, echo, now.saturating_sub(sent)));
                    }
                }
                Due::Part(key) => {
                    let since = self.conns.get(&key).and_then(|c| c.part_since);
                    if since.is_some_and(|t| t + PART <= now) {
                        self.wire.bad_lines += 1;
                        self.lose(key, poll, "an answer stopped half way");
                    }
                }
                Due::Word(key) => self.ask_for_word(key, now, poll),
            }
        }
    }
}

fn load(g: Gauges) -> Load {
    Load { inflight: g.inflight, util: g.util, queue: g.queue, memory: g.x0, disks: g.x1 }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpListener;

    const TRANSPORT: Transport =
        Transport { most_held: 9, streams_per_conn: 1, conn_idle: 30_000_000, dial_timeout: 250_000 };

    fn listed(e: &mut Executors, at: &TcpListener, state: State, boot_ms: u64, now: Micros, poll: &Poll) {
        let endpoint = at.local_addr().ok();
        let (uid, az, model) = ("e1".to_string(), String::new(), String::new());
        let target = Target {
            uid,
            endpoint,
            az,
            model,
            pod_group: 0,
            state,
            capacity_hint: None,
            boot_ms,
            weight: None,
        };
        e.listed(&[target], false, now, poll);
    }

    fn start(e: &mut Executors, request: u64, now: Micros, poll: &Poll) -> Ticket {
        let ticket = Ticket { request, attempt: 0 };
        let job = Job { kind: "read".into(), statement: "SELECT 1".into() };
        e.start(ticket, executor_id("e1"), job, 0.0, 1, now + 9_000_000, now, poll);
        ticket
    }

    // A pull that waits for its connection must not go out seconds after the engine drains: it is taken back
    // while that proves that it never ran.
    #[test]
    fn a_pull_that_waits_is_taken_back_when_its_executor_drains() {
        let (poll, pool) = (Poll::new().unwrap(), Pool::new(0));
        let at = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut e = Executors::new(TRANSPORT, 9, 7, &pool);
        listed(&mut e, &at, State::Up, 0, 1, &poll);
        let ticket = start(&mut e, 7, 2, &poll);
        assert!(e.reports.is_empty());
        listed(&mut e, &at, State::Draining, 0, 3, &poll);
        assert!(matches!(e.reports.pop_front(), Some(Report::Ended(t, End::NeverSent, _)) if t == ticket));
        let key = *e.conns.keys().next().unwrap();
        e.ready(key, false, true, 4, &poll);
        assert!(e.conns[&key].queue.is_empty() && e.conns[&key].outbox.is_empty());
    }

    // A process that started anew knows nothing of what an old connection asked; one opened since does. A
    // full connection takes no more, and a dial that never comes up proves that nothing ran.
    #[test]
    fn a_new_start_ends_what_is_older_and_nothing_else() {
        let (poll, pool) = (Poll::new().unwrap(), Pool::new(0));
        let at = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut e = Executors::new(TRANSPORT, 2, 7, &pool);
        listed(&mut e, &at, State::Up, 0, 1, &poll);
        let old = start(&mut e, 7, 1_000, &poll);
        let old_key = *e.conns.keys().next().unwrap();
        while !e.conns[&old_key].up {
            e.ready(old_key, false, true, 1_001, &poll);
        }
        let new = start(&mut e, 8, 9_000, &poll);
        let over = start(&mut e, 9, 9_000, &poll);
        assert!(matches!(e.reports.pop_front(), Some(Report::Ended(t, End::NeverSent, _)) if t == over));
        listed(&mut e, &at, State::Up, 5, 10_000, &poll);
        assert!(matches!(e.reports.pop_front(), Some(Report::Ended(t, End::Lost, _)) if t == old));
        assert!(e.reports.is_empty() && e.places.contains_key(&new));
        e.tick(9_000 + TRANSPORT.dial_timeout, &poll);
        assert!(matches!(e.reports.pop_front(), Some(Report::Ended(t, End::NeverSent, _)) if t == new));
    }

    // At a site where executors tell their load in every answer and are never probed, the decisions saw no
    // load at all: the answer's gauges were read for probes only. An answer's report must reach the decisions.
    #[test]
    fn the_load_an_answer_carries_goes_on_with_its_end() {
        use std::io::{Read, Write};
        let (poll, pool) = (Poll::new().unwrap(), Pool::new(0));
        let at = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut e = Executors::new(TRANSPORT, 9, 7, &pool);
        listed(&mut e, &at, State::Up, 0, 1, &poll);
        let ticket = start(&mut e, 0x2a, 2, &poll);
        let key = *e.conns.keys().next().unwrap();
        let (mut engine, _) = at.accept().unwrap();
        let mut seen = Vec::new();
        while !seen.windows(4).any(|w| w == b"PULL") {
            e.ready(key, false, true, 3, &poll);
            let mut chunk = [0u8; 512];
            engine.set_read_timeout(Some(std::time::Duration::from_millis(50))).unwrap();
            if let Ok(n) = engine.read(&mut chunk) {
                seen.extend_from_slice(&chunk[..n]);
            }
        }
        engine.write_all(b"2a BUSY gauges=inflight:7;util:0.61 0\r\n\r\n").unwrap();
        while e.reports.is_empty() {
            e.ready(key, true, false, 4, &poll);
        }
        let load = Load { inflight: Some(7.0), util: Some(0.61), ..Load::default() };
        let found = e.reports.pop_front();
        assert!(matches!(found, Some(Report::Ended(t, End::Full, Some(l))) if t == ticket && l == load));
    }
}
