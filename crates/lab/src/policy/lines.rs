//! What dispatchers say of policies: lines of their logs, answers to `POLICY STATUS`.

use crate::daemon::Event;
use std::collections::BTreeMap;
use std::time::SystemTime;

/// What a log line tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum What {
    /// A try, by its name, is admitted under a policy.
    Admitted(u64, u64),
    /// A policy is in force.
    InForce(u64),
    /// A policy was given up.
    GivenUp(u64),
    /// A dispatcher admits no more under the policy before this.
    Closing(u64),
    /// A vote on a policy, and whether it was a yes.
    Voted(u64, bool),
}

/// A line of a dispatcher's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Line {
    /// Which dispatcher.
    pub who: usize,
    /// When it was written.
    pub at: SystemTime,
    /// What it tells.
    pub what: What,
}

impl Line {
    /// Reads one; none if it tells nothing of policies.
    pub fn of(who: usize, e: &Event) -> Option<Line> {
        let number = e.number("number");
        let what = match e.message() {
            "admitted" => {
                What::Admitted(u64::from_str_radix(e.text("request"), 16).ok()?, e.number("policy")?)
            }
            "policy: in force" => What::InForce(number?),
            "policy: given up" => What::GivenUp(number?),
            "policy: closing" => What::Closing(number?),
            "policy: voted" => What::Voted(number?, e.yes("yes")),
            _ => return None,
        };
        Some(Line { who, at: e.at, what })
    }

    /// Whether it tells of an admission.
    pub fn admits(&self) -> bool {
        matches!(self.what, What::Admitted(..))
    }
}

/// What a dispatcher answers when it is asked how policies stand.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Status {
    /// The number in force.
    pub in_force: u64,
    /// A proposal is under way.
    pub under_way: bool,
    /// How earlier proposals ended, by number: whether they took hold.
    pub ended: BTreeMap<u64, bool>,
}

impl Status {
    /// Reads the answer; none if it is none.
    pub fn of(answer: &str) -> Option<Status> {
        let mut lines = answer.lines();
        let first = lines.next()?.strip_prefix("+OK policy ")?;
        let mut status = Status { in_force: first.split(' ').next()?.parse().ok()?, ..Status::default() };
        // It may itself be behind what it knows to be in force, or the fleet may have lost its record.
        status.under_way = first.ends_with(" here");
        for line in lines {
            let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
            status.under_way |= matches!(word, "proposed" | "the");
            let ended =
                [("in force", true), ("given up", false)].into_iter().find(|(w, _)| rest.starts_with(w));
            if let (Ok(number), Some((_, held))) = (word.parse(), ended) {
                status.ended.insert(number, held);
            }
        }
        Some(status)
    }

    /// Whether what was proposed has come to its end here.
    pub fn knows(&self, number: u64) -> bool {
        self.in_force >= number || self.ended.contains_key(&number)
    }
}

/// The number that a proposal got; none if it was refused, or nobody answered.
pub fn proposed(answer: &str) -> Option<u64> {
    answer.trim().strip_prefix("+OK proposed ")?.split(' ').next()?.parse().ok()
}

#[cfg(test)]
mod tests;
