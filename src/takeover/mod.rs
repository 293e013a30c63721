//! Work in hand that survives its dispatcher: which requests are on the fleet's record, who may act on them, and
//! what becomes of those whose owner was lost. Sans-I/O; the record itself is the [`fleet`] crate's.
//!
//! A request is known over all tries of its client by its `ask`. What must not run twice is on record before it
//! is sent; what may repeat is put on record beside being sent, and only where a client could come back for it.
//! A try that finds its ask on record waits for what comes of that: it never runs beside it.

#[cfg(test)]
mod tests;

use crate::api::Micros;
use fleet::ledger::{End, Record};
use fleet::wire::Message;
use fleet::{Fleet, Holder, News, Part, Peer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The pages of a result.
pub type Pages = Vec<Vec<u8>>;

/// What bounds it, besides the fleet's own terms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The longest statement kept on record, in bytes: a longer one is not sent again by another.
    pub statement: usize,
    /// The largest result of what must not run twice that is kept for tries that come back, in bytes.
    pub result: usize,
    /// Requests of lost peers in hand, and results that wait for their clients, each at most.
    pub adopted: usize,
    /// Most attempts for a request, by all dispatchers together.
    pub attempts: usize,
    /// What a refusal for want of a lease tells a client to wait, in milliseconds.
    pub backoff_ms: u64,
    /// How often the result of a request that another has in hand is asked for.
    pub fetch: Micros,
}

/// A request as it arrives, as far as it matters here.
#[derive(Debug, Clone, PartialEq)]
pub struct Try {
    /// The name that its client keeps over all tries, where it has one.
    pub ask: Option<u64>,
    /// Its client says that it asked before.
    pub again: bool,
    /// What would be on record of it.
    pub record: Record,
}

/// A final answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The result.
    Served(Pages),
    /// Trying again is harmless, after so many milliseconds.
    Refused(u64),
    /// Failed; it may have run.
    Failed,
}

/// What to do with a request that arrives.
#[derive(Debug, Clone, PartialEq)]
pub enum Gate {
    /// It goes to the decisions.
    Go,
    /// It waits; a [`Move`] says how it goes on.
    Hold,
    /// It has its answer.
    Answer(Reply),
}

/// What is to be done, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Move {
    /// A request that waited goes to the decisions.
    Admit(u64),
    /// A request that waited has its answer.
    Answer(u64, Reply),
    /// A request of a lost peer goes to the decisions, with no client here.
    Adopt(Record),
    /// The right to act on this request is lost: what is out of it is called off, and its client told.
    LetGo(u64),
}

/// What became of a request whose client had left, once none of its attempts is out.
#[derive(Debug, Clone, PartialEq)]
pub enum Past {
    /// It was served.
    Served(Pages),
    /// It never ran.
    NeverRan,
    /// It may have run.
    MayHaveRan,
}

#[derive(Debug, Clone, PartialEq)]
enum Stage {
    /// The record is asked to be opened for the first that waits.
    Opening,
    /// In the hands of the decisions here.
    Mine {
        rid: u64,
        repeats: bool,
        /// No client here has it.
        adopted: bool,
        /// The lease that it was taken under is over.
        fenced: bool,
    },
    /// Served with no client here, and kept until one comes.
    Parked { pages: Pages, until: Micros },
    /// In another's hands.
    Theirs { fetch_at: Micros },
}

#[derive(Debug, Clone, PartialEq)]
struct Waiting {
    rid: u64,
    attempt: Try,
}

#[derive(Debug, Clone, PartialEq)]
struct Local {
    stage: Stage,
    /// Tries of it that wait here.
    waiting: VecDeque<Waiting>,
    /// Peers that want its result.
    wanted: BTreeSet<Peer>,
}

/// Counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests that were put on record.
    pub recorded: u64,
    /// Requests that could not be.
    pub unrecorded: u64,
    /// Requests of lost peers that went to this one.
    pub claimed: u64,
    /// Of these, sent again.
    pub adopted: u64,
    /// Tries that found their ask on record.
    pub joined: u64,
    /// Of these, answered from it or by another dispatcher.
    pub answered: u64,
    /// Requests given up with a lease.
    pub let_go: u64,
    /// Tries of one ask that ran here and elsewhere, as the second came before the first was on record.
    pub overlaps: u64,
}

