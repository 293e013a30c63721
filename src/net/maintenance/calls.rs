//! The operators' calls on the maintenance plan.

use super::format::{holdup_reason, step_text};
use crate::api::Micros;
use crate::codec::operator::Call;
use crate::net::DispatcherServer;
use crate::net::event_loop::poll::Key;
use fleet::plan::{self, Command, Plan, Step};
use std::fmt::Write as _;

/// How long a call waits for the fleet's agreement; every call is answered within a second.
const AGREEMENT_TIMEOUT: Micros = 800_000;

/// An operator's call that waits for the fleet's agreement.
pub(super) struct PendingCall {
    caller: Key,
    call: Call,
    expires_at: Micros,
}

impl DispatcherServer {
    /// Carries out a call on the plan. Returns its answer, or `None` while it waits for the fleet's agreement.
    pub(in crate::net) fn plan_call(&mut self, caller: Key, now: Micros, call: Call) -> Option<String> {
        let command = match &call {
            Call::PlanStatus => return Some(self.plan_status(now)),
            Call::Plan(ids) => {
                if let Some(unknown) = ids.iter().find(|id| !self.endpoints.contains_key(*id)) {
                    return Some(format!("-ERR no executor {unknown}"));
                }
                match self.plan().map(|p| p.accepts(ids)) {
                    Some(Ok(())) => Command::Add(ids.clone()),
                    Some(Err(why)) => return Some(format!("-ERR {why}")),
                    None => return Some("-ERR this dispatcher takes no part in a fleet now".into()),
                }
            }
            Call::PlanMend(id) => match self.plan().and_then(|p| p.step(id)) {
                Some(Step::Out(_) | Step::Failed(_)) => Command::Repair(id.clone(), now),
                _ => return Some(format!("-ERR {id} is neither out nor failed")),
            },
            _ => Command::Abort,
        };
        let Some(in_flight) = &mut self.in_flight else { return Some("-ERR no fleet".into()) };
        if !in_flight.takeover.fleet.propose(now, fleet::state::Command::Plan(command)) {
            return Some("-ERR no lease: this dispatcher is cut off from the fleet".into());
        }
        in_flight.maintenance.pending_calls.push(PendingCall {
            caller,
            call,
            expires_at: now + AGREEMENT_TIMEOUT,
        });
        in_flight.maintenance.next_poll_at = now;
        None
    }

    fn plan_status(&self, now: Micros) -> String {
        let Some(plan) = self.plan() else {
            return "-ERR this dispatcher takes no part in a fleet now".into();
        };
        let mut text = format!("+OK plan of {}\n", plan.steps().count());
        for (id, step) in plan.steps() {
            let _ = writeln!(text, "{id} {}", step_text(step, now));
        }
        if let Some(why) = plan.stopped() {
            let _ = writeln!(text, "stopped: {why}");
        } else if let (Some(next), Some(in_flight)) = (plan.next(), &self.in_flight) {
            let busy = self.dispatch.busy_cores(now);
            if let Err(why) = plan::next_to_drain(plan, &self.machines(), busy, &in_flight.maintenance.budget)
            {
                let _ = writeln!(text, "{next} is held up: {}", holdup_reason(&why));
            }
        }
        text + "."
    }

    pub(super) fn answer_calls(&mut self, plan: &Plan, now: Micros) {
        let Some(in_flight) = &mut self.in_flight else { return };
        let done = |call: &Call| match call {
            Call::Plan(ids) => ids.iter().all(|id| plan.step(id).is_some_and(|s| !s.is_final())),
            Call::PlanMend(id) => plan.step(id).is_some_and(|s| !s.excluded()),
            _ => plan.next().is_none() && !plan.steps().any(|(_, s)| matches!(s, Step::Draining(..))),
        };
        let (finished, pending): (Vec<PendingCall>, Vec<PendingCall>) =
            in_flight.maintenance.pending_calls.drain(..).partition(|w| done(&w.call) || w.expires_at <= now);
        in_flight.maintenance.pending_calls = pending;
        for w in finished {
            let answer = match (done(&w.call), &w.call) {
                (false, _) => "-ERR not agreed in time; DRAIN STATUS tells what came of it".into(),
                (true, Call::Plan(ids)) => format!("+OK planned {}", ids.join(",")),
                (true, Call::PlanMend(id)) => format!("+OK {id} comes back cold"),
                (true, _) => "+OK aborted; what is out stays out until it is back".into(),
            };
            if let Some(o) = &mut self.admin_listener {
                o.answer(w.caller, &answer, &self.poll);
            }
        }
    }
}
