//! Key queues: which request of a key is next, and how long a key stays quiet after a doubtful outcome.

use crate::api::{DurationUs, RequestId, TimestampUs};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The requests of one key, in order of arrival. The first one runs, the others wait.
#[derive(Debug, Default)]
struct KeyQueue {
    requests: VecDeque<RequestId>,
    /// Sum of the expected runs of all in the queue, as each was expected to take when it joined.
    expected_work: DurationUs,
    /// No first attempt starts before: what was stopped or lost may still run.
    quiet_until: TimestampUs,
}

/// The queues of all keys.
#[derive(Debug, Default)]
pub(crate) struct KeyQueues {
    queues: BTreeMap<u64, KeyQueue>,
    /// Ends of quiet periods, each with its key, soonest first.
    quiet_ends: BTreeSet<(TimestampUs, u64)>,
    /// The key that the next check begins at.
    next_checked: u64,
    /// A queue is being advanced.
    advancing: bool,
}

impl KeyQueues {
    /// Requests in a key's queue, the one that runs included.
    pub(super) fn len(&self, key: u64) -> usize {
        self.queues.get(&key).map_or(0, |queue| queue.requests.len())
    }

    /// The first request in a key's queue.
    pub(super) fn head(&self, key: u64) -> Option<RequestId> {
        self.queues.get(&key).and_then(|queue| queue.requests.front().copied())
    }

    /// Sum of the expected runs in a key's queue.
    pub(super) fn expected_work(&self, key: u64) -> DurationUs {
        self.queues.get(&key).map_or(0, |queue| queue.expected_work)
    }

    /// Whether a key gets no first attempt now.
    pub(super) fn is_quiet(&self, key: u64, now: TimestampUs) -> bool {
        self.queues.get(&key).is_some_and(|queue| now < queue.quiet_until)
    }

    /// The first `limit` requests in a key's queue.
    pub(super) fn first_requests(&self, key: u64, limit: usize) -> Vec<RequestId> {
        let queue = self.queues.get(&key).into_iter();
        queue.flat_map(|queue| queue.requests.iter().take(limit).copied()).collect()
    }

    /// Puts a request at the end of its key's queue.
    pub(super) fn push(&mut self, key: u64, id: RequestId, expected_run: DurationUs) {
        let queue = self.queues.entry(key).or_default();
        queue.requests.push_back(id);
        queue.expected_work += expected_run;
    }

    /// Takes a request out of its key's queue, if it is there.
    pub(super) fn remove(&mut self, key: u64, id: RequestId, expected_run: DurationUs) {
        let Some(queue) = self.queues.get_mut(&key) else { return };
        if let Some(position) = queue.requests.iter().position(|queued| *queued == id) {
            queue.requests.remove(position);
            queue.expected_work -= expected_run;
        }
    }

    /// Keeps a key quiet until then, or longer if it is.
    pub(super) fn extend_quiet_period(&mut self, key: u64, until: TimestampUs) {
        let queue = self.queues.entry(key).or_default();
        queue.quiet_until = queue.quiet_until.max(until);
        self.quiet_ends.insert((queue.quiet_until, key));
    }

    /// Removes a queue that is empty and whose key is not quiet.
    pub(super) fn remove_if_idle(&mut self, key: u64, now: TimestampUs) {
        let is_idle = |queue: &KeyQueue| queue.requests.is_empty() && now >= queue.quiet_until;
        if self.queues.get(&key).is_some_and(is_idle) {
            self.queues.remove(&key);
        }
    }

    /// Guards against recursion: a request that ends while its queue is advanced would advance the queue
    /// from within, as deep as the queue is long, and overflow the stack. False if one is being advanced
    /// already; the loop that advances it sees the new head itself.
    pub(super) fn begin_advancing(&mut self) -> bool {
        !std::mem::replace(&mut self.advancing, true)
    }

    /// The queue has been advanced.
    pub(super) fn end_advancing(&mut self) {
        self.advancing = false;
    }

    /// The keys that a tick checks: those whose quiet period is over, and in turn others, until their queues
    /// hold `limit` requests.
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

    /// Takes the keys whose quiet period is over.
    fn take_quiet_ended(&mut self, now: TimestampUs) -> BTreeSet<u64> {
        let mut keys = BTreeSet::new();
        while let Some((end, key)) = self.quiet_ends.first().copied().filter(|(end, _)| *end <= now) {
            self.quiet_ends.remove(&(end, key));
            keys.insert(key);
        }
        keys
    }
}