/// Work in hand.
pub struct Takeover {
    /// The fleet.
    pub fleet: Fleet,
    bounds: Bounds,
    local: BTreeMap<u64, Local>,
    /// The ask of each request that the decisions have or that waits.
    asks: BTreeMap<u64, u64>,
    adopted: usize,
    /// The plan of machines that are taken out for work has changed since this was last asked.
    pub planned: bool,
    /// The same of what all admit requests by, or this peer's lease.
    pub ruled: bool,
    /// When something that is another's, or kept for a client, is to be looked at; some may no longer be.
    due: BTreeSet<(Micros, u64)>,
    /// What is to be done.
    pub moves: VecDeque<Move>,
    /// Counters.
    pub tally: Tally,
}

impl Takeover {
    /// Nothing in hand.
    pub fn new(fleet: Fleet, bounds: Bounds) -> Takeover {
        Takeover {
            fleet,
            bounds,
            local: BTreeMap::new(),
            asks: BTreeMap::new(),
            adopted: 0,
            planned: false,
            ruled: false,
            due: BTreeSet::new(),
            moves: VecDeque::new(),
            tally: Tally::default(),
        }
    }

    // ---- Requests ----------------------------------------------------------------------------------

    /// A request arrives.
    pub fn arrives(&mut self, now: Micros, mut attempt: Try) -> Gate {
        let (rid, repeats) = (attempt.record.rid, attempt.record.repeats);
        // Without a name nobody can come back for it: what may repeat needs no record then.
        let ask = match attempt.ask {
            Some(ask) => ask,
            None if repeats => return Gate::Go,
            None => rid,
        };
        if attempt.record.statement.as_ref().is_some_and(|s| !repeats || s.len() > self.bounds.statement) {
            attempt.record.statement = None;
        }
        if self.fleet.holds(now).is_none() {
            return if repeats { self.unrecorded(Gate::Go) } else { self.unrecorded(self.later()) };
        }
        if let Some(reply) = self.fleet.ledger().and_then(|l| l.ended(ask)).map(reply) {
            self.tally.joined += 1;
            self.tally.answered += 1;
            return Gate::Answer(reply);
        }
        if let Some(local) = self.local.get_mut(&ask) {
            self.tally.joined += 1;
            if let Stage::Parked { pages, .. } = &mut local.stage {
                let pages = std::mem::take(pages);
                self.local.remove(&ask);
                self.adopted = self.adopted.saturating_sub(1);
                self.fleet.close(now, ask, End::Gone);
                self.tally.answered += 1;
                return Gate::Answer(Reply::Served(pages));
            }
            self.asks.insert(rid, ask);
            local.waiting.push_back(Waiting { rid, attempt });
            return Gate::Hold;
        }
        if repeats && !attempt.again {
            return match self.fleet.open(now, ask, attempt.record, false) {
                true => {
                    self.keep(ask, rid, true, false);
                    self.tally.recorded += 1;
                    Gate::Go
                }
                false => self.unrecorded(Gate::Go),
            };
        }
        // A young fleet may follow one that lost its record, and with it that of this one.
        if !repeats && attempt.again && !self.fleet.vouches(now) && attempt.ask.is_some() {
            return self.unrecorded(self.later());
        }
        self.fleet.open(now, ask, attempt.record.clone(), true);
        self.asks.insert(rid, ask);
        let waiting = VecDeque::from([Waiting { rid, attempt }]);
        self.local.insert(ask, Local { stage: Stage::Opening, waiting, wanted: BTreeSet::new() });
        Gate::Hold
    }

    fn later(&self) -> Gate {
        Gate::Answer(Reply::Refused(self.bounds.backoff_ms))
    }

    fn unrecorded(&mut self, gate: Gate) -> Gate {
        self.tally.unrecorded += 1;
        gate
    }

    fn keep(&mut self, ask: u64, rid: u64, repeats: bool, adopted: bool) {
        self.asks.insert(rid, ask);
        let local = self.local.entry(ask).or_insert_with(|| Local {
            stage: Stage::Opening,
            waiting: VecDeque::new(),
            wanted: BTreeSet::new(),
        });
        local.stage = Stage::Mine { rid, repeats, adopted, fenced: false };
    }

