//! Key queues: the requests of each key in order, and the quiet period after an uncertain outcome.

use crate::api::{DurationUs, RequestId, TimestampUs};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The requests of one key in order of arrival. The first one runs; the others wait.
#[derive(Debug, Default)]
struct KeyQueue {
    requests: VecDeque<RequestId>,
    /// Sum of the expected run times of all requests in the queue, each as of when it joined.
    expected_work: DurationUs,
    /// No first attempt starts before this time, as a cancelled or lost attempt may still be running.
    quiet_until: TimestampUs,
}

/// The queues of all keys.
#[derive(Debug, Default)]
pub(crate) struct KeyQueues {
    queues: BTreeMap<u64, KeyQueue>,
    /// Ends of quiet periods with their keys, earliest first.
    quiet_ends: BTreeSet<(TimestampUs, u64)>,
    /// The key at which the next check starts.
    next_checked: u64,
    /// Whether a queue is being advanced.
    advancing: bool,
}

impl KeyQueues {
    /// Number of requests in a key's queue, including the running one.
    pub(super) fn len(&self, key: u64) -> usize {
        self.queues.get(&key).map_or(0, |queue| queue.requests.len())
    }

    /// The request at the head of a key's queue.
    pub(super) fn head(&self, key: u64) -> Option<RequestId> {
        self.queues.get(&key).and_then(|queue| queue.requests.front().copied())
    }

    /// Sum of the expected run times in a key's queue.
    pub(super) fn expected_work(&self, key: u64) -> DurationUs {
        self.queues.get(&key).map_or(0, |queue| queue.expected_work)
    }

    /// Whether a key is in its quiet period, in which no first attempt starts.
    pub(super) fn is_quiet(&self, key: u64, now: TimestampUs) -> bool {
        self.queues.get(&key).is_some_and(|queue| now < queue.quiet_until)
    }

    /// The first `limit` requests in a key's queue.
    pub(super) fn first_requests(&self, key: u64, limit: usize) -> Vec<RequestId> {
        let queue = self.queues.get(&key).into_iter();
        queue.flat_map(|queue| queue.requests.iter().take(limit).copied()).collect()
    }

    /// Appends a request to a key's queue.
    pub(super) fn push(&mut self, key: u64, id: RequestId, expected_run: DurationUs) {
        let queue = self.queues.entry(key).or_default();
        queue.requests.push_back(id);
        queue.expected_work += expected_run;
    }

    /// Removes a request from a key's queue, if present.
    pub(super) fn remove(&mut self, key: u64, id: RequestId, expected_run: DurationUs) {
        let Some(queue) = self.queues.get_mut(&key) else { return };
        if let Some(position) = queue.requests.iter().position(|queued| *queued == id) {
            queue.requests.remove(position);
            queue.expected_work -= expected_run;
        }
    }

    /// Extends a key's quiet period to at least `until`.
    pub(super) fn extend_quiet_period(&mut self, key: u64, until: TimestampUs) {
        let queue = self.queues.entry(key).or_default();
        queue.quiet_until = queue.quiet_until.max(until);
        self.quiet_ends.insert((queue.quiet_until, key));
    }

    /// Removes a key's queue if it is empty and not in a quiet period.
    pub(super) fn remove_if_idle(&mut self, key: u64, now: TimestampUs) {
        let is_idle = |queue: &KeyQueue| queue.requests.is_empty() && now >= queue.quiet_until;
        if self.queues.get(&key).is_some_and(is_idle) {
            self.queues.remove(&key);
        }
    }

    /// Returns false if a queue is already being advanced. This prevents recursion: a request that ends while
    /// its queue is advanced would advance the queue again, to a depth of the queue's length, and overflow
    /// the stack. The outer loop handles the new head instead.
    pub(super) fn begin_advancing(&mut self) -> bool {
        !std::mem::replace(&mut self.advancing, true)
    }

    /// Ends the section that [`KeyQueues::begin_advancing`] began.
    pub(super) fn end_advancing(&mut self) {
        self.advancing = false;
    }

    /// The keys that a tick checks: all keys whose quiet period ended, and others in round-robin order until
    /// their queues hold `limit` requests.
    pub(super) fn keys_to_check(&mut self, now: TimestampUs, limit: usize) -> BTreeSet<u64> {
        let mut keys = self.take_quiet_ended(now);
        let begin = self.next_checked;
        let in_turn = self.queues.range(begin..).chain(self.queues.range(..begin));
        let mut left = limit;
        for (key, queue) in in_turn {
            self.next_checked = *key;
            if left == 0 {
                break;
            }
            left = left.saturating_sub(queue.requests.len().max(1));
            keys.insert(*key);
        }
        keys
    }

    /// Removes and returns the keys whose quiet period ended.
    fn take_quiet_ended(&mut self, now: TimestampUs) -> BTreeSet<u64> {
        let mut keys = BTreeSet::new();
        while let Some((end, key)) = self.quiet_ends.first().copied().filter(|(end, _)| *end <= now) {
            self.quiet_ends.remove(&(end, key));
            keys.insert(key);
        }
        keys
    }
}
