//! What holds of the accounts of clients and executors, whatever is measured.

use super::clients::{Account, Ended};
use standins::executor::Pull;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An executor that is told to stop, or whose connection ends, may take this long to see it.
const NOTICED: Duration = Duration::from_millis(60);

/// What the clients got, counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Answers {
    /// Requests.
    pub asked: usize,
    /// Of these, without an answer at the end of all patience.
    pub unanswered: usize,
    /// With two answers, or with bytes after the one.
    pub two: usize,
    /// Loads that failed, and may have run.
    pub failed_loads: usize,
    /// Reads that failed.
    pub failed_reads: usize,
    /// Tries that had no answer in their time though the connection stood.
    pub mute: u64,
}

/// Counts what clients got.
pub fn answers<'a>(accounts: impl Iterator<Item = &'a Account>) -> Answers {
    let mut all = Answers::default();
    for a in accounts {
        let failed = a.end == Some(Ended::Failed);
        all.asked += 1;
        all.unanswered += usize::from(a.end.is_none());
        all.two += usize::from(a.answers > 1 || a.second);
        all.failed_loads += usize::from(failed && a.load);
        all.failed_reads += usize::from(failed && !a.load);
        all.mute += u64::from(a.mute);
    }
    all
}

/// What the executors saw.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Seen {
    /// Loads that reached executors more than once.
    pub twice: u64,
    /// Reads that ran at two executors at once.
    pub beside: Vec<u64>,
    /// Requests that reached executors, and sends of them.
    pub requests: u64,
    /// All sends.
    pub sends: u64,
}

/// The name that a request's statement carries.
pub fn ask_of(p: &Pull) -> Option<u64> {
    let token =
        p.statement.split(['(', ')', ' ']).find(|w| w.len() > 2 && w.starts_with('t') && w.ends_with('t'))?;
    u64::from_str_radix(&token[1..token.len() - 1], 16).ok()
}

/// The try that an execution is of: dispatchers pass its `rid` on unchanged.
pub fn try_of(p: &Pull) -> Option<u64> {
    u64::from_str_radix(&p.id, 16).ok()
}

/// Reads what the executors saw: sends of each name, and which ran beside each other.
pub fn seen<'a>(pulls: impl Iterator<Item = &'a Pull>, excused: &BTreeSet<u64>) -> Seen {
    let mut of: BTreeMap<u64, Vec<&Pull>> = BTreeMap::new();
    for p in pulls {
        if let Some(ask) = ask_of(p) {
            of.entry(ask).or_default().push(p);
        }
    }
    let mut seen = Seen { requests: of.len() as u64, ..Seen::default() };
    for (ask, mut all) in of {
        seen.sends += all.len() as u64;
        let load = all.iter().any(|p| p.class() == "load");
        seen.twice += u64::from(load && all.len() > 1);
        all.sort_by_key(|p| p.at);
        let beside = all.windows(2).any(|w| w[0].ended.is_none_or(|end| w[1].at + NOTICED < end));
        if !load && beside && !excused.contains(&ask) {
            seen.beside.push(ask);
        }
    }
    seen
}

#[cfg(test)]
mod tests;
