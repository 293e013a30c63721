//! Every decision of the dispatcher. The interface (settings, events, actions, ids) stands in `src/api/`.
//!
//! The way of a request: its cost is predicted, the matching rule's bucket admits or rejects it, it waits for
//! its turn if it has a key, and an executor is drawn by weight. An attempt that fails or takes too long is
//! retried within the retry budget.

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

/// Interval of the periodic checks: short beside any latency objective.
const TICK_US: DurationUs = 100_000;
/// Without any event for this long this process itself stood still, as ticks did not come either.
const STALL_US: DurationUs = 3 * TICK_US;
/// Retry-After of a request that is rejected for want of time or of executors.
const RETRY_AFTER_US: DurationUs = 1_000_000;

/// Token of the timer of the periodic checks.
const TICK_TIMER: u64 = 0;
/// Token of the timer that ends a wait for probes.
const PROBE_WAIT_TIMER: u64 = 1;

impl Balancer {
    /// A dispatcher that knows its settings and nothing else; `seed` feeds its random draws.
    ///
    /// # Errors
    /// The settings make no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Balancer, SettingsError> {
        check(&settings)?;
        Ok(Balancer::empty(settings, seed))
    }

    /// Decides by other settings of the same classes, tenants and kinds from now on, and returns those
    /// before. Open requests end under the settings that admitted them; rules that stay keep what is in their
    /// buckets.
    ///
    /// # Errors
    /// The settings make no sense; those before stay in force.
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

    /// This dispatcher shuts down at `deadline`: what cannot finish by then is not begun.
    pub fn set_shutdown_deadline(&mut self, deadline: TimestampUs) {
        self.shutdown_deadline = deadline;
        self.shutdown_deadline_changed = true;
    }

    /// Takes one event at time `now` and appends what is to be done, in order.
    pub fn handle(&mut self, now: TimestampUs, event: Event, actions: &mut Vec<Action>) {
        self.detect_stall(now);
        self.now = now.max(self.now);
        self.start_once();
        self.dispatch_event(event);
        actions.append(&mut self.actions);
    }

    /// Guards against ejecting executors for this process's own pause: after it, messages that were not read
    /// meanwhile look as if they had not been sent. The pause counts as a message of each.
    fn detect_stall(&mut self, now: TimestampUs) {
        if !self.started || now <= self.now + STALL_US {
            return;
        }
        self.resumed_at = now;
        self.executors.for_each_active(|executor| executor.last_message_at = now);
    }

    /// With the first event the periodic checks and the watch of the endpoint list begin.
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
            Event::AttemptProgressed { request, attempt, progress_note, .. } => {
                self.handle_progress(request, attempt, progress_note);
            }
            Event::ClientDisconnected { request } => self.finish_request(request),
            Event::Timer { token: TICK_TIMER } => self.tick(),
            Event::Timer { token: PROBE_WAIT_TIMER } => self.resume_after_probes(),
            Event::Timer { .. } | Event::Gossip { .. } => {}
            Event::ProbeFinished { executor, outcome, report, .. } => {
                self.handle_probe_finished(executor, outcome, report);
            }
        }
    }

    /// The periodic checks.
    fn tick(&mut self) {
        self.actions.push(Action::SetTimer { token: TICK_TIMER, after: TICK_US });
        let tick_s = TICK_US as f64 / 1e6;
        self.pressure.update_arrival_rates(tick_s);
        self.admission.forget_tenant_requests(tick_s);
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
