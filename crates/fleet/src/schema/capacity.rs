//! Checks whether an executor may be taken out for an upgrade, by applying the maintenance budget to the
//! clients of each schema version separately. An upgrade that would leave a version short of capacity waits,
//! and the reason is reported.

use super::{Schema, Version};
use crate::plan::{Budget, ExecutorInfo, Plan, Step};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The range of versions that a client supports: oldest and newest.
pub type VersionRange = (Version, Version);

/// Usage by the clients of one version range.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Cores busy for them now.
    pub busy: f64,
    /// Their sessions, including idle ones.
    pub sessions: usize,
}

/// Why an executor must stay in service.
#[derive(Debug, Clone, PartialEq)]
pub enum Shortfall {
    /// Clients limited to these versions would have too few cores.
    Cores {
        /// The executor.
        id: String,
        /// The versions they support, restricted to the window.
        range: VersionRange,
        /// Cores that would remain.
        left: f64,
        /// Cores they need.
        needed: f64,
    },
    /// Clients limited to these versions would have no executor left.
    NoExecutor {
        /// The executor.
        id: String,
        /// The versions they support, restricted to the window.
        range: VersionRange,
        /// Number of their sessions.
        sessions: usize,
    },
}

impl fmt::Display for Shortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let label = |(a, b): &VersionRange| {
            if a == b { format!("schema {a}") } else { format!("schemas {a} to {b}") }
        };
        match self {
            Shortfall::Cores { id, range, left, needed } => {
                write!(f, "{id}: {} would be left {left:.1} of the {needed:.1} cores needed", label(range))
            }
            Shortfall::NoExecutor { id, range, sessions } => {
                write!(f, "{id}: {} would have no motor left for {sessions} sessions", label(range))
            }
        }
    }
}

/// Checks whether the executor `id` may leave. Without it and the executors missing by the plan, the clients
/// of every version range must need no more cores, multiplied by the budget's `headroom`, than the executors
/// holding a version of that range have. `demand` is keyed by the range that clients support. Versions under
/// which no work may start are ignored, and so are clients that support only those: they are refused
/// regardless of executors.
pub fn can_leave(
    id: &str,
    schema: &Schema,
    plan: &Plan,
    executors: &BTreeMap<String, ExecutorInfo>,
    demand: &BTreeMap<VersionRange, Usage>,
    budget: &Budget,
) -> Result<(), Shortfall> {
    let starts = schema.starts(None);
    let stays = |m: &str| m != id && !plan.step(m).is_some_and(Step::missing);
    let mut cores: BTreeMap<Version, f64> = BTreeMap::new();
    for (m, executor) in executors.iter().filter(|(m, executor)| executor.up && stays(m)) {
        if let Some(version) = schema.executors().version(m) {
            *cores.entry(version).or_default() += executor.cores;
        }
    }
    let clamped = |&(a, b): &VersionRange| {
        let mut within = starts.iter().copied().filter(|v| (a..=b).contains(v));
        within.next().map(|first| (first, within.next_back().unwrap_or(first)))
    };
    let mut needs: BTreeMap<VersionRange, Usage> = BTreeMap::new();
    for (range, used) in demand {
        if let Some(range) = clamped(range) {
            let all = needs.entry(range).or_default();
            (all.busy, all.sessions) = (all.busy + used.busy.max(0.0), all.sessions + used.sessions);
        }
    }
    // Ranges are intervals, so all demand fits at once exactly if, for each interval, the demand of the
    // ranges inside it fits into it.
    let bounds: BTreeSet<Version> = needs.keys().flat_map(|&(a, b)| [a, b]).collect();
    for &from in &bounds {
        for &to in bounds.range(from..) {
            let inside = needs.iter().filter(|((a, b), _)| *a >= from && *b <= to).map(|(_, used)| used);
            let (busy, sessions) = inside.fold((0.0, 0), |(b, s), u| (b + u.busy, s + u.sessions));
            let remaining: f64 = cores.range(from..=to).map(|(_, c)| c).sum();
            let needed = busy * budget.headroom;
            let (id, range) = (id.to_string(), (from, to));
            if sessions > 0 && remaining <= 0.0 {
                return Err(Shortfall::NoExecutor { id, range, sessions });
            }
            if remaining < needed {
                return Err(Shortfall::Cores { id, range, left: remaining, needed });
            }
        }
    }
    Ok(())
}
