//! Maintenance plan: the order in which executors are taken out of service, as replicated state of the fleet.
//!
//! An executor waits, drains, is out, warms up and is done; it may also fail or be aborted. A command that
//! does not apply to the executor's current step changes nothing. A new leader can therefore continue where a
//! failed one stopped, and no step is repeated or skipped.

mod leader;

pub use leader::{BlockReason, Budget, ExecutorInfo, next_commands, next_to_drain};

use crate::{Holder, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The step an executor has reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Waiting for its turn.
    Waiting,
    /// Draining since this time: it receives no new work. The holders have no work left on it.
    Draining(Micros, BTreeSet<Holder>),
    /// Out of service since this time.
    Out(Micros),
    /// Back in service and warming up since this time.
    WarmingUp(Micros),
    /// Maintenance is complete.
    Done,
    /// It did not come back, or could not be drained.
    Failed(String),
    /// The plan was aborted before it went out of service, or while it was out, and it has come back since.
    Aborted,
}

impl Step {
    /// Whether it receives no new work.
    pub fn excluded(&self) -> bool {
        matches!(self, Step::Draining(..) | Step::Out(_) | Step::Failed(_))
    }

    /// Whether this is a final step.
    pub fn is_final(&self) -> bool {
        matches!(self, Step::Done | Step::Failed(_) | Step::Aborted)
    }

    /// Whether its capacity is missing, wholly or partly.
    pub fn missing(&self) -> bool {
        matches!(self, Step::Draining(..) | Step::Out(_) | Step::WarmingUp(_) | Step::Failed(_))
    }
}

/// A command that changes the plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Appends these executors to the plan.
    Add(Vec<String>),
    /// Starts draining this executor at this time, provided the plan still has this version: the proposer has
    /// checked the capacity against that version.
    StartDrain(String, Micros, u64),
    /// A dispatcher has no work left on the executor.
    Idle(Holder, String),
    /// All dispatchers are idle on the executor, or the drain limit has passed: it goes out of service.
    TakeOut(String, Micros),
    /// The executor is back.
    Returned(String, Micros),
    /// The executor has warmed up.
    WarmedUp(String),
    /// The executor will not come back, for this reason; the plan stops.
    Fail(String, String),
    /// Starts no further executor; those still draining return to service.
    Abort,
    /// An operator reports a failed or absent executor as repaired: it comes back and warms up.
    Repair(String, Micros),
}

/// Maximum number of planned executors.
pub const MAX_EXECUTORS: usize = 256;

/// The maintenance plan.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The executors with their steps, in maintenance order.
    steps: Vec<(String, Step)>,
    /// Why no further executor is started; `None` if the plan is running.
    stopped: Option<String>,
    /// Incremented with each change.
    version: u64,
}

impl Plan {
    /// The executors with their steps, in maintenance order.
    pub fn steps(&self) -> impl Iterator<Item = (&str, &Step)> {
        self.steps.iter().map(|(id, s)| (id.as_str(), s))
    }

    /// The step of an executor; `None` if it is not in the plan.
    pub fn step(&self, id: &str) -> Option<&Step> {
        self.steps.iter().find(|(i, _)| i == id).map(|(_, s)| s)
    }

    /// Why no further executor is started; `None` if the plan is running.
    pub fn stopped(&self) -> Option<&str> {
        self.stopped.as_deref()
    }

    /// The first waiting executor, unless the plan has stopped.
    pub fn next(&self) -> Option<&str> {
        let waiting = self.steps.iter().find(|(_, s)| *s == Step::Waiting).map(|(id, _)| id.as_str());
        waiting.filter(|_| self.stopped.is_none())
    }

    /// Checks whether these executors can be added to the plan; the error says why not.
    pub fn accepts(&self, ids: &[String]) -> Result<(), String> {
        let unique: BTreeSet<&String> = ids.iter().collect();
        if ids.is_empty() || unique.len() < ids.len() {
            return Err("no machine, or one twice".into());
        }
        if let Some(id) = ids.iter().find(|id| self.step(id).is_some_and(|s| !s.is_final() || s.excluded())) {
            return Err(format!("{id} is planned already"));
        }
        let unfinished = self.steps.iter().filter(|(_, s)| !s.is_final()).count();
        if unfinished + ids.len() > MAX_EXECUTORS {
            return Err(format!("more than {MAX_EXECUTORS} machines"));
        }
        Ok(())
    }

