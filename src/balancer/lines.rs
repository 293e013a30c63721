//! Lines: requests of a key run in order, one at a time, and wait for their turn.
//!
//! A request whose client may have held it back joins a line only if it is expected to be reached in its
//! time. A tick looks at a bounded part of what waits, beginning where the one before ended; whoever it
//! does not come to has its deadline.

use super::*;
use std::collections::BTreeSet;

impl Balancer {
    /// A request that has arrived goes to the end of its key's line. One that its client may have held back
    /// does so only if it can be reached in its time, else it is told how much longer that takes: how long
    /// its client still waits is not known well, and its next requests come sooner if this one has its
    /// answer.
    pub(super) fn join_line(&mut self, id: RequestId, held_back: bool) -> Result<(), Micros> {
        let q = &self.requests[&id];
        let Some(key) = q.key else { return Ok(()) };
        let run = self.expected_run(q);
        let ends = self.now.saturating_add(self.line_wait(key)).saturating_add(run);
        let over = ends.saturating_sub(q.deadline);
        let waits = self.keys.get(&key).is_some_and(|line| !line.waiting.is_empty());
        if held_back && waits && over > 0 {
            return Err(over);
        }
        self.request(id).run = run;
        let line = self.keys.entry(key).or_default();
        line.waiting.push_back(id);
        line.work += run;
        Ok(())
    }

    /// How long those in a line are expected to take from now on.
    fn line_wait(&self, key: u64) -> Micros {
        let Some(line) = self.keys.get(&key) else { return 0 };
        let head = line.waiting.front().map(|id| &self.requests[id]);
        let begun = head.and_then(|q| q.attempts.first().map(|a| (a.sent, q.run)));
        let done = begun.map_or(0, |(sent, run)| self.now.saturating_sub(sent).min(run));
        line.work - done
    }

    /// A request that is over leaves its line, and the next one has its turn.
    pub(super) fn leave_line(&mut self, id: RequestId, q: &Request) {
        let Some(key) = q.key else { return };
        if let Some(line) = self.keys.get_mut(&key)
            && let Some(place) = line.waiting.iter().position(|w| *w == id)
        {
            line.waiting.remove(place);
            line.work -= q.run;
        }
        self.next_in_line(key);
        self.drop_line(key);
    }

    /// Forgets a key that nobody waits for and that does not rest.
    fn drop_line(&mut self, key: u64) {
        let over = |line: &KeyLine| line.waiting.is_empty() && self.now >= line.rest_until;
        if self.keys.get(&key).is_some_and(over) {
            self.keys.remove(&key);
        }
    }

    /// The key gets no new attempt for a while: what was stopped or lost may still run.
    pub(super) fn rest_key(&mut self, key: u64) {
        let until = self.now + self.s.key_quiet.unwrap_or(0);
        let line = self.keys.entry(key).or_default();
        line.rest_until = line.rest_until.max(until);
        self.rests.insert((line.rest_until, key));
    }

    fn expected_run(&self, q: &Request) -> Micros {
        (self.expected_latency_s(q) * 1e6) as Micros
    }

    /// In line for its key with too little time left, or with more to run than is left of this dispatcher's
    /// time.
    pub(super) fn hopeless(&self, id: RequestId) -> Option<EndReason> {
        let q = &self.requests[&id];
        let run = self.expected_run(q);
        if !q.attempts.is_empty() {
            return None;
        }
        if self.now.saturating_add(run) > self.ends {
            return Some(EndReason::Stopping);
        }
        let held = q.key.is_some() && !self.has_turn(id);
        (held && self.now + run.max(HELD_MARGIN) > q.deadline).then_some(EndReason::LineTimedOut)
    }

    /// The first in line begins, if it may. Whoever ends within is passed by in the same round, however
    /// long the line.
    pub(super) fn next_in_line(&mut self, key: u64) {
        if std::mem::replace(&mut self.moves_on, true) {
            return;
        }
        let mut tried = None;
        while let Some(id) = self.keys.get(&key).and_then(|l| l.waiting.front().copied()) {
            if tried.replace(id) == Some(id) || !self.requests[&id].attempts.is_empty() {
                break;
            }
            self.start(id);
        }
        self.moves_on = false;
    }

    /// Rested keys go on; requests held in line are given up before their clients leave.
    pub(super) fn check_lines(&mut self) {
        let whole = std::mem::take(&mut self.ends_changed);
        let most = if whole { usize::MAX } else { CHECKED };
        for key in self.lines_to_check(most) {
            let waiting = self.keys.get(&key).into_iter().flat_map(|l| l.waiting.iter().take(most).copied());
            for id in Vec::from_iter(waiting) {
                let reason = self.requests.contains_key(&id).then(|| self.hopeless(id)).flatten();
                if let Some(reason) = reason {
                    self.end(id, SECOND, reason);
                }
            }
            self.next_in_line(key);
            self.drop_line(key);
        }
    }

    /// Keys that have rested, and those whose turn it is to be looked at, until so many requests wait in
    /// their lines.
    fn lines_to_check(&mut self, most: usize) -> BTreeSet<u64> {
        let mut keys = BTreeSet::new();
        while let Some((at, key)) = self.rests.first().copied().filter(|(t, _)| *t <= self.now) {
            self.rests.remove(&(at, key));
            keys.insert(key);
        }
        let from = self.checked_from;
        let in_turn = self.keys.range(from..).chain(self.keys.range(..from));
        let mut left = most;
        for (key, line) in in_turn {
            self.checked_from = *key;
            if left == 0 {
                break;
            }
            left = left.saturating_sub(line.waiting.len().max(1));
            keys.insert(*key);
        }
        keys
    }
}
