//! The facade over the decisions, in blocking style: [`Dispatch::pick`] takes a request in,
//! [`Dispatch::report`] tells what happened, [`Dispatch::tick`] lets time pass; each returns what is to be
//! done, in order. It owns the gateway, its timers, and every open request with its attempts and deadline.
//!
//! The network's side sees the types of this module alone, never the gateway's events and actions.

use crate::api::{
    self, Action, Arrival, Effect, EngineId, Entry, Event, Finished, Group, ListKind, Micros, Outcome,
    Readiness, Settings, SettingsError,
};
pub use crate::codec::coordinator::executor_id;
use crate::{Gateway, must};
use lru::LruCache;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::num::NonZeroUsize;

/// An answer has to be seen before the client leaves, also when this process or its machine stood still for a
/// moment: all ends this much before, or this part of a shorter budget.
const MARGIN: Micros = 250_000;
const MARGIN_PART: Micros = 8;
/// A key rests at least this long after an attempt that was stopped or lost: the KILL has to arrive before the
/// next request of the key does, and they may go to different executors.
const KEY_REST: Micros = 100_000;
/// A budget may be this much above the class's whole deadline, for rounding; more is no budget.
const SLACK: Micros = 1_000_000;
/// Ids remembered after their answer: some 15 s of the busiest traffic, far longer than anything is under way.
const RECENT: NonZeroUsize = NonZeroUsize::new(8192).unwrap();
/// What a refusal tells a client to wait where the decisions name no time.
const BACKOFF_MS: u64 = 200;

/// An executor, by a number that comes from its uid alone.
pub type ExecutorId = EngineId;

/// One attempt of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The request.
    pub request: u64,
    /// The attempt, from 0.
    pub attempt: u32,
}

/// A request as a client sent it.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its id, never used twice.
    pub id: u64,
    /// The name that its client keeps over all tries (`ask`); only heeded where there are peers.
    pub ask: Option<u64>,
    /// Its class, an index.
    pub class: usize,
    /// Its tenant (`acct`), an index; `None` where none was told or the settings name no such one.
    pub tenant: Option<usize>,
    /// Its key, in classes that keep order.
    pub key: Option<u64>,
    /// How long the client waits in all, as it told.
    pub told: Micros,
    /// How long the client still waits.
    pub budget: Micros,
    /// Estimated work of all threads, in seconds.
    pub work_s: Option<f64>,
    /// Estimated memory in MB.
    pub memory_mb: Option<f64>,
    /// Its group of tables.
    pub group: u64,
    /// The client says that it asked before.
    pub repeated: bool,
}

/// An executor as the list has it.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Which executor.
    pub executor: ExecutorId,
    /// Its zone, an index.
    pub zone: usize,
    /// Its kind, an index.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// What it does.
    pub standing: Standing,
    /// Relative size.
    pub size: f64,
    /// Unix time of a late start.
    pub started: Option<Micros>,
    /// Share of the work beside others of its kind; `None` is the usual, 1.
    pub weight: Option<f64>,
}

/// What an executor's process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Takes requests.
    Up,
    /// Completes its work.
    Draining,
    /// Gone.
    Gone,
}

/// Why a list comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// As last known before the start.
    Restored,
    /// The whole list.
    Whole,
    /// What changed.
    Changes,
}

/// A load report.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Queries held.
    pub inflight: Option<f64>,
    /// Share of the cores that is busy.
    pub util: Option<f64>,
    /// Queries waiting for memory.
    pub queue: Option<f64>,
    /// Share of memory granted.
    pub memory: Option<f64>,
    /// Share of disks busy.
    pub disks: Option<f64>,
}

impl Load {
    /// The same figures as the decisions take them.
    fn report(self) -> api::Report {
        let Load { inflight, util, queue, memory, disks } = self;
        api::Report { util, inflight, queue, memory, disks }
    }
}

/// How an attempt ended; `R` is the result as the network holds it.
#[derive(Debug, Clone, PartialEq)]
pub enum End<R> {
    /// The whole result is here.
    Served(R),
    /// Turned away, it never ran.
    Full,
    /// It was over already and never ran.
    Void,
    /// An error; it may have run.
    Error,
    /// It never reached the executor whole.
    NeverSent,
    /// Its connection was lost before the executor said anything on it; it may have run.
    Lost,
    /// Its connection became of no further use: spoilt, cut off, mute or reset. It may have run, and that says
    /// nothing of the executor's health.
    Spoilt,
}

