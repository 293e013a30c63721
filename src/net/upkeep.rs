//! Machines that are taken out for work, in an order that the fleet has agreed on: what operators ask, what this
//! dispatcher holds back, and, as leader, how the plan goes on.

use super::Node;
use super::poll::Key;
use crate::api::Micros;
use crate::codec::coordinator::State;
use crate::codec::operator::Call;
use crate::dispatch::News;
use fleet::agreed::{self, Agreed};
use fleet::plan::{self, Budget, Command, Machine, Plan, Step};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

/// How often the plan is looked at.
const LOOK: Micros = 50_000;
/// A call is answered within a second, agreed or not.
const AGREED: Micros = 800_000;

/// An operator's call that waits to be agreed.
struct Waiting {
    caller: Key,
    call: Call,
    until: Micros,
}

/// What this dispatcher makes of the plan.
pub struct Upkeep {
    /// What must stay in service.
    budget: Budget,
    look_at: Micros,
    /// When this dispatcher began, how long it waits for word of the plan, and whether it had any.
    begun: Micros,
    untold: Micros,
    told: bool,
    /// Machines that get nothing new from here for the plan's sake.
    held_back: BTreeSet<String>,
    /// Since when machines that were out are back, and cold.
    cold: BTreeMap<String, Micros>,
    waiting: Vec<Waiting>,
    /// A machine of the plan has not come to its end.
    active: bool,
    /// Steps as they were last logged.
    logged: BTreeMap<String, String>,
}

impl Upkeep {
    /// No plan yet, and none is known for so long.
    pub fn new(budget: Budget, untold: Micros, now: Micros) -> Upkeep {
        Upkeep {
            budget,
            look_at: now,
            begun: now,
            untold,
            told: false,
            held_back: BTreeSet::new(),
            cold: BTreeMap::new(),
            waiting: Vec::new(),
            active: false,
            logged: BTreeMap::new(),
        }
    }

    /// Whether a machine gets nothing new for the plan's sake.
    pub fn holds_back(&self, uid: &str) -> bool {
        self.held_back.contains(uid)
    }

    /// Since when a machine that was out is back, in milliseconds; 0 if it was not.
    pub fn cold_ms(&self, uid: &str) -> u64 {
        self.cold.get(uid).map_or(0, |t| t / 1_000)
    }

    /// When the plan is to be looked at next, while there is anything to look at.
    pub fn next_due(&self) -> Option<Micros> {
        let busy =
            !self.told || !self.waiting.is_empty() || !self.held_back.is_empty() || !self.logged.is_empty();
        busy.then_some(self.look_at)
    }
}

/// A step in a word, as the status and the log tell it.
fn word(step: &Step, now: Micros) -> String {
    let since = |t: &Micros| now.saturating_sub(*t) / 1_000_000;
    match step {
        Step::Waits => "waits".into(),
        Step::Drains(t, idle) => format!("drains {}s, idle at {}", since(t), idle.len()),
        Step::Out(t) => format!("out {}s", since(t)),
        Step::Warms(t) => format!("warms {}s", since(t)),
        Step::Done => "done".into(),
        Step::Failed(why) => format!("failed: {why}"),
        Step::Aborted => "aborted".into(),
    }
}

/// A step without its times, to see whether it changed.
fn kind(step: &Step) -> String {
    match step {
        Step::Drains(..) => "drains".into(),
        Step::Out(_) => "out".into(),
        Step::Warms(_) => "warms".into(),
        step => word(step, 0),
    }
}

impl Node {
    fn plan(&self) -> Option<&Plan> {
        self.hands.as_ref()?.takeover.fleet.agreed().map(Agreed::plan)
    }

    fn machines(&self) -> BTreeMap<String, Machine> {
        let Some(hands) = &self.hands else { return BTreeMap::new() };
        let machine = |t: &crate::codec::coordinator::Target| Machine {
            hall: self.names.zones.get(&t.az).copied().unwrap_or(0),
            cores: hands.cores_of(self.names.kinds.get(&t.model).copied()),
            up: t.state == State::Up && !self.bans.banned(&t.uid),
            started: t.boot_ms.saturating_mul(1_000),
        };
        self.targets.iter().map(|(uid, t)| (uid.clone(), machine(t))).collect()
    }

