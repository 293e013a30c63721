//! What moves the slots.

use crate::{Holder, Micros};
use serde::{Deserialize, Serialize};

/// What is lent, and how.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// Slots of the moment; more than [`super::MOST`] count as that.
    pub total: u16,
    /// How long a slot is lent without a renewal, by the leader's clock.
    pub term: Micros,
    /// How long a holder that has more than its part may go on renewing what others lack: the longest request.
    pub longest: Micros,
}

/// Moves it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// The slots of the moment, and the terms.
    Set(Terms),
    /// A holder gives back some of what it has, renews the rest and asks for more.
    Hold {
        /// Who.
        holder: Holder,
        /// Grows with each of its commands; one that comes again is skipped.
        number: u64,
        /// Slots that it gives back of those it has. It uses them no more from the moment that it asks.
        back: u16,
        /// Its share by its own word.
        want: u16,
        /// What it could fill while nobody lacks any of its share.
        most: u16,
    },
}
