//! The plan by which machines are taken out for work: agreed state of the fleet, moved by commands of its log.
//!
//! A machine waits, drains, is out, warms up and is done; it may fail or be aborted on the way. What a command
//! asks for that does not follow from where the machine is changes nothing, so that a leader that was lost in
//! the middle of a step is followed by one that goes on from it: no step is done twice and none is left out.

mod lead;

pub use lead::{Budget, Holdup, Machine, lead, may_begin};

use crate::{Holder, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Where a machine is in its plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Its turn has not come.
    Waits,
    /// It gets nothing new, since then; those who have nothing out on it any more.
    Drains(Micros, BTreeSet<Holder>),
    /// It is handed over, since then.
    Out(Micros),
    /// It is back and cold, since then.
    Warms(Micros),
    /// It serves as before.
    Done,
    /// It did not come back, or could not be drained.
    Failed(String),
    /// The plan was aborted before it was handed over, or while it was out and it has come back since.
    Aborted,
}

impl Step {
    /// Whether it gets nothing new.
    pub fn banned(&self) -> bool {
        matches!(self, Step::Drains(..) | Step::Out(_) | Step::Failed(_))
    }

    /// Whether nothing more happens to it.
    pub fn over(&self) -> bool {
        matches!(self, Step::Done | Step::Failed(_) | Step::Aborted)
    }

    /// Whether it is missing from service, wholly or partly.
    pub fn missing(&self) -> bool {
        matches!(self, Step::Drains(..) | Step::Out(_) | Step::Warms(_) | Step::Failed(_))
    }
}

/// Moves the plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// These machines are to be serviced, after what is planned already.
    Ask(Vec<String>),
    /// It is this one's turn, from then on, if the plan has not changed since this version of it: who says so
    /// has looked at all that is missing.
    Begin(String, Micros, u64),
    /// A dispatcher has nothing out on it any more.
    Idle(Holder, String),
    /// All are idle, or have been waited for long enough.
    HandOver(String, Micros),
    /// It is back.
    Back(String, Micros),
    /// It is warm.
    Warm(String),
    /// It will not come back; the plan stops.
    Fail(String, String),
    /// No further machine; those that only drain go on serving.
    Abort,
    /// A machine that failed or is out is well again, by an operator's word: it comes back cold.
    Mend(String, Micros),
}

/// Machines planned at most.
pub const MOST: usize = 256;

/// The plan.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Machines in the order they are serviced, with where they are.
    steps: Vec<(String, Step)>,
    /// Why no further machine begins, if none does.
    stopped: Option<String>,
    /// Counts its changes.
    version: u64,
}

impl Plan {
    /// Machines in their order, with where they are.
    pub fn steps(&self) -> impl Iterator<Item = (&str, &Step)> {
        self.steps.iter().map(|(id, s)| (id.as_str(), s))
    }

    /// Where a machine is; `None` if it is in no plan.
    pub fn step(&self, id: &str) -> Option<&Step> {
        self.steps.iter().find(|(i, _)| i == id).map(|(_, s)| s)
    }

    /// Why no further machine begins, if none does.
    pub fn stopped(&self) -> Option<&str> {
        self.stopped.as_deref()
    }

    /// The first that waits, if any may begin.
    pub fn next(&self) -> Option<&str> {
        let waits = self.steps.iter().find(|(_, s)| *s == Step::Waits).map(|(id, _)| id.as_str());
        waits.filter(|_| self.stopped.is_none())
    }

    /// Whether these could be asked for; else why not.
    pub fn accepts(&self, ids: &[String]) -> Result<(), String> {
        let unique: BTreeSet<&String> = ids.iter().collect();
        if ids.is_empty() || unique.len() < ids.len() {
            return Err("no machine, or one twice".into());
        }
        if let Some(id) = ids.iter().find(|id| self.step(id).is_some_and(|s| !s.over() || s.banned())) {
            return Err(format!("{id} is planned already"));
        }
        let left = self.steps.iter().filter(|(_, s)| !s.over()).count();
        if left + ids.len() > MOST {
            return Err(format!("more than {MOST} machines"));
        }
        Ok(())
    }

