//! Commands of the slot leases.

use crate::{Holder, Micros};
use serde::{Deserialize, Serialize};

/// The number of slots and the terms of their leases.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTerms {
    /// The current number of slots, capped at [`super::MAX_SLOTS`].
    pub total: u16,
    /// Duration of a slot's lease without a renewal, by the leader's clock.
    pub term: Micros,
    /// How long a holder may keep renewing slots that were recalled for others: the duration of the longest request.
    pub max_request_duration: Micros,
}

/// A command to the slot leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Sets the number of slots and the terms.
    SetTerms(LeaseTerms),
    /// Returns some of a holder's slots, renews the rest and requests more.
    Update {
        /// The holder.
        holder: Holder,
        /// The sequence number, which grows with each command of the holder; duplicates are skipped.
        sequence: u64,
        /// The number of slots that it returns. It stops using them when it sends the command.
        returned: u16,
        /// The number of slots that it needs.
        needed: u16,
        /// The number of slots that it could use while no holder has too few.
        max_usable: u16,
    },
}
