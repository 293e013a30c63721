//! What clients and executors noted, against the terms of the protocol.

use super::clients::{Asked, BUDGET, End};
use super::executors::Attempts;
use std::time::Duration;

/// An attempt may begin this long after its client has left; the protocol's slack, and what the notes' own process may be
/// late, are on top.
const BEGINS_WITHIN: Duration = Duration::from_millis(100);
const SLACK: Duration = Duration::from_millis(50);
/// An answer may come this long after its time.
const LATE: Duration = Duration::from_millis(500);
/// The time passed on may be over what is left by this much.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// Requests by what became of them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Count {
    /// All.
    pub requests: usize,
    /// Served in time.
    pub served: usize,
    /// Sent on too long after their client had left.
    pub begun_late: usize,
    /// Without an answer.
    pub unanswered: usize,
    /// With an answer that came too late to count.
    pub answered_late: usize,
    /// With two answers, or one that no executor made for them.
    pub answered_wrong: usize,
    /// Passed on with more time than their client had left.
    pub deadline_over: usize,
    /// The longest that an attempt began after its client had left, in milliseconds.
    pub worst_begun_ms: f64,
    /// The longest that a dispatcher was stopped, in milliseconds.
    pub longest_pause_ms: f64,
}

impl Count {
    /// Requests that count as lost, and deadlines that were passed on wrongly.
    pub fn lost(&self) -> usize {
        self.begun_late + self.unanswered + self.answered_late + self.answered_wrong + self.deadline_over
    }
}

/// Counts all that was asked.
pub fn count(asked: &[Asked], attempts: &Attempts) -> Count {
    let mut count = Count { requests: asked.len(), ..Count::default() };
    for one in asked {
        let begun = attempts.get(&one.request).map_or(&[][..], Vec::as_slice);
        let left = |at| (one.at + BUDGET).saturating_duration_since(at) + DEADLINE_SLACK + SLACK;
        let over = begun.iter().any(|b| Duration::from_millis(b.wait_ms) > left(b.at));
        count.deadline_over += usize::from(over);
        match &one.end {
            End::Served(rows, at) => {
                let own = rows.iter().all(|row| row.first() == Some(&format!("{:016x}", one.request)));
                count.answered_wrong += usize::from(!own || rows.len() != 1 || begun.is_empty() || one.twice);
                count.answered_late += usize::from(*at > one.at + BUDGET + LATE);
                count.served += usize::from(*at <= one.at + BUDGET);
            }
            End::Refused(at) => {
                count.answered_wrong += usize::from(one.twice);
                count.answered_late += usize::from(*at > one.at + BUDGET + LATE);
            }
            End::Closed => count.unanswered += 1,
            End::Left(left) => {
                let after = begun.iter().map(|b| b.at.saturating_duration_since(*left)).max();
                let after = after.unwrap_or_default();
                count.worst_begun_ms = count.worst_begun_ms.max(after.as_secs_f64() * 1e3);
                count.begun_late += usize::from(after > BEGINS_WITHIN + SLACK);
            }
        }
    }
    count
}

#[cfg(test)]
mod tests;
