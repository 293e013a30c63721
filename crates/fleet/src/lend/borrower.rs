//! The holder's side: what it may use, and what it says to the record. Sans-I/O.

use super::{Command, Slots};
use crate::{Holder, Micros};
use std::collections::VecDeque;

/// Commands under way at most; with more, the fleet is silent and nothing is gained by another.
const UNDER_WAY: usize = 8;

/// One term of one holder. Its times are its own, from any clock that only goes on.
#[derive(Debug, Clone)]
pub struct Borrower {
    me: Holder,
    term: Micros,
    margin: Micros,
    gap: Micros,
    number: u64,
    /// Commands asked for: number, when, and the slots given back. The first is the last that was taken.
    asked: VecDeque<(u64, Micros, u16)>,
    /// The last that was said: wanted and at most.
    said: Option<(u16, u16)>,
}

impl Borrower {
    /// One that stops `margin` before the `term` of its leases is over, and speaks every `gap` at most.
    pub fn new(me: Holder, term: Micros, margin: Micros, gap: Micros) -> Borrower {
        Borrower { me, term, margin, gap, number: 0, asked: VecDeque::new(), said: None }
    }

    /// Slots in which a request may begin now. What runs beyond the lease's end, when this is 0 without a word of the
    /// record for a term less the margin, has to be ended by then: the slots may be another's.
    pub fn usable(&self, now: Micros, slots: &Slots) -> u16 {
        let taken = slots.taken(self.me);
        let Some((_, at, _)) = self.asked.iter().rev().find(|(n, ..)| *n <= taken) else { return 0 };
        if taken == 0 || now >= at.saturating_add(self.term).saturating_sub(self.margin) {
            return 0;
        }
        let (have, back) = slots.of(self.me);
        let given: u16 = self.asked.iter().filter(|(n, ..)| *n > taken).map(|(.., back)| *back).sum();
        have.saturating_sub(back.max(given))
    }

    /// What to tell the record, if anything: `busy` slots are in use, `want` and `most` are as in
    /// [`Command::Hold`]. Once this is said, no more may be used than [`Borrower::usable`] says from then on.
    pub fn ask(&mut self, now: Micros, slots: &Slots, busy: u16, want: u16, most: u16) -> Option<Command> {
        let taken = slots.taken(self.me);
        while self.asked.get(1).is_some_and(|(n, ..)| *n <= taken) {
            self.asked.pop_front();
        }
        let (have, back) = slots.of(self.me);
        let goal = if slots.lacking() > 0 { want } else { most.max(want) };
        let given = have - have.min(goal.min(have - back).max(busy));
        let last = self.asked.back().map_or(0, |(_, at, _)| *at);
        // What one says before it knows what became of the last word would give back the same slots again.
        let waits = self.asked.back().is_some_and(|(n, ..)| *n > taken);
        let changed = !waits && (self.said != Some((want, most)) || given > 0);
        let due = now >= last.saturating_add(self.term / 4);
        let soon = now >= last.saturating_add(self.gap);
        if self.asked.len() > UNDER_WAY || !(self.said.is_none() || due || changed && soon) {
            return None;
        }
        let back = if waits { 0 } else { given };
        self.number += 1;
        self.asked.push_back((self.number, now, back));
        self.said = Some((want, most));
        Some(Command::Hold { holder: self.me, number: self.number, back, want, most })
    }
}