    /// Carries out a call on the plan: its answer, or none as long as it waits to be agreed.
    pub(super) fn plan_call(&mut self, caller: Key, now: Micros, call: Call) -> Option<String> {
        let command = match &call {
            Call::PlanStatus => return Some(self.plan_status(now)),
            Call::Plan(ids) => {
                if let Some(unknown) = ids.iter().find(|id| !self.targets.contains_key(*id)) {
                    return Some(format!("-ERR no executor {unknown}"));
                }
                match self.plan().map(|p| p.accepts(ids)) {
                    Some(Ok(())) => Command::Ask(ids.clone()),
                    Some(Err(why)) => return Some(format!("-ERR {why}")),
                    None => return Some("-ERR this dispatcher takes no part in a fleet now".into()),
                }
            }
            Call::PlanMend(id) => match self.plan().and_then(|p| p.step(id)) {
                Some(Step::Out(_) | Step::Failed(_)) => Command::Mend(id.clone(), now),
                _ => return Some(format!("-ERR {id} is neither out nor failed")),
            },
            _ => Command::Abort,
        };
        let Some(hands) = &mut self.hands else { return Some("-ERR no fleet".into()) };
        if !hands.takeover.fleet.agree(now, agreed::Command::Plan(command)) {
            return Some("-ERR no lease: this dispatcher is cut off from the fleet".into());
        }
        hands.upkeep.waiting.push(Waiting { caller, call, until: now + AGREED });
        hands.upkeep.look_at = now;
        None
    }

    fn plan_status(&self, now: Micros) -> String {
        let Some(plan) = self.plan() else {
            return "-ERR this dispatcher takes no part in a fleet now".into();
        };
        let mut text = format!("+OK plan of {}\n", plan.steps().count());
        for (id, step) in plan.steps() {
            let _ = writeln!(text, "{id} {}", word(step, now));
        }
        if let Some(why) = plan.stopped() {
            let _ = writeln!(text, "stopped: {why}");
        } else if let (Some(next), Some(hands)) = (plan.next(), &self.hands) {
            let busy = self.dispatch.busy(now);
            if let Err(why) = plan::may_begin(plan, &self.machines(), busy, &hands.upkeep.budget) {
                let _ = writeln!(text, "{next} is held up: {}", told(&why));
            }
        }
        text + "."
    }

    /// Looks at the plan: what it holds back here, what is idle, who waits for an answer, and as leader what comes
    /// next.
    pub(super) fn keep_plan(&mut self, now: Micros) {
        let Some(hands) = &mut self.hands else { return };
        let changed = std::mem::take(&mut hands.takeover.planned);
        if !changed && now < hands.upkeep.look_at {
            return;
        }
        hands.upkeep.look_at = now + LOOK;
        let Some(plan) = hands.takeover.fleet.agreed().map(Agreed::plan) else {
            return self.not_yet_told(now);
        };
        if plan.steps().next().is_none() && hands.upkeep.held_back.is_empty() {
            hands.upkeep.told = true;
            return;
        }
        hands.upkeep.active = plan.steps().any(|(_, s)| !s.over());
        let plan = plan.clone();
        self.log_plan(&plan, now);
        self.hold_back(&plan, now);
        self.tell_idle(&plan, now);
        self.answer_calls(&plan, now);
        self.lead_plan(&plan, now);
    }

    /// One that has just started knows no plan: it leaves all alone until it is told, or until nobody has told it
    /// anything for two leases.
    fn not_yet_told(&mut self, now: Micros) {
        let Some(hands) = &mut self.hands else { return };
        if now >= hands.upkeep.begun + hands.upkeep.untold {
            if !hands.upkeep.told {
                hands.upkeep.told = true;
                tracing::warn!("maintenance: no word of the fleet, motores are used as listed");
                self.hold_back(&Plan::default(), now);
            }
        } else {
            let all: BTreeSet<String> = self.targets.keys().cloned().collect();
            self.hold(all, BTreeMap::new(), now);
        }
    }

    fn log_plan(&mut self, plan: &Plan, now: Micros) {
        let Some(hands) = &mut self.hands else { return };
        let steps: BTreeMap<String, String> = plan.steps().map(|(id, s)| (id.into(), kind(s))).collect();
        for (id, step) in plan.steps() {
            if hands.upkeep.logged.get(id) != steps.get(id) {
                tracing::info!(motor = id, step = word(step, now), "maintenance");
            }
        }
        hands.upkeep.logged = steps;
    }

