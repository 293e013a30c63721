//! Why a request ended, as logs and counters name it.

use std::fmt::{self, Display};

/// Why a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndReason {
    /// It was served.
    Served,
    /// Rejected on arrival by an admission rule: too costly under the present load, or over its tenant's quota.
    OverLimit,
    /// Rejected on arrival: what is before it in its key's queue takes longer than its client waits.
    KeyQueueTooLong,
    /// It waited in its key's queue until it could not finish in time.
    KeyQueueTimedOut,
    /// No executor may take it, or none that is usable.
    NoExecutor,
    /// Its last attempt failed, and no retry is allowed.
    NoFurtherAttempt,
    /// It missed its latency objective in an overload, and was given up in favour of others.
    Overloaded,
    /// Its deadline is over.
    Deadline,
    /// This dispatcher shuts down before it could be served.
    Stopping,
    /// Too many requests were open.
    TooManyOpen,
    /// Answered on the decision of another part: the control plane, the admission policy or overload control.
    DecidedOutside,
    /// The lease that gave the right to act on it was lost.
    LeaseLost,
}

impl EndReason {
    /// All of them, in order.
    pub const ALL: [EndReason; 12] = [
        EndReason::Served,
        EndReason::OverLimit,
        EndReason::KeyQueueTooLong,
        EndReason::KeyQueueTimedOut,
        EndReason::NoExecutor,
        EndReason::NoFurtherAttempt,
        EndReason::Overloaded,
        EndReason::Deadline,
        EndReason::Stopping,
        EndReason::TooManyOpen,
        EndReason::DecidedOutside,
        EndReason::LeaseLost,
    ];

    /// Its name in logs and counters, as the operators' pages give it.
    pub fn name(self) -> &'static str {
        match self {
            EndReason::Served => "served",
            EndReason::OverLimit => "over_limit",
            EndReason::KeyQueueTooLong => "line_too_long",
            EndReason::KeyQueueTimedOut => "line_timed_out",
            EndReason::NoExecutor => "no_engine",
            EndReason::NoFurtherAttempt => "no_further_attempt",
            EndReason::Overloaded => "overloaded",
            EndReason::Deadline => "deadline",
            EndReason::Stopping => "stopping",
            EndReason::TooManyOpen => "too_many_open",
            EndReason::DecidedOutside => "elsewhere",
            EndReason::LeaseLost => "lease_lost",
        }
    }
}

impl Display for EndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// How many requests ended for each reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndCounts([u64; EndReason::ALL.len()]);

impl EndCounts {
    /// Counts one.
    pub fn add(&mut self, reason: EndReason) {
        self.0[reason as usize] += 1;
    }

    /// How many ended for a reason.
    pub fn of(&self, reason: EndReason) -> u64 {
        self.0[reason as usize]
    }
}

impl Display for EndCounts {
    /// Those that ever happened, as `name:count` with commas.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for reason in EndReason::ALL.into_iter().filter(|r| self.of(*r) > 0) {
            write!(f, "{separator}{reason}:{}", self.of(reason))?;
            separator = ",";
        }
        Ok(())
    }
}