    /// Whether an attempt of a request may go out now. One that may not is to be let go.
    pub fn may_send(&self, now: Micros, rid: u64) -> bool {
        let Some(local) = self.asks.get(&rid).and_then(|a| self.local.get(a)) else { return true };
        match local.stage {
            Stage::Mine { fenced, .. } => !fenced && self.fleet.holds(now).is_some(),
            _ => true,
        }
    }

    /// An attempt of a request went out.
    pub fn sent(&mut self, now: Micros, rid: u64, executor: u32) {
        if let Some(ask) = self.asks.get(&rid).copied() {
            self.fleet.tried(now, ask, executor);
        }
    }

    /// Whether what becomes of a request after its client left matters here.
    pub fn follows(&self, rid: u64) -> bool {
        self.asks.contains_key(&rid)
    }

    /// Whether the result of a request is needed beside its client's answer.
    pub fn keeps_result(&self, rid: u64) -> bool {
        let local = self.asks.get(&rid).and_then(|a| self.local.get(a));
        local.is_some_and(|l| match l.stage {
            Stage::Mine { repeats, adopted, .. } => {
                !repeats || adopted || !l.waiting.is_empty() || !l.wanted.is_empty()
            }
            _ => false,
        })
    }

    /// The decisions have answered a request.
    pub fn answered(&mut self, now: Micros, rid: u64, reply: Reply) {
        let Some(ask) = self.asks.remove(&rid) else { return };
        let Some(local) = self.local.get(&ask) else { return };
        let Stage::Mine { rid: own, repeats, adopted, fenced } = local.stage else {
            return self.waiter_gone(ask, rid);
        };
        if own != rid {
            return self.waiter_gone(ask, rid);
        }
        let Some(mut local) = self.local.remove(&ask) else { return };
        self.adopted -= usize::from(adopted && self.adopted > 0);
        if fenced {
            return self.turn_away(&mut local);
        }
        let pages = match &reply {
            Reply::Served(pages) => Some(pages),
            _ => None,
        };
        for peer in std::mem::take(&mut local.wanted) {
            self.fleet.tell(peer, ask, pages.cloned());
        }
        let end = match (&reply, repeats) {
            (Reply::Failed, false) => End::Failed,
            (Reply::Served(pages), false) => End::Served(self.small(pages)),
            _ => End::Gone,
        };
        let asked_for = !local.waiting.is_empty();
        if let (true, false, Reply::Served(pages)) = (adopted, asked_for, &reply) {
            // Nobody is here for it yet: it waits as long as its client does.
            let until = self.fleet.ledger().and_then(|l| l.open(ask)).map_or(now, |(r, _)| r.deadline);
            if self.adopted < self.bounds.adopted && until > now {
                self.adopted += 1;
                local.stage = Stage::Parked { pages: pages.clone(), until };
                self.due.insert((until, ask));
                self.local.insert(ask, local);
                return;
            }
        }
        self.fleet.close(now, ask, end);
        self.answer_all(&mut local, &reply);
    }

    /// The client of a request has left. What must not run twice goes on; the rest was called off.
    pub fn left(&mut self, now: Micros, rid: u64) {
        let Some(ask) = self.asks.get(&rid).copied() else { return };
        let Some(local) = self.local.get_mut(&ask) else { return };
        match local.stage {
            Stage::Mine { rid: own, repeats, fenced, .. } if own == rid => {
                if !repeats {
                    return;
                }
                self.asks.remove(&rid);
                if fenced {
                    self.local.remove(&ask);
                    return;
                }
                self.fleet.close(now, ask, End::Gone);
                self.open_again(now, ask);
            }
            _ => {
                self.asks.remove(&rid);
                self.waiter_gone(ask, rid);
            }
        }
    }

