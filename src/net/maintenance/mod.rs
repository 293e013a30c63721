//! Machines that are taken out for work, in an order that the fleet has agreed on: what operators ask, what this
//! dispatcher holds back, and, as leader, how the plan goes on.
//!
//! `calls` are the operators', `plan` its course here, `format` its text for the status and the log.

mod calls;
mod format;
mod plan;

use crate::api::Micros;
use calls::Waiting;
use fleet::plan::Budget;
use std::collections::{BTreeMap, BTreeSet};

/// What this dispatcher makes of the plan.
pub struct Maintenance {
    /// What must stay in service.
    budget: Budget,
    next_poll_at: Micros,
    /// When this dispatcher began, how long it waits for word of the plan, and whether it had any.
    begun: Micros,
    untold: Micros,
    plan_known: bool,
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

impl Maintenance {
    /// No plan yet, and none is known for so long.
    pub fn new(budget: Budget, untold: Micros, now: Micros) -> Maintenance {
        Maintenance {
            budget,
            next_poll_at: now,
            begun: now,
            untold,
            plan_known: false,
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
        let busy = !self.plan_known
            || !self.waiting.is_empty()
            || !self.held_back.is_empty()
            || !self.logged.is_empty();
        busy.then_some(self.next_poll_at)
    }
}
