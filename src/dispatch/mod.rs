//! The facade over the decisions: [`Dispatch::submit`] takes a request, [`Dispatch::handle`] an event of the network,
//! [`Dispatch::tick`] lets time pass; each returns the commands that the network has to carry out, in order. It owns
//! the decisions, their timers, and every pending request with its attempts and deadline.
//!
//! - `client_request`: a request as its client sent it, and an attempt's id.
//! - `endpoints`: the listed executors, and watch events on them.
//! - `interface`: what the network reports, and the commands that it gets.
//! - `pending_request`: requests without an answer, and their attempts.
//! - `request_class`: what has to be known of a class here.
//! - `submission`: how a request is submitted, held or rejected.
//! - `network_events`: what the network's events lead to.
//! - `commands`: the decisions' actions become commands.
//! - `completion`: deadlines, the one final answer, and what is forgotten after it.
//! - `counters`: counts since the start.
//!
//! The network sees the types of this module alone, never the decisions' events and actions.

mod client_request;
mod commands;
mod completion;
mod counters;
mod endpoints;
mod interface;
mod network_events;
mod pending_request;
mod request_class;
mod submission;

pub use crate::api::{AttemptProgress, ExecutorId, Report as LoadReport};
pub use crate::codec::coordinator::executor_id;
pub use client_request::{AttemptId, Request};
pub use counters::Counters;
pub use endpoints::{ExecutorState, FleetCapacity, ListedExecutor, WatchEvent};
pub use interface::{Answer, AttemptEnd, AttemptTerms, Command, NetworkEvent, ProbeOutcome};
pub use pending_request::Progress;
pub use submission::SubmitError;

use crate::Balancer;
use crate::api::{Micros, Settings, SettingsError};
use lru::LruCache;
use pending_request::PendingRequest;
use request_class::RequestClass;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::num::NonZeroUsize;

/// The least span for which a key stays quiet after an attempt that was stopped or lost, in microseconds: the KILL has
/// to arrive before the next request of the key does, and they may go to different executors.
const KEY_QUIET_TIME: Micros = 100_000;
/// Request ids remembered: some 15 s of the busiest traffic, far longer than any message of a request is under way.
const RECENT_IDS: NonZeroUsize = NonZeroUsize::new(8192).unwrap();
/// The backoff of a refusal, in milliseconds, where the decisions name none.
const BACKOFF_MS: u64 = 200;
/// A retry may begin within this fraction of the retry budget's window after it was decided on: long beside the time
/// that a connection takes to come up, short beside the window.
const RETRY_START_WINDOW_FRACTION: Micros = 8;

/// The settings as the decisions need them where attempts go out on sockets: the KILL of a stopped attempt takes a
/// moment to arrive, and so does the connection of one that begins.
fn settings_for_sockets(mut settings: Settings) -> Settings {
    settings.key_quiet_period = Some(settings.key_quiet_period.unwrap_or(0).max(KEY_QUIET_TIME));
    if let Some(budget) = &mut settings.retry_budget {
        budget.send_delay = budget.window / RETRY_START_WINDOW_FRACTION;
    }
    settings
}

/// The decisions, and every pending request; `R` is a result as the network holds it.
pub struct Dispatch<R> {
    balancer: Balancer,
    /// By class index.
    classes: Vec<RequestClass>,
    /// Unanswered requests at the most; more are refused at once.
    max_open_requests: usize,
    /// Ids of recent requests, so that none is accepted twice.
    recent_ids: LruCache<u64, ()>,
    /// Requests that are unanswered or have an outstanding attempt, by id.
    pending: BTreeMap<u64, PendingRequest<R>>,
    /// Requests that wait for the peers' agreement before the decisions get them, by id.
    held_requests: BTreeMap<u64, Request>,
    /// Whether the end of requests whose clients disconnected is reported.
    reports_abandoned: bool,
    /// Attempts that a request may have.
    max_attempts: usize,
    /// The span in which a retry has to begin after it was decided on, in microseconds, where there is a retry budget.
    retry_start_window: Option<Micros>,
    /// The deadlines of pending requests, with their ids.
    deadlines: BTreeSet<(Micros, u64)>,
    /// The points at which timers of the decisions are due, with their tokens.
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Commands not yet returned to the network.
    commands: Vec<Command<R>>,
    /// Counts since the start.
    pub counters: Counters,
}

impl<R> Dispatch<R> {
    /// Decisions by these settings that know no executor yet; `seed` determines their random numbers. Errors if the
    /// settings can't be used.
    pub fn new(
        settings: Settings,
        max_open_requests: usize,
        seed: u64,
    ) -> Result<Dispatch<R>, SettingsError> {
        let settings = settings_for_sockets(settings);
        let retry_start_window = settings.retry_budget.map(|budget| budget.send_delay);
        let classes = settings.classes.iter().map(RequestClass::of).collect();
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
        self.classes.get(class).is_some_and(|class| class.keeps_order)
    }

    /// The number of requests whose clients still wait.
    pub fn open_requests(&self) -> usize {
        self.pending.values().filter(|pending| !pending.closed).count()
    }

    /// The point at which [`Dispatch::tick`] has something to do next, in microseconds.
    pub fn next_due(&self) -> Option<Micros> {
        let timer = self.timers.peek().map(|Reverse((due_at, _))| *due_at);
        let deadline = self.deadlines.first().map(|(due_at, _)| *due_at);
        timer.into_iter().chain(deadline).min()
    }

    /// From now on [`Command::ReportAbandoned`] reports the end of requests whose clients disconnected.
    pub fn report_abandoned(&mut self) {
        self.reports_abandoned = true;
    }
}

#[cfg(test)]
mod tests;
