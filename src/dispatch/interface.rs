//! What the network reports to the decisions, and what it is asked to do.

use super::{AttemptId, AttemptProgress, ExecutorId, LoadReport};
use crate::api::Micros;

/// How an attempt ended; `R` is the result as the network holds it.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEnd<R> {
    /// The whole result is here.
    Served(R),
    /// The executor rejected it: it never ran.
    Rejected,
    /// It never ran, which says nothing of the executor's health.
    NotRun,
    /// The executor reported an error; it may have run.
    Error,
    /// It never reached the executor whole. To the decisions this is a failed connection, which ejects the executor.
    NeverSent,
    /// Its connection was lost before the executor said anything on it; it may have run.
    ConnectionLost,
    /// Its connection became unusable: a malformed answer, an answer cut off, unresponsive, or reset after
    /// messages. The attempt may have run, and that says nothing of the executor's health.
    ConnectionUnusable,
}

/// How a probe ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProbeOutcome {
    /// The executor runs, perhaps with a load report.
    Up(Option<LoadReport>),
    /// The executor says that it takes no requests.
    Down,
    /// No connection came up.
    Unreachable,
    /// The connection was lost, or was unresponsive while others were not, which says nothing of the executor.
    Unknown,
    /// Nothing came in time.
    TimedOut,
}

/// What the network reports.
#[derive(Debug, Clone, PartialEq)]
pub enum NetworkEvent<R> {
    /// An attempt ended; with the executor's load report where its answer carried one.
    AttemptEnded(AttemptId, AttemptEnd<R>, Option<LoadReport>),
    /// The first byte of an attempt was written: from here on it may run.
    AttemptBegun(AttemptId),
    /// The executor reported the progress of an attempt that is outstanding.
    AttemptProgressed(AttemptId, AttemptProgress),
    /// A probe ended; the span since it was sent, in microseconds.
    ProbeFinished(ExecutorId, ProbeOutcome, Micros),
    /// The client of a request has disconnected.
    ClientDisconnected(u64),
}

/// A final answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer<R> {
    /// The result.
    Served(R),
    /// A retry is harmless, after so many milliseconds.
    Refused(u64),
    /// Failed: it may have run.
    Failed,
}

/// The terms on which an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptTerms {
    /// Memory granted in MB; 0 leaves it to the executor.
    pub memory_mb: f64,
    /// Priority, 0 to 3.
    pub priority: u8,
    /// The point at which the dispatcher stops waiting, in microseconds.
    pub deadline: Micros,
    /// The point by which its first byte has to be written, in microseconds; else the attempt ends as never sent,
    /// because a rule on retries allows it no longer.
    pub begin_by: Micros,
}

/// What the network has to do, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Command<R> {
    /// Send an attempt.
    StartAttempt {
        /// The attempt.
        attempt_id: AttemptId,
        /// The executor that gets it.
        executor: ExecutorId,
        /// Its memory, priority and times.
        terms: AttemptTerms,
    },
    /// Cancel an attempt; nothing more is reported of it.
    StopAttempt(AttemptId),
    /// The attempt's request is over: if no byte of the attempt was written yet, none may be, and it ends as never
    /// sent. One that was begun goes on.
    WithdrawAttempt(AttemptId),
    /// A new priority, 0 to 3, for an attempt that is outstanding.
    SetPriority(AttemptId, u8),
    /// Probe an executor.
    Probe(ExecutorId),
    /// The one final answer of a request.
    Answer(u64, Answer<R>),
    /// A request whose client had disconnected is over. Only where [`Dispatch::report_abandoned`] asked for it.
    ///
    /// [`Dispatch::report_abandoned`]: super::Dispatch::report_abandoned
    ReportAbandoned {
        /// The request.
        request: u64,
        /// Its result, if it was served all the same.
        result: Option<R>,
        /// Whether it is certain that no attempt of it ran.
        never_ran: bool,
    },
}
