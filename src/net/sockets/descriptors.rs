//! Division of the configured file descriptor limit between kinds of connections.
//!
//! Without separate shares, idle clients used up all descriptors while the coordinator was down, and the
//! connection to the coordinator could not be reopened when it came back.

use std::num::NonZeroUsize;

/// Descriptors that every dispatcher needs in addition: standard streams (3), the poller (3), the signal
/// stream with its write ends (4), the listener, the coordinator watch and its predecessor (2), a file being
/// read, one newly accepted connection, and the pipes of this process and of the other processes of this
/// dispatcher (9).
const RESERVED_DESCRIPTORS: usize = 24;
/// Descriptors that are left free beyond the share of executor connections.
const EXECUTOR_MARGIN: usize = 24;

/// Maximum number of connections of each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::net) struct DescriptorShares {
    /// Clients being served. The protocol allows clients at most a third of the descriptors.
    pub(in crate::net) clients: usize,
    /// Further clients whose connections are closing.
    pub(in crate::net) lingering: usize,
    /// Connections to executors.
    pub(in crate::net) executors: usize,
    /// Connections to the operators' address.
    pub(in crate::net) callers: usize,
}

impl DescriptorShares {
    /// Divides a total number of descriptors.
    pub(in crate::net) fn new(total: usize) -> DescriptorShares {
        let lingering = (total / 16).clamp(1, 16);
        DescriptorShares {
            clients: (total / 2).saturating_sub(lingering).max(8),
            lingering,
            executors: (total * 3 / 8).saturating_sub(EXECUTOR_MARGIN).max(8),
            callers: (total / 8).clamp(1, 32),
        }
    }

    /// Maximum number of descriptors open at the same time.
    pub(in crate::net) fn max_open(&self) -> NonZeroUsize {
        let own = NonZeroUsize::MIN.saturating_add(RESERVED_DESCRIPTORS - 1);
        own.saturating_add(self.clients + self.lingering + self.executors + self.callers)
    }
}

/// Minimum total for which the shares fit. With fewer descriptors, the newest idle client is closed when a
/// descriptor is needed.
pub(in crate::net) const MIN_TOTAL: usize = 64;

const _: () = assert!(RESERVED_DESCRIPTORS < MIN_TOTAL);

#[cfg(test)]
mod tests;