/// How a probe ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Echo {
    /// It runs, perhaps with a report.
    Up(Option<Load>),
    /// It says that it does not take requests.
    Down,
    /// No connection.
    Unreachable,
    /// The connection was lost, or was mute while others were not, which says nothing of the executor.
    Unknown,
    /// Nothing came in time.
    Silent,
}

/// Word on an attempt that is out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Word {
    /// Share done.
    Progress(f64),
    /// Megabytes missing.
    Spills(f64),
    /// It waits for memory or for a load.
    Waits,
}

/// What the network tells.
#[derive(Debug, Clone, PartialEq)]
pub enum Report<R> {
    /// An attempt is over; with the executor's load report where its answer carried one.
    Ended(Ticket, End<R>, Option<Load>),
    /// Word on an attempt.
    Noted(Ticket, Word),
    /// A probe is over, after so long.
    Probed(ExecutorId, Echo, Micros),
    /// The client of a request has left.
    Left(u64),
}

/// A final answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer<R> {
    /// The result.
    Served(R),
    /// Trying again is harmless, after so many milliseconds.
    Refused(u64),
    /// Failed, with no promise.
    Failed,
}

/// What the network has to do, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Order<R> {
    /// Send an attempt.
    Start {
        /// The attempt.
        ticket: Ticket,
        /// Where to.
        executor: ExecutorId,
        /// Memory granted in MB; 0 leaves it to the executor.
        memory_mb: f64,
        /// Priority, 0 to 3.
        priority: u8,
        /// When the dispatcher stops waiting.
        until: Micros,
    },
    /// Give an attempt up; nothing more is to be told of it.
    Stop(Ticket),
    /// A new priority for an attempt that is out.
    Boost(Ticket, u8),
    /// Probe an executor.
    Probe(ExecutorId),
    /// The one final answer of a request.
    Answer(u64, Answer<R>),
    /// A request whose client had left is over: its result, if it was served all the same, and whether it is
    /// certain that it never ran. Only told where that is followed.
    Past(u64, Option<R>, bool),
}

#[derive(Debug)]
struct Attempt {
    engine: EngineId,
    sent: Micros,
    /// How it ended; `None` while it is out.
    outcome: Option<Outcome>,
    priority: u8,
}

#[derive(Debug)]
struct Open<R> {
    arrived: Micros,
    deadline: Micros,
    /// Refusing it is harmless whatever ran.
    safe: bool,
    /// Answered, or the client has left.
    closed: bool,
    /// The client has left.
    left: bool,
    /// What was served after that.
    late: Option<R>,
    /// Attempts that others made before.
    before: usize,
    memory_mb: f64,
    priority: u8,
    attempts: Vec<Attempt>,
}

impl<R> Open<R> {
    fn over(&self) -> bool {
        self.closed && self.attempts.iter().all(|a| a.outcome.is_some())
    }

    /// No attempt can have run.
    fn never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.outcome.is_some_and(Outcome::never_ran))
    }
}

/// The fleet as the decisions see it, in cores.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Fleet {
    /// Of all executors that the list has as up.
    pub listed: f64,
    /// Of those that are healthy.
    pub usable: f64,
    /// Of those, each counted by how warm it is.
    pub warm: f64,
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests taken.
    pub taken: u64,
    /// Answered with a result.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Clients that left before their answer.
    pub left: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts that ran into their deadline.
    pub expired: u64,
    /// Attempts lost with their connection.
    pub lost: u64,
    /// Attempts that never reached an executor.
    pub never_sent: u64,
    /// Probes sent.
    pub probes: u64,
}

/// What has to be known of a class here.
#[derive(Debug, Clone, Copy)]
struct Class {
    /// Refusing is harmless whatever ran.
    safe: bool,
    /// The longest budget that can be meant.
    most_budget: Micros,
}

/// The dispatcher's decisions, and what is open.
pub struct Dispatch<R> {
    gateway: Gateway,
    classes: Vec<Class>,
    most_held: usize,
    /// Ids of late, so that none is taken twice.
    recent: LruCache<u64, ()>,
    open: BTreeMap<u64, Open<R>>,
    /// Requests that wait for word of the fleet before the decisions get them.
    held: BTreeMap<u64, Request>,
    /// What becomes of requests whose clients left is told.
    follows: bool,
    most_attempts: usize,
    deadlines: BTreeSet<(Micros, u64)>,
    wakes: BinaryHeap<Reverse<(Micros, u64)>>,
    orders: Vec<Order<R>>,
    /// Counters.
    pub tally: Tally,
}

