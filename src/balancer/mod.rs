//! Every decision of the dispatcher. The interface (settings, events, actions, ids) stands in `src/api/`.
//!
//! The ordinary path: predict a request's cost, let the matching rule's bucket pass or refuse it at once, and
//! draw an executor weighted down by reported load plus own threads since. All else is ours: docs/design.md.

mod attempts;
mod constants;
mod cost;
mod guards;
mod health;
mod lines;
mod placement;
mod pressure;
mod requests;
mod rules;
pub(crate) mod selection;
pub(crate) mod slow_start;

use crate::api::*;
use crate::state::*;
use constants::*;

impl Balancer {
    /// A dispatcher that knows its settings and nothing else; `seed` feeds its random draws.
    pub fn new(settings: Settings, seed: u64) -> Result<Balancer, SettingsError> {
        check(&settings)?;
        // The executors' own choice of grant is a quarter over the estimate.
        let pace = Mean { value: 1.0, n: TRUSTED };
        let bias = ClassModel { memory_bias: 0.25f64.ln_1p(), pace, ..ClassModel::default() };
        let (rules, models) = (rules::build_rules(&settings), vec![bias; settings.classes.len()]);
        Ok(Balancer::empty(settings, seed, rules, CACHE_SIZE, models))
    }

    /// Admits by other settings of the same classes, tenants and machines from now on; what is open ends as
    /// it was admitted. Rules that stay keep what is in their buckets.
    pub fn take_on(&mut self, settings: Settings) -> Result<Settings, SettingsError> {
        check(&settings)?;
        let mut rules = rules::build_rules(&settings);
        rules.iter_mut().for_each(|r| r.keep(&self.rules));
        self.rules = rules;
        let old = std::mem::replace(&mut self.s, settings);
        (0..self.executors.len()).for_each(|i| self.executors[i].pool = self.pool_of(&self.executors[i]));
        self.rebuild_index();
        Ok(old)
    }

    /// Takes one event at time `now` and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if self.started && now > self.now + STALL {
            // This dispatcher stood still: what was not heard meanwhile says nothing of the executors.
            self.stalled = now;
            for &i in &self.executor_index.active {
                self.executors[i].last_message_at = now;
            }
        }
        self.now = now.max(self.now);
        if !self.started {
            self.started = true;
            self.actions.push(Action::SetTimer { token: 0, after: TICK });
            self.actions.extend(self.s.list_must_be_polled.then_some(Action::Watch));
        }
        match event {
            Event::EndpointList { kind, endpoints } => self.list(kind, endpoints),
            Event::Arrival(a) => self.arrival(a),
            Event::FirstByte { request, .. } => self.streams(request),
            Event::AttemptFinished(f) => self.finished(f),
            Event::AttemptProgressed { request, attempt, progress_note, .. } => {
                self.noted(request, attempt, progress_note)
            }
            Event::ClientDisconnected { request } => self.close(request),
            Event::Timer { token: 0 } => self.tick(),
            Event::Timer { token: 1 } => self.go_on(),
            Event::Timer { .. } | Event::Gossip { .. } => {}
            Event::ProbeFinished { executor, outcome, report, .. } => self.probed(executor, outcome, report),
        }
        actions.append(&mut self.actions);
    }

    fn tick(&mut self) {
        self.actions.push(Action::SetTimer { token: 0, after: TICK });
        let dt = TICK as f64 / 1e6;
        self.models.iter_mut().for_each(|m| m.count(dt, RATE_SPAN_S));
        self.tenants.iter_mut().for_each(|t| *t *= 1.0 - dt / TENANT_SPAN_S);
        self.budget_allows(); // forgets what has left the window
        self.finish_slow_starts();
        self.measure();
        self.set_rates();
        if self.now > self.stalled {
            self.check_health();
            self.check_attempts();
        }
        self.check_lines();
        for &i in &self.executor_index.active {
            self.executors[i].in_flight_threads_at_tick = self.executors[i].in_flight_threads;
        }
    }
}