    /// A request whose client had left is over.
    pub fn over(&mut self, now: Micros, rid: u64, past: Past) {
        let Some(ask) = self.asks.remove(&rid) else { return };
        let Some(mut local) = self.local.remove(&ask) else { return };
        if matches!(local.stage, Stage::Mine { fenced: true, .. }) {
            return self.turn_away(&mut local);
        }
        let (end, reply) = match past {
            Past::Served(pages) => (End::Served(self.small(&pages)), Reply::Served(pages)),
            Past::NeverRan => {
                self.fleet.close(now, ask, End::Gone);
                self.local.insert(ask, local);
                return self.open_again(now, ask);
            }
            Past::MayHaveRan => (End::Unknown, Reply::Failed),
        };
        if let Reply::Served(pages) = &reply {
            local.wanted.iter().for_each(|p| self.fleet.tell(*p, ask, Some(pages.clone())));
        }
        self.fleet.close(now, ask, end);
        self.answer_all(&mut local, &reply);
    }

    fn small(&self, pages: &Pages) -> Option<Pages> {
        (pages.iter().map(Vec::len).sum::<usize>() <= self.bounds.result).then(|| pages.clone())
    }

    /// One that waited waits no more. A record that is being opened for it goes to the next, or is closed.
    fn waiter_gone(&mut self, ask: u64, rid: u64) {
        let Some(local) = self.local.get_mut(&ask) else { return };
        local.waiting.retain(|w| w.rid != rid);
        if local.waiting.is_empty() && matches!(local.stage, Stage::Theirs { .. }) {
            self.local.remove(&ask);
        }
    }

    fn answer_all(&mut self, local: &mut Local, reply: &Reply) {
        for w in std::mem::take(&mut local.waiting) {
            self.asks.remove(&w.rid);
            self.tally.answered += 1;
            self.moves.push_back(Move::Answer(w.rid, reply.clone()));
        }
    }

    fn turn_away(&mut self, local: &mut Local) {
        let reply = Reply::Refused(self.bounds.backoff_ms);
        self.answer_all(local, &reply);
    }

    /// The ask is free: the first that waits for it, if any, has it put on record as its own.
    fn open_again(&mut self, now: Micros, ask: u64) {
        let Some(local) = self.local.get_mut(&ask) else { return };
        let Some(first) = local.waiting.front() else {
            self.local.remove(&ask);
            return;
        };
        local.stage = Stage::Opening;
        local.wanted.clear();
        let record = first.attempt.record.clone();
        if !self.fleet.open(now, ask, record, true)
            && let Some(mut local) = self.local.remove(&ask)
        {
            self.turn_away(&mut local);
        }
    }

    // ---- The fleet ---------------------------------------------------------------------------------

    /// A message of a peer.
    pub fn hears(&mut self, now: Micros, from: Peer, message: Message) {
        self.fleet.hear(now, from, message);
        self.news(now);
    }

    /// When [`Takeover::tick`] has something to do next.
    pub fn next_due(&self) -> Micros {
        self.due.first().map_or(self.fleet.next_due(), |(at, _)| self.fleet.next_due().min(*at))
    }