impl<R> Dispatch<R> {
    /// One that knows its settings and no executor.
    pub fn new(mut settings: Settings, most_held: usize, seed: u64) -> Result<Dispatch<R>, SettingsError> {
        settings.key_quiet = Some(settings.key_quiet.unwrap_or(0).max(KEY_REST));
        let class = |c: &api::Class| Class {
            safe: matches!(c.effect, Effect::Safe | Effect::Keyed { group: Group::All, .. }),
            most_budget: c.deadline + SLACK,
        };
        let classes = settings.classes.iter().map(class).collect();
        let most_attempts = settings.max_attempts as usize;
        Ok(Dispatch {
            gateway: Gateway::new(settings, seed)?,
            classes,
            most_held,
            recent: LruCache::new(RECENT),
            open: BTreeMap::new(),
            held: BTreeMap::new(),
            follows: false,
            most_attempts,
            deadlines: BTreeSet::new(),
            wakes: BinaryHeap::new(),
            orders: Vec::new(),
            tally: Tally::default(),
        })
    }

    /// The fleet now.
    pub fn fleet(&self, now: Micros) -> Fleet {
        let [listed, usable, warm] = self.gateway.fleet(now);
        Fleet { listed, usable, warm }
    }

    /// Whether a request can be taken at all: its class, its budget, and an id that was not used.
    fn acceptable(&mut self, request: &Request) -> Result<Class, &'static str> {
        let class = *self.classes.get(request.class).ok_or("unknown class")?;
        if request.told == 0 || request.told > class.most_budget {
            return Err("a budget that no client of this class has");
        }
        // Ids are new with every request. One that comes again, open or not, is nobody's retry: it could run
        // what must not run twice, and its answer could be taken for the other's.
        if self.recent.put(request.id, ()).is_some() || self.open.contains_key(&request.id) {
            return Err("this id was used before");
        }
        Ok(class)
    }

    /// Cores that work, of all executors on the list, as far as they were heard.
    pub fn busy(&self, now: Micros) -> f64 {
        self.gateway.occupancy * self.fleet(now).listed
    }

    /// Takes a request in and refuses it in the same breath, before any decision: it never ran, so that refusing
    /// is harmless. Errors are those of [`Dispatch::pick`].
    pub fn turn_away(&mut self, request: &Request) -> Result<(), &'static str> {
        self.acceptable(request)?;
        self.tally.taken += 1;
        self.tally.refused += 1;
        Ok(())
    }

    /// Executors on the list, and of these how many are avoided now: draining, silent or ejected.
    pub fn avoided(&self, now: Micros) -> (usize, usize) {
        self.gateway.avoided(now)
    }

    /// Requests whose clients still wait.
    pub fn waiting(&self) -> usize {
        self.open.values().filter(|o| !o.closed).count()
    }

    /// When [`Dispatch::tick`] has something to do next.
    pub fn next_due(&self) -> Option<Micros> {
        let wake = self.wakes.peek().map(|Reverse((t, _))| *t);
        let deadline = self.deadlines.first().map(|(t, _)| *t);
        wake.into_iter().chain(deadline).min()
    }

    /// News of the executors.
    pub fn members(&mut self, now: Micros, news: News, members: &[Member]) -> Vec<Order<R>> {
        let kind = match news {
            News::Restored => ListKind::Restored,
            News::Whole => ListKind::Replace,
            News::Changes => ListKind::Update,
        };
        let entry = |m: &Member| Entry {
            engine: m.executor,
            zone: m.zone,
            kind: m.kind,
            cell: m.cell,
            readiness: match m.standing {
                Standing::Up => Readiness::Active,
                Standing::Draining => Readiness::Leaving,
                Standing::Gone => Readiness::Left,
            },
            rating: m.size,
            started: m.started,
            weight: m.weight,
        };
        self.run(now, Event::List { kind, entries: members.iter().map(entry).collect() })
    }

    /// Takes a request in: it is sent, held or answered by what is returned here or later. An id that is
    /// still open is an error, as its answer could not be told from the other's.
    pub fn pick(&mut self, now: Micros, request: &Request) -> Result<Vec<Order<R>>, &'static str> {
        self.adopt(now, request, 0)
    }

    /// The same for a request that a lost dispatcher had in hand and tried so often already.
    pub fn adopt(
        &mut self,
        now: Micros,
        request: &Request,
        before: usize,
    ) -> Result<Vec<Order<R>>, &'static str> {
        let full = self.take(now, request, before)?;
        Ok(if full { std::mem::take(&mut self.orders) } else { self.run(now, arrival(request)) })
    }

    /// Takes a request in that the decisions get later, by [`Dispatch::admit`]; it has its deadline meanwhile.
    pub fn hold(&mut self, now: Micros, request: &Request) -> Result<Vec<Order<R>>, &'static str> {
        if !self.take(now, request, 0)? {
            self.held.insert(request.id, request.clone());
        }
        Ok(std::mem::take(&mut self.orders))
    }

    /// A request that was held goes to the decisions.
    pub fn admit(&mut self, now: Micros, id: u64) -> Vec<Order<R>> {
        let Some(request) = self.held.remove(&id) else { return Vec::new() };
        match self.open.get(&id).filter(|o| !o.closed).map(|o| o.deadline) {
            Some(deadline) if now < deadline => {
                let mut event = arrival(&request);
                if let Event::Arrival(a) = &mut event {
                    a.grace = deadline - now;
                }
                self.run(now, event)
            }
            _ => Vec::new(),
        }
    }

    /// A request that was held has its answer.
    pub fn answer_held(&mut self, id: u64, answer: Answer<R>) -> Vec<Order<R>> {
        if self.held.remove(&id).is_some() && self.open.get(&id).is_some_and(|o| !o.closed) {
            self.answer(id, answer);
            self.forget(id);
        }
        std::mem::take(&mut self.orders)
    }

    /// The right to act on a request is lost: what is out of it is called off, and its client told.
    pub fn let_go(&mut self, now: Micros, id: u64) -> Vec<Order<R>> {
        self.expire(now, id)
    }

    /// From now on [`Order::Past`] tells what becomes of requests whose clients left.
    pub fn follow_left(&mut self) {
        self.follows = true;
    }

    /// Takes a request in; whether it was refused at once, as too many are open.
    fn take(&mut self, now: Micros, request: &Request, before: usize) -> Result<bool, &'static str> {
        let Class { safe, .. } = self.acceptable(request)?;
        self.tally.taken += 1;
        let open = Open {
            arrived: now,
            deadline: now + grace(request),
            safe,
            closed: false,
            left: false,
            late: None,
            before,
            memory_mb: 0.0,
            priority: 1,
            attempts: Vec::new(),
        };
        let full = self.waiting() >= self.most_held;
        self.deadlines.insert((open.deadline, request.id));
        self.open.insert(request.id, open);
        if full {
            self.answer(request.id, Answer::Refused(BACKOFF_MS));
            self.forget(request.id);
        }
        Ok(full)
    }

    /// What the network has to tell.
    pub fn report(&mut self, now: Micros, report: Report<R>) -> Vec<Order<R>> {
        match report {
            Report::Ended(ticket, end, load) => self.ended(now, ticket, end, load),
            Report::Noted(t, word) => {
                let Some(engine) = self.out(t).map(|a| a.engine) else { return Vec::new() };
                let note = match word {
                    Word::Progress(x) => api::Note::Progress(x),
                    Word::Spills(x) => api::Note::Spill(x),
                    Word::Waits => api::Note::Waits,
                };
                self.run(now, Event::Noted { query: t.request, attempt: t.attempt, engine, note })
            }
            Report::Probed(engine, echo, latency) => {
                let (outcome, load) = match echo {
                    Echo::Up(load) => (Outcome::Ok, load),
                    Echo::Down => (Outcome::Error, None),
                    Echo::Unreachable => (Outcome::ConnectFailed, None),
                    Echo::Unknown => (Outcome::Cancelled, None),
                    Echo::Silent => (Outcome::Timeout, None),
                };
                let report = load.map(Load::report);
                self.run(now, Event::Probed { engine, outcome, latency, report })
            }
            Report::Left(id) => match self.open.get_mut(&id) {
                Some(o) if !o.closed => {
                    (o.closed, o.left) = (true, true);
                    self.held.remove(&id);
                    self.tally.left += 1;
                    let (waited, left) = (now.saturating_sub(o.arrived), o.deadline.saturating_sub(now));
                    let (waited, left) = (waited / 1000, left / 1000);
                    let request = format_args!("{id:016x}");
                    tracing::info!(request, waited_ms = waited, left_ms = left, "client left");
                    let mut orders = self.run(now, Event::HungUp { query: id });
                    self.forget(id);
                    orders.append(&mut self.orders);
                    orders
                }
                _ => Vec::new(),
            },
        }
    }

    /// Lets time pass: timers, and requests whose time is over.
    pub fn tick(&mut self, now: Micros) -> Vec<Order<R>> {
        let mut orders = Vec::new();
        while let Some((_, token)) = self.wakes.peek().map(|Reverse(w)| *w).filter(|(t, _)| *t <= now) {
            self.wakes.pop();
            orders.append(&mut self.run(now, Event::Timer { token }));
        }
        while let Some((at, id)) = self.deadlines.first().copied().filter(|(t, _)| *t <= now) {
            self.deadlines.remove(&(at, id));
            orders.append(&mut self.expire(now, id));
        }
        orders
    }

    /// Gives every request that is open its answer now: refused where that is harmless, else failed.
    pub fn give_up(&mut self, now: Micros) -> Vec<Order<R>> {
        let waiting: Vec<u64> = self.open.iter().filter(|(_, o)| !o.closed).map(|(id, _)| *id).collect();
        waiting.into_iter().flat_map(|id| self.close(now, id)).collect()
    }

    fn out(&mut self, t: Ticket) -> Option<&mut Attempt> {
        let attempt = self.open.get_mut(&t.request)?.attempts.get_mut(t.attempt as usize)?;
        attempt.outcome.is_none().then_some(attempt)
    }

    fn ended(&mut self, now: Micros, t: Ticket, end: End<R>, load: Option<Load>) -> Vec<Order<R>> {
        // An attempt may end while the order to stop it is on its way: the stop was told, and once is enough.
        let Some(engine) = self.out(t).map(|a| a.engine) else { return Vec::new() };
        let outcome = match end {
            End::Served(result) => {
                match self.open.get_mut(&t.request) {
                    Some(o) if !o.closed => self.answer(t.request, Answer::Served(result)),
                    Some(o) if o.left && self.follows => o.late = Some(result),
                    _ => {}
                }
                Outcome::Ok
            }
            End::Full => Outcome::Full,
            End::Void => Outcome::Moot,
            End::Error => Outcome::Error,
            End::NeverSent => {
                self.tally.never_sent += 1;
                Outcome::ConnectFailed
            }
            End::Lost | End::Spoilt => {
                self.tally.lost += 1;
                tracing::info!(
                    request = format_args!("{:016x}", t.request),
                    attempt = t.attempt,
                    "attempt lost with its connection"
                );
                // A time-out is what the decisions know that may have run and blames nobody.
                if matches!(end, End::Lost) { Outcome::Reset } else { Outcome::Timeout }
            }
        };
        let event = self.finish(now, t, outcome, load);
        let whole = matches!(&event, Some(Event::Finished(f)) if f.engine == engine);
        must!(whole, "an attempt that was out has no end to tell");
        let mut orders = event.map_or_else(Vec::new, |e| self.run(now, e));
        self.forget(t.request);
        orders.append(&mut self.orders);
        orders
    }

    /// The request's time is over: what is out is given up and has timed out.
    fn expire(&mut self, now: Micros, id: u64) -> Vec<Order<R>> {
        let Some(open) = self.open.get(&id) else { return Vec::new() };
        let out: Vec<u32> =
            (0..).zip(&open.attempts).filter(|(_, a)| a.outcome.is_none()).map(|(n, _)| n).collect();
        let mut orders = Vec::new();
        for attempt in out {
            let ticket = Ticket { request: id, attempt };
            self.tally.expired += 1;
            self.orders.push(Order::Stop(ticket));
            if let Some(event) = self.finish(now, ticket, Outcome::Timeout, None) {
                orders.append(&mut self.run(now, event));
            }
        }
        orders.append(&mut self.close(now, id));
        self.forget(id);
        orders.append(&mut self.orders);
        orders
    }

    /// Ends a request whose answer the decisions did not give.
    fn close(&mut self, now: Micros, id: u64) -> Vec<Order<R>> {
        let Some(open) = self.open.get(&id).filter(|o| !o.closed) else { return Vec::new() };
        let harmless = open.safe || open.never_ran();
        self.held.remove(&id);
        self.answer(id, if harmless { Answer::Refused(BACKOFF_MS) } else { Answer::Failed });
        let orders = self.run(now, Event::HungUp { query: id });
        self.forget(id);
        orders
    }

    /// Notes an attempt's end; the event that tells of it.
    fn finish(&mut self, now: Micros, t: Ticket, outcome: Outcome, load: Option<Load>) -> Option<Event> {
        let done = self.open.get(&t.request)?.closed;
        let attempt = self.out(t)?;
        attempt.outcome = Some(outcome);
        let latency = now.saturating_sub(attempt.sent);
        let (query, attempt, engine) = (t.request, t.attempt, attempt.engine);
        let report = load.map(Load::report);
        let finished = Finished { query, attempt, engine, done, outcome, latency, bill: None, report };
        Some(Event::Finished(finished))
    }

    /// The one place that gives a final answer.
    fn answer(&mut self, id: u64, answer: Answer<R>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if !must!(!open.closed, "a second answer") {
            return;
        }
        open.closed = true;
        match &answer {
            Answer::Served(_) => self.tally.served += 1,
            Answer::Refused(_) => self.tally.refused += 1,
            Answer::Failed => self.tally.failed += 1,
        }
        self.orders.push(Order::Answer(id, answer));
    }

    fn forget(&mut self, id: u64) {
        if self.open.get(&id).is_some_and(Open::over)
            && let Some(open) = self.open.remove(&id)
        {
            self.deadlines.remove(&(open.deadline, id));
            if open.left && self.follows {
                let never_ran = open.never_ran();
                self.orders.push(Order::Past(id, open.late, never_ran));
            }
        }
    }

    /// Hands an event to the decisions, and on what they want done until nothing is left.
    fn run(&mut self, now: Micros, event: Event) -> Vec<Order<R>> {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.gateway.handle(now, event, &mut actions);
            for action in actions {
                self.act(now, action, &mut events);
            }
        }
        std::mem::take(&mut self.orders)
    }

    fn act(&mut self, now: Micros, action: Action, events: &mut VecDeque<Event>) {
        match action {
            Action::Terms { query, memory_mb, priority } => {
                let Some(open) = self.open.get_mut(&query) else { return };
                (open.memory_mb, open.priority) = (memory_mb, priority);
                for (n, a) in (0..).zip(&mut open.attempts) {
                    if a.outcome.is_none() && a.priority != priority {
                        a.priority = priority;
                        self.orders.push(Order::Boost(Ticket { request: query, attempt: n }, priority));
                    }
                }
            }
            Action::Send { query, engine, timeout } => {
                let Some(open) = self.open.get_mut(&query).filter(|o| !o.closed) else {
                    must!(false, "a send for a request that is over");
                    return;
                };
                if open.before + open.attempts.len() >= self.most_attempts && open.before > 0 {
                    // With those of the dispatcher that was lost there were enough.
                    let (attempt, outcome) = (open.attempts.len() as u32, Some(Outcome::Moot));
                    open.attempts.push(Attempt { engine, sent: now, outcome, priority: open.priority });
                    let (done, latency, bill, report) = (false, 0, None, None);
                    let outcome = Outcome::Moot;
                    events.push_back(Event::Finished(Finished {
                        query,
                        attempt,
                        engine,
                        done,
                        outcome,
                        latency,
                        bill,
                        report,
                    }));
                    return;
                }
                self.tally.attempts += 1;
                let ticket = Ticket { request: query, attempt: open.attempts.len() as u32 };
                open.attempts.push(Attempt { engine, sent: now, outcome: None, priority: open.priority });
                self.orders.push(Order::Start {
                    ticket,
                    executor: engine,
                    memory_mb: open.memory_mb,
                    priority: open.priority,
                    until: timeout.map_or(open.deadline, |t| open.deadline.min(now + t)),
                });
            }
            Action::Cancel { query, attempt } => {
                let ticket = Ticket { request: query, attempt };
                if let Some(event) = self.finish(now, ticket, Outcome::Cancelled, None) {
                    self.orders.push(Order::Stop(ticket));
                    events.push_back(event);
                    self.forget(query);
                }
            }
            Action::Refuse { query, retry_after } => {
                self.answer(query, Answer::Refused(retry_after.map_or(BACKOFF_MS, |t| t.div_ceil(1000))));
                self.forget(query);
            }
            Action::Fail { query } => {
                self.answer(query, Answer::Failed);
                self.forget(query);
            }
            Action::Probe { engine } => {
                self.tally.probes += 1;
                self.orders.push(Order::Probe(engine));
            }
            Action::Wake { token, after } => self.wakes.push(Reverse((now + after, token))),
            Action::Log(line) => tracing::info!("{line}"),
            // The list is pushed here, idle connections end by their own clock, and there are no peers.
            Action::Watch
            | Action::Unwatch
            | Action::ReadList
            | Action::CloseIdle { .. }
            | Action::Tell { .. } => {}
        }
    }
}

