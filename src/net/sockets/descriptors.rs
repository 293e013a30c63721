//! How the file descriptors that the configuration allows are shared out, so that no side can take another's.

use std::num::NonZeroUsize;

/// What every dispatcher has open besides: standard streams (3), the poller (3), the signals' stream with its writing
/// ends (4), the listener, the feed with the one before it (2), a file that is read, and one just accepted.
const OWN: usize = 15;
/// Connections to executors keep clear of this many.
const APART: usize = 24;

/// The most of each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::net) struct Descriptors {
    /// Clients that are served. The protocol has them hold a third of the descriptors at most.
    pub(in crate::net) clients: usize,
    /// Clients beyond them that only read their last bytes.
    pub(in crate::net) lingering: usize,
    /// Connections to executors.
    pub(in crate::net) executors: usize,
    /// Callers at the operators' address.
    pub(in crate::net) callers: usize,
}

impl Descriptors {
    /// Shares out so many.
    pub(in crate::net) fn of(all: usize) -> Descriptors {
        let lingering = (all / 16).clamp(1, 16);
        Descriptors {
            clients: (all / 2).saturating_sub(lingering).max(8),
            lingering,
            executors: (all * 3 / 8).saturating_sub(APART).max(8),
            callers: (all / 8).clamp(1, 32),
        }
    }

    /// All that may be open at once.
    pub(in crate::net) fn most(&self) -> NonZeroUsize {
        let own = NonZeroUsize::MIN.saturating_add(OWN - 1);
        own.saturating_add(self.clients + self.lingering + self.executors + self.callers)
    }
}

/// A dispatcher with fewer can't keep to its shares; the newest idle client is then closed for whoever needs one.
pub(in crate::net) const LEAST: usize = 64;

const _: () = assert!(OWN < LEAST);

#[cfg(test)]
mod tests;
