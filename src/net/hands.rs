//! Work in hand and the fleet's record of it, where our settings name peers: requests pass by here on their way
//! to the decisions and back.

use super::Node;
use super::buffers::{Block, Pool};
use super::executors::{Job, Rows};
use super::peers::Peers;
use super::poll::{Key, Poll};
use super::room::Room;
use super::rules::Rules;
use super::upkeep::Upkeep;
use crate::api::{Effect, Micros, Settings};
use crate::dispatch::{Answer, Order, Request, Ticket};
use crate::settings::{Names, options};
use crate::takeover::{Bounds, Gate, Move, Pages, Past, Reply, Takeover, Try};
use fleet::ledger::{Limits, Record};
use fleet::plan::Budget;
use fleet::{Fleet, Peer, Terms};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// No client's key: keys count from 1.
const NOBODY: Key = 0;

/// The record of work in hand, and the links that it is agreed on.
pub struct Hands {
    pub(super) takeover: Takeover,
    pub(super) peers: Peers,
    /// The names of the classes, by index.
    classes: Vec<Rc<str>>,
    /// Which classes may repeat, by index.
    repeats: Vec<bool>,
    /// Cores of each kind, by index.
    cores: Vec<f64>,
    /// Machines that are taken out for work.
    pub(super) upkeep: Upkeep,
    /// What all admit requests by, where our settings say that it is agreed on.
    pub(super) rules: Option<Rules>,
}

/// What the settings know of the classes: names and whether they may repeat, by index.
pub struct Classes {
    /// Names.
    pub names: Vec<Rc<str>>,
    /// Whether a class may run more than once.
    pub repeats: Vec<bool>,
    /// Most attempts for a request.
    pub attempts: usize,
    /// Cores of each kind of machine, by index.
    pub cores: Vec<f64>,
    /// How long a machine warms up.
    pub ramp: Micros,
    /// All of them.
    pub base: Settings,
}

impl Classes {
    /// Of the platform's settings.
    pub fn of(settings: &Settings, names: &Names) -> Classes {
        let name =
            |i: usize| names.classes.iter().find(|(_, n)| **n == i).map_or("", |(name, _)| name.as_str());
        Classes {
            names: (0..settings.classes.len()).map(|i| name(i).into()).collect(),
            repeats: settings.classes.iter().map(|c| c.effect == Effect::Safe).collect(),
            attempts: settings.max_attempts as usize,
            cores: settings.kinds.iter().map(|k| k.cores).collect(),
            ramp: settings.cold.ramp,
            base: settings.clone(),
        }
    }
}

impl Hands {
    /// Listens for peers.
    pub fn start(
        o: &options::Peers,
        classes: Classes,
        seed: u64,
        now: Micros,
        poll: &Poll,
    ) -> io::Result<Hands> {
        let micros = |d: std::time::Duration| d.as_micros() as Micros;
        let place = |n: usize| (n + 1) as Peer;
        let named: Vec<(Peer, &str, SocketAddr)> =
            o.peers.iter().enumerate().map(|(n, (name, at))| (place(n), name.as_str(), *at)).collect();
        let me = named.iter().find(|(_, name, _)| *name == o.me).map(|(p, _, _)| *p);
        let me = me.ok_or_else(|| io::Error::other(format!("peers: no peer block is named {:?}", o.me)))?;
        let others: Vec<(Peer, SocketAddr)> =
            named.iter().filter(|(p, _, _)| *p != me).map(|(p, _, at)| (*p, *at)).collect();
        let terms = Terms {
            me,
            peers: named.iter().map(|(p, _, _)| *p).collect(),
            lease: micros(o.lease),
            margin: micros(o.margin),
            tick: micros(o.tick),
            batch: micros(o.batch),
            give_up: micros(o.give_up),
            limits: Limits { records: o.most_records as u32, remember: micros(o.remember) },
        };
        let bounds = Bounds {
            statement: o.most_statement as usize,
            result: o.most_result as usize,
            adopted: o.most_taken_over,
            attempts: classes.attempts,
            backoff_ms: o.lease.as_millis() as u64,
            fetch: micros(o.lease) / 5,
        };
        let peers = Peers::bind(o.listen, &others, o.most_frame as usize, now, poll)?;
        let takeover = Takeover::new(Fleet::new(terms, seed, now), bounds);
        let budget = Budget {
            machines: o.min_motores,
            headroom: o.headroom,
            at_once: o.at_once,
            drain_limit: micros(o.drain_limit),
            out_limit: micros(o.out_limit),
            ramp: classes.ramp,
        };
        let rules = o.policy.map(|p| Rules::new(p, me, bounds.backoff_ms, classes.base.clone()));
        let (upkeep, Classes { names, repeats, cores, .. }) =
            (Upkeep::new(budget, 2 * micros(o.lease), now), classes);
        Ok(Hands { takeover, peers, classes: names, repeats, cores, upkeep, rules })
    }

