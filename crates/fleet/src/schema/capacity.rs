//! Whether an executor may be taken out, to come back with the next version: counted by the maintenance budget,
//! for the clients of each version apart. An upgrade that would leave one short waits, and says why.

use super::{Schema, Version};
use crate::plan::{Budget, Machine, Plan, Step};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Versions that a client speaks, the oldest and the newest of them.
pub type Span = (Version, Version);

/// What the clients of one span use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Use {
    /// Cores that work for them now.
    pub busy: f64,
    /// Sessions, idle ones included.
    pub sessions: usize,
}

/// Why an executor stays.
#[derive(Debug, Clone, PartialEq)]
pub enum Short {
    /// Those who speak nothing else would have too few cores.
    Cores {
        /// The executor.
        id: String,
        /// The versions that they speak, of those in the window.
        span: Span,
        /// Cores that would be left.
        left: f64,
        /// Cores that they need.
        needed: f64,
    },
    /// Those who speak nothing else would have no executor at all.
    Last {
        /// The executor.
        id: String,
        /// The versions that they speak, of those in the window.
        span: Span,
        /// Their sessions.
        sessions: usize,
    },
}

impl fmt::Display for Short {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let words =
            |(a, b): &Span| if a == b { format!("schema {a}") } else { format!("schemas {a} to {b}") };
        match self {
            Short::Cores { id, span, left, needed } => {
                write!(f, "{id}: {} would be left {left:.1} of the {needed:.1} cores needed", words(span))
            }
            Short::Last { id, span, sessions } => {
                write!(f, "{id}: {} would have no motor left for {sessions} sessions", words(span))
            }
        }
    }
}

/// Whether the executor `id` may leave: without it and all that the plan has missing, the clients of every span of
/// versions need no more cores than those who hold one of its versions have, with the budget's `headroom`. `demand`
/// is by what clients speak; parts of a span under which nothing may begin do not count, and neither do those who
/// speak nothing else: they are refused wherever executors are.
pub fn may_leave(
    id: &str,
    schema: &Schema,
    plan: &Plan,
    machines: &BTreeMap<String, Machine>,
    demand: &BTreeMap<Span, Use>,
    budget: &Budget,
) -> Result<(), Short> {
    let starts = schema.starts(None);
    let stays = |m: &str| m != id && !plan.step(m).is_some_and(Step::missing);
    let mut cores: BTreeMap<Version, f64> = BTreeMap::new();
    for (m, machine) in machines.iter().filter(|(m, machine)| machine.up && stays(m)) {
        if let Some(version) = schema.executors().version(m) {
            *cores.entry(version).or_default() += machine.cores;
        }
    }
    let clipped = |&(a, b): &Span| {
        let mut within = starts.iter().copied().filter(|v| (a..=b).contains(v));
        within.next().map(|first| (first, within.next_back().unwrap_or(first)))
    };
    let mut needs: BTreeMap<Span, Use> = BTreeMap::new();
    for (span, used) in demand {
        if let Some(span) = clipped(span) {
            let all = needs.entry(span).or_default();
            (all.busy, all.sessions) = (all.busy + used.busy.max(0.0), all.sessions + used.sessions);
        }
    }
    // Spans are intervals, so that all fit at once exactly if those inside each interval fit into it.
    let ends: BTreeSet<Version> = needs.keys().flat_map(|&(a, b)| [a, b]).collect();
    for &from in &ends {
        for &to in ends.range(from..) {
            let inside = needs.iter().filter(|((a, b), _)| *a >= from && *b <= to).map(|(_, used)| used);
            let (busy, sessions) = inside.fold((0.0, 0), |(b, s), u| (b + u.busy, s + u.sessions));
            let left: f64 = cores.range(from..=to).map(|(_, c)| c).sum();
            let needed = busy * budget.headroom;
            let (id, span) = (id.to_string(), (from, to));
            if sessions > 0 && left <= 0.0 {
                return Err(Short::Last { id, span, sessions });
            }
            if left < needed {
                return Err(Short::Cores { id, span, left, needed });
            }
        }
    }
    Ok(())
}
