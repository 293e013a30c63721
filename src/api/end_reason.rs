//! The reason why a request ended, as named in logs and counters.

use std::fmt::{self, Display};

/// The reason why a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndReason {
    /// Served successfully.
    Served,
    /// Rejected on arrival by an admission rule: too expensive at the current load, or over its tenant's quota.
    OverLimit,
    /// Rejected on arrival: the requests ahead of it in its key's queue take longer than its client waits.
    KeyQueueTooLong,
    /// Rejected while queued for its key, once it could no longer finish in time.
    KeyQueueTimedOut,
    /// No eligible executor, or none that is healthy.
    NoExecutor,
    /// Its last attempt failed, and no retry was allowed.
    NoFurtherAttempt,
    /// Shed in an overload after it had missed its latency objective, in favour of other requests.
    Overloaded,
    /// Its deadline passed.
    Deadline,
    /// This dispatcher shut down, or will before the request could finish.
    Stopping,
    /// Too many requests were open on arrival.
    TooManyOpen,
    /// Answered by another component: the control plane, the admission policy or overload control.
    DecidedOutside,
    /// The lease that authorised this dispatcher to act on it was lost.
    LeaseLost,
}

impl EndReason {
    /// All reasons, in declaration order.
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

    /// The name in logs and counters, as documented for operators.
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

/// Number of requests that ended, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndCounts([u64; EndReason::ALL.len()]);

impl EndCounts {
    /// Counts one request.
    pub fn add(&mut self, reason: EndReason) {
        self.0[reason as usize] += 1;
    }

    /// Number of requests that ended for `reason`.
    pub fn of(&self, reason: EndReason) -> u64 {
        self.0[reason as usize]
    }
}

impl Display for EndCounts {
    /// Writes the non-zero counts as a comma-separated list of `name:count`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for reason in EndReason::ALL.into_iter().filter(|r| self.of(*r) > 0) {
            write!(f, "{separator}{reason}:{}", self.of(reason))?;
            separator = ",";
        }
        Ok(())
    }
}
