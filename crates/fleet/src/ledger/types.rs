//! What stands on record, and what moves it.

use crate::{Holder, Micros};
use serde::{Deserialize, Serialize};

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// Nothing of it is left that matters: it never ran, or may run again. The record goes.
    Gone,
    /// It ran and was answered; the pages of its result, or none where they were too large to keep.
    Served(Option<Vec<Vec<u8>>>),
    /// It ended in an error and may have run.
    Failed,
    /// Its owner was lost, and it may have run: it never runs again.
    Unknown,
}

/// A request on record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The id of the try that opened it.
    pub rid: u64,
    /// Its class, an index.
    pub class: u16,
    /// Its tenant, an index.
    pub tenant: Option<u16>,
    /// Its key, in classes that keep order.
    pub key: Option<u64>,
    /// Its group of tables.
    pub group: u64,
    /// Estimated work of all threads, in seconds.
    pub work_s: Option<f64>,
    /// Estimated memory in MB.
    pub memory_mb: Option<f64>,
    /// It may run more than once.
    pub repeats: bool,
    /// The statement, where it may be sent again by another and is short enough.
    pub statement: Option<String>,
    /// When its client gives up, by the Unix clock.
    pub deadline: Micros,
    /// Where it was sent, in order: the executors' numbers.
    pub tried: Vec<u32>,
    /// The number of the policy that admitted it; 0 for that of the settings.
    pub policy: u64,
}

/// What happens to the record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A request comes into hand.
    Open(Holder, u64, Record),
    /// It was sent to an executor.
    Tried(Holder, u64, u32),
    /// It is over.
    Close(Holder, u64, End),
}

/// What a command did.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// The record was opened by its holder.
    Opened(Holder, u64),
    /// It was not: it is on record already.
    Taken(Holder, u64),
    /// It was not: there are too many.
    Full(Holder, u64),
    /// It was not: the holder's lease is over.
    Fenced(Holder, u64),
    /// The record has a new owner, as the old one was lost.
    Claimed {
        /// The request.
        ask: u64,
        /// Who owned it.
        from: Holder,
        /// Who owns it now.
        by: Holder,
    },
    /// The request is over.
    Closed(u64, End),
}

/// What bounds the record; the same at every peer, so it comes with the founding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Records at most.
    pub records: u32,
    /// How long after its deadline an ended request that must not run twice is remembered.
    pub remember: Micros,
}
