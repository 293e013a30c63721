//! Requests that are open, and their attempts.

use super::{Answer, Dispatch, Ticket};
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
pub(super) struct Open<R> {
    pub(super) arrived: Micros,
    pub(super) deadline: Micros,
    /// Refusing it is harmless whatever ran.
    pub(super) safe: bool,
    /// Executors know repeats for so long, if that is what makes them harmless.
    pub(super) window: Option<Micros>,
    /// Answered, or the client has left.
    pub(super) closed: bool,
    /// The client has left.
    pub(super) left: bool,
    /// What was served after that.
    pub(super) late: Option<R>,
    /// Attempts that others made before.
    pub(super) before: usize,
    pub(super) memory_mb: f64,
    pub(super) priority: u8,
    pub(super) attempts: Vec<Attempt>,
}

impl<R> Open<R> {
    pub(super) fn over(&self) -> bool {
        self.closed && self.attempts.iter().all(|a| a.outcome.is_some())
    }

    /// How far it has come.
    pub(super) fn progress(&self, now: Micros) -> Progress {
        Progress {
            waited_ms: now.saturating_sub(self.arrived) / 1_000,
            left_ms: self.deadline.saturating_sub(now) / 1_000,
            attempts: self.before + self.attempts.len(),
            out: self.all_out().count(),
        }
    }

    /// Logs its final answer: one that says nothing of what ran is worth a line at any time.
    pub(super) fn log_end(&self, now: Micros, id: u64, answer: &Answer<R>, reason: EndReason) {
        let Progress { waited_ms, left_ms, attempts, out } = self.progress(now);
        let request = format_args!("{id:016x}");
        match answer {
            Answer::Failed => {
                tracing::info!(request, %reason, waited_ms, left_ms, attempts, out, "request failed");
            }
            Answer::Refused(backoff_ms) => {
                tracing::debug!(request, %reason, waited_ms, left_ms, attempts, out, backoff_ms, "request refused");
            }
            Answer::Served(_) => {
                tracing::debug!(request, waited_ms, left_ms, attempts, out, "request served");
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

    /// The attempts that are out.
    pub(super) fn all_out(&self) -> impl Iterator<Item = u32> {
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
    /// Attempts that are out.
    pub out: usize,
}

impl<R> Dispatch<R> {
    /// How far a request has come that is open.
    pub fn progress(&self, now: Micros, id: u64) -> Option<Progress> {
        self.open.get(&id).filter(|o| !o.closed).map(|o| o.progress(now))
    }

    /// An attempt that is out.
    pub(super) fn out(&mut self, t: Ticket) -> Option<&mut Attempt> {
        let attempt = self.open.get_mut(&t.request)?.attempts.get_mut(t.attempt as usize)?;
        attempt.outcome.is_none().then_some(attempt)
    }
}
