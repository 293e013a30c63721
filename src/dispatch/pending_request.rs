//! Requests that are pending, and their attempts.

use super::{Answer, AttemptId, Dispatch};
use crate::api::{EndReason, ExecutorId, Micros, Outcome};

/// An attempt of a pending request.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) executor: ExecutorId,
    /// The point at which it was decided on, in microseconds.
    pub(super) sent_at: Micros,
    /// Whether a byte of it was written.
    pub(super) begun: bool,
    /// How it ended; `None` while it is outstanding.
    pub(super) outcome: Option<Outcome>,
    /// 0 to 3.
    pub(super) priority: u8,
}

impl Attempt {
    /// Whether it is certain that it did not run, and will not.
    fn never_ran(&self) -> bool {
        !self.begun || self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// A request from its submission until it is answered and none of its attempts is outstanding.
#[derive(Debug)]
pub(super) struct PendingRequest<R> {
    /// The point of its submission, in microseconds.
    pub(super) submitted_at: Micros,
    /// The point at which it is answered at the latest, in microseconds.
    pub(super) deadline: Micros,
    /// Whether refusing it is harmless whatever ran.
    pub(super) idempotent: bool,
    /// The span for which executors recognise a repeat, in microseconds, if that is what makes repeats harmless.
    pub(super) repeat_window: Option<Micros>,
    /// Answered, or its client has disconnected.
    pub(super) closed: bool,
    /// Its client has disconnected.
    pub(super) client_disconnected: bool,
    /// The result that came after its client had disconnected.
    pub(super) late_result: Option<R>,
    /// Attempts that other dispatchers made before.
    pub(super) earlier_attempts: usize,
    /// Memory granted to its attempts in MB; 0 leaves it to the executor.
    pub(super) memory_mb: f64,
    /// Priority of its attempts, 0 to 3.
    pub(super) priority: u8,
    /// Its attempts here, by number.
    pub(super) attempts: Vec<Attempt>,
}

impl<R> PendingRequest<R> {
    /// Whether nothing of it is owed or outstanding any more.
    pub(super) fn is_over(&self) -> bool {
        self.closed && self.attempts.iter().all(|attempt| attempt.outcome.is_some())
    }

    /// Whether, with those of the dispatcher that was lost, it has had all its attempts. The decisions bound those
    /// that were made here.
    pub(super) fn attempts_used_up(&self, max_attempts: usize) -> bool {
        self.earlier_attempts > 0 && self.earlier_attempts + self.attempts.len() >= max_attempts
    }

    /// The point by which the first byte of its next attempt has to be written, in microseconds.
    ///
    /// A connection may come up long after the attempt was decided on. Without this bound the attempt would be
    /// written past the span that a retry budget counts it in, or when executors no longer recognise it as a repeat,
    /// so that it runs twice.
    pub(super) fn begin_by(&self, now: Micros, retry_start_window: Option<Micros>) -> Micros {
        let is_retry = !self.attempts.is_empty();
        let within_retry_budget = retry_start_window.filter(|_| is_retry).map(|window| now + window);
        within_retry_budget
            .into_iter()
            .chain(self.repeats_recognised_until())
            .fold(self.deadline, Micros::min)
    }

    /// Its progress at this point.
    pub(super) fn progress(&self, now: Micros) -> Progress {
        Progress {
            waited_ms: now.saturating_sub(self.submitted_at) / 1_000,
            left_ms: self.deadline.saturating_sub(now) / 1_000,
            attempts: self.earlier_attempts + self.attempts.len(),
            outstanding: self.outstanding_attempts().count(),
        }
    }

    /// Logs its final answer. A failure is logged at the default level, because it doesn't tell what ran.
    pub(super) fn log_answer(&self, now: Micros, id: u64, answer: &Answer<R>, reason: EndReason) {
        let Progress { waited_ms, left_ms, attempts, outstanding } = self.progress(now);
        let request = format_args!("{id:016x}");
        match answer {
            Answer::Failed => {
                tracing::info!(request, %reason, waited_ms, left_ms, attempts, outstanding, "request failed");
            }
            Answer::Refused(backoff_ms) => {
                tracing::debug!(
                    request, %reason, waited_ms, left_ms, attempts, outstanding, backoff_ms, "request refused"
                );
            }
            Answer::Served(_) => {
                tracing::debug!(request, waited_ms, left_ms, attempts, outstanding, "request served");
            }
        }
    }

    /// Whether it is certain that no attempt of it ran.
    pub(super) fn never_ran(&self) -> bool {
        self.attempts.iter().all(Attempt::never_ran)
    }

    /// The point until which executors recognise a repeat of what may have run, in microseconds; `None` if they need
    /// not.
    fn repeats_recognised_until(&self) -> Option<Micros> {
        let window = self.repeat_window?;
        let may_have_run =
            self.attempts.iter().filter(|attempt| !attempt.outcome.is_some_and(Outcome::never_ran));
        may_have_run.map(|attempt| attempt.sent_at + window).min()
    }

    /// The numbers of the attempts that are outstanding.
    pub(super) fn outstanding_attempts(&self) -> impl Iterator<Item = u32> {
        (0..).zip(&self.attempts).filter(|(_, attempt)| attempt.outcome.is_none()).map(|(number, _)| number)
    }
}

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// The span since its submission, in milliseconds.
    pub waited_ms: u64,
    /// The span until its deadline here, in milliseconds.
    pub left_ms: u64,
    /// Attempts so far, those of dispatchers before this one too.
    pub attempts: usize,
    /// Attempts that are outstanding.
    pub outstanding: usize,
}

impl<R> Dispatch<R> {
    /// How far a request has come that is not answered.
    pub fn progress(&self, now: Micros, id: u64) -> Option<Progress> {
        self.pending.get(&id).filter(|pending| !pending.closed).map(|pending| pending.progress(now))
    }

    /// An attempt, if it is outstanding.
    pub(super) fn outstanding(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let attempt = self.pending.get_mut(&id.request)?.attempts.get_mut(id.attempt as usize)?;
        attempt.outcome.is_none().then_some(attempt)
    }
}
