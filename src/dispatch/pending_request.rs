//! Pending requests and their attempts.

use super::{Answer, AttemptId, Dispatch};
use crate::api::{EndReason, ExecutorId, Micros, Outcome};

/// An attempt of a pending request.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) executor: ExecutorId,
    /// When the balancer decided on it, in microseconds.
    pub(super) sent_at: Micros,
    /// Whether any byte of it was written.
    pub(super) begun: bool,
    /// How it ended; `None` while it is outstanding.
    pub(super) outcome: Option<Outcome>,
    /// Priority, 0 to 3.
    pub(super) priority: u8,
}

impl Attempt {
    /// Whether it is certain that it did not and will not run.
    fn never_ran(&self) -> bool {
        !self.begun || self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// A request, from its submission until it is closed and has no outstanding attempts.
#[derive(Debug)]
pub(super) struct PendingRequest<R> {
    /// When it was submitted, in microseconds.
    pub(super) submitted_at: Micros,
    /// When it is answered at the latest, in microseconds.
    pub(super) deadline: Micros,
    /// Whether a retry by the client is harmless even if an attempt ran.
    pub(super) idempotent: bool,
    /// Time for which executors recognise a duplicate, in microseconds, in classes with idempotency keys.
    pub(super) dedup_window: Option<Micros>,
    /// Whether it was answered or its client disconnected.
    pub(super) closed: bool,
    /// Whether its client disconnected.
    pub(super) client_disconnected: bool,
    /// The result that arrived after its client had disconnected.
    pub(super) late_result: Option<R>,
    /// Number of attempts by other dispatchers before it was taken over.
    pub(super) earlier_attempts: usize,
    /// Memory granted to its attempts in MB; 0 leaves the amount to the executor.
    pub(super) memory_mb: f64,
    /// Priority of its attempts, 0 to 3.
    pub(super) priority: u8,
    /// Attempts by this dispatcher, by number.
    pub(super) attempts: Vec<Attempt>,
}

impl<R> PendingRequest<R> {
    /// Whether it is closed and has no outstanding attempts.
    pub(super) fn is_over(&self) -> bool {
        self.closed && self.attempts.iter().all(|attempt| attempt.outcome.is_some())
    }

    /// Whether a request that was taken over has used up its attempts, including those by the lost dispatcher. The
    /// balancer only limits the attempts by this dispatcher.
    pub(super) fn attempts_used_up(&self, max_attempts: usize) -> bool {
        self.earlier_attempts > 0 && self.earlier_attempts + self.attempts.len() >= max_attempts
    }

    /// The time by which the first byte of its next attempt must be written, in microseconds.
    ///
    /// A connection may be established long after the attempt was decided on. Without this limit, the attempt could be
    /// written outside the window in which the retry budget counts it, or after executors stopped recognising it as a
    /// duplicate, so that it would run twice.
    pub(super) fn begin_by(&self, now: Micros, retry_start_window: Option<Micros>) -> Micros {
        let is_retry = !self.attempts.is_empty();
        let within_retry_budget = retry_start_window.filter(|_| is_retry).map(|window| now + window);
        within_retry_budget.into_iter().chain(self.dedup_ends_at()).fold(self.deadline, Micros::min)
    }

    /// Its current progress.
    pub(super) fn progress(&self, now: Micros) -> Progress {
        Progress {
            waited_ms: now.saturating_sub(self.submitted_at) / 1_000,
            left_ms: self.deadline.saturating_sub(now) / 1_000,
            attempts: self.earlier_attempts + self.attempts.len(),
            outstanding: self.outstanding_attempts().count(),
        }
    }

    /// Logs its final answer. Failures are logged at the default level, because the client cannot know what ran.
    pub(super) fn log_answer(&self, now: Micros, id: u64, answer: &Answer<R>, reason: EndReason) {
        let Progress { waited_ms, left_ms, attempts, outstanding } = self.progress(now);
        let request = format_args!("{id:016x}");
        match answer {
            Answer::Failed => {
                tracing::info!(request, %reason, waited_ms, left_ms, attempts, outstanding, "request failed");
            }
            Answer::Rejected(backoff_ms) => {
                tracing::debug!(
                    request, %reason, waited_ms, left_ms, attempts, outstanding, backoff_ms, "request refused"
                );
            }
            Answer::Served(_) => {
                tracing::debug!(request, waited_ms, left_ms, attempts, outstanding, "request served");
            }
        }
    }

    /// Whether it is certain that none of its attempts ran.
    pub(super) fn never_ran(&self) -> bool {
        self.attempts.iter().all(Attempt::never_ran)
    }

    /// The time until which executors recognise duplicates of all attempts that may have run, in microseconds; `None`
    /// if there is no such limit.
    fn dedup_ends_at(&self) -> Option<Micros> {
        let window = self.dedup_window?;
        let may_have_run =
            self.attempts.iter().filter(|attempt| !attempt.outcome.is_some_and(Outcome::never_ran));
        may_have_run.map(|attempt| attempt.sent_at + window).min()
    }

    /// The numbers of the outstanding attempts.
    pub(super) fn outstanding_attempts(&self) -> impl Iterator<Item = u32> {
        (0..).zip(&self.attempts).filter(|(_, attempt)| attempt.outcome.is_none()).map(|(number, _)| number)
    }
}

/// The progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Time since its submission, in milliseconds.
    pub waited_ms: u64,
    /// Time until its deadline here, in milliseconds.
    pub left_ms: u64,
    /// Number of attempts so far, including those by previous dispatchers.
    pub attempts: usize,
    /// Number of outstanding attempts.
    pub outstanding: usize,
}

impl<R> Dispatch<R> {
    /// The progress of an unanswered request.
    pub fn progress(&self, now: Micros, id: u64) -> Option<Progress> {
        self.pending.get(&id).filter(|pending| !pending.closed).map(|pending| pending.progress(now))
    }

    /// An attempt, if it is outstanding.
    pub(super) fn outstanding(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let attempt = self.pending.get_mut(&id.request)?.attempts.get_mut(id.attempt as usize)?;
        attempt.outcome.is_none().then_some(attempt)
    }
}