    /// Cores of a machine of a kind; those of the smallest where its kind is not known.
    pub(super) fn cores_of(&self, kind: Option<usize>) -> f64 {
        let known = kind.and_then(|k| self.cores.get(k)).copied();
        known.unwrap_or_else(|| self.cores.iter().copied().fold(f64::MAX, f64::min).min(1e6))
    }

    fn attempt(&self, now: Micros, r: &Request, job: &Job) -> Try {
        let index = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        Try {
            ask: r.ask,
            again: r.repeated,
            record: Record {
                rid: r.id,
                class: index(r.class),
                tenant: r.tenant.map(index),
                key: r.key,
                group: r.group,
                work_s: r.work_s,
                memory_mb: r.memory_mb,
                repeats: self.repeats.get(r.class).copied().unwrap_or(false),
                statement: r.ask.map(|_| job.statement.to_string()),
                deadline: now + r.budget,
                tried: Vec::new(),
                policy: self.rules.as_ref().map_or(0, |r| r.part.number()),
            },
        }
    }
}

fn pages(rows: &Rows) -> Pages {
    rows.iter().map(|b| b.bytes().to_vec()).collect()
}

/// Pages in buffers, as far as they fit: they came from buffers of the same size.
fn rows(pages: &Pages, pool: &Pool) -> Rows {
    let block = |page: &Vec<u8>| {
        let mut block: Block = pool.block();
        block.append(page);
        block
    };
    pages.iter().map(block).collect()
}

impl Node {
    /// What becomes of a request that is admitted: whether the decisions get it now.
    pub(super) fn on_hands(&mut self, now: Micros, request: &Request, job: &Job) -> Gate {
        let Some(hands) = &mut self.hands else { return Gate::Go };
        let attempt = hands.attempt(now, request, job);
        hands.takeover.arrives(now, attempt)
    }

    /// Whether an attempt may go out; one that may not is let go of.
    pub(super) fn may_send(&mut self, now: Micros, ticket: Ticket, executor: u32) -> bool {
        let Some(hands) = &mut self.hands else { return true };
        let may = hands.takeover.may_send(now, ticket.request);
        match may {
            true => hands.takeover.sent(now, ticket.request, executor),
            false => hands.takeover.moves.push_back(Move::LetGo(ticket.request)),
        }
        may
    }

    /// A request has its answer.
    pub(super) fn off_hands(&mut self, now: Micros, request: u64, answer: &Answer<Rows>) {
        let Some(hands) = self.hands.as_mut().filter(|h| h.takeover.follows(request)) else { return };
        let reply = match answer {
            Answer::Served(rows) if hands.takeover.keeps_result(request) => Reply::Served(pages(rows)),
            Answer::Served(_) => Reply::Served(Vec::new()),
            Answer::Refused(ms) => Reply::Refused(*ms),
            Answer::Failed => Reply::Failed,
        };
        hands.takeover.answered(now, request, reply);
    }

    /// A reply as the network holds it.
    pub(super) fn answer_of(&self, reply: Reply) -> Answer<Rows> {
        match reply {
            Reply::Served(pages) => Answer::Served(rows(&pages, &self.pool)),
            Reply::Refused(ms) => Answer::Refused(ms),
            Reply::Failed => Answer::Failed,
        }
    }

    /// A request that passed the gate could not be taken.
    pub(super) fn off_hands_unasked(&mut self, now: Micros, request: u64) {
        if let Some(hands) = &mut self.hands {
            hands.takeover.answered(now, request, Reply::Refused(0));
        }
    }

    /// The client of a request has left.
    pub(super) fn client_left(&mut self, now: Micros, request: u64) {
        if let Some(hands) = &mut self.hands {
            hands.takeover.left(now, request);
        }
    }

    /// A request whose client had left is over.
    pub(super) fn past(&mut self, now: Micros, request: u64, served: Option<Rows>, never_ran: bool) {
        let Some(hands) = self.hands.as_mut().filter(|h| h.takeover.follows(request)) else { return };
        let past = match (served, never_ran) {
            (Some(rows), _) => Past::Served(pages(&rows)),
            (None, true) => Past::NeverRan,
            (None, false) => Past::MayHaveRan,
        };
        hands.takeover.over(now, request, past);
    }

    /// Lets the record do what is due, before anything else of a turn and after all: a lease that ran out while
    /// this process stood still is over before it is acted on.
    pub(super) fn keep_hands(&mut self, now: Micros) {
        let Some(hands) = self.hands.as_mut().filter(|h| h.takeover.next_due() <= now) else { return };
        hands.takeover.tick(now);
        // What was lost with the time that has passed is known before anything else is done.
        self.keep_policy(now);
        self.move_hands(now);
    }

