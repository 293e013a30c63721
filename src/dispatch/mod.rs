//! The facade over the decisions, in blocking style: [`Dispatch::pick`] takes a request in,
//! [`Dispatch::report`] tells what happened, [`Dispatch::tick`] lets time pass; each returns what is to be
//! done, in order. It owns the dispatcher, its timers, and every open request with its attempts and deadline.
//!
//! - `request`: what a client asked.
//! - `fleet`: the executors of the list, and news of them.
//! - `exchange`: what the network tells and what it is told to do.
//! - `open`: requests that are open, and their attempts.
//! - `intake`: how a request is taken in, held or turned away.
//! - `reports`: what the network's reports come to.
//! - `actions`: the decisions' actions become orders.
//! - `ends`: time that passes, the one final answer, and what is forgotten after it.
//!
//! The network's side sees the types of this module alone, never the dispatcher's events and actions.

mod actions;
mod ends;
mod exchange;
mod fleet;
mod intake;
mod open;
mod reports;
mod request;

pub use crate::api::ExecutorId;
pub use crate::codec::coordinator::executor_id;
pub use exchange::{Answer, Echo, End, Load, Order, Report, Terms, Word};
pub use fleet::{Fleet, Member, News, Standing};
pub use open::Progress;
pub use request::{Request, Ticket};

use crate::Balancer;
use crate::api::{self, EndCounts, Idempotency, KeyScope, Micros, Settings, SettingsError};
use lru::LruCache;
use open::Open;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::num::NonZeroUsize;

/// A key rests at least this long after an attempt that was stopped or lost: the KILL has to arrive before the
/// next request of the key does, and they may go to different executors.
const KEY_REST: Micros = 100_000;
/// A budget may be this much above the class's whole deadline, for rounding; more is no budget.
const SLACK: Micros = 1_000_000;
/// Ids remembered after their answer: some 15 s of the busiest traffic, far longer than anything is under way.
const RECENT: NonZeroUsize = NonZeroUsize::new(8192).unwrap();
/// What a refusal tells a client to wait where the decisions name no time.
const BACKOFF_MS: u64 = 200;

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
    /// Final answers by reason.
    pub ends: EndCounts,
}

/// A further attempt may begin by this part of the budget's window after it was decided: long beside a connection
/// that comes up, short beside the window.
const BUDGET_SLACK_PART: Micros = 8;

/// The settings as the decisions need them where attempts go out on sockets: the KILL of a stopped one takes a moment,
/// and so does the connection of one that begins.
fn on_sockets(mut settings: Settings) -> Settings {
    settings.key_quiet_period = Some(settings.key_quiet_period.unwrap_or(0).max(KEY_REST));
    settings.retry_budget.iter_mut().for_each(|b| b.send_delay = b.window / BUDGET_SLACK_PART);
    settings
}

/// What has to be known of a class here.
#[derive(Debug, Clone, Copy)]
struct Class {
    /// Refusing is harmless whatever ran.
    safe: bool,
    /// Repeats are harmless for so long after a send, where anything makes them so.
    window: Option<Micros>,
    /// The longest budget that can be meant.
    most_budget: Micros,
    /// Requests of a key run in order, and their clients space them.
    keeps_order: bool,
}

/// The dispatcher's decisions, and what is open.
pub struct Dispatch<R> {
    dispatcher: Balancer,
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
    /// A further attempt may begin so long after it was decided, where the settings ration them.
    budget_slack: Option<Micros>,
    deadlines: BTreeSet<(Micros, u64)>,
    wakes: BinaryHeap<Reverse<(Micros, u64)>>,
    orders: Vec<Order<R>>,
    /// Counters.
    pub tally: Tally,
}

impl<R> Dispatch<R> {
    /// One that knows its settings and no executor.
    pub fn new(mut settings: Settings, most_held: usize, seed: u64) -> Result<Dispatch<R>, SettingsError> {
        settings = on_sockets(settings);
        let budget_slack = settings.retry_budget.map(|b| b.send_delay);
        let class = |c: &api::Class| Class {
            safe: matches!(
                c.idempotency,
                Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. }
            ),
            window: if let Idempotency::IdempotencyKey { window, .. } = c.idempotency {
                Some(window)
            } else {
                None
            },
            most_budget: c.client_timeout + SLACK,
            keeps_order: c.keep_order,
        };
        let classes = settings.classes.iter().map(class).collect();
        let most_attempts = settings.max_attempts as usize;
        Ok(Dispatch {
            dispatcher: Balancer::new(settings, seed)?,
            classes,
            most_held,
            recent: LruCache::new(RECENT),
            open: BTreeMap::new(),
            held: BTreeMap::new(),
            follows: false,
            most_attempts,
            budget_slack,
            deadlines: BTreeSet::new(),
            wakes: BinaryHeap::new(),
            orders: Vec::new(),
            tally: Tally::default(),
        })
    }

    /// Whether requests of a class run in the order of their key.
    pub fn keeps_order(&self, class: usize) -> bool {
        self.classes.get(class).is_some_and(|c| c.keeps_order)
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

    /// From now on [`Order::Past`] tells what becomes of requests whose clients left.
    pub fn follow_left(&mut self) {
        self.follows = true;
    }
}

#[cfg(test)]
mod tests;
