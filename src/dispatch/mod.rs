//! The facade over the balancer: [`Dispatch::submit`] takes a request, [`Dispatch::handle`] an event of the network,
//! and [`Dispatch::tick`] advances the time. Each returns the commands that the network has to carry out, in order.
//! [`Dispatch`] owns the balancer, its timers, and every pending request with its attempts and deadline.
//!
//! - `client_request`: requests as clients send them, and ids of attempts.
//! - `endpoints`: listed executors and their watch events.
//! - `interface`: events reported by the network, and commands for it.
//! - `pending_request`: pending requests and their attempts.
//! - `request_class`: the properties of a class that are needed here.
//! - `submission`: submits, holds or rejects requests.
//! - `network_events`: handles the network's events.
//! - `commands`: translates the balancer's actions into commands.
//! - `completion`: deadlines, the final answer, and the removal of finished requests.
//! - `counters`: counters since the start of the process.
//!
//! The network uses only the types of this module, never the balancer's events and actions.

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
pub use interface::{Answer, AttemptEnd, AttemptTerms, Command, NetworkEvent, NeverSentReason, ProbeOutcome};
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

/// Minimum quiet period of a key after a stopped or lost attempt, in microseconds. The KILL must arrive before the next
/// request with this key does, and the two may go to different executors.
const KEY_QUIET_TIME: Micros = 100_000;
/// Number of remembered request ids: about 15 s of peak traffic, far longer than any message of a request is in
/// transit.
const RECENT_IDS: NonZeroUsize = NonZeroUsize::new(8192).unwrap();
/// Backoff of a rejection in milliseconds, if the balancer states none.
const BACKOFF_MS: u64 = 200;
/// Divisor of the retry budget's window that gives the time within which a decided retry must start. It is long
/// compared with the time to establish a connection, and short compared with the window.
const RETRY_START_WINDOW_FRACTION: Micros = 8;

/// Adapts the settings to attempts sent over sockets, where the KILL of a stopped attempt and the connection of a new
/// one take time.
fn settings_for_sockets(mut settings: Settings) -> Settings {
    settings.key_quiet_period = Some(settings.key_quiet_period.unwrap_or(0).max(KEY_QUIET_TIME));
    if let Some(budget) = &mut settings.retry_budget {
        budget.send_delay = budget.window / RETRY_START_WINDOW_FRACTION;
    }
    settings
}

/// The balancer and all pending requests; `R` is the network's representation of a result.
pub struct Dispatch<R> {
    balancer: Balancer,
    /// Request classes by index.
    classes: Vec<RequestClass>,
    /// Maximum number of unanswered requests; further ones are rejected at once.
    max_open_requests: usize,
    /// Ids of recent requests, so that no id is accepted twice.
    recent_ids: LruCache<u64, ()>,
    /// Requests that are unanswered or have an outstanding attempt, by id.
    pending: BTreeMap<u64, PendingRequest<R>>,
    /// Requests that wait for the peers' agreement before they are submitted to the balancer, by id.
    held_requests: BTreeMap<u64, Request>,
    /// Whether the end of requests whose clients disconnected is reported.
    reports_abandoned: bool,
    /// Maximum number of attempts per request.
    max_attempts: usize,
    /// Time within which a retry must start after it was decided on, in microseconds, if there is a retry budget.
    retry_start_window: Option<Micros>,
    /// Deadlines of pending requests, with their ids.
    deadlines: BTreeSet<(Micros, u64)>,
    /// Due times of the balancer's timers, with their tokens.
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Commands not yet returned to the network.
    commands: Vec<Command<R>>,
    /// Counters since the start of the process.
    pub counters: Counters,
}

impl<R> Dispatch<R> {
    /// Creates a facade over a balancer that knows no executors yet; `seed` initializes its random number generator.
    ///
    /// # Errors
    /// The settings are invalid.
    pub fn new(
        settings: Settings,
        max_open_requests: usize,
        seed: u64,
    ) -> Result<Dispatch<R>, SettingsError> {
        let settings = settings_for_sockets(settings);
        let retry_start_window = settings.retry_budget.map(|budget| budget.send_delay);
        let classes = settings.classes.iter().map(RequestClass::new).collect();
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

    /// Whether a class keeps the order of requests with the same key.
    pub fn keeps_order(&self, class: usize) -> bool {
        self.classes.get(class).is_some_and(|class| class.keeps_order)
    }

    /// The number of requests whose clients are still waiting.
    pub fn open_requests(&self) -> usize {
        self.pending.values().filter(|pending| !pending.closed).count()
    }

    /// The time at which [`Dispatch::tick`] must be called next, in microseconds.
    pub fn next_due(&self) -> Option<Micros> {
        let timer = self.timers.peek().map(|Reverse((due_at, _))| *due_at);
        let deadline = self.deadlines.first().map(|(due_at, _)| *due_at);
        timer.into_iter().chain(deadline).min()
    }

    /// Enables [`Command::ReportAbandoned`], which reports the end of requests whose clients disconnected.
    pub fn report_abandoned(&mut self) {
        self.reports_abandoned = true;
    }
}

#[cfg(test)]
mod tests;
