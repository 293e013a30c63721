//! How the leader advances the maintenance plan, and what blocks the next executor.

use super::{Command, Plan, Step};
use crate::{Holder, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// An executor as a dispatcher sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct ExecutorInfo {
    /// Index of its zone.
    pub zone: usize,
    /// Its number of cores.
    pub cores: f64,
    /// Whether it is listed and accepts work, regardless of the plan.
    pub up: bool,
    /// Start time of its process according to the endpoint list; 0 if unknown or long ago.
    pub started: Micros,
}

/// Capacity that must remain in service during maintenance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Minimum number of executors in service, over all zones.
    pub min_executors: usize,
    /// Minimum ratio of cores in service to busy cores.
    pub headroom: f64,
    /// Maximum number of executors missing at the same time.
    pub at_once: usize,
    /// How long a drain waits for work to finish.
    pub drain_limit: Micros,
    /// How long an executor may be out.
    pub out_limit: Micros,
    /// Duration of its warm-up.
    pub ramp: Micros,
}

/// Why the next executor cannot start its maintenance.
#[derive(Debug, Clone, PartialEq)]
pub enum BlockReason {
    /// No executor is waiting, or the plan has stopped.
    NoneWaiting,
    /// This many executors are missing already, which is the limit.
    AtOnce(usize),
    /// Another executor of this zone is missing, and too few would remain there.
    Zone(usize),
    /// Only this many executors would remain.
    Executors(usize),
    /// Cores that would remain, and cores needed.
    Cores(f64, f64),
}

/// Returns the commands the leader should propose now, at most one per executor, from the plan and the
/// current observations. `busy` is the number of busy cores in total, `alive` the current lease holders.
pub fn next_commands(
    plan: &Plan,
    executors: &BTreeMap<String, ExecutorInfo>,
    busy: f64,
    alive: &BTreeSet<Holder>,
    budget: &Budget,
    now: Micros,
) -> Vec<Command> {
    let mut commands = Vec::new();
    for (id, step) in plan.steps() {
        match step {
            Step::Draining(since, idle) => {
                let all_idle = alive.iter().all(|h| idle.contains(h));
                if all_idle || now > since + budget.drain_limit {
                    commands.push(Command::TakeOut(id.into(), now));
                }
            }
            Step::Out(since) => {
                let back = executors.get(id).is_some_and(|m| m.up && m.started > *since);
                if back {
                    commands.push(Command::Returned(id.into(), now));
                } else if now > since + budget.out_limit {
                    commands.push(Command::Fail(id.into(), "it did not come back".into()));
                }
            }
            Step::WarmingUp(since) if now > since + budget.ramp => {
                commands.push(Command::WarmedUp(id.into()))
            }
            _ => {}
        }
    }
    if let Ok(id) = next_to_drain(plan, executors, busy, budget) {
        commands.push(Command::StartDrain(id, now, plan.version));
    }
    commands
}

/// The executor whose maintenance may start now, or what blocks it.
pub fn next_to_drain(
    plan: &Plan,
    executors: &BTreeMap<String, ExecutorInfo>,
    busy: f64,
    budget: &Budget,
) -> Result<String, BlockReason> {
    let next = plan.next().ok_or(BlockReason::NoneWaiting)?;
    let missing: Vec<&str> = plan.steps().filter(|(_, s)| s.missing()).map(|(id, _)| id).collect();
    if missing.len() >= budget.at_once {
        return Err(BlockReason::AtOnce(missing.len()));
    }
    let in_service =
        |(id, m): &(&String, &ExecutorInfo)| m.up && id.as_str() != next && !missing.contains(&id.as_str());
    let serving: Vec<(&String, &ExecutorInfo)> = executors.iter().filter(in_service).collect();
    if serving.len() < budget.min_executors {
        return Err(BlockReason::Executors(serving.len()));
    }
    let (cores, needed) = (serving.iter().map(|(_, m)| m.cores).sum::<f64>(), busy * budget.headroom);
    if cores < needed {
        return Err(BlockReason::Cores(cores, needed));
    }
    // A zone in which an executor is already missing keeps more than half of its executors.
    if let Some(zone) = executors.get(next).map(|m| m.zone) {
        let in_zone = |id: &str| executors.get(id).is_some_and(|m| m.zone == zone);
        let all = executors.values().filter(|m| m.zone == zone).count();
        let missing_in_zone = missing.iter().filter(|id| in_zone(id)).count();
        if missing_in_zone > 0 && 2 * (missing_in_zone + 1) >= all {
            return Err(BlockReason::Zone(zone));
        }
    }
    Ok(next.to_string())
}