    /// The machines that a dispatcher must leave alone: those that the plan has out, and, where it has been
    /// without word of the fleet for some time, those that may have begun since: in their order so many at once,
    /// and as many again for each ramp that has passed.
    pub fn held_back(&self, budget: &Budget, without_word: Option<Micros>) -> BTreeSet<&str> {
        let mut held: BTreeSet<&str> =
            self.steps.iter().filter(|(_, s)| s.banned()).map(|(id, _)| id.as_str()).collect();
        if let (Some(time), None) = (without_word, &self.stopped) {
            let rounds = 1 + (time / budget.ramp.max(1)) as usize;
            let waits = self.steps.iter().filter(|(_, s)| *s == Step::Waits);
            held.extend(waits.take(budget.at_once.saturating_mul(rounds)).map(|(id, _)| id.as_str()));
        }
        held
    }

    fn take(&mut self, command: Command) -> bool {
        match command {
            Command::Ask(ids) => {
                if self.accepts(&ids).is_err() {
                    return false;
                }
                // A plan that is over makes room for the next; what failed in it stays to be seen.
                if self.steps.iter().all(|(_, s)| s.over()) {
                    self.steps.retain(|(_, s)| s.banned());
                    self.stopped = None;
                }
                self.steps.retain(|(id, _)| !ids.contains(id));
                self.steps.extend(ids.into_iter().map(|id| (id, Step::Waits)));
                true
            }
            Command::Begin(id, at, version) => {
                self.stopped.is_none()
                    && version == self.version
                    && self.turn(&id, |s| (*s == Step::Waits).then(|| Step::Drains(at, BTreeSet::new())))
            }
            Command::Idle(holder, id) => self.turn(&id, |s| match s {
                Step::Drains(at, idle) if !idle.contains(&holder) => {
                    let mut idle = idle.clone();
                    idle.insert(holder);
                    Some(Step::Drains(*at, idle))
                }
                _ => None,
            }),
            Command::HandOver(id, at) => {
                self.turn(&id, |s| matches!(s, Step::Drains(..)).then_some(Step::Out(at)))
            }
            Command::Back(id, at) => self.turn(&id, |s| matches!(s, Step::Out(_)).then_some(Step::Warms(at))),
            Command::Warm(id) => self.turn(&id, |s| matches!(s, Step::Warms(_)).then_some(Step::Done)),
            Command::Fail(id, why) => {
                let reason = format!("{id}: {why}");
                let failed = self.turn(&id, |s| {
                    matches!(s, Step::Drains(..) | Step::Out(_)).then(|| Step::Failed(why.clone()))
                });
                if failed {
                    self.stopped.get_or_insert(reason);
                }
                failed
            }
            Command::Abort => {
                let was = self.clone();
                for (_, s) in &mut self.steps {
                    if matches!(s, Step::Waits | Step::Drains(..)) {
                        *s = Step::Aborted;
                    }
                }
                if self.steps.iter().any(|(_, s)| !s.over()) || self.steps != was.steps {
                    self.stopped = Some("aborted by an operator".into());
                }
                *self != was
            }
            Command::Mend(id, at) => {
                let failed = matches!(self.step(&id), Some(Step::Failed(_)));
                let mended = self
                    .turn(&id, |s| matches!(s, Step::Failed(_) | Step::Out(_)).then_some(Step::Warms(at)));
                if failed && !self.steps.iter().any(|(_, s)| matches!(s, Step::Failed(_))) {
                    self.stopped = None;
                }
                mended
            }
        }
    }

    fn turn(&mut self, id: &str, to: impl FnOnce(&Step) -> Option<Step>) -> bool {
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
        let changed = self.take(command);
        self.version += u64::from(changed);
        changed
    }
}
