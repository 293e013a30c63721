//! Requests that are open, and their attempts.

use super::{Answer, AttemptId, Dispatch};
use crate::api::{EndReason, ExecutorId, Micros, Outcome};

#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) executor: ExecutorId,
    pub(super) sent: Micros,
    /// Whether a byte of it was written.
    pub(super) begun: bool,
    /// How it ended; `None` while it is out.
    pub(super) outcome: Option<Outcome>,
    pub(super) priority: u8,
}

#[derive(Debug)]
pub(super) struct PendingRequest<R> {
    pub(super) arrived: Micros,
    pub(super) deadline: Micros,
    /// Refusing it is harmless whatever ran.
    pub(super) idempotent: bool,
    /// Executors know repeats for so long, if that is what makes them harmless.
    pub(super) window: Option<Micros>,
    /// Answered, or the client has left.
    pub(super) closed: bool,
    /// The client has left.
    pub(super) left: bool,
    /// What was served after that.
    pub(super) late_result: Option<R>,
    /// Attempts that others made before.
    pub(super) earlier_attempts: usize,
    pub(super) memory_mb: f64,
    pub(super) priority: u8,
    pub(super) attempts: Vec<Attempt>,
}

impl<R> PendingRequest<R> {
    pub(super) fn over(&self) -> bool {
        self.closed && self.attempts.iter().all(|a| a.outcome.is_some())
    }

    /// How far it has come.
    pub(super) fn progress(&self, now: Micros) -> Progress {
        Progress {
            waited_ms: now.saturating_sub(self.arrived) / 1_000,
            left_ms: self.deadline.saturating_sub(now) / 1_000,
            attempts: self.earlier_attempts + self.attempts.len(),
            outstanding: self.outstanding_attempts().count(),
        }
    }

    /// Logs its final answer: one that says nothing of what ran is worth a line at any time.
    pub(super) fn log_end(&self, now: Micros, id: u64, answer: &Answer<R>, reason: EndReason) {
        let Progress { waited_ms, left_ms, attempts, outstanding } = self.progress(now);
        let request = format_args!("{id:016x}");
        match answer {
            Answer::Failed => {
                tracing::info!(request, %reason, waited_ms, left_ms, attempts, outstanding, "request failed");
            }
            Answer::Refused(backoff_ms) => {
                tracing::debug!(request, %reason, waited_ms, left_ms, attempts, outstanding, backoff_ms, "request refused");
            }
            Answer::Served(_) => {
                tracing::debug!(request, waited_ms, left_ms, attempts, outstanding, "request served");
            }
        }
    }

    /// No attempt can have run.
    pub(super) fn never_ran(&self) -> bool {
        self.attempts.iter().all(|a| !a.begun || a.outcome.is_some_and(Outcome::never_ran))
    }

    /// Until when executors know a repeat of what may have run; `None` if they need not.
    pub(super) fn repeats_known_until(&self) -> Option<Micros> {
        let ran = self.attempts.iter().filter(|a| !a.outcome.is_some_and(Outcome::never_ran));
        self.window.and_then(|w| ran.map(|a| a.sent + w).min())
    }

    /// The attempts that are outstanding.
    pub(super) fn outstanding_attempts(&self) -> impl Iterator<Item = u32> {
        (0..).zip(&self.attempts).filter(|(_, a)| a.outcome.is_none()).map(|(n, _)| n)
    }
}

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// How long ago it was taken, in milliseconds.
    pub waited_ms: u64,
    /// How long it is until its deadline here.
    pub left_ms: u64,
    /// Attempts so far, those of dispatchers before this one too.
    pub attempts: usize,
    /// Attempts that are outstanding.
    pub outstanding: usize,
}

impl<R> Dispatch<R> {
    /// How far a request has come that is open.
    pub fn progress(&self, now: Micros, id: u64) -> Option<Progress> {
        self.pending.get(&id).filter(|o| !o.closed).map(|o| o.progress(now))
    }

    /// An attempt that is outstanding.
    pub(super) fn outstanding(&mut self, t: AttemptId) -> Option<&mut Attempt> {
        let attempt = self.pending.get_mut(&t.request)?.attempts.get_mut(t.attempt as usize)?;
        attempt.outcome.is_none().then_some(attempt)
    }
}