    /// The executors to which a dispatcher must not send work: those that the plan excludes and, if the
    /// dispatcher has been cut off from the fleet for some time, those that may have started draining since.
    /// That is `at_once` of the waiting ones in their order, and as many again for each ramp that has passed.
    pub fn executors_to_avoid(&self, budget: &Budget, cut_off_for: Option<Micros>) -> BTreeSet<&str> {
        let mut avoid: BTreeSet<&str> =
            self.steps.iter().filter(|(_, s)| s.excluded()).map(|(id, _)| id.as_str()).collect();
        if let (Some(time), None) = (cut_off_for, &self.stopped) {
            let rounds = 1 + (time / budget.ramp.max(1)) as usize;
            let waiting = self.steps.iter().filter(|(_, s)| *s == Step::Waiting);
            avoid.extend(waiting.take(budget.at_once.saturating_mul(rounds)).map(|(id, _)| id.as_str()));
        }
        avoid
    }

    fn execute(&mut self, command: Command) -> bool {
        match command {
            Command::Add(ids) => {
                if self.accepts(&ids).is_err() {
                    return false;
                }
                // A finished plan is replaced by the new one; its failed executors stay visible.
                if self.steps.iter().all(|(_, s)| s.is_final()) {
                    self.steps.retain(|(_, s)| s.excluded());
                    self.stopped = None;
                }
                self.steps.retain(|(id, _)| !ids.contains(id));
                self.steps.extend(ids.into_iter().map(|id| (id, Step::Waiting)));
                true
            }
            Command::StartDrain(id, at, version) => {
                self.stopped.is_none()
                    && version == self.version
                    && self.transition(&id, |s| {
                        (*s == Step::Waiting).then(|| Step::Draining(at, BTreeSet::new()))
                    })
            }
            Command::Idle(holder, id) => self.transition(&id, |s| match s {
                Step::Draining(at, idle) if !idle.contains(&holder) => {
                    let mut idle = idle.clone();
                    idle.insert(holder);
                    Some(Step::Draining(*at, idle))
                }
                _ => None,
            }),
            Command::TakeOut(id, at) => {
                self.transition(&id, |s| matches!(s, Step::Draining(..)).then_some(Step::Out(at)))
            }
            Command::Returned(id, at) => {
                self.transition(&id, |s| matches!(s, Step::Out(_)).then_some(Step::WarmingUp(at)))
            }
            Command::WarmedUp(id) => {
                self.transition(&id, |s| matches!(s, Step::WarmingUp(_)).then_some(Step::Done))
            }
            Command::Fail(id, why) => {
                let reason = format!("{id}: {why}");
                let failed = self.transition(&id, |s| {
                    matches!(s, Step::Draining(..) | Step::Out(_)).then(|| Step::Failed(why.clone()))
                });
                if failed {
                    self.stopped.get_or_insert(reason);
                }
                failed
            }
            Command::Abort => {
                let before = self.clone();
                for (_, s) in &mut self.steps {
                    if matches!(s, Step::Waiting | Step::Draining(..)) {
                        *s = Step::Aborted;
                    }
                }
                if self.steps.iter().any(|(_, s)| !s.is_final()) || self.steps != before.steps {
                    self.stopped = Some("aborted by an operator".into());
                }
                *self != before
            }
            Command::Repair(id, at) => {
                let failed = matches!(self.step(&id), Some(Step::Failed(_)));
                let repaired = self.transition(&id, |s| {
                    matches!(s, Step::Failed(_) | Step::Out(_)).then_some(Step::WarmingUp(at))
                });
                if failed && !self.steps.iter().any(|(_, s)| matches!(s, Step::Failed(_))) {
                    self.stopped = None;
                }
                repaired
            }
        }
    }

    fn transition(&mut self, id: &str, to: impl FnOnce(&Step) -> Option<Step>) -> bool {
        let Some((_, step)) = self.steps.iter_mut().find(|(i, _)| i == id) else { return false };
        match to(step) {
            Some(next) => {
                *step = next;
                true
            }
            None => false,
        }
    }
}

impl crate::StateMachine for Plan {
    type Command = Command;

    fn apply(&mut self, command: Command, _: &BTreeSet<Holder>) -> bool {
        let changed = self.execute(command);
        self.version += u64::from(changed);
        changed
    }
}