    /// Lets time pass. Called before anything else of a turn: a lease that ran out while this process stood
    /// still is over before it acts on it.
    pub fn tick(&mut self, now: Micros) {
        self.fleet.tick(now);
        self.news(now);
        while let Some(&(at, ask)) = self.due.first().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, ask));
            match self.local.get_mut(&ask).map(|l| &mut l.stage) {
                Some(Stage::Theirs { fetch_at }) if *fetch_at == at => {
                    *fetch_at = now + self.bounds.fetch;
                    self.due.insert((*fetch_at, ask));
                    self.fleet.fetch(ask);
                }
                Some(Stage::Parked { until, .. }) if *until == at => {
                    self.local.remove(&ask);
                    self.adopted = self.adopted.saturating_sub(1);
                    self.fleet.close(now, ask, End::Gone);
                }
                _ => {}
            }
        }
    }

    /// All that came at one moment was handled: what is to be agreed first goes out.
    pub fn flush(&mut self, now: Micros) {
        if self.next_due() <= now {
            self.tick(now);
        }
        self.news(now);
    }

    fn news(&mut self, now: Micros) {
        while let Some(news) = self.fleet.news.pop_front() {
            self.ruled |= matches!(news, News::Held(_) | News::Lost(_) | News::Joined(_) | News::GivenUp(_));
            match news {
                News::Opened(ask) => self.opened(now, ask),
                News::Taken(ask) => self.taken(now, ask),
                News::Unrecorded(ask) => self.not_recorded(ask),
                News::Claimed { ask, from, mine, .. } => self.claimed(now, ask, from, mine),
                News::Closed(ask, end) => self.closed(now, ask, &end),
                News::Fetch(peer, ask) => self.fetched(now, peer, ask),
                News::Result(ask, pages) => self.result(ask, pages),
                News::Changed(Part::Plan) => self.planned = true,
                News::Changed(Part::Policy) => self.ruled = true,
                News::Lost(holder) => self.lost(holder),
                News::Held(h) => tracing::info!(term = h.term, "fleet: lease held"),
                News::Ended(h) => {
                    tracing::warn!(
                        peer = fleet::peer_of(h.life),
                        term = h.term,
                        "fleet: a peer's lease is over"
                    );
                }
                News::Joined(id) => tracing::info!(fleet = format_args!("{id:016x}"), "fleet: takes part"),
                News::Leader(leader) => tracing::info!(?leader, "fleet: leader"),
                News::GivenUp(id) => {
                    let fleet = format_args!("{id:016x}");
                    tracing::error!(fleet, "fleet: its majority has started anew; its record is lost");
                }
            }
        }
    }

    fn opened(&mut self, now: Micros, ask: u64) {
        let Some(local) = self.local.get_mut(&ask) else {
            // Its client left before it was agreed: it never went out.
            return self.fleet.close(now, ask, End::Gone);
        };
        if local.stage != Stage::Opening {
            return;
        }
        let Some(first) = local.waiting.pop_front() else {
            self.local.remove(&ask);
            return self.fleet.close(now, ask, End::Gone);
        };
        self.tally.recorded += 1;
        self.keep(ask, first.rid, first.attempt.record.repeats, false);
        self.moves.push_back(Move::Admit(first.rid));
    }

    fn taken(&mut self, now: Micros, ask: u64) {
        let Some(local) = self.local.get_mut(&ask) else { return };
        if local.stage != Stage::Opening {
            // It was sent before this was known, and goes on here; the other has the record.
            self.tally.overlaps += 1;
            return;
        }
        self.tally.joined += 1;
        match self.fleet.ledger().and_then(|l| l.ended(ask)).map(reply) {
            Some(reply) => {
                if let Some(mut local) = self.local.remove(&ask) {
                    self.answer_all(&mut local, &reply);
                }
            }
            None => {
                let fetch_at = now + self.bounds.fetch;
                local.stage = Stage::Theirs { fetch_at };
                self.due.insert((fetch_at, ask));
                self.fleet.fetch(ask);
            }
        }
    }

    fn not_recorded(&mut self, ask: u64) {
        self.tally.unrecorded += 1;
        let Some(local) = self.local.get_mut(&ask).filter(|l| l.stage == Stage::Opening) else { return };
        let Some(first) = local.waiting.front() else { return };
        if !first.attempt.record.repeats {
            if let Some(mut local) = self.local.remove(&ask) {
                self.turn_away(&mut local);
            }
        } else if let Some(mut local) = self.local.remove(&ask) {
            for w in std::mem::take(&mut local.waiting) {
                self.asks.remove(&w.rid);
                self.moves.push_back(Move::Admit(w.rid));
            }
        }
    }

    fn claimed(&mut self, now: Micros, ask: u64, from: Holder, mine: bool) {
        if !mine {
            if let Some(Local { stage: Stage::Theirs { fetch_at }, .. }) = self.local.get_mut(&ask) {
                *fetch_at = now;
                self.due.insert((now, ask));
            }
            return;
        }
        self.tally.claimed += 1;
        let Some(record) = self.fleet.ledger().and_then(|l| l.open(ask)).map(|(r, _)| r.clone()) else {
            return;
        };
        tracing::info!(
            request = format_args!("{:016x}", record.rid),
            peer = fleet::peer_of(from.life),
            tried = record.tried.len(),
            "fleet: taken over"
        );
        if let Some(local) = self.local.get_mut(&ask) {
            // Its client is here already: that try takes its place.
            if let Some(first) = local.waiting.pop_front() {
                self.keep(ask, first.rid, first.attempt.record.repeats, false);
                self.moves.push_back(Move::Admit(first.rid));
                return;
            }
            if matches!(local.stage, Stage::Mine { .. } | Stage::Parked { .. }) {
                return;
            }
            self.local.remove(&ask);
        }
        let left = record.deadline > now + self.bounds.fetch;
        let sendable = record.statement.is_some() && record.tried.len() < self.bounds.attempts;
        if !left || !sendable || self.adopted >= self.bounds.adopted || self.asks.contains_key(&record.rid) {
            return self.fleet.close(now, ask, End::Gone);
        }
        self.adopted += 1;
        self.tally.adopted += 1;
        self.keep(ask, record.rid, true, true);
        self.moves.push_back(Move::Adopt(record));
    }

    fn closed(&mut self, now: Micros, ask: u64, end: &End) {
        let Some(local) = self.local.get(&ask) else { return };
        if !matches!(local.stage, Stage::Theirs { .. }) {
            return;
        }
        match end {
            End::Gone => self.open_again(now, ask),
            end => {
                if let Some(mut local) = self.local.remove(&ask) {
                    self.answer_all(&mut local, &reply(end));
                }
            }
        }
    }

    fn fetched(&mut self, now: Micros, peer: Peer, ask: u64) {
        match self.local.get_mut(&ask) {
            Some(Local { stage: Stage::Parked { pages, .. }, .. }) => {
                let pages = pages.clone();
                self.fleet.tell(peer, ask, Some(pages));
            }
            Some(local) if matches!(local.stage, Stage::Mine { fenced: false, .. }) => {
                local.wanted.insert(peer);
            }
            Some(_) => {}
            None => {
                // On record as this peer's, and not in its hands: nothing will come of it here.
                let holder = self.fleet.holds(now);
                let own =
                    self.fleet.ledger().and_then(|l| l.open(ask)).is_some_and(|(_, h)| Some(h) == holder);
                if own {
                    self.fleet.close(now, ask, End::Gone);
                }
            }
        }
    }

    fn result(&mut self, ask: u64, pages: Option<Pages>) {
        let theirs = self.local.get(&ask).is_some_and(|l| matches!(l.stage, Stage::Theirs { .. }));
        let Some(pages) = pages.filter(|_| theirs) else { return };
        if let Some(mut local) = self.local.remove(&ask) {
            self.answer_all(&mut local, &Reply::Served(pages));
        }
    }

    /// The lease is over. What may repeat is another's from now on; what must not run twice will never be run
    /// again by anybody, so that an answer that still comes may go to the client that waits for it here.
    fn lost(&mut self, holder: Holder) {
        tracing::warn!(
            term = holder.term,
            in_hand = self.local.len(),
            "fleet: lease lost, all in hand is let go"
        );
        let asks: Vec<u64> = self.local.keys().copied().collect();
        for ask in asks {
            let Some(local) = self.local.get_mut(&ask) else { continue };
            match &mut local.stage {
                Stage::Mine { rid, fenced, repeats, .. } => {
                    *fenced = true;
                    let (rid, repeats) = (*rid, *repeats);
                    let mut waiting = std::mem::take(&mut local.waiting);
                    for w in waiting.drain(..) {
                        self.asks.remove(&w.rid);
                        self.moves.push_back(Move::Answer(w.rid, Reply::Refused(self.bounds.backoff_ms)));
                    }
                    if repeats {
                        self.tally.let_go += 1;
                        self.moves.push_back(Move::LetGo(rid));
                    }
                }
                Stage::Opening | Stage::Theirs { .. } | Stage::Parked { .. } => {
                    if let Some(mut local) = self.local.remove(&ask) {
                        self.turn_away(&mut local);
                    }
                }
            }
        }
        self.adopted = 0;
    }
}

/// What a try is answered that finds its ask ended on record.
fn reply(end: &End) -> Reply {
    match end {
        End::Served(Some(pages)) => Reply::Served(pages.clone()),
        // It ran, and its result is no longer there; or whether it ran is not known.
        End::Served(None) | End::Failed | End::Unknown | End::Gone => Reply::Failed,
    }
}
