//! The interface to the network: events that it reports, and commands that it carries out.

use super::{AttemptId, AttemptProgress, ExecutorId, LoadReport};
use crate::api::Micros;

/// How an attempt ended; `R` is the network's representation of a result.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEnd<R> {
    /// The complete result arrived.
    Served(R),
    /// The executor rejected it; it never ran.
    Rejected,
    /// It never ran, for a reason that is unrelated to the executor's health.
    NotRun,
    /// The executor reported an error; it may have run.
    Error,
    /// No byte of it was written.
    NeverSent(NeverSentReason),
    /// Its connection was lost before the executor sent anything on it; it may have run.
    ConnectionLost,
    /// Its connection became unusable: a malformed or truncated response, no messages, or a reset after messages.
    /// The attempt may have run; the executor's health is unknown.
    ConnectionUnusable,
}

/// Why no byte of an attempt was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NeverSentReason {
    /// No connection to the executor could be established. The only reason that counts against the executor.
    ConnectFailed,
    /// Its request was answered, or its client disconnected.
    RequestClosed,
    /// The time by which it had to begin passed.
    StartExpired,
    /// Its executor drains, was removed, restarted, or has another address.
    ExecutorChanged,
    /// Its executor is not in the network's list.
    ExecutorUnlisted,
    /// This dispatcher holds no lease that permits it.
    LeaseMissing,
}

/// How a probe ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ProbeOutcome {
    /// The executor is up; with its load report, if it sent one.
    Up(Option<LoadReport>),
    /// The executor reported that it accepts no requests.
    Down,
    /// The connection could not be established.
    Unreachable,
    /// The connection was lost, or unresponsive while others were not. The executor's health is unknown.
    Unknown,
    /// No response in time.
    TimedOut,
}

/// An event reported by the network.
#[derive(Debug, Clone, PartialEq)]
pub enum NetworkEvent<R> {
    /// An attempt ended; with the executor's load report, if the response carried one.
    AttemptEnded(AttemptId, AttemptEnd<R>, Option<LoadReport>),
    /// The first byte of an attempt was written: it may run from now on.
    AttemptBegun(AttemptId),
    /// The executor reported the progress of an outstanding attempt.
    AttemptProgressed(AttemptId, AttemptProgress),
    /// A probe finished; with the time since it was sent, in microseconds.
    ProbeFinished(ExecutorId, ProbeOutcome, Micros),
    /// A connection to an executor could not be established, and no attempt or probe waited for it any more.
    ConnectFailed(ExecutorId),
    /// The client of a request disconnected.
    ClientDisconnected(u64),
}

/// A final answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer<R> {
    /// The result.
    Served(R),
    /// Rejected: a retry is harmless after this many milliseconds.
    Rejected(u64),
    /// Failed: the request may have run.
    Failed,
}

/// The terms on which an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptTerms {
    /// Memory granted in MB; 0 leaves it to the executor.
    pub memory_mb: f64,
    /// Priority, 0 to 3.
    pub priority: u8,
    /// The time at which the dispatcher stops waiting, in microseconds.
    pub deadline: Micros,
    /// The time by which the first byte must be written, in microseconds. After it, the rules for retries no longer
    /// allow the attempt, and it ends as never sent.
    pub begin_by: Micros,
}

/// A command for the network. Commands are carried out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Command<R> {
    /// Send an attempt.
    StartAttempt {
        /// The attempt.
        attempt_id: AttemptId,
        /// The executor to send it to.
        executor: ExecutorId,
        /// Its memory grant, priority and deadlines.
        terms: AttemptTerms,
    },
    /// Cancel an attempt and report nothing more about it.
    StopAttempt(AttemptId),
    /// The attempt's request is closed: if no byte of the attempt was written yet, do not write any and end it as never
    /// sent. An attempt that has begun continues.
    WithdrawAttempt(AttemptId),
    /// Set the priority, 0 to 3, of an outstanding attempt.
    SetPriority(AttemptId, u8),
    /// Probe an executor.
    Probe(ExecutorId),
    /// Deliver the final answer of a request.
    Answer(u64, Answer<R>),
    /// A request whose client had disconnected is finished. Only if [`Dispatch::report_abandoned`] was called.
    ///
    /// [`Dispatch::report_abandoned`]: super::Dispatch::report_abandoned
    ReportAbandoned {
        /// The request.
        request: u64,
        /// Its result, if it was served nevertheless.
        result: Option<R>,
        /// Whether it is certain that none of its attempts ran.
        never_ran: bool,
    },
}
