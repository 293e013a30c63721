//! Planned maintenance: executors are taken out of service in an order that the fleet has agreed on. Handles the
//! operators' calls, holds back executors of the plan, and advances the plan as leader.
//!
//! - `calls`: operators' calls.
//! - `plan`: applies and advances the plan.
//! - `format`: the plan as text for the status and the log.

mod calls;
mod format;
mod plan;

use crate::api::Micros;
use calls::PendingCall;
use fleet::plan::Budget;
use std::collections::{BTreeMap, BTreeSet};

/// This dispatcher's state of the plan.
pub struct Maintenance {
    /// The capacity that must stay in service.
    budget: Budget,
    next_poll_at: Micros,
    /// When this dispatcher started, how long it waits to learn the plan, and whether it has learned the plan or
    /// stopped waiting.
    started_at: Micros,
    plan_wait: Micros,
    plan_known: bool,
    /// Executors that get no new work from this dispatcher because of the plan.
    held_back: BTreeSet<String>,
    /// When executors that were out of service came back; their slow start begins then.
    warming_since: BTreeMap<String, Micros>,
    pending_calls: Vec<PendingCall>,
    /// Whether a step of the plan is not finished.
    active: bool,
    /// Steps as they were last logged.
    logged: BTreeMap<String, String>,
}

impl Maintenance {
    /// Creates the state without a plan; `plan_wait` is how long to wait to learn one.
    pub fn new(budget: Budget, plan_wait: Micros, now: Micros) -> Maintenance {
        Maintenance {
            budget,
            next_poll_at: now,
            started_at: now,
            plan_wait,
            plan_known: false,
            held_back: BTreeSet::new(),
            warming_since: BTreeMap::new(),
            pending_calls: Vec::new(),
            active: false,
            logged: BTreeMap::new(),
        }
    }

    /// Whether an executor gets no new work because of the plan.
    pub fn holds_back(&self, uid: &str) -> bool {
        self.held_back.contains(uid)
    }

    /// When an executor that was out of service came back, in milliseconds; 0 if it was not out.
    pub fn cold_ms(&self, uid: &str) -> u64 {
        self.warming_since.get(uid).map_or(0, |t| t / 1_000)
    }

    /// When to check the plan next, while there is anything to do.
    pub fn next_due(&self) -> Option<Micros> {
        let busy = !self.plan_known
            || !self.pending_calls.is_empty()
            || !self.held_back.is_empty()
            || !self.logged.is_empty();
        busy.then_some(self.next_poll_at)
    }
}