    /// What the plan holds back and what it has brought back, told to the decisions where it changed.
    fn hold_back(&mut self, plan: &Plan, now: Micros) {
        let Some(hands) = &mut self.hands else { return };
        hands.upkeep.told = true;
        let without_word = hands.takeover.fleet.without_word(now);
        let held = plan.held_back(&hands.upkeep.budget, without_word);
        let held: BTreeSet<String> = held.into_iter().map(String::from).collect();
        let cold: BTreeMap<String, Micros> = plan
            .steps()
            .filter_map(|(id, s)| if let Step::Warms(t) = s { Some((id.to_string(), *t)) } else { None })
            .collect();
        self.hold(held, cold, now);
    }

    fn hold(&mut self, held: BTreeSet<String>, cold: BTreeMap<String, Micros>, now: Micros) {
        let Some(hands) = &mut self.hands else { return };
        let mut changed: BTreeSet<String> =
            held.symmetric_difference(&hands.upkeep.held_back).cloned().collect();
        for (id, at) in cold {
            if hands.upkeep.cold.insert(id.clone(), at) != Some(at) {
                changed.insert(id);
            }
        }
        hands.upkeep.held_back = held;
        hands.upkeep.cold.retain(|uid, _| self.targets.contains_key(uid));
        let targets: Vec<_> = changed.iter().filter_map(|id| self.targets.get(id).cloned()).collect();
        if !targets.is_empty() {
            self.members(now, News::Changes, &targets);
        }
    }

    fn tell_idle(&mut self, plan: &Plan, now: Micros) {
        let Some(hands) = &mut self.hands else { return };
        let Some(holder) = hands.takeover.fleet.holds(now) else { return };
        for (id, step) in plan.steps() {
            let Step::Drains(_, idle) = step else { continue };
            if !idle.contains(&holder) && hands.upkeep.held_back.contains(id) && !self.executors.busy(id) {
                let idle = Command::Idle(holder, id.into());
                hands.takeover.fleet.agree(now, agreed::Command::Plan(idle));
            }
        }
    }

    fn answer_calls(&mut self, plan: &Plan, now: Micros) {
        let Some(hands) = &mut self.hands else { return };
        let done = |call: &Call| match call {
            Call::Plan(ids) => ids.iter().all(|id| plan.step(id).is_some_and(|s| !s.over())),
            Call::PlanMend(id) => plan.step(id).is_some_and(|s| !s.banned()),
            _ => plan.next().is_none() && !plan.steps().any(|(_, s)| matches!(s, Step::Drains(..))),
        };
        let (over, waiting): (Vec<Waiting>, Vec<Waiting>) =
            hands.upkeep.waiting.drain(..).partition(|w| done(&w.call) || w.until <= now);
        hands.upkeep.waiting = waiting;
        for w in over {
            let answer = match (done(&w.call), &w.call) {
                (false, _) => "-ERR not agreed in time; DRAIN STATUS tells what came of it".into(),
                (true, Call::Plan(ids)) => format!("+OK planned {}", ids.join(",")),
                (true, Call::PlanMend(id)) => format!("+OK {id} comes back cold"),
                (true, _) => "+OK aborted; what is out stays out until it is back".into(),
            };
            if let Some(o) = &mut self.operators {
                o.answer(w.caller, &answer, &self.poll);
            }
        }
    }

    fn lead_plan(&mut self, plan: &Plan, now: Micros) {
        if !self.hands.as_ref().is_some_and(|h| h.upkeep.active && h.takeover.fleet.leads()) {
            return;
        }
        let (machines, busy) = (self.machines(), self.dispatch.busy(now));
        let Some(hands) = &mut self.hands else { return };
        let alive: BTreeSet<_> = hands.takeover.fleet.agreed().map(|a| a.alive().clone()).unwrap_or_default();
        for command in plan::lead(plan, &machines, busy, &alive, &hands.upkeep.budget, now) {
            hands.takeover.fleet.agree(now, agreed::Command::Plan(command));
        }
    }
}

/// What holds a machine up, as the status tells it.
fn told(why: &plan::Holdup) -> String {
    match why {
        plan::Holdup::Nothing => "nothing waits".into(),
        plan::Holdup::AtOnce(n) => format!("{n} out already"),
        plan::Holdup::Hall(hall) => format!("hall {hall} would fall short"),
        plan::Holdup::Machines(n) => format!("{n} machines would be left"),
        plan::Holdup::Cores(left, needed) => format!("{left:.0} cores would be left, {needed:.0} are needed"),
    }
}
