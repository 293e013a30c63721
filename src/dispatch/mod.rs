//! The facade over the decisions, in blocking style: [`Dispatch::submit`] takes a request in,
//! [`Dispatch::handle`] tells what happened, [`Dispatch::tick`] lets time pass; each returns what is to be
//! done, in order. It owns the dispatcher, its timers, and every open request with its attempts and deadline.
//!
//! - `client_request`: a request as its client sent it.
//! - `endpoints`: the listed executors, and watch events on them.
//! - `interface`: what the network reports, and the commands that it gets.
//! - `pending_request`: requests without an answer, and their attempts.
//! - `submission`: how a request is submitted, held or rejected.
//! - `network_events`: what the network's reports lead to.
//! - `commands`: the decisions' actions become commands.
//! - `completion`: deadlines, the one final answer, and what is forgotten after it.
//!
//! The network's side sees the types of this module alone, never the dispatcher's events and actions.

mod client_request;
mod commands;
mod completion;
mod endpoints;
mod interface;
mod network_events;
mod pending_request;
mod submission;

pub use crate::api::{AttemptProgress, ExecutorId, Report as LoadReport};
pub use crate::codec::coordinator::executor_id;
pub use client_request::{AttemptId, Request};
pub use endpoints::{ExecutorState, FleetCapacity, ListedExecutor, WatchEvent};
pub use interface::{Answer, AttemptEnd, AttemptTerms, Command, NetworkEvent, ProbeOutcome};
pub use pending_request::Progress;

use crate::Balancer;
use crate::api::{self, EndCounts, Idempotency, KeyScope, Micros, Settings, SettingsError};
use lru::LruCache;
use pending_request::PendingRequest;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::num::NonZeroUsize;

/// A key rests at least this long after an attempt that was stopped or lost: the KILL has to arrive before the
/// next request of the key does, and they may go to different executors.
const KEY_QUIET_TIME: Micros = 100_000;
/// A budget may be this much above the class's whole deadline, for rounding; more is no budget.
const SLACK: Micros = 1_000_000;
/// Ids remembered after their answer: some 15 s of the busiest traffic, far longer than anything is under way.
const RECENT_IDS: NonZeroUsize = NonZeroUsize::new(8192).unwrap();
/// What a refusal tells a client to wait where the decisions name no time.
const BACKOFF_MS: u64 = 200;

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
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
const RETRY_START_WINDOW_PART: Micros = 8;

/// The settings as the decisions need them where attempts go out on sockets: the KILL of a stopped one takes a moment,
/// and so does the connection of one that begins.
fn settings_for_sockets(mut settings: Settings) -> Settings {
    settings.key_quiet = Some(settings.key_quiet.unwrap_or(0).max(KEY_QUIET_TIME));
    settings.budget.iter_mut().for_each(|b| b.slack = b.span / RETRY_START_WINDOW_PART);
    settings
}

/// What has to be known of a class here.
#[derive(Debug, Clone, Copy)]
struct Class {
    /// Refusing is harmless whatever ran.
    idempotent: bool,
    /// Repeats are harmless for so long after a send, where anything makes them so.
    window: Option<Micros>,
    /// The longest budget that can be meant.
    max_budget: Micros,
    /// Requests of a key run in order, and their clients space them.
    keeps_order: bool,
}

/// The dispatcher's decisions, and what is open.
pub struct Dispatch<R> {
    balancer: Balancer,
    classes: Vec<Class>,
    max_open_requests: usize,
    /// Ids of late, so that none is taken twice.
    recent_ids: LruCache<u64, ()>,
    pending: BTreeMap<u64, PendingRequest<R>>,
    /// Requests that wait for word of the fleet before the decisions get them.
    held_requests: BTreeMap<u64, Request>,
    /// What becomes of requests whose clients left is told.
    reports_abandoned: bool,
    max_attempts: usize,
    /// A further attempt may begin so long after it was decided, where the settings ration them.
    retry_start_window: Option<Micros>,
    deadlines: BTreeSet<(Micros, u64)>,
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    commands: Vec<Command<R>>,
    /// Counters.
    pub counters: Counters,
}

impl<R> Dispatch<R> {
    /// One that knows its settings and no executor.
    pub fn new(
        mut settings: Settings,
        max_open_requests: usize,
        seed: u64,
    ) -> Result<Dispatch<R>, SettingsError> {
        settings = settings_for_sockets(settings);
        let retry_start_window = settings.budget.map(|b| b.slack);
        let class = |c: &api::Class| Class {
            idempotent: matches!(
                c.idempotency,
                Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. }
            ),
            window: if let Idempotency::IdempotencyKey { window, .. } = c.idempotency {
                Some(window)
            } else {
                None
            },
            max_budget: c.deadline + SLACK,
            keeps_order: c.keep_order,
        };
        let classes = settings.classes.iter().map(class).collect();
        let max_attempts = settings.max_attempts as usize;
        Ok(Dispatch {
            balancer: Balancer::new(settings, seed)?,
            classes,
            max_open_requests,
            recent_ids: LruCache::new(RECENT_IDS),
            pending: BTreeMap::new(),
            held_requests: BTreeMap::new(),
            reports_abandoned: false,
            max_attempts,
            retry_start_window,
            deadlines: BTreeSet::new(),
            timers: BinaryHeap::new(),
            commands: Vec::new(),
            counters: Counters::default(),
        })
    }

    /// Whether requests of a class run in the order of their key.
    pub fn keeps_order(&self, class: usize) -> bool {
        self.classes.get(class).is_some_and(|c| c.keeps_order)
    }

    /// Requests whose clients still wait.
    pub fn open_requests(&self) -> usize {
        self.pending.values().filter(|o| !o.closed).count()
    }

    /// When [`Dispatch::tick`] has something to do next.
    pub fn next_due(&self) -> Option<Micros> {
        let wake = self.timers.peek().map(|Reverse((t, _))| *t);
        let deadline = self.deadlines.first().map(|(t, _)| *t);
        wake.into_iter().chain(deadline).min()
    }

    /// From now on [`Command::ReportAbandoned`] tells what becomes of requests whose clients left.
    pub fn report_abandoned(&mut self) {
        self.reports_abandoned = true;
    }
}

#[cfg(test)]
mod tests;
