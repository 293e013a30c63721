//! Records of the ledger, its commands and their effects.

use crate::{Holder, Micros};
use serde::{Deserialize, Serialize};

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It never ran, or may run again; its record is removed.
    Removed,
    /// It ran and was answered: the result pages, or `None` if they were too large to keep.
    Served(Option<Vec<Vec<u8>>>),
    /// It ended in an error and may have run.
    Failed,
    /// Its owner was lost and it may have run; it is never run again.
    Unknown,
}

/// A digest of what a request asks for, the same over all its tries and different from that of any other request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestDigest(pub [u8; 32]);

impl RequestDigest {
    /// The id under which peers ask for the result of the request and send it: its first eight bytes.
    pub fn result_id(&self) -> u64 {
        self.0.iter().take(8).rev().fold(0, |id, byte| id << 8 | u64::from(*byte))
    }
}

/// The record of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The id of the attempt that opened the record.
    pub attempt_id: u64,
    /// The index of its class.
    pub class: u16,
    /// The index of its tenant.
    pub tenant: Option<u16>,
    /// Its ordering key, in classes that keep order.
    pub key: Option<u64>,
    /// Its table group.
    pub group: u64,
    /// Estimated work summed over all threads, in seconds.
    pub work_s: Option<f64>,
    /// Estimated memory in MB.
    pub memory_mb: Option<f64>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The statement, if the request may run more than once and the statement is short enough to keep.
    pub statement: Option<String>,
    /// Its deadline, in Unix time.
    pub deadline: Micros,
    /// The numbers of the executors that it was sent to, in order.
    pub executors_tried: Vec<u32>,
    /// The number of the policy that admitted it; 0 for the policy of the settings.
    pub policy: u64,
    /// The digest of the request; `None` if an earlier release, which has none, opened or passed on the record. Not a
    /// part of the record's encoding, which earlier releases read: see [`crate::extension`].
    #[serde(skip)]
    pub digest: Option<RequestDigest>,
}

impl Record {
    /// Whether both records are of tries of one request. Without a digest of either, this is decided by what an earlier
    /// release recorded, and two requests that differ in their statement alone may be taken for one.
    pub fn is_same_request(&self, other: &Record) -> bool {
        if let (Some(digest), Some(other)) = (self.digest, other.digest) {
            return digest == other;
        }
        let fields =
            |record: &Record| (record.class, record.tenant, record.key, record.group, record.repeatable);
        let statements_differ = match (&self.statement, &other.statement) {
            (Some(statement), Some(other)) => statement != other,
            _ => false,
        };
        fields(self) == fields(other) && !statements_differ
    }
}

/// A command to the ledger.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Opens the record of a request.
    Open(Holder, u64, Record),
    /// Adds an executor that the request was sent to.
    AddAttempt(Holder, u64, u32),
    /// Ends a request.
    Close(Holder, u64, Outcome),
}

/// The result of applying a command.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// The holder has opened the record and owns the request.
    Opened(Holder, u64),
    /// Not opened: the request has a record already.
    AlreadyRecorded(Holder, u64),
    /// Not opened: the ledger is full.
    Full(Holder, u64),
    /// Not opened: the holder's lease has ended.
    LeaseEnded(Holder, u64),
    /// The request has a new owner, as the lease of the old one ended.
    Reassigned {
        /// The request.
        request_id: u64,
        /// The previous owner.
        from: Holder,
        /// The new owner.
        by: Holder,
    },
    /// The request has ended.
    Closed(u64, Outcome),
}

/// Limits of the ledger. They have to be the same at all peers, so they are part of the fleet's initial configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The most records.
    pub records: u32,
    /// How long after its deadline the record of an ended request that must not run twice is kept.
    pub retention: Micros,
}
