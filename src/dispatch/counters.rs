//! Counts since the start.

use crate::api::EndCounts;

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests accepted.
    pub taken: u64,
    /// Requests answered with a result.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose client disconnected before their answer.
    pub left: u64,
    /// Attempts decided on.
    pub attempts: u64,
    /// Attempts stopped at their request's deadline or with its lease.
    pub expired: u64,
    /// Attempts lost with their connection.
    pub lost: u64,
    /// Attempts that never reached an executor.
    pub never_sent: u64,
    /// Probes decided on.
    pub probes: u64,
    /// Final answers by reason.
    pub ends: EndCounts,
}
