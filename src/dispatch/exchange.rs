//! What the network tells and what it is told to do.

use super::{ExecutorId, Ticket};
use crate::api::{self, Micros};

/// A load report.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Requests held.
    pub inflight: Option<f64>,
    /// Share of the cores that is busy.
    pub util: Option<f64>,
    /// Requests waiting for memory.
    pub queue: Option<f64>,
    /// Share of memory granted.
    pub memory: Option<f64>,
    /// Share of disks busy.
    pub disks: Option<f64>,
}

impl Load {
    /// The same figures as the decisions take them.
    pub(super) fn report(self) -> api::Report {
        let Load { inflight, util, queue, memory, disks } = self;
        api::Report { util, inflight, queue, memory, disks }
    }
}

/// How an attempt ended; `R` is the result as the network holds it.
#[derive(Debug, Clone, PartialEq)]
pub enum End<R> {
    /// The whole result is here.
    Served(R),
    /// Turned away, it never ran.
    Full,
    /// It was over already and never ran.
    Void,
    /// An error; it may have run.
    Error,
    /// It never reached the executor whole.
    NeverSent,
    /// Its connection was lost before the executor said anything on it; it may have run.
    Lost,
    /// Its connection became of no further use: spoilt, cut off, mute or reset. It may have run, and that says
    /// nothing of the executor's health.
    Spoilt,
}

/// How a probe ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Echo {
    /// It runs, perhaps with a report.
    Up(Option<Load>),
    /// It says that it does not take requests.
    Down,
    /// No connection.
    Unreachable,
    /// The connection was lost, or was mute while others were not, which says nothing of the executor.
    Unknown,
    /// Nothing came in time.
    Silent,
}

/// Word on an attempt that is out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Word {
    /// Share done.
    Progress(f64),
    /// Megabytes missing.
    Spills(f64),
    /// It waits for memory or for a load.
    Waits,
}

/// What the network tells.
#[derive(Debug, Clone, PartialEq)]
pub enum Report<R> {
    /// An attempt is over; with the executor's load report where its answer carried one.
    Ended(Ticket, End<R>, Option<Load>),
    /// The first byte of an attempt was written: from here on it may run.
    Begun(Ticket),
    /// Word on an attempt.
    AttemptProgressed(Ticket, Word),
    /// A probe is over, after so long.
    ProbeFinished(ExecutorId, Echo, Micros),
    /// The client of a request has left.
    Left(u64),
}

/// A final answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer<R> {
    /// The result.
    Served(R),
    /// Trying again is harmless, after so many milliseconds.
    Refused(u64),
    /// Failed, with no promise.
    Failed,
}

/// The terms of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Memory granted in MB; 0 leaves it to the executor.
    pub memory_mb: f64,
    /// Priority, 0 to 3.
    pub priority: u8,
    /// When the dispatcher stops waiting.
    pub until: Micros,
    /// Its first byte has to be written by then, or the attempt ends as never sent: a rule allows it no longer.
    pub begin_by: Micros,
}

/// What the network has to do, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Order<R> {
    /// Send an attempt.
    Start {
        /// The attempt.
        ticket: Ticket,
        /// Where to.
        executor: ExecutorId,
        /// On what terms.
        terms: Terms,
    },
    /// Give an attempt up; nothing more is to be told of it.
    Stop(Ticket),
    /// The attempt's request is over: if no byte of the attempt was written yet, none may be, and it ends as never
    /// sent. One that was begun goes on.
    Withdraw(Ticket),
    /// A new priority for an attempt that is out.
    Boost(Ticket, u8),
    /// Probe an executor.
    Probe(ExecutorId),
    /// The one final answer of a request.
    Answer(u64, Answer<R>),
    /// A request whose client had left is over: its result, if it was served all the same, and whether it is
    /// certain that it never ran. Only told where that is followed.
    Past(u64, Option<R>, bool),
}
