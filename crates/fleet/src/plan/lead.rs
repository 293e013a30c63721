//! How the plan goes on: what its leader proposes next, and what holds the next machine up.

use super::{Command, Plan, Step};
use crate::{Holder, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// A machine as a dispatcher knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Its hall.
    pub hall: usize,
    /// Its cores.
    pub cores: f64,
    /// It is on the list and takes work, bans of the plan left out.
    pub up: bool,
    /// When its process started, by the list; 0 for long ago.
    pub started: Micros,
}

/// What must stay in service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Machines at least, of all halls.
    pub machines: usize,
    /// Cores in service for each that is busy, at least.
    pub headroom: f64,
    /// Machines missing at once, at most.
    pub at_once: usize,
    /// How long work on a machine is waited for.
    pub drain_limit: Micros,
    /// How long a machine may be out.
    pub out_limit: Micros,
    /// How long it warms up.
    pub ramp: Micros,
}

/// Why the next machine does not begin.
#[derive(Debug, Clone, PartialEq)]
pub enum Holdup {
    /// Nothing waits, or the plan has stopped.
    Nothing,
    /// So many are missing already.
    AtOnce(usize),
    /// Another of its hall is missing, and the hall would fall short.
    Hall(usize),
    /// So many machines would be left.
    Machines(usize),
    /// So many cores would be left, and so many are needed.
    Cores(f64, f64),
}

/// What the leader proposes next, from the plan and what it sees: at most one command for each machine.
/// `busy` are the cores that work in all, `alive` those who have a lease.
pub fn lead(
    plan: &Plan,
    machines: &BTreeMap<String, Machine>,
    busy: f64,
    alive: &BTreeSet<Holder>,
    budget: &Budget,
    now: Micros,
) -> Vec<Command> {
    let mut commands = Vec::new();
    for (id, step) in plan.steps() {
        match step {
            Step::Drains(since, idle) => {
                let all = alive.iter().all(|h| idle.contains(h));
                if all || now > since + budget.drain_limit {
                    commands.push(Command::HandOver(id.into(), now));
                }
            }
            Step::Out(since) => {
                let back = machines.get(id).is_some_and(|m| m.up && m.started > *since);
                if back {
                    commands.push(Command::Back(id.into(), now));
                } else if now > since + budget.out_limit {
                    commands.push(Command::Fail(id.into(), "it did not come back".into()));
                }
            }
            Step::Warms(since) if now > since + budget.ramp => commands.push(Command::Warm(id.into())),
            _ => {}
        }
    }
    if let Ok(id) = may_begin(plan, machines, busy, budget) {
        commands.push(Command::Begin(id, now, plan.version));
    }
    commands
}

/// The machine that may begin now, or what holds it up.
pub fn may_begin(
    plan: &Plan,
    machines: &BTreeMap<String, Machine>,
    busy: f64,
    budget: &Budget,
) -> Result<String, Holdup> {
    let next = plan.next().ok_or(Holdup::Nothing)?;
    let missing: Vec<&str> = plan.steps().filter(|(_, s)| s.missing()).map(|(id, _)| id).collect();
    if missing.len() >= budget.at_once {
        return Err(Holdup::AtOnce(missing.len()));
    }
    let left = |(id, m): &(&String, &Machine)| m.up && id.as_str() != next && !missing.contains(&id.as_str());
    let serving: Vec<(&String, &Machine)> = machines.iter().filter(left).collect();
    if serving.len() < budget.machines {
        return Err(Holdup::Machines(serving.len()));
    }
    let (cores, needed) = (serving.iter().map(|(_, m)| m.cores).sum::<f64>(), busy * budget.headroom);
    if cores < needed {
        return Err(Holdup::Cores(cores, needed));
    }
    // A hall that has lost one already keeps more than half of its machines.
    if let Some(hall) = machines.get(next).map(|m| m.hall) {
        let of_hall = |id: &str| machines.get(id).is_some_and(|m| m.hall == hall);
        let all = machines.values().filter(|m| m.hall == hall).count();
        let gone = missing.iter().filter(|id| of_hall(id)).count();
        if gone > 0 && 2 * (gone + 1) >= all {
            return Err(Holdup::Hall(hall));
        }
    }
    Ok(next.to_string())
}
