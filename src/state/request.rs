//! Open requests and their attempts.

use crate::api::{Arrival, Class, ClassId, DurationUs, ExecutorId, KindId, Outcome, TimestampUs, ZoneId};

/// An open request: it has no answer yet, or attempts that are in flight.
#[derive(Debug, Clone, Default)]
pub(crate) struct Request {
    /// Its class.
    pub(crate) class: ClassId,
    /// Its key, if its class keeps the order of a key.
    pub(crate) key: Option<u64>,
    /// The group of tables that it reads.
    pub(crate) table_group: u64,
    /// Executors that have its table group cached, or should.
    pub(crate) preferred_executors: Vec<ExecutorId>,
    /// When it arrived.
    pub(crate) arrived_at: TimestampUs,
    /// When its client gives up.
    pub(crate) deadline: TimestampUs,
    /// Until when an answer earns the whole weight.
    pub(crate) objective_ends_at: TimestampUs,
    /// Predicted cost, in thread-seconds.
    pub(crate) predicted_cost: f64,
    /// Estimated cost as it arrived, in thread-seconds.
    pub(crate) estimated_cost: Option<f64>,
    /// Estimated memory as it arrived, in MB.
    pub(crate) estimated_memory_mb: Option<f64>,
    /// Memory that its latest attempt was granted, in MB; 0 leaves it to the executor.
    pub(crate) memory_grant_mb: f64,
    /// Priority of what is in flight, 0 to 3.
    pub(crate) priority: u8,
    /// Its attempts, in the order in which they were sent.
    pub(crate) attempts: Vec<Attempt>,
    /// Until when it waits for probes, if it ever did.
    pub(crate) probe_wait_until: Option<TimestampUs>,
    /// What it was expected to take when it joined its key's queue.
    pub(crate) expected_run: DurationUs,
    /// It has its final answer, or its client has left.
    pub(crate) answered: bool,
    /// Its answer is being streamed to the client.
    pub(crate) streaming: bool,
    /// It was counted as late for its class.
    pub(crate) counted_late: bool,
    /// The only zones allowed, by the settings that admitted it.
    pub(crate) only_zones: Option<Vec<ZoneId>>,
    /// The only kinds of machine allowed, by the settings that admitted it.
    pub(crate) only_kinds: Option<Vec<KindId>>,
    /// Attempts allowed, by the settings that admitted it.
    pub(crate) max_attempts: u32,
}

impl Request {
    /// A request as it arrives; `latency_objective` is a span here, in microseconds.
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

    /// Attempts in flight that are not cancelled, by their number.
    pub(crate) fn live_attempts(&self) -> Vec<u32> {
        let is_live = |attempt: &Attempt| attempt.outcome.is_none() && !attempt.cancelled;
        let numbered = self.attempts.iter().enumerate();
        numbered.filter(|(_, attempt)| is_live(attempt)).map(|(number, _)| number as u32).collect()
    }

    /// How many attempts have no outcome yet, cancelled ones included.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count()
    }

    /// No attempt can have run.
    pub(crate) fn never_ran(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.outcome.is_some_and(Outcome::never_ran))
    }

    /// Whether another attempt may be sent beside or in place of this one: nothing else is in flight, and the
    /// client has received nothing yet.
    pub(crate) fn may_replace(&self, attempt: u32) -> bool {
        !self.answered && !self.streaming && self.live_attempts() == [attempt]
    }
}

/// An attempt of a request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Attempt {
    /// Where it was sent, by index in the table of executors.
    pub(crate) executor: usize,
    /// When it was sent.
    pub(crate) sent_at: TimestampUs,
    /// How it ended; `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
    /// Reported progress: 0 at its start, 1 is the whole.
    pub(crate) progress: f64,
    /// When progress was reported last, or it was sent.
    pub(crate) progress_at: TimestampUs,
    /// When its last message came, or it was sent.
    pub(crate) last_message_at: TimestampUs,
    /// It was called off.
    pub(crate) cancelled: bool,
    /// Its executor has reported that it spills to disk.
    pub(crate) spilled: bool,
    /// Memory that it was granted, in MB.
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

    /// Records how far it is; the seconds that a whole would take at the pace since the last time.
    pub(crate) fn record_progress(&mut self, now: TimestampUs, progress: f64) -> f64 {
        let span_s = (now - self.progress_at) as f64 / 1e6;
        let whole_s = span_s / (progress - self.progress).max(0.001);
        (self.progress, self.progress_at) = (progress, now);
        whole_s
    }
}
