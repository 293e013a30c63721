//! How many of the file descriptors that the configuration allows each side may have.
//!
//! Without shares, idle clients took all descriptors while the coordinator was down, and the connection to it could
//! not be opened again when it came back.

use std::num::NonZeroUsize;

/// Descriptors that every dispatcher has open besides: standard streams (3), the poller (3), the signals' stream with
/// its writing ends (4), the listener, the feed with the one before it (2), a file that is read, and one just
/// accepted.
const OWN_DESCRIPTORS: usize = 15;
/// Descriptors that connections to executors leave free beyond their share.
const EXECUTOR_MARGIN: usize = 24;

/// The most connections of each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::net) struct DescriptorShares {
    /// Clients that are served. The protocol has them hold a third of the descriptors at most.
    pub(in crate::net) clients: usize,
    /// Clients beyond them that only read their last bytes.
    pub(in crate::net) lingering: usize,
    /// Connections to executors.
    pub(in crate::net) executors: usize,
    /// Connections to the operators' address.
    pub(in crate::net) callers: usize,
}

impl DescriptorShares {
    /// Shares out so many descriptors.
    pub(in crate::net) fn new(total: usize) -> DescriptorShares {
        let lingering = (total / 16).clamp(1, 16);
        DescriptorShares {
            clients: (total / 2).saturating_sub(lingering).max(8),
            lingering,
            executors: (total * 3 / 8).saturating_sub(EXECUTOR_MARGIN).max(8),
            callers: (total / 8).clamp(1, 32),
        }
    }

    /// All that may be open at once.
    pub(in crate::net) fn most_open(&self) -> NonZeroUsize {
        let own = NonZeroUsize::MIN.saturating_add(OWN_DESCRIPTORS - 1);
        own.saturating_add(self.clients + self.lingering + self.executors + self.callers)
    }
}

/// With fewer in all, the shares do not fit together; the newest idle client is then closed for whoever needs one.
pub(in crate::net) const LEAST_TOTAL: usize = 64;

const _: () = assert!(OWN_DESCRIPTORS < LEAST_TOTAL);

#[cfg(test)]
mod tests;
