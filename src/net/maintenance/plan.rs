//! The plan's course: what it holds back here, what is idle, and, as leader, what comes next.

use super::format::{kind, step_text};
use crate::api::Micros;
use crate::codec::coordinator::State;
use crate::dispatch::WatchEvent;
use crate::net::DispatcherServer;
use fleet::plan::{self, Command, ExecutorInfo, Plan, Step};
use std::collections::{BTreeMap, BTreeSet};

/// How often the plan is looked at.
const POLL_INTERVAL: Micros = 50_000;

impl DispatcherServer {
    pub(super) fn plan(&self) -> Option<&Plan> {
        self.in_flight.as_ref()?.takeover.fleet.agreed().map(fleet::Agreed::plan)
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

    /// Looks at the plan: what it holds back here, what is idle, who waits for an answer, and as leader what comes
    /// next.
    pub(in crate::net) fn advance_plan(&mut self, now: Micros) {
        let Some(in_flight) = &mut self.in_flight else { return };
        let changed = std::mem::take(&mut in_flight.takeover.planned);
        if !changed && now < in_flight.maintenance.next_poll_at {
            return;
        }
        in_flight.maintenance.next_poll_at = now + POLL_INTERVAL;
        let Some(plan) = in_flight.takeover.fleet.agreed().map(fleet::Agreed::plan) else {
            return self.plan_not_yet_known(now);
        };
        if plan.steps().next().is_none() && in_flight.maintenance.held_back.is_empty() {
            in_flight.maintenance.plan_known = true;
            return;
        }
        in_flight.maintenance.active = plan.steps().any(|(_, s)| !s.over());
        let plan = plan.clone();
        self.log_plan(&plan, now);
        self.hold_back(&plan, now);
        self.report_idle(&plan, now);
        self.answer_calls(&plan, now);
        self.lead_plan(&plan, now);
    }

    /// One that has just started knows no plan: it leaves all alone until it is told, or until nobody has told it
    /// anything for two leases.
    fn plan_not_yet_known(&mut self, now: Micros) {
        let Some(in_flight) = &mut self.in_flight else { return };
        if now >= in_flight.maintenance.begun + in_flight.maintenance.untold {
            if !in_flight.maintenance.plan_known {
                in_flight.maintenance.plan_known = true;
                tracing::warn!("maintenance: no word of the fleet, motores are used as listed");
                self.hold_back(&Plan::default(), now);
            }
        } else {
            let all: BTreeSet<String> = self.endpoints.keys().cloned().collect();
            self.hold(all, BTreeMap::new(), now);
        }
    }

    fn log_plan(&mut self, plan: &Plan, now: Micros) {
        let Some(in_flight) = &mut self.in_flight else { return };
        let steps: BTreeMap<String, String> = plan.steps().map(|(id, s)| (id.into(), kind(s))).collect();
        for (id, step) in plan.steps() {
            if in_flight.maintenance.logged.get(id) != steps.get(id) {
                tracing::info!(executor = id, step = step_text(step, now), "maintenance");
            }
        }
        in_flight.maintenance.logged = steps;
    }

    /// What the plan holds back and what it has brought back, told to the decisions where it changed.
    fn hold_back(&mut self, plan: &Plan, now: Micros) {
        let Some(in_flight) = &mut self.in_flight else { return };
        in_flight.maintenance.plan_known = true;
        let without_word = in_flight.takeover.fleet.without_word(now);
        let held = plan.held_back(&in_flight.maintenance.budget, without_word);
        let held: BTreeSet<String> = held.into_iter().map(String::from).collect();
        let cold: BTreeMap<String, Micros> = plan
            .steps()
            .filter_map(|(id, s)| if let Step::WarmingUp(t) = s { Some((id.to_string(), *t)) } else { None })
            .collect();
        self.hold(held, cold, now);
    }

    fn hold(&mut self, held: BTreeSet<String>, cold: BTreeMap<String, Micros>, now: Micros) {
        let Some(in_flight) = &mut self.in_flight else { return };
        let mut changed: BTreeSet<String> =
            held.symmetric_difference(&in_flight.maintenance.held_back).cloned().collect();
        for (id, at) in cold {
            if in_flight.maintenance.cold.insert(id.clone(), at) != Some(at) {
                changed.insert(id);
            }
        }
        in_flight.maintenance.held_back = held;
        in_flight.maintenance.cold.retain(|uid, _| self.endpoints.contains_key(uid));
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
                let idle = Command::Idle(holder, id.into());
                in_flight.takeover.fleet.agree(now, fleet::agreed::Command::Plan(idle));
            }
        }
    }

    fn lead_plan(&mut self, plan: &Plan, now: Micros) {
        if !self.in_flight.as_ref().is_some_and(|h| h.maintenance.active && h.takeover.fleet.leads()) {
            return;
        }
        let (machines, busy) = (self.machines(), self.dispatch.busy_cores(now));
        let Some(in_flight) = &mut self.in_flight else { return };
        let alive: BTreeSet<_> =
            in_flight.takeover.fleet.agreed().map(|a| a.alive().clone()).unwrap_or_default();
        for command in plan::lead(plan, &machines, busy, &alive, &in_flight.maintenance.budget, now) {
            in_flight.takeover.fleet.agree(now, fleet::agreed::Command::Plan(command));
        }
    }
}