    /// What peers said, what comes of it, and what is said to them, until nothing is left.
    pub(super) fn move_hands(&mut self, now: Micros) {
        loop {
            let Some(hands) = &mut self.hands else { return };
            for (from, message) in std::mem::take(&mut hands.peers.heard) {
                hands.takeover.hears(now, from, message);
            }
            hands.takeover.flush(now);
            self.keep_policy(now);
            let Some(hands) = &mut self.hands else { return };
            for (to, message) in std::mem::take(&mut hands.takeover.fleet.messages) {
                hands.peers.send(to, &message, now);
            }
            hands.peers.flush(now, &self.poll);
            let Some(next) = hands.takeover.moves.pop_front() else { return };
            let orders = match next {
                Move::Admit(rid) => self.admit_recorded(now, rid),
                Move::Answer(rid, reply) => {
                    let answer = self.answer_of(reply);
                    self.dispatch.answer_held(rid, answer)
                }
                Move::Adopt(record) => self.adopt(now, &record),
                Move::LetGo(rid) => self.dispatch.let_go(now, rid),
            };
            self.settle(now, orders);
        }
    }

    /// Takes a request of a lost peer in hand; its result waits for its client.
    fn adopt(&mut self, now: Micros, record: &Record) -> Vec<Order<Rows>> {
        let Some(hands) = &mut self.hands else { return Vec::new() };
        let (class, statement) = (usize::from(record.class), record.statement.clone().unwrap_or_default());
        let Some(kind) = hands.classes.get(class).cloned() else { return Vec::new() };
        let budget = record.deadline.saturating_sub(now);
        let request = Request {
            id: record.rid,
            ask: None,
            class,
            tenant: record.tenant.map(usize::from),
            key: record.key,
            told: budget.max(1),
            budget,
            work_s: record.work_s,
            memory_mb: record.memory_mb,
            group: record.group,
            repeated: true,
        };
        self.jobs.insert(record.rid, (NOBODY, Job { kind, statement: statement.into() }));
        let under = hands.rules.as_ref().filter(|r| r.part.number() != record.policy);
        let under = under.and_then(|r| r.under(record.policy));
        match self.dispatch.adopt(now, &request, record.tried.len(), under) {
            Ok(orders) => orders,
            Err(e) => {
                tracing::warn!(
                    request = format_args!("{:016x}", record.rid),
                    error = e,
                    "fleet: not taken over"
                );
                self.jobs.remove(&record.rid);
                self.off_hands_unasked(now, record.rid);
                Vec::new()
            }
        }
    }

    /// Whether a machine gets nothing new, as the plan has it out for work.
    pub(super) fn held_back(&self, uid: &str) -> bool {
        self.hands.as_ref().is_some_and(|h| h.upkeep.holds_back(uid))
    }

    /// Since when a machine is back from work that it was out for, in milliseconds; 0 if it was not.
    pub(super) fn cold_ms(&self, uid: &str) -> u64 {
        self.hands.as_ref().map_or(0, |h| h.upkeep.cold_ms(uid))
    }

    /// At the end: what is still owned is given back at once.
    pub(super) fn leave_fleet(&mut self, now: Micros) {
        let Some(hands) = &mut self.hands else { return };
        hands.takeover.fleet.leave(now);
        for (to, message) in std::mem::take(&mut hands.takeover.fleet.messages) {
            hands.peers.send(to, &message, now);
        }
        hands.peers.flush(now, &self.poll);
    }

    pub(super) fn count_hands(&self) {
        let Some(hands) = &self.hands else { return };
        let (t, w) = (&hands.takeover.tally, &hands.peers.tally);
        tracing::info!(
            records = hands.takeover.fleet.ledger().map_or(0, |l| l.len()),
            leads = hands.takeover.fleet.leads(),
            recorded = t.recorded,
            unrecorded = t.unrecorded,
            claimed = t.claimed,
            adopted = t.adopted,
            joined = t.joined,
            answered = t.answered,
            let_go = t.let_go,
            overlaps = t.overlaps,
            dials = w.dials,
            bad_frames = w.bad_frames,
            dropped = w.dropped,
            written = w.written,
            "fleet counters"
        );
    }
}

impl Room for Hands {
    fn owns(&self, key: Key) -> bool {
        self.peers.owns(key)
    }

    fn next_due(&self) -> Option<Micros> {
        let own = self.takeover.next_due();
        [self.peers.next_due(), self.upkeep.next_due(), Some(own)].into_iter().flatten().min()
    }

    fn tick(&mut self, now: Micros, poll: &Poll) {
        self.peers.hello = fleet::wire::frame(&self.takeover.fleet.hello());
        self.peers.tick(now, poll);
    }
}