/// How long a request may take here, so that its answer is seen before its client leaves.
fn grace(request: &Request) -> Micros {
    request.budget.saturating_sub(MARGIN.min(request.budget / MARGIN_PART)).max(1)
}

/// A request as the decisions get it.
fn arrival(request: &Request) -> Event {
    Event::Arrival(Arrival {
        query: request.id,
        class: request.class,
        tenant: request.tenant,
        key: request.key,
        grace: grace(request),
        estimate_s: request.work_s.filter(|e| e.is_finite() && *e > 0.0),
        memory_mb: request.memory_mb.filter(|e| e.is_finite() && *e > 0.0),
        group: request.group,
        repeated: request.repeated,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::Env;

    const SETTINGS: &str = r#"{"balancers":1,"kinds":["k"],"domain":{"kindCores":[8],"parallelism":[1]},
        "permissions":{"cancel":true,"maxAttempts":3},
        "requestClasses":[{"name":"load","promise":5,"hardLimit":20,"effect":"non_idempotent","keepOrder":true}],
        "rules":{"stopSendingWithin":2,"coldFrom":0.3,"rampTime":10,"fall":2,"fallMultiple":3}}"#;
    const BUDGET: Micros = 4_000_000;

    fn member(executor: ExecutorId, standing: Standing) -> Member {
        let (zone, kind, cell, size) = (0, 0, 0, 1.0);
        Member { executor, zone, kind, cell, standing, size, started: None, weight: None }
    }

    fn dispatch() -> Dispatch<()> {
        let env: Env = serde_json::from_str(SETTINGS).unwrap();
        let mut d = Dispatch::new(env.settings().unwrap().0, 2, 7).unwrap();
        d.members(1_000, News::Restored, &[member(5, Standing::Up)]);
        d
    }

    fn pick(d: &mut Dispatch<()>, now: Micros, id: u64) -> Vec<Order<()>> {
        let request = Request {
            id,
            ask: None,
            class: 0,
            tenant: None,
            key: None,
            told: BUDGET,
            budget: BUDGET,
            work_s: None,
            memory_mb: None,
            group: 0,
            repeated: false,
        };
        d.pick(now, &request).unwrap()
    }

    fn answers(orders: &[Order<()>]) -> Vec<&Answer<()>> {
        orders.iter().filter_map(|o| if let Order::Answer(_, a) = o { Some(a) } else { None }).collect()
    }

    // Homes of table groups are drawn by the engine's number: it has to be alike everywhere and for good.
    #[test]
    fn an_executors_number_comes_from_its_uid_alone() {
        assert_eq!(executor_id("s-00c41f7a"), 0x00c4_1f7a);
        assert_eq!(executor_id("toy-1"), executor_id("toy-1"));
        assert_ne!(executor_id("toy-1"), executor_id("toy-2"));
        assert_ne!(executor_id("s-00c41f7a9"), 0x00c4_1f7a);
    }

    // A day was lost to one answer that came after its client had left: the end has to come well before the
    // client's, and with it one answer, the right one, and the word to stop what is out.
    #[test]
    fn a_request_ends_once_and_well_before_its_client_leaves() {
        let mut d = dispatch();
        let orders = pick(&mut d, 2_000, 1);
        assert!(matches!(orders[..], [Order::Start { ticket: Ticket { request: 1, attempt: 0 }, .. }]));
        let mut given = Vec::new();
        while d.waiting() > 0 {
            let now = d.next_due().unwrap();
            assert!(now + 200_000 < 2_000 + BUDGET, "the end comes too near to the client's");
            given.extend(d.tick(now));
        }
        assert!(given.contains(&Order::Stop(Ticket { request: 1, attempt: 0 })));
        assert_eq!(answers(&given), [&Answer::Failed]);
        assert!(d.open.is_empty() && d.deadlines.is_empty());
    }

    // What the machine allows to be held is refused beyond that, and an id that is open is not taken twice.
    #[test]
    fn what_is_too_much_is_refused_before_a_decision() {
        let mut d = dispatch();
        pick(&mut d, 2_000, 1);
        pick(&mut d, 2_000, 2);
        assert_eq!(answers(&pick(&mut d, 2_000, 3)), [&Answer::Refused(BACKOFF_MS)]);
        let again = Request {
            id: 1,
            ask: None,
            class: 0,
            tenant: None,
            key: None,
            told: 1,
            budget: 1,
            work_s: None,
            memory_mb: None,
            group: 0,
            repeated: false,
        };
        assert!(d.pick(2_000, &again).is_err());
        // A client that left is owed nothing, also when an answer or the end comes later.
        assert!(answers(&d.report(3_000, Report::Left(1))).is_empty());
        let end = Report::Ended(Ticket { request: 1, attempt: 0 }, End::Served(()), None);
        assert!(answers(&d.report(4_000, end)).is_empty() && !d.open.contains_key(&1));
        // A connection may be lost with an attempt whose stop is being carried out: told twice is told once.
        assert!(
            d.report(4_000, Report::Ended(Ticket { request: 1, attempt: 0 }, End::Lost, None)).is_empty()
        );
        assert_eq!(answers(&d.give_up(5_000)), [&Answer::Failed]);
    }

    // Two loads of one key must not run side by side: the next one waits until the KILL of the one before
    // has had time to arrive.
    #[test]
    fn a_key_rests_after_an_attempt_that_was_lost() {
        let mut d = dispatch();
        let keyed = |id, budget| {
            let key = Some(9);
            Request {
                id,
                ask: None,
                class: 0,
                tenant: None,
                key,
                told: budget,
                budget,
                work_s: None,
                memory_mb: None,
                group: 0,
                repeated: false,
            }
        };
        assert_eq!(d.pick(2_000, &keyed(1, BUDGET)).unwrap().len(), 1);
        assert!(d.pick(3_000, &keyed(2, 4 * BUDGET)).unwrap().is_empty(), "the second waits for its turn");
        let ended = Report::Ended(Ticket { request: 1, attempt: 0 }, End::Lost, None);
        let orders = d.report(4_000, ended);
        assert_eq!(answers(&orders), [&Answer::Failed]);
        let starts = |orders: &[Order<()>]| orders.iter().any(|o| matches!(o, Order::Start { .. }));
        assert!(!starts(&orders) && !starts(&d.tick(4_000 + KEY_REST - 1)));
        let later: Vec<_> = (1..9).flat_map(|n| d.tick(4_000 + KEY_REST + n * 100_000)).collect();
        assert!(starts(&later));
    }

    // Motores of a list are told without a time of start: one that appears is cold from then on, one that only
    // changes its weight or comes back in the middle of its drain is what it was.
    #[test]
    fn a_new_member_is_cold_and_a_changed_one_is_not() {
        let mut d = dispatch();
        let member = |executor, standing, weight| Member { weight, ..member(executor, standing) };
        for (at, standing, weight) in [
            (2_000, Standing::Up, Some(2.0)),
            (3_000, Standing::Draining, None),
            (4_000, Standing::Up, Some(0.5)),
        ] {
            d.members(at, News::Changes, &[member(5, standing, weight), member(6, Standing::Up, weight)]);
        }
        let cold: Vec<_> = d.gateway.engines.iter().map(|e| (e.entry.engine, e.cold_since)).collect();
        assert_eq!(cold, [(5, None), (6, Some(2_000))]);
    }

    // Engines are replaced all day. Those that went were counted for ever, which skewed the draw, and their table
    // grew; an attempt that is still out on one keeps its place.
    #[test]
    fn engines_that_went_are_forgotten_once_nothing_is_out_on_them() {
        let mut d = dispatch();
        pick(&mut d, 2_000, 1);
        for n in 5..60 {
            let change = [member(n, Standing::Gone), member(n + 1, Standing::Up)];
            d.members(u64::from(n) * 1_000, News::Changes, &change);
        }
        let left: Vec<_> = d.gateway.engines.iter().map(|e| e.entry.engine).collect();
        assert_eq!(left, [5, 60]);
        let end = Report::Ended(Ticket { request: 1, attempt: 0 }, End::Served(()), None);
        assert_eq!(answers(&d.report(70_000, end)), [&Answer::Served(())]);
        d.members(80_000, News::Changes, &[member(61, Standing::Up)]);
        let left: Vec<_> = d.gateway.engines.iter().map(|e| e.entry.engine).collect();
        assert_eq!(left, [60, 61]);
    }
}
