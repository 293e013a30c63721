//! Counters since the start of the process.

use crate::api::EndCounts;

/// Counters since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests accepted.
    pub taken: u64,
    /// Requests answered with a result.
    pub served: u64,
    /// Requests rejected.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose client disconnected before the answer.
    pub left: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Attempts stopped at their request's deadline or at the loss of its lease.
    pub expired: u64,
    /// Attempts lost with their connection.
    pub lost: u64,
    /// Attempts that never reached an executor.
    pub never_sent: u64,
    /// Probes started.
    pub probes: u64,
    /// Final answers by reason.
    pub ends: EndCounts,
}
