//! Applies the plan: holds executors back, reports idle ones, and advances the plan if this dispatcher is the leader.

use super::format::{step_kind, step_text};
use crate::api::Micros;
use crate::codec::coordinator::State;
use crate::dispatch::WatchEvent;
use crate::net::DispatcherServer;
use fleet::plan::{self, Command, ExecutorInfo, Plan, Step};
use std::collections::{BTreeMap, BTreeSet};

/// Interval between two checks of an unchanged plan, in microseconds.
const POLL_INTERVAL: Micros = 50_000;

impl DispatcherServer {
    pub(super) fn plan(&self) -> Option<&Plan> {
        self.in_flight.as_ref()?.takeover.fleet.state().map(fleet::ReplicatedState::plan)
    }

    pub(super) fn machines(&self) -> BTreeMap<String, ExecutorInfo> {
        let Some(in_flight) = &self.in_flight else { return BTreeMap::new() };
        let machine = |t: &crate::codec::coordinator::Target| ExecutorInfo {
            zone: self.names.zones.get(&t.az).copied().unwrap_or(0),
            cores: in_flight.cores_of(self.names.kinds.get(&t.model).copied()),
            up: t.state == State::Up && !self.bans.banned(&t.uid),
            started: t.boot_ms.saturating_mul(1_000),
        };
        self.endpoints.iter().map(|(uid, t)| (uid.clone(), machine(t))).collect()
    }

    /// Applies the plan if it has changed or is due for a check, and answers pending calls.
    pub(in crate::net) fn advance_plan(&mut self, now: Micros) {
        let Some(in_flight) = &mut self.in_flight else { return };
        let changed = std::mem::take(&mut in_flight.takeover.planned);
        if !changed && now < in_flight.maintenance.next_poll_at {
            return;
        }
        in_flight.maintenance.next_poll_at = now + POLL_INTERVAL;
        let Some(plan) = in_flight.takeover.fleet.state().map(fleet::ReplicatedState::plan) else {
            return self.await_plan(now);
        };
        if plan.steps().next().is_none() && in_flight.maintenance.held_back.is_empty() {
            in_flight.maintenance.plan_known = true;
            return;
        }
        in_flight.maintenance.active = plan.steps().any(|(_, s)| !s.is_final());
        let plan = plan.clone();
        self.log_plan(&plan, now);
        self.apply_plan(&plan, now);
        self.report_idle(&plan, now);
        self.answer_calls(&plan, now);
        self.lead_plan(&plan, now);
    }

    /// Handles a check while no plan is known, as after the start. Until `plan_wait` (two lease durations) after
    /// the start, all executors are held back. After that, none is held back if no plan was ever known; otherwise
    /// nothing changes.
    fn await_plan(&mut self, now: Micros) {
        let Some(in_flight) = &mut self.in_flight else { return };
        if now >= in_flight.maintenance.started_at + in_flight.maintenance.plan_wait {
            if !in_flight.maintenance.plan_known {
                // Ends the wait for a plan: the empty plan holds back no executor.
                in_flight.maintenance.plan_known = true;
                tracing::warn!("maintenance: no plan received from the fleet; no executor is held back");
                self.apply_plan(&Plan::default(), now);
            }
        } else {
            let all: BTreeSet<String> = self.endpoints.keys().cloned().collect();
            self.set_held_back(all, BTreeMap::new(), now);
        }
    }

    fn log_plan(&mut self, plan: &Plan, now: Micros) {
        let Some(in_flight) = &mut self.in_flight else { return };
        let steps: BTreeMap<String, String> = plan.steps().map(|(id, s)| (id.into(), step_kind(s))).collect();
        for (id, step) in plan.steps() {
            if in_flight.maintenance.logged.get(id) != steps.get(id) {
                tracing::info!(executor = id, step = step_text(step, now), "maintenance");
            }
        }
        in_flight.maintenance.logged = steps;
    }

    /// Holds back the executors that the plan takes out of service, and begins the slow start of those that it has
    /// returned to service.
    fn apply_plan(&mut self, plan: &Plan, now: Micros) {
        let Some(in_flight) = &mut self.in_flight else { return };
        in_flight.maintenance.plan_known = true;
        let leaderless_for = in_flight.takeover.fleet.leaderless_for(now);
        let held_back = plan.executors_to_avoid(&in_flight.maintenance.budget, leaderless_for);
        let held_back: BTreeSet<String> = held_back.into_iter().map(String::from).collect();
        let warming_since: BTreeMap<String, Micros> = plan
            .steps()
            .filter_map(|(id, s)| if let Step::WarmingUp(t) = s { Some((id.to_string(), *t)) } else { None })
            .collect();
        self.set_held_back(held_back, warming_since, now);
    }

    fn set_held_back(
        &mut self,
        held_back: BTreeSet<String>,
        warming_since: BTreeMap<String, Micros>,
        now: Micros,
    ) {
        let Some(in_flight) = &mut self.in_flight else { return };
        let mut changed: BTreeSet<String> =
            held_back.symmetric_difference(&in_flight.maintenance.held_back).cloned().collect();
        for (id, at) in warming_since {
            if in_flight.maintenance.warming_since.insert(id.clone(), at) != Some(at) {
                changed.insert(id);
            }
        }
        in_flight.maintenance.held_back = held_back;
        in_flight.maintenance.warming_since.retain(|uid, _| self.endpoints.contains_key(uid));
        let targets: Vec<_> = changed.iter().filter_map(|id| self.endpoints.get(id).cloned()).collect();
        if !targets.is_empty() {
            self.update_endpoints(now, WatchEvent::Changed, &targets);
        }
    }

    fn report_idle(&mut self, plan: &Plan, now: Micros) {
        let Some(in_flight) = &mut self.in_flight else { return };
        let Some(holder) = in_flight.takeover.fleet.holds(now) else { return };
        for (id, step) in plan.steps() {
            let Step::Draining(_, idle) = step else { continue };
            if !idle.contains(&holder)
                && in_flight.maintenance.held_back.contains(id)
                && !self.executors.busy(id)
            {
                let command = Command::Idle(holder, id.into());
                in_flight.takeover.fleet.propose(now, fleet::state::Command::Plan(command));
            }
        }
    }

    fn lead_plan(&mut self, plan: &Plan, now: Micros) {
        if !self
            .in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.maintenance.active && in_flight.takeover.fleet.is_leader())
        {
            return;
        }
        let (machines, busy) = (self.machines(), self.dispatch.busy_cores(now));
        let Some(in_flight) = &mut self.in_flight else { return };
        let alive: BTreeSet<_> =
            in_flight.takeover.fleet.state().map(|state| state.alive().clone()).unwrap_or_default();
        for command in plan::next_commands(plan, &machines, busy, &alive, &in_flight.maintenance.budget, now)
        {
            in_flight.takeover.fleet.propose(now, fleet::state::Command::Plan(command));
        }
    }
}
