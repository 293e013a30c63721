//! All decisions of the dispatcher. Their interface (settings, events, actions, ids) is in `src/api/`.
//!
//! For each request, the balancer predicts the cost, admits or rejects the request by the token bucket of the
//! matching rule, queues it if it has a key, and picks an executor in a weighted random draw. Attempts that
//! fail or take too long are retried within the retry budget.

mod admission;
mod attempt;
mod attempt_events;
mod cost_model;
mod endpoint_list;
mod key_order;
mod key_queue;
mod load;
mod outlier_detection;
mod placement;
mod replacement;
mod request_lifecycle;
mod retry_budget;
pub(crate) mod selection;
mod slow_attempts;
pub(crate) mod slow_start;
mod unresponsive;

pub(crate) use admission::AdmissionRules;
pub(crate) use cost_model::CostModel;
pub(crate) use key_queue::KeyQueues;
pub(crate) use load::{LoadModel, Pressure};
pub(crate) use outlier_detection::ExecutorHealth;
pub(crate) use retry_budget::RetryLimiter;

use crate::api::{Action, DurationUs, Event, Settings, SettingsError, TimestampUs, check};
use crate::state::Balancer;

/// Interval of the periodic checks; short compared with any latency objective.
const TICK_US: DurationUs = 100_000;
/// A gap between events that is longer than this means that this process was stalled: ticks were missed too.
const STALL_US: DurationUs = 3 * TICK_US;
/// Retry-After of requests that are rejected for lack of time or executors.
const RETRY_AFTER_US: DurationUs = 1_000_000;

/// Timer token of the periodic checks.
const TICK_TIMER: u64 = 0;
/// Timer token of the end of a wait for probes.
const PROBE_WAIT_TIMER: u64 = 1;

impl Balancer {
    /// Creates a balancer that knows no executors yet; `seed` initializes its random number generator.
    ///
    /// # Errors
    /// The settings are invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Balancer, SettingsError> {
        check(&settings)?;
        Ok(Balancer::empty(settings, seed))
    }

    /// Replaces the settings and returns the previous ones. Classes, tenants and kinds must be the same. Open
    /// requests complete under the settings that admitted them, and admission rules that exist under both
    /// settings keep their token buckets.
    ///
    /// # Errors
    /// The new settings are invalid; the previous ones stay in effect.
    pub fn update_settings(&mut self, settings: Settings) -> Result<Settings, SettingsError> {
        check(&settings)?;
        self.admission.update(&settings);
        let old_settings = std::mem::replace(&mut self.settings, settings);
        for index in 0..self.executors.len() {
            self.executors[index].pool = self.pool_of(&self.executors[index]);
        }
        self.rebuild_index();
        Ok(old_settings)
    }

    /// Schedules the shutdown of this dispatcher: requests that cannot finish by `deadline` are not started.
    pub fn set_shutdown_deadline(&mut self, deadline: TimestampUs) {
        self.shutdown_deadline = deadline;
        self.shutdown_deadline_changed = true;
    }

    /// Handles an event at time `now` and appends the resulting actions in order.
    pub fn handle(&mut self, now: TimestampUs, event: Event, actions: &mut Vec<Action>) {
        self.detect_stall(now);
        self.now = now.max(self.now);
        self.start_once();
        self.dispatch_event(event);
        actions.append(&mut self.actions);
    }

    /// Prevents ejections caused by a stall of this process itself: messages that it could not read during
    /// the stall look as if the executors had not sent them. The end of the stall counts as a message from
    /// each.
    fn detect_stall(&mut self, now: TimestampUs) {
        if !self.started || now <= self.now + STALL_US {
            return;
        }
        self.resumed_at = now;
        self.executors.for_each_active(|executor| executor.last_message_at = now);
    }

    /// On the first event, starts the periodic checks and the watch of the endpoint list.
    fn start_once(&mut self) {
        if std::mem::replace(&mut self.started, true) {
            return;
        }
        self.actions.push(Action::SetTimer { token: TICK_TIMER, after: TICK_US });
        if self.settings.list_must_be_polled {
            self.actions.push(Action::Watch);
        }
    }

    fn dispatch_event(&mut self, event: Event) {
        match event {
            Event::EndpointList { kind, endpoints } => self.apply_endpoint_list(kind, endpoints),
            Event::Arrival(arrival) => self.handle_arrival(arrival),
            Event::FirstByte { request, .. } => self.start_streaming(request),
            Event::AttemptFinished(finished) => self.handle_attempt_finished(finished),
            Event::AttemptProgressed { request, attempt, progress, .. } => {
                self.handle_progress(request, attempt, progress);
            }
            Event::ClientDisconnected { request } => self.finish_request(request),
            Event::Timer { token: TICK_TIMER } => self.tick(),
            Event::Timer { token: PROBE_WAIT_TIMER } => self.resume_after_probes(),
            Event::Timer { .. } | Event::Gossip { .. } => {}
            Event::ConnectFailed { executor } => self.handle_connect_failed(executor),
            Event::ProbeFinished { executor, outcome, report, .. } => {
                self.handle_probe_finished(executor, outcome, report);
            }
        }
    }

    /// Runs the periodic checks.
    fn tick(&mut self) {
        self.actions.push(Action::SetTimer { token: TICK_TIMER, after: TICK_US });
        let tick_s = TICK_US as f64 / 1e6;
        self.pressure.update_arrival_rates(tick_s);
        self.admission.decay_tenant_requests(tick_s);
        self.trim_retry_history();
        self.finish_slow_starts();
        self.update_load();
        self.update_rule_rates();
        if self.now > self.resumed_at {
            self.check_responsiveness();
            self.check_attempts();
        }
        self.check_key_queues();
        self.executors.for_each_active(|executor| {
            executor.in_flight_threads_at_tick = executor.in_flight_threads;
        });
    }
}
