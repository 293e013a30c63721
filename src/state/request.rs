//! Open requests and their attempts.

use crate::api::{Arrival, Class, ClassId, DurationUs, ExecutorId, KindId, Outcome, TimestampUs, ZoneId};

/// An open request: it is unanswered or has attempts in flight.
#[derive(Debug, Clone, Default)]
pub(crate) struct Request {
    /// Its class.
    pub(crate) class: ClassId,
    /// Its key, if its class keeps order.
    pub(crate) key: Option<u64>,
    /// The table group that it reads.
    pub(crate) table_group: u64,
    /// Preferred executors of its table group, for cache affinity.
    pub(crate) preferred_executors: Vec<ExecutorId>,
    /// When it arrived.
    pub(crate) arrived_at: TimestampUs,
    /// When its client gives up.
    pub(crate) deadline: TimestampUs,
    /// When its latency objective ends.
    pub(crate) objective_ends_at: TimestampUs,
    /// Predicted cost, in thread-seconds.
    pub(crate) predicted_cost: f64,
    /// The client's estimate of the cost, in thread-seconds.
    pub(crate) estimated_cost: Option<f64>,
    /// The client's estimate of the memory, in MB.
    pub(crate) estimated_memory_mb: Option<f64>,
    /// Memory granted to its latest attempt, in MB; 0 leaves the amount to the executor.
    pub(crate) memory_grant_mb: f64,
    /// Priority of its attempts, 0 to 3.
    pub(crate) priority: u8,
    /// Its attempts, in the order in which they were sent.
    pub(crate) attempts: Vec<Attempt>,
    /// The executor reserved for its next attempt, while the cancellation of the present one is not confirmed.
    pub(crate) reserved_executor: Option<ExecutorId>,
    /// End of its wait for probes, if it ever waited.
    pub(crate) probe_wait_until: Option<TimestampUs>,
    /// Its expected run time when it joined its key's queue.
    pub(crate) expected_run: DurationUs,
    /// Whether it has its final answer or its client disconnected.
    pub(crate) answered: bool,
    /// Whether its response is being streamed to the client.
    pub(crate) streaming: bool,
    /// Whether it was counted as late for its class.
    pub(crate) counted_late: bool,
    /// The only zones allowed, by the settings that admitted it.
    pub(crate) only_zones: Option<Vec<ZoneId>>,
    /// The only kinds of machine allowed, by the settings that admitted it.
    pub(crate) only_kinds: Option<Vec<KindId>>,
    /// Maximum number of attempts, by the settings that admitted it.
    pub(crate) max_attempts: u32,
}

impl Request {
    /// A newly arrived request; `latency_objective` is the time from its arrival.
    pub(crate) fn new(
        arrival: &Arrival,
        now: TimestampUs,
        cost: f64,
        latency_objective: DurationUs,
        preferred_executors: Vec<ExecutorId>,
        class: &Class,
        max_attempts: u32,
    ) -> Request {
        Request {
            class: arrival.class,
            key: arrival.key.filter(|_| class.keep_order),
            table_group: arrival.table_group,
            preferred_executors,
            arrived_at: now,
            deadline: now + arrival.time_budget,
            objective_ends_at: now + latency_objective,
            predicted_cost: cost,
            estimated_cost: arrival.estimated_thread_seconds,
            estimated_memory_mb: arrival.estimated_memory_mb,
            only_zones: class.only_zones.clone(),
            only_kinds: class.only_kinds.clone(),
            max_attempts,
            ..Request::default()
        }
    }

    /// Numbers of the attempts in flight that are not cancelled.
    pub(crate) fn live_attempts(&self) -> Vec<u32> {
        let is_live = |attempt: &Attempt| attempt.outcome.is_none() && !attempt.cancelled;
        let numbered = self.attempts.iter().enumerate();
        numbered.filter(|(_, attempt)| is_live(attempt)).map(|(number, _)| number as u32).collect()
    }

    /// Number of attempts without an outcome, including cancelled ones.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count()
    }

    /// Whether it is certain that no attempt ran.
    pub(crate) fn never_ran(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.outcome.is_some_and(Outcome::never_ran))
    }

    /// Whether another attempt may be sent in addition to or in place of this one: no other attempt is in flight, and
    /// the client has received nothing yet.
    pub(crate) fn may_replace(&self, attempt: u32) -> bool {
        !self.answered && !self.streaming && self.live_attempts() == [attempt]
    }
}

/// An attempt of a request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Attempt {
    /// Position of its executor in the executor table.
    pub(crate) executor: usize,
    /// When it was sent.
    pub(crate) sent_at: TimestampUs,
    /// How it ended; `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
    /// Reported progress, from 0 to 1.
    pub(crate) progress: f64,
    /// When progress was last reported; initially, when it was sent.
    pub(crate) progress_at: TimestampUs,
    /// When its last message was received; initially, when it was sent.
    pub(crate) last_message_at: TimestampUs,
    /// Whether it was cancelled.
    pub(crate) cancelled: bool,
    /// Whether its executor reported that it spilled to disk.
    pub(crate) spilled: bool,
    /// Granted memory, in MB.
    pub(crate) memory_grant_mb: f64,
}

impl Attempt {
    /// An attempt that is sent now.
    pub(crate) fn sent(executor: usize, now: TimestampUs, memory_grant_mb: f64) -> Attempt {
        Attempt {
            executor,
            sent_at: now,
            progress_at: now,
            last_message_at: now,
            memory_grant_mb,
            ..Attempt::default()
        }
    }

    /// Records the progress and returns the total run time, in seconds, projected from the pace since the previous
    /// report.
    pub(crate) fn record_progress(&mut self, now: TimestampUs, progress: f64) -> f64 {
        let span_s = (now - self.progress_at) as f64 / 1e6;
        let total_s = span_s / (progress - self.progress).max(0.001);
        (self.progress, self.progress_at) = (progress, now);
        total_s
    }
}
