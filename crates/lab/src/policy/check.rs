//! What has to hold of switches, checked on accounts from outside and on logs.

use super::lines::{Line, What};
use super::sides::Side;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

/// A switch, as far as it is seen from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window {
    /// Before it was proposed.
    pub begun: SystemTime,
    /// Once all dispatchers told the same again.
    pub over: SystemTime,
    /// The side that it binds to.
    pub to: Side,
}

/// A try that reached an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reached {
    /// The name of the try.
    pub rid: u64,
    /// Its class.
    pub class: String,
    /// The side of the executor.
    pub side: Side,
    /// When.
    pub at: SystemTime,
}

/// A try that reached the old side though it was asked after the new one had served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wrong {
    /// Which switch, by place.
    pub switch: usize,
    /// The try.
    pub rid: u64,
    /// Asked so long after the first of its class reached the new side.
    pub after: Duration,
}

/// Tries that were asked after the first of their class had reached the new side of a switch, and reached the old
/// one before the next switch. What was asked before the last switch had ended opens no side: it may be resent.
/// `asked` has each try's time at its client; switches and what was reached are in order of time.
pub fn wrong_side(windows: &[Window], asked: &BTreeMap<u64, SystemTime>, reached: &[Reached]) -> Vec<Wrong> {
    let mut all = Vec::new();
    for (switch, w) in windows.iter().enumerate() {
        let settled = switch.checked_sub(1).map_or(SystemTime::UNIX_EPOCH, |s| windows[s].over);
        let end = windows.get(switch + 1).map(|n| n.begun);
        let from = reached.partition_point(|r| r.at < w.begun);
        let to = end.map_or(reached.len(), |end| reached.partition_point(|r| r.at < end));
        let mut first: BTreeMap<&str, SystemTime> = BTreeMap::new();
        for r in &reached[from..to.max(from)] {
            let Some(&asked) = asked.get(&r.rid) else { continue };
            if r.side == w.to && asked >= settled {
                first.entry(&r.class).or_insert(r.at);
            }
            let after = first.get(r.class.as_str()).and_then(|f| asked.duration_since(*f).ok());
            if let Some(after) = after.filter(|a| r.side != w.to && !a.is_zero()) {
                all.push(Wrong { switch, rid: r.rid, after });
            }
        }
    }
    all
}

/// Tries that were admitted under a policy after another had been admitted under a later one, anywhere.
pub fn admitted_late(lines: &[Line]) -> Vec<Line> {
    let under = |l: &Line| match l.what {
        What::Admitted(_, policy) => Some((l.at, policy)),
        _ => None,
    };
    let mut all: Vec<(SystemTime, u64, &Line)> =
        lines.iter().filter_map(|l| under(l).map(|(at, policy)| (at, policy, l))).collect();
    all.sort_by_key(|(at, policy, _)| (*at, *policy));
    let (mut latest, mut late) = (0, Vec::new());
    for (_, policy, line) in all {
        if policy < latest {
            late.push(*line);
        }
        latest = latest.max(policy);
    }
    late
}

/// Numbers that are in force at one dispatcher and given up at another, or at the same one.
pub fn halves(lines: &[Line]) -> BTreeSet<u64> {
    let of = |pick: fn(What) -> Option<u64>| -> BTreeSet<u64> {
        lines.iter().filter_map(|l| pick(l.what)).collect()
    };
    let held = of(|w| if let What::InForce(n) = w { Some(n) } else { None });
    let given_up = of(|w| if let What::GivenUp(n) = w { Some(n) } else { None });
    held.intersection(&given_up).copied().collect()
}

/// How long a switch took from the last vote for it: to the first and to the last dispatcher that had it in force.
pub fn took(lines: &[Line], number: u64) -> Option<(Duration, Duration)> {
    let voted = lines.iter().filter(|l| l.what == What::Voted(number, true)).map(|l| l.at).max()?;
    // One that was started anew says it again.
    let mut held: BTreeMap<usize, SystemTime> = BTreeMap::new();
    for l in lines.iter().filter(|l| l.what == What::InForce(number)) {
        let at = held.entry(l.who).or_insert(l.at);
        *at = (*at).min(l.at);
    }
    let since = |at: &SystemTime| at.duration_since(voted).unwrap_or_default();
    Some((since(held.values().min()?), since(held.values().max()?)))
}

/// How many of these refusals fell into the time of a switch; the times are in order.
pub fn refusals(w: &Window, refused: &[SystemTime]) -> usize {
    refused.partition_point(|r| *r <= w.over) - refused.partition_point(|r| *r < w.begun)
}
